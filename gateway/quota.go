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

// maxQuotaWaitShare is the share of its remaining time that a request of a
// started program may wait for quota. A refused request uses up one of its
// caller's two attempts, and programs run for seconds, so a short wait is
// better.
const maxQuotaWaitShare = 0.25

// chargeQuota charges the request to its organisation's quota, and waits for
// credit that is due soon. It returns a *refusal if there is none in time, or
// if the remaining quota cannot be determined.
func (e *exchange) chargeQuota(ctx context.Context) error {
	if e.organisation == nil || e.organisation.Quota == nil {
		return nil
	}
	began := e.Clock.Now()
	limit := quota.Limit{Rate: e.organisation.Quota.Rate, Burst: e.organisation.Quota.Burst, Version: e.table.Version()}
	maxWait := min(quota.MaxCreditWait, time.Duration(maxQuotaWaitShare*float64(e.deadline.Sub(began))))
	request := quota.Request{New: e.beginsProgram(), MaxWait: maxWait}
	if e.program != "" {
		request.Program = xxhash.Sum64String(e.program)
	}
	wait, err := e.Quotas.Take(ctx, e.organisation.Name, limit, request)
	for errors.Is(err, quota.ErrUnlisted) && e.Clock.Now().Sub(e.arrived) < startupWait && clock.Sleep(ctx, startupPollInterval) {
		wait, err = e.Quotas.Take(ctx, e.organisation.Name, limit, request)
	}
	defer func() { e.metrics.quota.RecordDuration(e.Clock.Now().Sub(began)) }()
	var exhausted *quota.ExhaustedError
	switch {
	case errors.As(err, &exhausted):
		return refuse(ReasonQuota, http.StatusTooManyRequests, max(exhausted.RetryAfter(), time.Millisecond), err)
	case err != nil:
		return e.orEnded(ctx, refuse(ReasonQuotaUnknown, http.StatusServiceUnavailable, otherInstanceRetryAfter, err))
	}
	e.quotaCharged = true
	if wait > 0 && !clock.Sleep(ctx, wait) {
		return e.orEnded(ctx, refuse(ReasonTimeout, http.StatusServiceUnavailable, busyRetryAfter, ctx.Err()))
	}
	return nil
}

// beginsProgram reports whether the request is the first of its program, as far
// as this instance has recorded: other instances may have served earlier turns.
func (e *exchange) beginsProgram() bool {
	return e.spendsBudget() && e.call.Previous == "" && !e.serviceQueues.hasStarted(e.program)
}
