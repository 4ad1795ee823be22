package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/eventstream"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

const (
	// minSilence is the time without a byte from an endpoint from which on it is checked at
	// once when the caller leaves or the deadline passes.
	minSilence = 250 * time.Millisecond
	// failureSettleTime is the time for which a response that reports a failure is held
	// back while its endpoint is watched.
	failureSettleTime = 25 * time.Millisecond
	// verifyRounds bounds the checks of the endpoints of a request before it is sent. What was
	// known of some may be outdated once others have settled.
	verifyRounds = 2
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
	for range verifyRounds {
		if !errors.As(err, &unresolvedErr) || !e.verifySuspects(ctx) {
			break
		}
		err = e.Crashes.Check(ctx, e.key(), e.isShared())
	}
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
	e.sentAt, e.isSettled, e.failed = e.Clock.Now(), false, false
	e.heardAt = e.sentAt
	if !e.Crashes.Any() {
		e.send = nil
		return
	}
	e.send = e.Crashes.Begin(ctx, e.key(), e.isShared(), endpoint.Incarnation())
}

// endSend records whether the endpoint may have crashed under the request, before the
// request is sent to another one and before the caller learns that it failed. How the
// exchange failed does not tell whether the endpoint lives.
func (e *exchange) endSend(ctx context.Context, endpoint *membership.Endpoint, outcome balance.Outcome, err error) {
	ctx = context.WithoutCancel(ctx) // the caller may leave because the endpoint crashed
	endedAt := e.Clock.Now()
	switch {
	case outcome == balance.OutcomeServed && !e.failed:
		e.Crashes.Responded(endpoint.Incarnation(), e.sentAt)
		if e.Crashes.Any() {
			e.Crashes.Served(ctx, e.sendTo(endpoint))
		}
	case outcome == balance.OutcomeBroken:
		e.suspect(ctx, endpoint, endedAt, err)
	case outcome == balance.OutcomeUnreachable && (e.send == nil || !e.send.IsRepeated()):
		if e.send != nil {
			e.Crashes.Survived(ctx, e.send, quarantine.EvidenceNotDelivered, endedAt)
		}
	case outcome == balance.OutcomeUnreachable:
		// Nothing was sent, so the exposure ended before this exchange began.
		e.verify(ctx, endpoint, e.send, e.sentAt)
	case outcome == balance.OutcomeAbandoned:
		e.abandon(ctx, endpoint, endedAt)
	case !e.isSettled:
		send := e.sendTo(endpoint)
		if send.IsAnnounced() {
			// Endpoints failed under the request before, so this one counts, too.
			e.Crashes.Unresolved(ctx, send, endedAt, true)
			e.logOutcome(endpoint, outcome, quarantine.StateUnresolved)
		}
		isWatched := e.inBackground(func() { e.watchEnd(ctx, endpoint, send, endedAt) })
		if !isWatched && outcome != balance.OutcomeRefused {
			e.Crashes.Unresolved(ctx, send, endedAt, false)
		}
	}
}

// abandon records that the caller left, or the deadline passed, while the endpoint worked on
// the request. It may do so for a moment more.
func (e *exchange) abandon(ctx context.Context, endpoint *membership.Endpoint, endedAt time.Time) {
	send := e.sendTo(endpoint)
	e.Crashes.Unresolved(ctx, send, endedAt, false)
	if send.IsAnnounced() {
		e.logOutcome(endpoint, balance.OutcomeAbandoned, quarantine.StateUnresolved)
	}
	isSilent, deadline := endedAt.Sub(e.heardAt) >= minSilence, e.deadline
	e.inBackground(func() { e.settleAbandoned(ctx, endpoint, send, endedAt, deadline, isSilent) })
}

// awaitFailureSettled waits for a moment before the caller receives a response that reports a
// failure, and records whether the endpoint crashes in it: the caller may send the request
// again at once.
func (e *exchange) awaitFailureSettled(ctx context.Context, endpoint *membership.Endpoint) {
	ctx, endedAt := context.WithoutCancel(ctx), e.Clock.Now()
	if e.Upstream.Watch(ctx, endpoint.Address, failureSettleTime) == upstream.LivenessConnected {
		return
	}
	e.isSettled = e.verify(ctx, endpoint, e.sendTo(endpoint), endedAt) != healthUnknown
}

// isConnectionLost reports whether err tells that the connection ended before the
// response did, and not that something else than the response arrived.
func isConnectionLost(err error) bool {
	var failure *upstream.Error
	return errors.As(err, &failure) && (failure.Stage() == upstream.StageSend || failure.Stage() == upstream.StageBody) || errors.Is(err, eventstream.ErrTruncated)
}

// sendTo returns the sending of the request to the endpoint, which is recorded only if
// requests are in quarantine when it begins.
func (e *exchange) sendTo(endpoint *membership.Endpoint) *quarantine.Send {
	if e.send == nil {
		e.send = quarantine.NewSend(e.key(), endpoint.Incarnation(), e.sentAt)
	}
	return e.send
}

// heard records that the endpoint has sent a response.
func (e *exchange) heard(endpoint *membership.Endpoint, verdict ResponseInfo) {
	e.heardAt = e.Clock.Now()
	if verdict.Stamped {
		e.Crashes.Responded(endpoint.Incarnation(), e.sentAt)
	}
}

// suspect records that an exchange failed at endedAt without a whole response. The endpoint counts as
// one that may have crashed, unless it is known already whether it has.
func (e *exchange) suspect(ctx context.Context, endpoint *membership.Endpoint, endedAt time.Time, err error) {
	send := e.sendTo(endpoint)
	settle := upstream.ShortSettleTime
	if e.Crashes.Assess(e.key(), false).Crashed > 0 {
		settle = upstream.LongSettleTime // few requests, and each mistake counts
	}
	liveness := e.Upstream.Probe(ctx, endpoint.Address, settle)
	state := quarantine.StateUnresolved
	if liveness == upstream.LivenessRefused {
		state = quarantine.StateCrashed
		e.Crashes.Crashed(ctx, send, liveness.String())
	} else {
		e.Crashes.Unresolved(ctx, send, endedAt, true)
		e.inBackground(func() { e.watchEnd(ctx, endpoint, send, endedAt) })
	}
	if isConnectionLost(err) {
		e.logFailure(endpoint, liveness)
	} else {
		e.logOutcome(endpoint, balance.OutcomeBroken, state)
	}
}

// isolated returns the IDs of the endpoints that the request avoids: those that it may have
// crashed, and those that process requests under which endpoints crashed. A request that
// may be at fault itself avoids all of the latter, so that each of them crashes alone, and
// others avoid those under which several crashed.
func (e *exchange) isolated(endpoints []*membership.Endpoint) map[string]bool {
	if !e.Crashes.Any() {
		return nil
	}
	avoided := map[string]bool{}
	failed := e.Crashes.Failed(e.key())
	for _, endpoint := range endpoints {
		if slices.Contains(failed, endpoint.Incarnation()) {
			avoided[endpoint.ID] = true
		}
	}
	crashes := isolationCrashes
	if e.Crashes.Assess(e.key(), false).Crashed > 0 {
		crashes = 1
	}
	trying := e.Crashes.Trying(e.key(), crashes)
	var others []string
	for _, endpoint := range endpoints {
		if trying[endpoint.Incarnation()] {
			others = append(others, endpoint.ID)
		}
	}
	if float64(len(others)) > maxIsolatedShare*float64(len(endpoints)) {
		return avoided
	}
	for _, id := range others {
		avoided[id] = true
	}
	return avoided
}
