package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/journal"
	"github.com/wagtaildrum/wagtaildrum/program"
)

// ownedProgram is a program that this instance owns. mu guards its fields;
// cancel cancels the call in flight, if there is one.
type ownedProgram struct {
	mu     sync.Mutex
	prog   *program.Program
	cancel context.CancelFunc
	last   *lastAnswer
	// log and epoch identify the program's durable log and the epoch under
	// which this owner writes it; pending is the staged record not yet known
	// to be durable, or nil.
	log     program.Log
	epoch   uint64
	pending *journal.Pending
	// restage is set if the program has changed while a record was pending,
	// so that another record must be staged.
	restage bool
	// leaseVer is the version of the lease record, which is the fencing
	// token, and leaseExpires the end of the lease, both as last written by
	// this instance.
	leaseVer     uint64
	leaseExpires time.Time
	endedAt      time.Time
	// promptBlocks is the depth, in cache blocks, of the prompt of the latest
	// model call.
	promptBlocks int
}

// fence returns the fencing token of the program.
func (o *ownedProgram) fence() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.prog.Fence()
}

// unloggedCreation returns the program's creation parameters as long as no
// record of it is known to be durable, and nil afterwards. The caller must
// hold o.mu.
func (o *ownedProgram) unloggedCreation() *newProgram {
	if o.log.HasDurableRecord() {
		return nil
	}
	return &newProgram{Spec: o.prog.Spec(), Created: o.prog.Created()}
}

// isPast reports whether call seq precedes the next call of the program.
func (o *ownedProgram) isPast(seq uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return seq < o.prog.NextSequence()
}

// lastAnswer holds the answer to a program's latest call. A caller that did
// not receive it and sends the same sequence number again gets the stored
// answer instead of a second run.
type lastAnswer struct {
	seq    uint64
	answer caller.Response
}

// lookupOwned returns the program if this instance owns it.
func (e *Entry) lookupOwned(id program.ID) (*ownedProgram, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.programs[id]
	return o, ok
}

// addOwned records the program as owned by this instance.
func (e *Entry) addOwned(id program.ID, o *ownedProgram) {
	e.mu.Lock()
	e.programs[id] = o
	n := len(e.programs)
	e.mu.Unlock()
	e.metrics.programs.Update(float64(n))
}

// dropOwned removes a program whose lease this instance no longer holds,
// releases its journal records and cancels its call in flight, whose answer
// must not be sent by this instance any more.
func (e *Entry) dropOwned(id program.ID, o *ownedProgram) {
	e.mu.Lock()
	if e.programs[id] == o {
		delete(e.programs, id)
	}
	e.mu.Unlock()
	e.journal.Release(id)
	o.mu.Lock()
	cancel := o.cancel
	o.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// ensureOwned returns the program after it has checked, and if necessary
// renewed, its lease. A program that this instance does not own is adopted.
// It fails with a *LeaseError if another instance owns the program.
func (e *Entry) ensureOwned(ctx context.Context, id program.ID) (*ownedProgram, error) {
	o, ok := e.lookupOwned(id)
	if !ok {
		return e.adopt(ctx, id)
	}
	err := e.ensureLease(ctx, o)
	var lost *LeaseError
	if errors.As(err, &lost) {
		return e.adopt(ctx, id)
	}
	return o, err
}

// withOwner returns a handler that serves a request at the owner of the
// program with the ID returned by idOf. If this instance owns the program or
// can adopt it, next serves the request; otherwise the request is forwarded
// to the instance that holds the lease. Callers connect through a load
// balancer and reach any instance.
func (e *Entry) withOwner(idOf func(*http.Request) program.ID, next func(http.ResponseWriter, *http.Request, *ownedProgram)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := idOf(r)
		if address, ok := e.holderCache.get(id); ok && !forwarded(r) {
			e.forward(w, r, id, address)
			return
		}
		o, err := e.ensureOwned(r.Context(), id)
		var held *LeaseError
		if errors.As(err, &held) && held.address != "" && !forwarded(r) {
			e.holderCache.put(id, held.address, held.expires)
			e.forward(w, r, id, held.address)
			return
		}
		if err != nil {
			apiError(err).Write(w)
			return
		}
		next(w, r, o)
	}
}

// pathID returns the program ID in the URL path of r.
func pathID(r *http.Request) program.ID { return program.ID(r.PathValue("id")) }

// headerID returns the program ID in the header of r, or "" if there is none.
func headerID(r *http.Request) program.ID { return program.ID(r.Header.Get(caller.ProgramHeader)) }
