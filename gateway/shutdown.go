package gateway

import (
	"context"
	"errors"
	"net/http"
)

// errShuttingDown is the cause if a request cannot end before the process does.
var errShuttingDown = errors.New("the instance is shutting down")

// checkShutdown returns a *refusal if the shutdown may abort the request, so that the
// caller retries at another instance. A response of which the caller has a part goes
// on: it may end in time, and refusing it would break it off for certain.
func (e *exchange) checkShutdown() error {
	if e.headWritten || e.Shutdown.Admits(e.deadline) {
		return nil
	}
	return e.refuseForShutdown()
}

// refuseForShutdown returns the refusal of a request that the shutdown may abort.
func (e *exchange) refuseForShutdown() *refusal {
	if e.runs > 0 {
		return refuse(ReasonShuttingDown, http.StatusBadGateway, 0, errShuttingDown)
	}
	retryAfter := otherInstanceRetryAfter
	if e.Clock.Now().After(e.Shutdown.AcceptUntil()) {
		retryAfter = notRedirectedRetryAfter
	}
	return refuse(ReasonShuttingDown, http.StatusServiceUnavailable, retryAfter, errShuttingDown)
}

// untilShutdown returns a context that ends when a shutdown begins that may abort the
// request. The returned function releases its resources.
func (e *exchange) untilShutdown(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.Shutdown.Begun(), func() {
		if !e.Shutdown.Admits(e.deadline) {
			cancel(errShuttingDown)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// limitBodyTime makes reading the body fail at the request's deadline, and when a
// shutdown aborts requests, until the returned function is called.
func (e *exchange) limitBodyTime() (stop func()) {
	controller := http.NewResponseController(e.w)
	_ = controller.SetReadDeadline(e.deadline) // not supported by test recorders
	done := make(chan struct{})
	cancel := context.AfterFunc(e.Shutdown.Begun(), func() {
		defer close(done)
		if until := e.Shutdown.RespondUntil(); until.Before(e.deadline) {
			_ = controller.SetReadDeadline(until)
		}
	})
	return func() {
		if !cancel() {
			<-done
		}
	}
}
