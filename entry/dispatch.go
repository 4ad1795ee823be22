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

// maxAttempts bounds the endpoints that one call is sent to. A refused call
// was not run and is sent to another endpoint; an interrupted model call is
// resumed at another one; a tool call that was sent and then failed is never
// sent again.
const (
	maxAttempts = 3
	// avoidOverloaded is the longest time for which an overloaded endpoint is
	// left out of routing, whatever delay it requests.
	avoidOverloaded = 500 * time.Millisecond
	// avoidUnreachable is how long an endpoint, or the owner of a program, is
	// left out after a connection to it could not be established.
	avoidUnreachable = 2 * time.Second
	// defaultRetryAfter is the retry delay for a refused call if the endpoint
	// was unreachable or none was available, so that no sidecar has given a
	// delay.
	defaultRetryAfter = time.Second
)

// Retries, that is attempts after a call's first, are limited to retryShare
// of all calls, so that they add little load to an overloaded system.
// retryReserve is the initial and the largest number of saved retries, which
// lets a system with few calls retry at all.
const (
	retryShare   = 0.2
	retryReserve = 20
)

// outcome is the result of a dispatch.
type outcome int

const (
	outcomeDone    outcome = iota // a complete answer was received
	outcomeRefused                // not run at any endpoint: safe to send again
	outcomeUnknown                // sent, then failed or interrupted: may have run
)

// dispatchResult holds the result of a dispatch: the endpoint last tried, and
// for a refusal or failure its reason, the error and the delay before a
// retry.
type dispatchResult struct {
	outcome    outcome
	endpoint   string
	retryAfter time.Duration
	reason     string
	err        error
}

// responseSink receives the response of a call in pieces. cachedTokens
// returns the number of prompt tokens that the engine reported as cached, or
// 0 before it did.
type responseSink interface {
	write(piece []byte) error
	cachedTokens() int
}

// dispatch sends call to up to maxAttempts endpoints, in the order in which
// the router selects them, until one of them does not refuse it, and passes
// each piece of the response to into. Attempts after the first count against
// the retry budget, except for urgent calls. An endpoint that refuses is left
// out of routing for a while. Endpoints in tried are skipped, and those that
// were sent the call are added to it. A refusal for a stale fencing token is
// final, since it means that the program has a new owner.
func (e *Entry) dispatch(ctx context.Context, req *routing.Request, call *peer.Call, into responseSink, tried map[string]bool) dispatchResult {
	e.retries.Call()
	urgent := call.Urgency >= int(program.UrgencyUrgent)
	res := dispatchResult{outcome: outcomeRefused, reason: "no_endpoint", retryAfter: defaultRetryAfter}
	for attempt := range maxAttempts {
		if attempt > 0 && !urgent && !e.retries.Retry() {
			break
		}
		choice, ok := e.router.Pick(req, func(name string) bool { return tried[name] || e.avoid.avoids(name, urgent) })
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

// offer sends call to the chosen endpoint, waits for its end, and reports the
// outcome to the router.
func (e *Entry) offer(ctx context.Context, choice *routing.Choice, req *routing.Request, call *peer.Call, into responseSink) dispatchResult {
	ep := choice.Endpoint()
	res := dispatchResult{endpoint: ep.Name}
	var report *routing.Report
	call.Anchors, call.LastReportSequence = req.AnchorHashes(), choice.LastReport()
	sent, err := e.peers.Do(ctx, ep.Sidecar, call, func(f peer.Frame) error {
		if f.Report != nil {
			report = reportOf(f.Report)
		}
		switch f.Type {
		case peer.FrameData:
			e.router.FirstToken(choice)
			return into.write(f.Data)
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
		// The call did not reach the sidecar, so it was not run. Leave the
		// endpoint out of routing for a while.
		e.avoid.add(ep.Name, avoidUnreachable, false)
		res = dispatchResult{outcome: outcomeRefused, endpoint: ep.Name, reason: "unreachable", retryAfter: defaultRetryAfter, err: err}
	case err != nil:
		res = dispatchResult{outcome: outcomeUnknown, endpoint: ep.Name, reason: "cut", err: err}
	case res.outcome == outcomeRefused:
		e.refused(ep.Name, &res)
	}
	e.router.Done(choice, routing.Outcome{Completed: res.outcome == outcomeDone, Cached: into.cachedTokens(), Report: report})
	return res
}

// refused leaves an endpoint that refused a call out of routing for as long
// as the reason is expected to last.
func (e *Entry) refused(name string, res *dispatchResult) {
	e.metrics.refused.Inc(1)
	switch res.reason {
	case "draining":
		e.avoid.add(name, avoidDraining, false)
	case "overloaded":
		e.avoid.add(name, min(max(res.retryAfter, time.Millisecond), avoidOverloaded), true)
	}
}

// reportOf converts a sidecar's report from the peer protocol to the router's
// form.
func reportOf(r *peer.Report) *routing.Report {
	return &routing.Report{Running: r.Running, Waiting: r.Waiting, Limit: r.Limit, Sequence: r.Sequence, Removed: r.Removed, Reset: r.Reset}
}

// EndpointError holds the reason and message with which a sidecar refused or
// failed a call.
type EndpointError struct {
	reason  string
	message string
}

// Error returns "REASON: MESSAGE".
func (e *EndpointError) Error() string { return e.reason + ": " + e.message }

// refusalError returns the caller's error for a call that every endpoint
// refused. The error states that the call was not run, and carries a
// Retry-After with random jitter, so that callers refused together do not
// retry together.
func refusalError(res dispatchResult) *caller.Error {
	after := max(res.retryAfter, 100*time.Millisecond)
	after += retry.Jitter(after / 2)
	if res.reason == "stale_fence" {
		return caller.NewError(http.StatusConflict, caller.TypeUnavailable, "this instance no longer owns the program: %v", res.err).WithRetryAfter(after)
	}
	return caller.NewError(http.StatusServiceUnavailable, caller.TypeOverloaded, "not run: %s", res.reason).WithRetryAfter(after)
}
