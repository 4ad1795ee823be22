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

// owned is a program this instance owns, with the lock that serialises
// its calls and the cancel function of the call in flight.
type owned struct {
	mu     sync.Mutex
	prog   *program.Program
	cancel context.CancelFunc
	last   *lastAnswer
	// log, epoch and pending are the program's durable log: the epoch this
	// owner writes under, and the record not yet known to be durable.
	log     program.Log
	epoch   uint64
	pending *journal.Pending
	// restage: the program changed while a record was pending, and needs
	// another.
	restage bool
	// leaseVer and leaseExpires are the lease record's version (the
	// fencing token) and end as this instance last wrote them.
	leaseVer     uint64
	leaseExpires time.Time
	endedAt      time.Time
	// promptBlocks is the depth of the latest model call's prompt, in cache
	// blocks.
	promptBlocks int
}

// fence returns the fencing token to send with the program's calls.
func (o *owned) fence() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.prog.Fence()
}

// unlogged returns what the program was created with if no record of it is
// known to be durable yet, else nil. The caller holds o.mu.
func (o *owned) unlogged() *newProgram {
	if o.log.Started() {
		return nil
	}
	return &newProgram{Spec: o.prog.Spec(), Created: o.prog.Created()}
}

// passed reports whether the program is past call seq.
func (o *owned) passed(seq uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return seq < o.prog.NextSequence()
}

// lastAnswer keeps the answer of a program's latest call, so a caller who
// lost it and sends the same sequence again gets it again instead of a
// second run.
type lastAnswer struct {
	seq    uint64
	answer caller.Answer
}

func (e *Entry) lookup(id program.ID) (*owned, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.programs[id]
	return o, ok
}

func (e *Entry) keep(id program.ID, o *owned) {
	e.mu.Lock()
	e.programs[id] = o
	n := len(e.programs)
	e.mu.Unlock()
	e.metrics.programs.Update(float64(n))
}

// depose forgets a program whose lease another instance took, and cancels
// its call in flight: its answer may not leave this instance any more.
func (e *Entry) depose(id program.ID, o *owned) {
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

// owner returns the program's owned state with a lease that has not
// lapsed, adopting the program if this instance does not hold it. It fails
// with a *LeaseError if another instance does.
func (e *Entry) owner(ctx context.Context, id program.ID) (*owned, error) {
	o, ok := e.lookup(id)
	if !ok {
		return e.adopt(ctx, id)
	}
	err := e.holdLease(ctx, o)
	var lost *LeaseError
	if errors.As(err, &lost) {
		return e.adopt(ctx, id)
	}
	return o, err
}

// withOwner serves a request for the program idOf names at its owner: here,
// if this instance owns it or can adopt it, otherwise by forwarding it to
// the instance that holds the lease. Callers come through a balancer and
// reach any instance.
func (e *Entry) withOwner(idOf func(*http.Request) program.ID, next func(http.ResponseWriter, *http.Request, *owned)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := idOf(r)
		if address, ok := e.holders.get(id); ok && !forwarded(r) {
			e.forward(w, r, id, address)
			return
		}
		o, err := e.owner(r.Context(), id)
		var held *LeaseError
		if errors.As(err, &held) && held.address != "" && !forwarded(r) {
			e.holders.put(id, held.address, held.expires)
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

func pathID(r *http.Request) program.ID { return program.ID(r.PathValue("id")) }

func headerID(r *http.Request) program.ID { return program.ID(r.Header.Get(caller.ProgramHeader)) }
