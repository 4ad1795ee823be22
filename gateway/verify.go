package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

const (
	// healthTimeout bounds a health check, and healthAttempts the checks of one
	// endpoint in a row: one that fails some of its requests fails some checks, too.
	healthTimeout  = 250 * time.Millisecond
	healthAttempts = 4
	// maxHealthBody bounds what is read of the body of a response to a health check, in
	// bytes.
	maxHealthBody = 4 << 10
	// maxBackground bounds the endpoints that are watched or checked at a time.
	maxBackground = 256
	// defaultHealthPath is that of services without one in the configuration.
	defaultHealthPath = "/health"
)

// health is the result of a health check.
type health int

//go:generate stringer -type=health -trimprefix=health

// Results of a health check.
const (
	// healthUnknown means that there was no response.
	healthUnknown health = iota
	// healthAlive means that the endpoint has responded.
	healthAlive
	// healthEnded means that nobody listens at the endpoint's address, or another
	// endpoint does.
	healthEnded
)

// inBackground calls f unless too many such calls are in progress. It returns false if there
// are.
func (gateway *Gateway) inBackground(f func()) bool {
	select {
	case gateway.background <- struct{}{}:
	default:
		gateway.metrics.watchesSkipped.Inc(1)
		return false
	}
	go func() {
		defer func() { <-gateway.background }()
		f()
	}()
	return true
}

// watchEnd records whether the endpoint crashes within quarantine.SettleTime after an
// exchange that ended at endedAt.
func (gateway *Gateway) watchEnd(ctx context.Context, endpoint *membership.Endpoint, send *quarantine.Send, endedAt time.Time) {
	if gateway.Upstream.Watch(ctx, endpoint.Address, quarantine.SettleTime) == upstream.LivenessConnected {
		return
	}
	verdict := gateway.judge(ctx, endpoint, endedAt)
	if wait := endedAt.Add(quarantine.SettleTime).Sub(gateway.Clock.Now()); verdict.health == healthUnknown && wait > 0 && clock.Sleep(ctx, wait) {
		verdict = gateway.judge(ctx, endpoint, endedAt)
	}
	gateway.record(ctx, send, endedAt, verdict)
}

// settleAbandoned records whether the endpoint of an exchange that its caller gave up at
// endedAt lives. The other instances learn of it before that if the endpoint has been silent
// and does not respond to a health check either. The endpoint may work on the request until
// the deadline that it was told, and is watched until then.
func (gateway *Gateway) settleAbandoned(ctx context.Context, endpoint *membership.Endpoint, send *quarantine.Send, endedAt, deadline time.Time, isSilent bool) {
	if isSilent {
		if health, _ := gateway.checkHealth(ctx, endpoint); health != healthAlive {
			gateway.record(ctx, send, endedAt, verdict{health: health})
			return
		}
	}
	gateway.watchEnd(ctx, endpoint, send, endedAt)
	// Responses to other requests make most checks needless.
	wait := endedAt.Add(2 * quarantine.SettleTime).Sub(gateway.Clock.Now())
	if gateway.Crashes.IsUnresolved(send) && clock.Sleep(ctx, wait) && gateway.Crashes.IsUnresolved(send) {
		gateway.verify(ctx, endpoint, send, endedAt)
	}
	for pause := quarantine.SettleTime; gateway.Clock.Now().Before(deadline); pause *= 2 {
		if gateway.Upstream.Watch(ctx, endpoint.Address, deadline.Sub(gateway.Clock.Now())) == upstream.LivenessConnected {
			return
		}
		if gateway.verify(ctx, endpoint, send, endedAt) != healthAlive || !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// verdict is what a health check tells of an exchange, and when the check began.
type verdict struct {
	health  health
	begunAt time.Time
}

// verify records whether the endpoint of an exchange that ended at endedAt lives, and returns
// that.
func (gateway *Gateway) verify(ctx context.Context, endpoint *membership.Endpoint, send *quarantine.Send, endedAt time.Time) health {
	verdict := gateway.judge(ctx, endpoint, endedAt)
	gateway.record(ctx, send, endedAt, verdict)
	return verdict.health
}

// judge returns whether the endpoint lives. A response to a check that began within
// quarantine.SettleTime after endedAt does not tell that.
func (gateway *Gateway) judge(ctx context.Context, endpoint *membership.Endpoint, endedAt time.Time) verdict {
	health, begunAt := gateway.checkHealth(ctx, endpoint)
	if health == healthAlive && begunAt.Sub(endedAt) < quarantine.SettleTime {
		health = healthUnknown
	}
	return verdict{health: health, begunAt: begunAt}
}

// record records whether the endpoint crashed under the request. A response to a health check
// bears an endpoint's ID, which the next incarnation may share: it clears the one that is listed.
func (gateway *Gateway) record(ctx context.Context, send *quarantine.Send, endedAt time.Time, verdict verdict) {
	presence := gateway.Endpoints.Presence(send.Incarnation, verdict.begunAt)
	isListed := presence == membership.PresenceListed || presence == membership.PresenceLeaving
	switch {
	case verdict.health == healthAlive && isListed:
		gateway.Crashes.Survived(ctx, send, quarantine.EvidenceHealthCheck, verdict.begunAt)
	case verdict.health == healthEnded:
		gateway.Crashes.Crashed(ctx, send, verdict.health.String())
	case presence == membership.PresenceGone:
		gateway.Crashes.Crashed(ctx, send, presence.String())
	default:
		gateway.Crashes.Unresolved(ctx, send, endedAt, true)
	}
}

// verifySuspects waits until a sign of life of the endpoints that may have ended under the
// request is evidence, and checks them. It returns false at once if there are none, or if the
// request's deadline passes before.
func (e *exchange) verifySuspects(ctx context.Context) bool {
	suspects := e.Crashes.Suspects(e.key(), e.isShared())
	began := e.Clock.Now()
	for _, suspect := range suspects {
		if !suspect.FailedAt.Add(quarantine.SettleTime).Before(e.deadline) {
			return false
		}
	}
	results := make([]string, len(suspects))
	var checks sync.WaitGroup
	for i, suspect := range suspects {
		results[i] = suspect.Incarnation + " Unlisted"
		endpoint := e.Endpoints.Incarnation(suspect.Incarnation)
		if endpoint == nil {
			continue
		}
		checks.Go(func() {
			if wait := suspect.FailedAt.Add(quarantine.SettleTime).Sub(began); wait <= 0 || clock.Sleep(ctx, wait) {
				results[i] = suspect.Incarnation + " " + e.verify(ctx, endpoint, suspect.Send, suspect.FailedAt).String()
			}
		})
	}
	checks.Wait()
	if len(suspects) > 0 {
		e.Log.LogAttrs(ctx, slog.LevelInfo, "endpoints of failed exchanges checked", slog.String("request", e.call.ID), slog.String("identity", e.key().String()), slog.Any("results", results), slog.Duration("took", e.Clock.Now().Sub(began)))
	}
	return len(suspects) > 0
}

// checkHealth returns whether the endpoint responds itself at its address, and when the check
// that tells so began. It checks again if there is no response, since an endpoint may live and
// fail some requests.
func (gateway *Gateway) checkHealth(ctx context.Context, endpoint *membership.Endpoint) (result health, begunAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	for range healthAttempts {
		gateway.metrics.healthChecks.Inc(1)
		begunAt = gateway.Clock.Now()
		response, err := gateway.Upstream.Do(ctx, gateway.healthRequest(endpoint))
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return healthEnded, begunAt
		case err != nil:
			continue
		}
		isOwn := gateway.Dialect.IsFrom(endpoint.ID, response.Status, response.Header)
		_, _ = io.CopyN(io.Discard, response.Body, maxHealthBody) // so that the connection can be reused
		response.Close()
		if isOwn {
			return healthAlive, begunAt
		}
		return healthEnded, begunAt
	}
	return healthUnknown, begunAt
}

// healthRequest returns a health check of the endpoint.
func (gateway *Gateway) healthRequest(endpoint *membership.Endpoint) *upstream.Request {
	path := defaultHealthPath
	if table := gateway.Routes.Load(); table != nil {
		if service := table.Service(endpoint.Service); service != nil && service.HealthPath != "" {
			path = service.HealthPath
		}
	}
	return &upstream.Request{Address: endpoint.Address, Method: http.MethodGet, Target: path, Host: endpoint.Address, Header: gateway.Dialect.HealthHeader(endpoint.ID), IDHeader: gateway.Dialect.IDHeader()}
}
