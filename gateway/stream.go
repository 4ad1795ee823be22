package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/eventstream"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// heldRetry is the pause between looks for budget that other turns hold:
// a turn takes half a second, and each look some six reads of the store.
const heldRetry = 300 * time.Millisecond

// relayStream passes whole events on as they come, or holds them back while the
// answer may not be handed out whole. An event that an endpoint did not end is
// never given to the caller, so that another can go on after the one before.
func (e *exchange) relayStream(ctx context.Context, response *upstream.Response) (balance.Outcome, error) {
	reader := eventstream.NewReader(response.Body)
	for {
		event, err := e.next(ctx, reader)
		switch {
		case err == io.EOF:
			e.open(response)
			return balance.OutcomeServed, e.endStream()
		case err != nil && ctx.Err() != nil:
			return balance.OutcomeAbandoned, err
		case err != nil:
			return balance.OutcomeBroken, err
		}
		e.open(response)
		if err := e.afford(ctx, event); err != nil {
			return balance.OutcomeAbandoned, err
		}
		if err := e.pass(event); err != nil {
			return balance.OutcomeAbandoned, err
		}
	}
}

// next returns the stream's next event. Events that are held back keep the caller
// of an endpoint that pauses.
func (e *exchange) next(ctx context.Context, reader *eventstream.Reader) (event eventstream.Event, err error) {
	err = e.whileWaiting(ctx, func(context.Context) error {
		var err error
		event, err = reader.Next() // ends with the answer's connection, and that with ctx
		return err
	})
	return event, err
}

// open notes the answer that the caller's stream begins with.
func (e *exchange) open(response *upstream.Response) {
	if e.opening == nil {
		e.opening, e.status = response, response.Status
	}
}

// endStream gives the caller what is held back of an answer that is whole, if its
// turn need not be kept first.
func (e *exchange) endStream() error {
	if e.route.KeepsHistory && e.holdsBack() {
		return nil
	}
	return e.give(e.outbox.takeAll(e.Clock.Now()))
}

// holdsBack reports whether the answer may not be handed out whole: its budget is
// promised in part, or the store may not take the turn in time. A caller can do
// nothing with a part of an answer, and what it was handed is spent.
func (e *exchange) holdsBack() bool {
	if e.reservation != nil && e.reservation.Promised() < e.call.MaxTokens {
		return true
	}
	return e.route.KeepsHistory && e.Durability.Slow()
}

// afford returns once the event's tokens are promised to the turn. A turn
// begins with a part of what it may generate, and most end within it.
func (e *exchange) afford(ctx context.Context, event eventstream.Event) error {
	if e.reservation == nil || e.isAfforded(event) {
		return nil
	}
	began := e.Clock.Now()
	err := e.whileWaiting(ctx, func(ctx context.Context) error { return e.extend(ctx, event) })
	e.metrics.extend.RecordDuration(e.Clock.Now().Sub(began))
	return e.notAfforded(err)
}

// whileWaiting returns the error of f, and gives the caller events that are held
// back meanwhile, so that it stays. f must not touch what the caller is given.
func (e *exchange) whileWaiting(ctx context.Context, f func(ctx context.Context) error) error {
	if e.outbox.isEmpty() {
		return f(ctx)
	}
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	for !e.outbox.isEmpty() {
		due := time.NewTimer(e.outbox.untilDue(e.Clock.Now()))
		select {
		case err := <-done:
			due.Stop()
			return err
		case <-due.C:
			// A caller that is gone ends ctx, and f with it.
			_ = e.give(e.outbox.takeOne(e.Clock.Now()))
		}
	}
	return <-done
}

// isAfforded reports whether the event's tokens are promised to the turn.
func (e *exchange) isAfforded(event eventstream.Event) bool {
	return !event.HasData || (e.received+1)*e.eventTokens() <= e.reservation.Promised()
}

// extend asks for the rest of the turn's budget until the event is afforded,
// there is no rest, it is known not to be had, or ctx ends.
func (e *exchange) extend(ctx context.Context, event eventstream.Event) error {
	var last error
	for {
		before := e.reservation.Promised()
		err := e.reservation.Extend(ctx)
		if err == nil {
			if e.isAfforded(event) || e.reservation.Promised() == before {
				return nil
			}
			continue
		}
		if ctx.Err() != nil && last != nil {
			return last // err is the end of ctx
		}
		last = err
		pause := pauseAfter(err)
		if pause == 0 || !clock.Sleep(ctx, pause) {
			return err
		}
	}
}

// pauseAfter returns the pause before the rest of a budget is asked for again;
// 0 if asking again is of no use.
func pauseAfter(err error) time.Duration {
	var held *account.HeldError
	switch {
	case store.Unserved(err):
		return storeRetry
	case errors.As(err, &held):
		return heldRetry
	}
	return 0
}

// notAfforded returns why a stream ends before its endpoint ended it; nil if
// err is. The turn has run.
func (e *exchange) notAfforded(err error) error {
	var spent *account.SpentError
	var held *account.HeldError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &spent):
		return refuse(ReasonSpent, http.StatusBadGateway, 0, err)
	case errors.As(err, &held):
		return refuse(ReasonBudgetHeld, http.StatusBadGateway, 0, err)
	}
	return refuse(ReasonStoreAway, http.StatusBadGateway, 0, err)
}

// pass takes in an event, and gives the caller those that need not be held back.
func (e *exchange) pass(event eventstream.Event) error {
	if event.HasData {
		e.received++
		if e.route.KeepsHistory {
			e.events = append(e.events, event.Data)
		}
	}
	if event.ID != "" {
		e.lastEvent = event.ID
	}
	e.outbox.add(event)
	if e.holdsBack() {
		e.heldBack = true
		return e.give(e.outbox.takeDue(e.Clock.Now()))
	}
	return e.give(e.outbox.takeAll(e.Clock.Now()))
}

// give writes events to the caller, after the head of the answer. Without any it
// writes the head, unless events are held back.
func (e *exchange) give(events []eventstream.Event) error {
	if len(events) == 0 && (e.answered || !e.outbox.isEmpty()) {
		return nil
	}
	if !e.answered {
		e.head(e.opening, -1)
		e.first = e.Clock.Now().Sub(e.arrived)
		e.metrics.firstEvent.RecordDuration(e.first)
	}
	for _, event := range events {
		if event.HasData {
			e.count++
		}
		if _, err := e.w.Write(event.Raw); err != nil {
			return err
		}
	}
	return http.NewResponseController(e.w).Flush()
}
