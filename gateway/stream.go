package gateway

import (
	"bytes"
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

// heldBudgetRetryInterval is the delay between requests for budget that other
// turns hold. A turn takes half a second, and each request about six reads of
// the store.
const heldBudgetRetryInterval = 300 * time.Millisecond

// maxExtraEvents is the number of events of a stream beyond its maximum of tokens, for
// those that have data and no token.
const maxExtraEvents = 64

// errTooManyEvents is the error for a stream with more events than its maximum of tokens
// allows.
var errTooManyEvents = errors.New("stream exceeds its maximum of tokens")

// maxRelayShare is the share of a stream's time that may be spent waiting for
// its caller and for budget. A stream with a larger share ends later than the
// endpoint finished it, so its time tells nothing about the endpoint's speed.
const maxRelayShare = 0.1

// relayStream relays complete events as they arrive, or holds them back while it
// is unknown whether the response can be delivered completely. A truncated
// event is never sent, so another endpoint can resume after the last complete
// one.
func (e *exchange) relayStream(ctx context.Context, response *upstream.Response, choice *balance.Choice) (balance.Outcome, error) {
	reader := eventstream.NewMeteredReader(response.Body, e.reserveResponseMemory)
	if !e.route.KeepsHistory {
		reader.DiscardData()
	}
	began, receivedBefore := e.Clock.Now(), e.received
	var relaying time.Duration
	for {
		event, err := e.nextEvent(ctx, reader)
		received := e.Clock.Now()
		switch {
		case err == io.EOF:
			if float64(relaying) <= maxRelayShare*float64(received.Sub(began)) {
				choice.ReportGenerated((e.received - receivedBefore) * e.eventTokens())
			}
			e.setFirstResponse(response)
			return balance.OutcomeServed, e.finishStream()
		case err != nil && ctx.Err() != nil:
			return balance.OutcomeAbandoned, err
		case err != nil:
			return balance.OutcomeBroken, err
		case e.exceedsMaxTokens(event):
			return balance.OutcomeBroken, refuse(ReasonEndpointFailed, http.StatusBadGateway, 0, errTooManyEvents)
		}
		e.heardAt = received
		e.setFirstResponse(response)
		e.recordOrigin(ctx)
		if err := e.relayWithinMemory(ctx, event); err != nil {
			return balance.OutcomeAbandoned, err
		}
		relaying += e.Clock.Now().Sub(received)
	}
}

// relayWithinMemory waits for the event's budget and relays it. The event takes memory
// until its caller has read it, and as much again is counted for its data or for what is not
// collected yet of earlier events.
func (e *exchange) relayWithinMemory(ctx context.Context, event eventstream.Event) error {
	size := 2 * int64(len(event.Raw))
	if err := e.reserveResponseMemory(size); err != nil {
		return err
	}
	if err := e.ensureBudget(ctx, event); err != nil {
		return err
	}
	if err := e.relayEvent(event); err != nil {
		return err
	}
	return e.reserveResponseMemory(-size)
}

// exceedsMaxTokens reports whether the event is more than the request's tokens allow, of
// which each event has one at least.
func (e *exchange) exceedsMaxTokens(event eventstream.Event) bool {
	return event.HasData && e.call.MaxTokens > 0 && e.received >= e.call.MaxTokens+maxExtraEvents
}

// nextEvent returns the next event of the stream. While the endpoint pauses, it
// sends held-back events to keep the caller connected.
func (e *exchange) nextEvent(ctx context.Context, reader *eventstream.Reader) (event eventstream.Event, err error) {
	err = e.runWithKeepAlive(ctx, func(context.Context) error {
		var err error
		event, err = reader.Next() // fails when ctx ends, which closes the response
		return err
	})
	return event, err
}

// setFirstResponse records the response whose head the caller's stream gets.
func (e *exchange) setFirstResponse(response *upstream.Response) {
	if e.firstResponse == nil {
		e.firstResponse, e.status = response, response.Status
		if e.resumes() {
			e.metrics.resumed.Inc(1)
		}
	}
}

// finishStream sends the held-back events of a complete response. If the turn
// must be stored first, storeTurn sends them.
func (e *exchange) finishStream() error {
	if e.route.KeepsHistory && e.mustHoldBack() {
		return nil
	}
	return e.writeEvents(e.eventBuffer.takeAll(e.Clock.Now()))
}

// mustHoldBack reports whether the response may turn out incomplete: the turn
// has a partial grant, or the store may be too slow to store the turn in time.
// A caller cannot use a partial response, yet the tokens sent to it are spent.
func (e *exchange) mustHoldBack() bool {
	if e.reservation != nil && e.reservation.GrantedTokens() < e.call.MaxTokens {
		return true
	}
	return e.route.KeepsHistory && e.StoreStatus.Slow()
}

// ensureBudget returns once the event's tokens are granted to the turn. A turn
// starts with a partial grant of its maximum, and most turns end within it.
func (e *exchange) ensureBudget(ctx context.Context, event eventstream.Event) error {
	if e.reservation == nil || e.isCovered(event) {
		return nil
	}
	began := e.Clock.Now()
	err := e.runWithKeepAlive(ctx, func(ctx context.Context) error { return e.extend(ctx, event) })
	e.metrics.extend.RecordDuration(e.Clock.Now().Sub(began))
	return e.budgetRefusal(err)
}

// runWithKeepAlive returns the result of f. While f runs, it sends held-back
// events to keep the caller connected, so f must not use the fields that
// writing to the caller uses.
func (e *exchange) runWithKeepAlive(ctx context.Context, f func(ctx context.Context) error) error {
	if e.eventBuffer.isEmpty() {
		return f(ctx)
	}
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	for !e.eventBuffer.isEmpty() {
		timer := time.NewTimer(e.eventBuffer.untilDue(e.Clock.Now()))
		select {
		case err := <-done:
			timer.Stop()
			return err
		case <-timer.C:
			// If the caller is gone, ctx ends and so does f.
			_ = e.writeEvents(e.eventBuffer.takeOne(e.Clock.Now()))
		}
	}
	return <-done
}

// isCovered reports whether the event's tokens are granted to the turn.
func (e *exchange) isCovered(event eventstream.Event) bool {
	return !event.HasData || (e.received+1)*e.eventTokens() <= e.reservation.GrantedTokens()
}

// extend requests the remainder of the turn's budget until the event is
// covered. It returns nil if the event is covered or no remainder exists, and
// an error if the remainder cannot be granted or ctx ends.
func (e *exchange) extend(ctx context.Context, event eventstream.Event) error {
	var last error
	for {
		before := e.reservation.GrantedTokens()
		err := e.reservation.Extend(ctx)
		if err == nil {
			if e.isCovered(event) || e.reservation.GrantedTokens() == before {
				return nil
			}
			continue
		}
		if ctx.Err() != nil && last != nil {
			return last // err only reports the end of ctx
		}
		last = err
		delay := retryDelay(err)
		if delay == 0 || !clock.Sleep(ctx, delay) {
			return err
		}
	}
}

// retryDelay returns the delay before the remainder of a budget is requested
// again; 0 if a retry cannot succeed.
func retryDelay(err error) time.Duration {
	var heldErr *account.HeldError
	switch {
	case store.Unserved(err):
		return storeRetryInterval
	case errors.As(err, &heldErr):
		return heldBudgetRetryInterval
	}
	return 0
}

// budgetRefusal returns the refusal for a stream that ends early because err
// kept it from getting budget; nil if err is nil. The status says that the turn
// may have run.
func (e *exchange) budgetRefusal(err error) error {
	var spentErr *account.SpentError
	var heldErr *account.HeldError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &spentErr):
		return refuse(ReasonSpent, http.StatusBadGateway, 0, err)
	case errors.As(err, &heldErr):
		return refuse(ReasonBudgetHeld, http.StatusBadGateway, 0, err)
	}
	return refuse(ReasonStoreAway, http.StatusBadGateway, 0, err)
}

// relayEvent records an event and sends the events that need not be held back.
func (e *exchange) relayEvent(event eventstream.Event) error {
	if event.HasData {
		e.received++
		if e.route.KeepsHistory {
			if err := e.reserveResponseMemory(int64(len(event.Data))); err != nil {
				return err
			}
			e.eventData = append(e.eventData, bytes.Clone(event.Data))
		}
	}
	if event.ID != "" {
		e.lastEventID = event.ID
	}
	e.eventBuffer.add(event)
	if e.mustHoldBack() {
		e.heldBack = true
		if err := e.reserveResponseMemory(int64(len(event.Raw))); err != nil {
			return err
		}
		return e.writeEvents(e.eventBuffer.takeDue(e.Clock.Now()))
	}
	return e.writeEvents(e.eventBuffer.takeAll(e.Clock.Now()))
}

// writeEvents sends events to the caller, preceded by the head of the response
// if that was not written yet. Without events it writes only the head, and
// nothing while events are held back.
func (e *exchange) writeEvents(events []eventstream.Event) error {
	if len(events) == 0 && (e.headWritten || !e.eventBuffer.isEmpty()) {
		return nil
	}
	if !e.headWritten {
		e.writeHead(e.firstResponse, -1)
		e.timeToFirstEvent = e.Clock.Now().Sub(e.arrived)
		e.metrics.firstEvent.RecordDuration(e.timeToFirstEvent)
	}
	for _, event := range events {
		if event.HasData {
			e.eventsSent++
		}
		if _, err := e.w.Write(event.Raw); err != nil {
			return err
		}
	}
	return http.NewResponseController(e.w).Flush()
}
