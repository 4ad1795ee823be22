package gateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/history"
	"github.com/wagtaildrum/wagtaildrum/route"
)

// errIsolated is the cause of a refusal of a retained turn by an instance that
// reaches neither the store nor another instance.
var errIsolated = errors.New("neither the store nor another instance is reachable")

// rebuild sets the prompt to the conversation so far followed by the new input.
func (e *exchange) rebuild(ctx context.Context) error {
	e.prompt = e.body
	if e.route.KeepsHistory && e.partitioned() {
		// The turn could not be stored, and the engine's work would be lost.
		return e.storeUnavailable(errIsolated)
	}
	if !e.route.KeepsHistory || e.call.Previous == "" {
		return nil
	}
	var chain []*history.Turn
	err := e.retryStore(ctx, func(ctx context.Context) (err error) {
		chain, err = e.Archive.Chain(ctx, e.organisationName(), e.call.Previous, e.previousInstance())
		return err
	})
	var unknown *archive.UnknownTurnError
	switch {
	case errors.As(err, &unknown):
		return refuse(ReasonUnknownTurn, http.StatusNotFound, 0, err)
	case err != nil:
		return e.orEnded(ctx, e.storeUnavailable(err))
	}
	e.chain = chain
	e.prompt = history.Prompt(chain, e.body)
	return e.reserveMemory(int64(len(e.prompt)))
}

// checkTurnSize refuses a turn that is too large to be stored, before an endpoint runs
// it.
func (e *exchange) checkTurnSize() error {
	if !e.storesTurn() {
		return nil
	}
	if err := e.Archive.CheckInput(e.call.ID, e.body); err != nil {
		return refuse(ReasonTooLarge, http.StatusRequestEntityTooLarge, 0, err)
	}
	return nil
}

// storesTurn reports whether a response to the request is stored as a turn.
func (e *exchange) storesTurn() bool { return e.route.KeepsHistory && e.route.Kind == route.KindStream }

// previousInstance returns the instance that served the previous turn, or "" if
// it is this one or unknown. While the store is unavailable it returns "", so
// that the turn waits for the store before an engine runs it and not after; the
// turn needs the store anyway to be kept.
func (e *exchange) previousInstance() string {
	if e.reservation == nil || e.StoreStatus.Unavailable() {
		return ""
	}
	places := e.reservation.CacheLocations()
	if len(places) == 0 || places[len(places)-1].Instance == e.Instance {
		return ""
	}
	return places[len(places)-1].Instance
}

// storeTurn makes a served turn durable. The end of the stream is written only
// after storeTurn returns nil, so a caller never receives a complete response
// to a turn that could be lost. Held-back events are sent meanwhile to keep the
// caller connected.
func (e *exchange) storeTurn(ctx context.Context) error {
	if !e.storesTurn() || e.status != http.StatusOK {
		return nil
	}
	turn := &history.Turn{ID: e.call.ID, Organisation: e.organisationName(), Input: e.body, Events: e.eventData}
	if len(e.chain) > 0 {
		turn.Ancestors = e.chain[len(e.chain)-1].Chain()
	}
	began := e.Clock.Now()
	err := e.runWithKeepAlive(ctx, func(ctx context.Context) error { return e.Archive.Save(ctx, turn) })
	e.storeTime = e.Clock.Now().Sub(began)
	e.metrics.storeTurn.RecordDuration(e.storeTime)
	if err != nil {
		return refuse(ReasonNotKept, http.StatusBadGateway, 0, err)
	}
	_ = e.writeEvents(e.eventBuffer.takeAll(e.Clock.Now())) // the caller may be gone; the turn is stored
	return nil
}
