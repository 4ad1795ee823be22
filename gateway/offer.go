package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/eventstream"
	"github.com/wagtaildrum/wagtaildrum/route"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

const (
	// maxOffers bounds how many endpoints a request is offered to that do
	// not run it.
	maxOffers = 4
	// wholeBody is how much of a plain answer is read before the caller is
	// given any of it, so that one that breaks off can be told apart.
	wholeBody = 1 << 20
	// heldRetry is the pause between looks for budget that other turns hold:
	// a turn takes half a second, and each look some six reads of the store.
	heldRetry = 300 * time.Millisecond
	// lastEventHeader names the event after which a stream goes on.
	lastEventHeader = "Last-Event-Id"
)

// perConnection headers concern one connection only and are not passed on.
var perConnection = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// errUnstamped is an answer that no endpoint gave.
var errUnstamped = errors.New("answer without an endpoint's signature")

// errNotResumed is a failure in place of the rest of a stream.
var errNotResumed = errors.New("endpoint did not go on with the stream")

// offer has endpoints asked until one answers the request, or none may be
// asked any more.
func (e *exchange) offer(ctx context.Context) error {
	request := e.balanceRequest()
	for len(e.tried) < maxOffers {
		choice := e.Picker.Pick(e.Endpoints.Service(e.service), request, func(id string) bool { return slices.Contains(e.tried, id) })
		if choice == nil {
			break
		}
		e.tried, e.asked = append(e.tried, choice.Endpoint().ID), choice.Endpoint().Incarnation()
		outcome, err := e.ask(ctx, choice)
		choice.Done(outcome)
		if outcome == balance.OutcomeServed || outcome == balance.OutcomeFailed {
			return nil
		}
		e.lastError = err
		var own *refusal
		if errors.As(err, &own) && e.r.Context().Err() == nil {
			return own
		}
		if gone := e.orGone(ctx, nil); gone != nil {
			return gone
		}
		if outcome == balance.OutcomeAbandoned {
			return refuse(ReasonCallerGone, http.StatusBadGateway, 0, err)
		}
		if outcome == balance.OutcomeBroken && (!e.route.Repeatable() || e.runs >= e.route.Attempts) {
			return refuse(ReasonEndpointFailed, http.StatusBadGateway, 0, err)
		}
	}
	switch {
	case e.runs > 0 || e.opening != nil:
		return refuse(ReasonEndpointFailed, http.StatusBadGateway, 0, e.lastError)
	case len(e.tried) == 0:
		return refuse(ReasonNoEndpoint, http.StatusServiceUnavailable, busyPause, nil)
	default:
		return refuse(ReasonEndpointsFull, http.StatusServiceUnavailable, busyPause, e.lastError)
	}
}

// ask sends the request to one endpoint and passes its answer on.
func (e *exchange) ask(ctx context.Context, choice *balance.Choice) (balance.Outcome, error) {
	e.metrics.sends.Inc(1)
	response, err := e.Upstream.Do(ctx, e.request(choice))
	if err != nil {
		return e.failed(ctx, err)
	}
	defer response.Close()
	verdict := e.Dialect.Verdict(response.Status, response.Header)
	if verdict.Load != nil {
		choice.Told(*verdict.Load)
	}
	e.entrance.answered(verdict)
	switch {
	case verdict.Misdirected:
		return balance.OutcomeUnreachable, errors.New("the address belongs to another endpoint")
	case verdict.NotRun:
		return balance.OutcomeRefused, errors.New("endpoint did not run it: " + strconv.Itoa(response.Status))
	}
	choice.Answered()
	e.runs++
	if !verdict.Stamped {
		return balance.OutcomeBroken, errUnstamped
	}
	if e.opening != nil && response.Status != http.StatusOK {
		return balance.OutcomeBroken, errNotResumed
	}
	if e.route.Kind == route.KindStream && response.Status == http.StatusOK {
		return e.relayStream(ctx, response)
	}
	return e.relayWhole(ctx, response)
}

// failed returns the outcome of a request without an answer. Only if no
// byte of it left can it be told that it did not run.
func (e *exchange) failed(ctx context.Context, err error) (balance.Outcome, error) {
	var ue *upstream.Error
	if errors.As(err, &ue) && ue.Stage() == upstream.StageConnect {
		if ctx.Err() != nil {
			return balance.OutcomeAbandoned, err
		}
		return balance.OutcomeUnreachable, err
	}
	e.runs++
	if ctx.Err() != nil {
		return balance.OutcomeAbandoned, err
	}
	return balance.OutcomeBroken, err
}

func (e *exchange) request(choice *balance.Choice) *upstream.Request {
	header := endToEnd(e.r.Header)
	header.Del("Content-Length")
	header.Del("Expect")
	if e.lastEvent != "" {
		header.Set(lastEventHeader, e.lastEvent)
	}
	e.Dialect.Prepare(header, Send{Endpoint: choice.Endpoint().ID, Organisation: e.organisationName(), Deadline: e.until.Sub(e.Clock.Now())})
	return &upstream.Request{
		Address: choice.Endpoint().Address, Method: e.r.Method, Target: e.r.RequestURI, Host: e.r.Host, Header: header,
		Body: e.prompt, HasBody: e.r.ContentLength != 0, IDHeader: e.Dialect.IDHeader(),
	}
}

// endToEnd returns a copy of header without what concerns one connection.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range perConnection {
		out.Del(name)
	}
	return out
}

// head gives the caller the head of an endpoint's answer.
func (e *exchange) head(response *upstream.Response, length int) {
	header := e.w.Header()
	for name, values := range endToEnd(response.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	e.endConnection()
	e.answered, e.status = true, response.Status
	e.w.WriteHeader(response.Status)
}

// relayWhole passes a plain answer on once all of it is here.
func (e *exchange) relayWhole(ctx context.Context, response *upstream.Response) (balance.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, wholeBody+1))
	if err != nil {
		if ctx.Err() != nil {
			return balance.OutcomeAbandoned, err
		}
		return balance.OutcomeBroken, err
	}
	outcome := balance.OutcomeServed
	if response.Status >= http.StatusInternalServerError {
		outcome = balance.OutcomeFailed
	}
	if len(body) <= wholeBody {
		e.head(response, len(body))
		_, _ = e.w.Write(body) // the caller may be gone; the request has run
		return outcome, nil
	}
	e.head(response, -1)
	if _, err := io.Copy(e.w, io.MultiReader(bytes.NewReader(body), response.Body)); err != nil {
		return balance.OutcomeBroken, err
	}
	return outcome, nil
}

// relayStream passes whole events on as they come, or holds them back while the
// answer may not be handed out whole. An event that an endpoint did not end is
// never given to the caller, so that another can go on after the one before.
func (e *exchange) relayStream(ctx context.Context, response *upstream.Response) (balance.Outcome, error) {
	reader := eventstream.NewReader(response.Body)
	for {
		event, err := reader.Next()
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
