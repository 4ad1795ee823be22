package entry

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/program"
)

const (
	// maintenanceInterval is the interval at which RunMaintenance runs.
	maintenanceInterval = time.Second
	// endedRetention is how long an ended program stays in memory, so that
	// later calls are refused as "program has ended" without a read from the
	// store.
	endedRetention = time.Minute
)

// RunMaintenance periodically drops ended programs from memory and rewrites old journal
// records, until ctx ends; then it reports on done.
func (e *Entry) RunMaintenance(ctx context.Context, done chan<- error) {
	clock.Every(ctx, maintenanceInterval, func(time.Time) {
		e.dropEnded()
		e.rewriteLagging(ctx)
	}, done)
}

// dropEnded drops programs that ended more than endedRetention ago from
// memory, which would otherwise grow with every program that the instance has
// run.
func (e *Entry) dropEnded() {
	cutoff := e.clock.Now().Add(-endedRetention)
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, o := range e.programs {
		o.mu.Lock()
		expired := o.prog.State() == program.StateEnded && o.endedAt.Before(cutoff) && o.pending == nil
		o.mu.Unlock()
		if expired {
			delete(e.programs, id)
		}
	}
}

// rewriteLagging writes full records of programs that have been idle for so
// long that their last records lie far back in the journal. Those records
// would keep all later batches from being dropped, and a new owner would have
// to read them.
func (e *Entry) rewriteLagging(ctx context.Context) {
	for _, id := range e.journal.LaggingPrograms() {
		o, ok := e.lookupOwned(id)
		if !ok {
			e.journal.Release(id)
			continue
		}
		o.mu.Lock()
		e.stageFull(o)
		o.mu.Unlock()
		// Wait for the record, so that a planned stop does not take it for
		// the record of a turn that is not yet durable.
		if err := e.persist(ctx, o); err != nil {
			return // the store is unavailable; the remaining programs are retried later
		}
	}
}
