package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// maxLoggedValue bounds the bytes of a caller's value in a log line.
const maxLoggedValue = 64

// log writes one line about how the request ended.
func (e *exchange) log(reason Reason, took time.Duration, err error) {
	attrs := []slog.Attr{slog.Int("status", e.status), slog.String("reason", reason.String()), slog.Duration("took", took)}
	if e.call != nil {
		attrs = append(attrs, slog.String("request", e.call.ID), slog.String("program", e.call.Program))
	}
	if e.organisation != nil {
		attrs = append(attrs, slog.String("organisation", e.organisation.Name))
	}
	if e.route != nil {
		attrs = append(attrs, slog.String("route", e.route.Name), slog.Uint64("configuration", e.table.Version()), slog.Time("until", e.deadline))
	}
	if reason == ReasonNoRoute {
		attrs = append(attrs, slog.Uint64("configuration", e.table.Version()), slog.String("host", abbreviate(e.r.Host)), slog.String("path", abbreviate(e.path())))
	}
	if len(e.tried) > 0 {
		attrs = append(attrs, slog.Any("endpoints", e.tried), slog.Any("software", e.versions), slog.Int("runs", e.runs))
	}
	if e.resumes() {
		attrs = append(attrs, slog.String("resumes", abbreviate(e.call.Resumes)), slog.String("last_event", abbreviate(e.call.LastEvent)))
		if e.origin != nil {
			attrs = append(attrs, slog.String("origin", e.origin.Version), slog.String("origin_source", e.originSource.String()), slog.Duration("origin_age", e.originAge))
		}
	}
	attrs = append(attrs, e.admissionAttrs()...)
	if e.queueTime >= time.Millisecond {
		attrs = append(attrs, slog.Duration("queued", e.queueTime), slog.Int("priority", e.priority))
	}
	if e.memoryWait >= time.Millisecond || reason == ReasonNoMemory {
		attrs = append(attrs, slog.Duration("memory_wait", e.memoryWait), slog.Int64("memory", e.memoryUsed), slog.Int64("conversation", e.conversation.memory))
	}
	if e.spendsBudget() {
		attrs = append(attrs, slog.Int64("budget", e.call.Budget), slog.Int64("most", e.call.MaxTokens), slog.Int64("spent", e.spentTokens()), slog.Duration("first", e.timeToFirstEvent))
		if e.reservation != nil {
			attrs = append(attrs, slog.Int64("promised", e.reservation.GrantedTokens()), slog.Uint64("budget_version", e.reservation.Version), slog.String("budget_home", e.reservation.Home()))
		}
	}
	if e.heldBack {
		attrs = append(attrs, slog.Bool("held_back", true))
	}
	if e.call != nil && e.call.Previous != "" {
		attrs = append(attrs, slog.String("previous", e.call.Previous))
	}
	if lookup := archive.FailedLookup(err); lookup != nil {
		attrs = append(attrs, slog.Any("lookup", lookup))
	}
	if reason == ReasonNotKept {
		attrs = append(attrs, slog.Duration("store_time", e.storeTime))
	}
	attrs = append(attrs, e.identityAttrs()...)
	if e.lastError != nil {
		attrs = append(attrs, slog.Any("last_error", e.lastError))
	}
	if err != nil {
		attrs = append(attrs, slog.Any("err", err))
	}
	e.Log.LogAttrs(context.Background(), slog.LevelInfo, "request", attrs...)
}

// logFailure writes one line about an endpoint whose connection was lost under the
// request, and what a probe of its address found.
func (e *exchange) logFailure(endpoint *membership.Endpoint, liveness upstream.Liveness) {
	e.Log.LogAttrs(context.Background(), slog.LevelInfo, "connection lost under a request",
		slog.String("request", e.call.ID), slog.String("identity", e.key().String()), slog.String("endpoint", endpoint.ID), slog.String("incarnation", endpoint.Incarnation()),
		slog.String("presence", e.Endpoints.Presence(endpoint.Incarnation(), e.heardAt).String()), slog.String("probe", liveness.String()), slog.Int("runs", e.runs), slog.Int64("events", e.received), slog.Any("err", e.lastError))
}

// logOutcome writes one line about an exchange that failed in another way than by a lost
// connection, with the state that the endpoint is given.
func (e *exchange) logOutcome(endpoint *membership.Endpoint, outcome balance.Outcome, state quarantine.State) {
	e.Log.LogAttrs(context.Background(), slog.LevelInfo, "exchange with an endpoint failed",
		slog.String("request", e.call.ID), slog.String("identity", e.key().String()), slog.String("endpoint", endpoint.ID), slog.String("incarnation", endpoint.Incarnation()),
		slog.String("outcome", outcome.String()), slog.String("state", state.String()), slog.Int("runs", e.runs), slog.Int64("events", e.received), slog.Any("err", e.lastError))
}

// abbreviate returns the beginning of a caller's value for a log line.
func abbreviate(value string) string { return value[:min(len(value), maxLoggedValue)] }
