package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/retry"
	"github.com/wagtaildrum/wagtaildrum/routing"
)

// maxAttempts bounds how many endpoints one call is offered to. A call
// that was refused (not run) is offered elsewhere; a model call that broke
// off is resumed elsewhere; a tool call that was sent and then failed is
// never sent again by the entry.
const (
	maxAttempts       = 3
	avoidOverloaded   = 500 * time.Millisecond
	avoidUnreachable  = 2 * time.Second
	defaultRetryAfter = time.Second
)

// Retries beyond a call's first attempt are kept to retryShare of all
// calls, so that an overloaded system is not loaded further; retryReserve
// lets a quiet system retry at all.
const (
	retryShare   = 0.2
	retryReserve = 20
)

// outcome says how a dispatch ended.
type outcome int

const (
	outcomeDone    outcome = iota // complete answer received
	outcomeRefused                // not run anywhere: safe to send again
	outcomeUnknown                // sent, then failed or cut: may have run
)

// dispatchResult is what dispatch learned.
type dispatchResult struct {
	outcome    outcome
	endpoint   string
	retryAfter time.Duration
	reason     string
	err        error
}

// sink takes in a call's answer piece by piece; cached tells the prompt
// tokens the engine said it held, once known.
type sink interface {
	data(piece []byte) error
	cached() int
}

// dispatch offers call to up to maxAttempts endpoints, as the router picks
// them, and passes each piece of the answer to into. An endpoint that
// refuses as draining is avoided for a while: the sidecar's refusal is the
// first signal that it leaves, ahead of the configuration and the lagging
// instance list. Endpoints named in tried are not offered the call; those
// offered it are added.
func (e *Entry) dispatch(ctx context.Context, req *routing.Request, call *peer.Call, into sink, tried map[string]bool) dispatchResult {
	e.retries.Call()
	urgent := call.Urgency >= int(program.UrgencyUrgent)
	res := dispatchResult{outcome: outcomeRefused, reason: "no_endpoint", retryAfter: defaultRetryAfter}
	for attempt := range maxAttempts {
		if attempt > 0 && !urgent && !e.retries.Retry() {
			break
		}
		choice, ok := e.router.Pick(req, func(name string) bool { return tried[name] || e.avoid.has(name, urgent) })
		if !ok {
			break
		}
		tried[choice.Endpoint().Name] = true
		res = e.offer(ctx, choice, req, call, into)
		if res.outcome != outcomeRefused || res.reason == "stale_fence" || ctx.Err() != nil {
			return res
		}
	}
	return res
}

func (e *Entry) offer(ctx context.Context, choice *routing.Choice, req *routing.Request, call *peer.Call, into sink) dispatchResult {
	ep := choice.Endpoint()
	res := dispatchResult{endpoint: ep.Name}
	var report *routing.Report
	call.Anchors, call.SeenReport = req.AnchorHashes(), choice.Seen()
	sent, err := e.peers.Do(ctx, ep.Sidecar, call, func(f peer.Frame) error {
		if f.Report != nil {
			report = reportOf(f.Report)
		}
		switch f.Type {
		case peer.FrameData:
			e.router.First(choice)
			return into.data(f.Data)
		case peer.FrameEnd:
			res.outcome = outcomeDone
		case peer.FrameRefused:
			res.outcome, res.reason = outcomeRefused, f.Reason
			res.retryAfter = time.Duration(f.RetryAfter) * time.Millisecond
			res.err = &EndpointError{reason: f.Reason, message: f.Message}
		case peer.FrameFailed:
			res.outcome, res.reason, res.err = outcomeUnknown, f.Reason, &EndpointError{reason: f.Reason, message: f.Message}
		}
		return nil
	})
	switch {
	case !sent:
		// Never reached the sidecar: not run. Route around it for a while.
		e.avoid.add(ep.Name, avoidUnreachable, false)
		res = dispatchResult{outcome: outcomeRefused, endpoint: ep.Name, reason: "unreachable", retryAfter: defaultRetryAfter, err: err}
	case err != nil:
		res = dispatchResult{outcome: outcomeUnknown, endpoint: ep.Name, reason: "cut", err: err}
	case res.outcome == outcomeRefused:
		e.refused(ep.Name, &res)
	}
	e.router.Done(choice, routing.Outcome{Ran: res.outcome == outcomeDone, Cached: into.cached(), Report: report})
	return res
}

// refused keeps an endpoint that refused out of routing for as long as its
// reason is likely to last.
func (e *Entry) refused(name string, res *dispatchResult) {
	e.metrics.refused.Inc(1)
	switch res.reason {
	case "draining":
		e.avoid.add(name, avoidFor, false)
	case "overloaded":
		e.avoid.add(name, min(max(res.retryAfter, time.Millisecond), avoidOverloaded), true)
	}
}

func reportOf(r *peer.Report) *routing.Report {
	return &routing.Report{Running: r.Running, Waiting: r.Waiting, Limit: r.Limit, Sequence: r.Sequence, Removed: r.Removed, Reset: r.Reset}
}

// EndpointError is what a sidecar said when it refused or failed a call.
type EndpointError struct {
	reason  string
	message string
}

// Error returns "REASON: MESSAGE".
func (e *EndpointError) Error() string { return e.reason + ": " + e.message }

// refusalError is the caller's answer to a call refused everywhere: it was
// not run, and says when to come back, a little later for some than for
// others so that they do not all come back together.
func refusalError(res dispatchResult) *caller.Error {
	after := max(res.retryAfter, 100*time.Millisecond)
	after += retry.Jitter(after / 2)
	if res.reason == "stale_fence" {
		return caller.NewError(http.StatusConflict, caller.TypeUnavailable, "this instance no longer owns the program: %v", res.err).RetryAfter(after)
	}
	return caller.NewError(http.StatusServiceUnavailable, caller.TypeOverloaded, "not run: %s", res.reason).RetryAfter(after)
}
