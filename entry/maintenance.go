package entry

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/program"
)

const (
	tidyPeriod = time.Second
	// endedFor is how long an ended program stays in memory, so that late
	// callers get "program ended" without a read of the store.
	endedFor = time.Minute
)

// Tidy keeps this instance's memory and journal small until ctx ends, then
// reports on done.
func (e *Entry) Tidy(ctx context.Context, done chan<- error) {
	clock.Every(ctx, tidyPeriod, func(time.Time) {
		e.forgetEnded()
		e.catchUp(ctx)
	}, done)
}

// forgetEnded drops ended programs from memory once endedFor has passed;
// without it an entry's memory would grow with every program it ever ran.
func (e *Entry) forgetEnded() {
	cutoff := e.clock.Now().Add(-endedFor)
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, o := range e.programs {
		o.mu.Lock()
		gone := o.prog.State() == program.StateEnded && o.endedAt.Before(cutoff) && o.pending == nil
		o.mu.Unlock()
		if gone {
			delete(e.programs, id)
		}
	}
}

// catchUp writes whole records of programs that have been quiet for so long
// that their last ones lie far back in the journal: they would keep all
// batches since from being dropped, and a successor would have to read
// them.
func (e *Entry) catchUp(ctx context.Context) {
	for _, id := range e.journal.Lagging() {
		o, ok := e.lookup(id)
		if !ok {
			e.journal.Release(id)
			continue
		}
		o.mu.Lock()
		e.stageWhole(o)
		o.mu.Unlock()
		// Waited for, so that a planned stop does not take a record long
		// durable for a turn still on its way.
		if err := e.persist(ctx, o); err != nil {
			return // the store is down; the rest can wait for it
		}
	}
}
