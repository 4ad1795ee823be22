package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/quota"
)

// creditShare of its time is the most that a request of a program that has begun
// waits for its organisation's credit. One that is refused uses up a try of its
// caller, which has two; programs take seconds.
const creditShare = 0.25

// credit counts the request into its organisation's quota, and waits until
// there is credit for it if that is soon.
func (e *exchange) credit(ctx context.Context) error {
	if e.organisation == nil || e.organisation.Quota == nil {
		return nil
	}
	began := e.Clock.Now()
	limit := quota.Limit{Rate: e.organisation.Quota.Rate, Burst: e.organisation.Quota.Burst, Version: e.table.Version()}
	patience := min(quota.MostPatience, time.Duration(creditShare*float64(e.until.Sub(began))))
	request := quota.Request{New: e.beginsProgram(), Patience: patience}
	if e.program != "" {
		request.Program = xxhash.Sum64String(e.program)
	}
	wait, err := e.Quotas.Take(ctx, e.organisation.Name, limit, request)
	defer func() { e.metrics.quota.RecordDuration(e.Clock.Now().Sub(began)) }()
	var exhausted *quota.ExhaustedError
	switch {
	case errors.As(err, &exhausted):
		return refuse(ReasonQuota, http.StatusTooManyRequests, max(exhausted.RetryAfter(), time.Millisecond), err)
	case err != nil:
		return e.orGone(ctx, refuse(ReasonQuotaUnknown, http.StatusServiceUnavailable, elsewherePause, err))
	}
	e.credited = true
	if wait > 0 && !clock.Sleep(ctx, wait) {
		return e.orGone(ctx, refuse(ReasonTimeout, http.StatusServiceUnavailable, busyPause, ctx.Err()))
	}
	return nil
}

// beginsProgram reports whether the request is the first of its program, as
// far as is known here: others may have come through other instances.
func (e *exchange) beginsProgram() bool {
	return e.spends() && e.call.Previous == "" && !e.entrances.hasStarted(e.program)
}
