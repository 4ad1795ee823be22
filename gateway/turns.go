package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/history"
	"github.com/wagtaildrum/wagtaildrum/route"
)

// errIsolated is the cause of a refusal of a retained turn by an instance that
// reaches neither the store nor another instance.
var errIsolated = errors.New("neither the store nor another instance is reachable")

// conversation is what precedes the input of a request on a route that keeps history.
type conversation struct {
	// parts are sent to the endpoint before the request's body.
	parts [][]byte
	// turns are the IDs of the earlier turns, the oldest first, and memory is what they take.
	turns  []string
	memory int64
}

// rebuild reads the conversation so far, once there is memory for it and for storing the turn.
func (e *exchange) rebuild(ctx context.Context) error {
	if e.route.KeepsHistory && e.partitioned() {
		// The turn could not be stored, and the engine's work would be lost.
		return e.storeUnavailable(errIsolated)
	}
	if e.storesTurn() {
		// The rows of the turn are in memory beside its input while it is stored, when the
		// conversation no longer is.
		e.conversationMemory.floor = int64(len(e.body))
	}
	if !e.route.KeepsHistory || e.call.Previous == "" {
		if err := e.conversationMemory.Reserve(ctx, 0); err != nil {
			return e.orEnded(ctx, err)
		}
		return nil
	}
	var chain []*history.Turn
	err := e.retryStore(ctx, func(ctx context.Context) (err error) {
		e.conversationMemory.Release(e.conversationMemory.held)
		chain, err = e.Archive.Chain(ctx, e.organisationName(), e.call.Previous, e.previousInstance(), &e.conversationMemory)
		return err
	})
	var unknown *archive.UnknownTurnError
	var noMemory *refusal
	switch {
	case errors.As(err, &noMemory):
		return e.orEnded(ctx, noMemory)
	case errors.As(err, &unknown):
		return refuse(ReasonUnknownTurn, http.StatusNotFound, 0, err)
	case err != nil:
		return e.orEnded(ctx, e.storeUnavailable(err))
	}
	e.conversation = conversation{parts: history.PromptParts(chain), turns: chain[len(chain)-1].Chain(), memory: archive.ChainMemory(chain)}
	return nil
}

// conversationMemory implements archive.Memory for the conversation that a request continues.
type conversationMemory struct {
	exchange *exchange
	// floor is the least that is charged while anything is.
	floor int64

	mu sync.Mutex
	// held is what the conversation takes, and charged is that or floor.
	held, charged int64
}

// TryReserve implements archive.Memory.
func (memory *conversationMemory) TryReserve(n int64) bool {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	missing := memory.missing(n)
	if missing > 0 && !memory.exchange.tryMemory(missing) {
		return false
	}
	memory.charged += missing
	memory.held += n
	return true
}

// Reserve implements archive.Memory. It returns a *refusal if there is no room in time.
func (memory *conversationMemory) Reserve(ctx context.Context, n int64) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	missing := memory.missing(n)
	if missing > 0 {
		if err := memory.exchange.awaitMemory(ctx, missing); err != nil {
			return err
		}
	}
	memory.charged += missing
	memory.held += n
	return nil
}

// missing returns how much is to be charged before n more bytes are held. The caller must hold mu.
func (memory *conversationMemory) missing(n int64) int64 {
	return max(memory.held+n, memory.floor) - memory.charged
}

// Release implements archive.Memory.
func (memory *conversationMemory) Release(n int64) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.held -= n
	memory.chargeOnly(memory.held)
}

// keepFloor frees what is charged for the conversation beyond the floor.
func (memory *conversationMemory) keepFloor() {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.held = 0
	memory.chargeOnly(memory.floor)
}

// chargeOnly frees what is charged beyond n bytes. The caller must hold mu.
func (memory *conversationMemory) chargeOnly(n int64) {
	if freed := memory.charged - n; freed > 0 {
		memory.exchange.countMemory(-freed)
		memory.charged = n
	}
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
	// Nothing is sent again from here on.
	e.conversation.parts = nil
	e.conversationMemory.keepFloor()
	turn := &history.Turn{ID: e.call.ID, Organisation: e.organisationName(), Input: e.body, Events: e.eventData, Ancestors: e.conversation.turns, AncestorBytes: e.conversation.memory}
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
