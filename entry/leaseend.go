package entry

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

const (
	// endedQueueSize bounds the programs that wait for their leases to be
	// marked as ended. Programs beyond it keep their records in the journal.
	endedQueueSize = 1 << 16
	// endedWriteInterval is the delay between two writes that mark leases as
	// ended. No caller waits for them, and during a burst the write capacity
	// of the store is needed for running programs.
	endedWriteInterval = 20 * time.Millisecond
)

// queueEndedLease queues the program's lease to be marked as ended, after
// which its records can be dropped while its ID remains in use. Until then
// the program's last record shows that it has ended.
func (e *Entry) queueEndedLease(o *ownedProgram) {
	select {
	case e.ended <- o:
	default:
		e.log.Warn("lease of ended program not marked: queue is full; its records stay in the journal", "program", o.prog.ID(), "queued", endedQueueSize)
	}
}

// RunEndedLeases marks the leases of ended programs until ctx ends, then sends nil
// on done.
func (e *Entry) RunEndedLeases(ctx context.Context, done chan<- error) {
	for {
		select {
		case <-ctx.Done():
			done <- nil
			return
		case o := <-e.ended:
			e.writeEndedLease(ctx, o)
		}
		clock.Sleep(ctx, endedWriteInterval) // the loop checks ctx
	}
}

// writeEndedLease marks the program's lease as ended and releases its journal
// records. A failure is logged, and the records stay in the journal.
func (e *Entry) writeEndedLease(ctx context.Context, o *ownedProgram) {
	o.mu.Lock()
	id, ver := o.prog.ID(), o.leaseVer
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if _, err := e.platform.Put(ctx, leaseKey(id), leaseRecord{Holder: e.id, Journals: []string{e.journal.Name()}, Ended: true}, ver); err != nil {
		e.log.Warn("lease of ended program not marked; its records stay in the journal", "program", id, "err", err)
		return
	}
	e.journal.Release(id)
}

// releaseInterval is the delay between the writes of ReleaseLeases, so that a
// stopping instance with many programs does not use up the write capacity of
// the table service.
const releaseInterval = 2 * time.Millisecond

// ReleaseLeases releases the leases of this instance's running programs, so
// that other instances can adopt them at once instead of waiting for the
// leases to expire. A planned stop calls it last, when no call is in flight.
// It stops at the first failure or when ctx ends; the remaining leases expire
// by themselves.
func (e *Entry) ReleaseLeases(ctx context.Context) {
	e.mu.Lock()
	all := make(map[program.ID]*ownedProgram, len(e.programs))
	for id, o := range e.programs {
		all[id] = o
	}
	e.mu.Unlock()
	released := 0
	for id, o := range all {
		o.mu.Lock()
		ver, idle := o.leaseVer, o.cancel == nil && o.pending == nil && o.prog.State() == program.StateRunning
		free := leaseRecord{Holder: e.id, Journals: []string{e.journal.Name()}, New: o.unloggedCreation()}
		o.mu.Unlock()
		if !idle {
			continue
		}
		if _, err := e.platform.Put(ctx, leaseKey(id), free, ver); err != nil && !tableservice.IsFailure(err, tableservice.FailureConflict) {
			e.log.Warn("leases not released; the remaining ones expire by themselves", "released", released, "of", len(all), "err", err)
			return
		}
		e.dropOwned(id, o)
		released++
		time.Sleep(releaseInterval)
	}
	e.log.Info("leases released", "released", released)
}
