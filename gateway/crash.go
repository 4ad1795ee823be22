package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/eventstream"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

const (
	// minSilence is the time without a byte from an endpoint from which on it may have
	// crashed when the caller leaves or the deadline passes.
	minSilence = 250 * time.Millisecond
	// isolationCrashes is the number of endpoints that crashed under a request from
	// which on other requests avoid the endpoint that processes it.
	isolationCrashes = 2
	// maxIsolatedShare bounds the share of a service's endpoints that are avoided for
	// requests under which endpoints crashed.
	maxIsolatedShare = 0.25
)

// checkCrashes returns a *refusal if too many endpoints crashed under the request, or
// may have. An attempt that an endpoint has run is not told that it has not.
func (e *exchange) checkCrashes(ctx context.Context) error {
	if !e.Crashes.Any() && !e.Crashes.IsBehind() {
		return nil
	}
	err := e.Crashes.Check(ctx, e.key(), e.isShared())
	var crashedErr *quarantine.CrashedError
	var unresolvedErr *quarantine.UnresolvedError
	var reason Reason
	var retryAfter time.Duration
	switch {
	case errors.As(err, &crashedErr):
		reason, retryAfter = ReasonQuarantined, crashedErr.RetryAfter()
	case errors.As(err, &unresolvedErr):
		reason, retryAfter = ReasonCrashUnresolved, unresolvedErr.RetryAfter()
	default:
		return nil
	}
	if e.runs > 0 {
		return refuse(reason, http.StatusBadGateway, 0, err)
	}
	return refuse(reason, http.StatusServiceUnavailable, retryAfter, err)
}

// beginSend records that the request is about to be sent to the chosen endpoint.
func (e *exchange) beginSend(ctx context.Context, endpoint *membership.Endpoint) {
	e.heardAt = e.Clock.Now()
	if !e.Crashes.Any() {
		e.send = nil
		return
	}
	e.send = e.Crashes.Begin(ctx, e.key(), e.isShared(), endpoint.Incarnation())
}

// endSend records whether the endpoint crashed under the request, before the request is
// sent to another one and before the caller learns that it failed.
func (e *exchange) endSend(ctx context.Context, endpoint *membership.Endpoint, sentAt time.Time, outcome balance.Outcome, err error) {
	switch {
	case outcome == balance.OutcomeServed:
		e.Crashes.Responded(endpoint.Incarnation())
		if e.Crashes.Any() {
			e.Crashes.Served(ctx, e.sendTo(endpoint, sentAt))
		}
	case outcome == balance.OutcomeBroken && isConnectionLost(err):
		e.judgeLostConnection(ctx, endpoint, sentAt)
	case outcome == balance.OutcomeAbandoned && e.Clock.Now().Sub(e.heardAt) >= minSilence:
		e.Crashes.Unresolved(ctx, e.sendTo(endpoint, sentAt), false)
	default:
		if outcome == balance.OutcomeBroken {
			e.logOutcome(endpoint, outcome, quarantine.StateSurvived)
		}
		if e.send != nil {
			e.Crashes.Survived(ctx, e.send)
		}
	}
}

// isConnectionLost reports whether err tells that the connection ended before the
// response did, and not that something else than the response arrived.
func isConnectionLost(err error) bool {
	var failure *upstream.Error
	return errors.As(err, &failure) && (failure.Stage() == upstream.StageSend || failure.Stage() == upstream.StageBody) || errors.Is(err, eventstream.ErrTruncated)
}

// sendTo returns the sending of the request to the endpoint, which is recorded only if
// requests are in quarantine when it begins.
func (e *exchange) sendTo(endpoint *membership.Endpoint, sentAt time.Time) *quarantine.Send {
	if e.send == nil {
		e.send = quarantine.NewSend(e.key(), endpoint.Incarnation(), sentAt)
	}
	return e.send
}

// heard records that the endpoint has sent something.
func (e *exchange) heard(endpoint *membership.Endpoint) {
	e.heardAt = e.Clock.Now()
	e.Crashes.Responded(endpoint.Incarnation())
}

// judgeLostConnection finds out whether the endpoint of a lost connection crashed. One
// that was about to stop has not.
func (e *exchange) judgeLostConnection(ctx context.Context, endpoint *membership.Endpoint, sentAt time.Time) {
	ctx = context.WithoutCancel(ctx)
	send := e.sendTo(endpoint, sentAt)
	settle := upstream.ShortSettleTime
	if e.Crashes.Assess(e.key(), false).Crashed > 0 {
		settle = upstream.LongSettleTime // few requests, and each mistake counts
	}
	liveness := e.Upstream.Probe(ctx, endpoint.Address, settle)
	isListed := e.Endpoints.Presence(endpoint.Incarnation(), e.heardAt) == membership.PresenceListed
	switch {
	case !isListed && liveness == upstream.LivenessRefused:
		e.Crashes.Survived(ctx, send)
	case liveness == upstream.LivenessConnected:
		e.Crashes.Connected(ctx, send)
	case liveness == upstream.LivenessRefused:
		e.Crashes.Crashed(ctx, send, liveness.String())
	default:
		e.Crashes.Unresolved(ctx, send, true)
	}
	e.logFailure(endpoint, liveness)
}

// isolated returns the IDs of the endpoints that the request avoids because they process
// requests under which endpoints crashed: a request that may be at fault itself avoids
// all of these, so that each of them crashes alone, and others avoid those under which
// several crashed.
func (e *exchange) isolated(endpoints []*membership.Endpoint) map[string]bool {
	if !e.Crashes.Any() {
		return nil
	}
	crashes := isolationCrashes
	if e.Crashes.Assess(e.key(), false).Crashed > 0 {
		crashes = 1
	}
	trying := e.Crashes.Trying(e.key(), crashes)
	if len(trying) == 0 {
		return nil
	}
	avoided := map[string]bool{}
	for _, endpoint := range endpoints {
		if trying[endpoint.Incarnation()] {
			avoided[endpoint.ID] = true
		}
	}
	if float64(len(avoided)) > maxIsolatedShare*float64(len(endpoints)) {
		return nil
	}
	return avoided
}
