package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/routing"
)

// maxAttempts bounds how many endpoints one call is offered to. Only
// refusals (the call was not run) are retried elsewhere; a call that was
// sent and then failed is never sent again by the entry.
const (
	maxAttempts       = 3
	avoidOverloaded   = 500 * time.Millisecond
	avoidUnreachable  = 2 * time.Second
	defaultRetryAfter = time.Second
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

// dispatch offers call to up to maxAttempts endpoints that accept target,
// in rendezvous order for routeKey, and passes each data frame of the
// answer to onData. An endpoint that refuses as draining is avoided for a
// while: the sidecar's refusal is the first signal that it leaves, ahead
// of the configuration and the lagging instance list.
func (e *Entry) dispatch(ctx context.Context, target routing.Target, routeKey string, call *peer.Call, onData func([]byte) error) dispatchResult {
	cfg := e.config.Load()
	tried := map[string]bool{}
	res := dispatchResult{outcome: outcomeRefused, reason: "no_endpoint", retryAfter: defaultRetryAfter}
	for range maxAttempts {
		ep, ok := routing.Pick(cfg.Endpoints, target, routeKey, func(name string) bool { return tried[name] || e.avoid.has(name) })
		if !ok {
			break
		}
		tried[ep.Name] = true
		res = e.offer(ctx, ep, call, onData)
		if res.outcome != outcomeRefused || res.reason == "stale_fence" || ctx.Err() != nil {
			return res
		}
	}
	return res
}

func (e *Entry) offer(ctx context.Context, ep config.Endpoint, call *peer.Call, onData func([]byte) error) dispatchResult {
	res := dispatchResult{endpoint: ep.Name}
	sent, err := e.peers.Do(ctx, ep.Sidecar, call, func(f peer.Frame) error {
		switch f.Type {
		case peer.FrameData:
			return onData(f.Data)
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
		e.avoid.add(ep.Name, avoidUnreachable)
		return dispatchResult{outcome: outcomeRefused, endpoint: ep.Name, reason: "unreachable", retryAfter: defaultRetryAfter, err: err}
	case err != nil:
		return dispatchResult{outcome: outcomeUnknown, endpoint: ep.Name, reason: "cut", err: err}
	}
	if res.outcome == outcomeRefused {
		e.metrics.refused.Inc(1)
		switch res.reason {
		case "draining":
			e.avoid.add(ep.Name, avoidFor)
		case "overloaded":
			e.avoid.add(ep.Name, avoidOverloaded)
		}
	}
	return res
}

// EndpointError is what a sidecar said when it refused or failed a call.
type EndpointError struct {
	reason  string
	message string
}

// Error returns "REASON: MESSAGE".
func (e *EndpointError) Error() string { return e.reason + ": " + e.message }

// refusalError is the caller's answer to a call refused everywhere: it was
// not run, and says when to come back.
func refusalError(res dispatchResult) *caller.Error {
	after := max(res.retryAfter, 100*time.Millisecond)
	if res.reason == "stale_fence" {
		return caller.NewError(http.StatusConflict, caller.TypeUnavailable, "this instance no longer owns the program: %v", res.err).RetryAfter(after)
	}
	return caller.NewError(http.StatusServiceUnavailable, caller.TypeOverloaded, "not run: %s", res.reason).RetryAfter(after)
}
