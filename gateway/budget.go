package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/route"
)

// heldBudgetRetryAfter is the retry delay while another instance holds the
// budget; it releases the budget within half a second.
const heldBudgetRetryAfter = 300 * time.Millisecond

// spendsBudget reports whether the request is a turn that spends a program's
// budget.
func (e *exchange) spendsBudget() bool {
	return e.route != nil && e.route.Kind == route.KindStream && e.call.Program != "" && e.call.Budget > 0
}

// reserve durably reserves budget for a turn, which may be a partial grant, and
// passes the cache locations of the program's earlier turns to the picker. It
// does nothing for a request that spends no budget.
func (e *exchange) reserve(ctx context.Context) error {
	if !e.spendsBudget() {
		return nil
	}
	began := e.Clock.Now()
	var reservation *account.Reservation
	err := e.retryStore(ctx, func(ctx context.Context) (err error) {
		reservation, err = e.Accounts.Reserve(ctx, e.program, e.call.MaxTokens, e.call.Budget, e.ownSegments()...)
		return err
	})
	e.metrics.reserve.RecordDuration(e.Clock.Now().Sub(began))
	var spentErr *account.SpentError
	var heldErr *account.HeldError
	var tooManyErr *account.TooManyProgramsError
	switch {
	case errors.As(err, &tooManyErr):
		return refuse(ReasonNoMemory, http.StatusServiceUnavailable, busyRetryAfter, err)
	case errors.As(err, &spentErr):
		return refuse(ReasonSpent, http.StatusPaymentRequired, 0, err)
	case errors.As(err, &heldErr):
		return refuse(ReasonBudgetHeld, http.StatusServiceUnavailable, heldBudgetRetryAfter, err)
	case err != nil:
		return e.orEnded(ctx, e.storeUnavailable(err))
	}
	e.reservation = reservation
	for _, place := range reservation.CacheLocations() {
		e.Picker.RecordCached(place.Endpoint, balance.Part{ID: place.Part, Tokens: place.Tokens})
	}
	return nil
}

// ownSegments returns the IDs of the prompt segments that belong to the
// program. The first segment is shared with other programs.
func (e *exchange) ownSegments() []string {
	var ids []string
	for i, segment := range e.call.Segments {
		if i > 0 {
			ids = append(ids, segment.ID)
		}
	}
	return ids
}

// recordServed records that an endpoint served the turn and where the turn's
// prompt is cached.
func (e *exchange) recordServed() {
	e.serviceQueues.started(e.program, e.priority, e.route.Name)
	if segments := e.call.Segments; len(segments) > 1 {
		last := segments[len(segments)-1]
		e.reservation.SetCacheLocation(account.Place{Part: last.ID, Endpoint: e.incarnation, Tokens: last.Tokens + e.received*e.eventTokens(), Instance: e.Instance})
	}
}

// spentTokens returns the number of tokens sent to the caller.
func (e *exchange) spentTokens() int64 { return e.eventsSent * e.eventTokens() }

// eventTokens returns the number of tokens that each event of the service's
// streams stands for; 0 if the service has no model.
func (e *exchange) eventTokens() int64 {
	if service := e.table.Service(e.service); service != nil && service.Model != nil {
		return service.Model.EventTokens
	}
	return 0
}
