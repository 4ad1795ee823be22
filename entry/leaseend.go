package entry

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

const (
	// endsQueued bounds the programs whose leases wait to be marked ended;
	// those beyond it keep their records in the journal.
	endsQueued = 1 << 16
	// endPause lies between two marks: nobody waits for them, and in a burst
	// the store's writes are better spent on programs that run.
	endPause = 20 * time.Millisecond
)

// markEnded has the program's lease marked as ended soon, so that its
// records can be dropped and its id is still known to be used. Until then,
// its last record says that it ended.
func (e *Entry) markEnded(o *owned) {
	select {
	case e.ended <- o:
	default:
		e.log.Warn("end of program not marked", "program", o.prog.ID(), "queued", endsQueued)
	}
}

// MarkEnds marks the leases of ended programs until ctx ends, then reports
// on done.
func (e *Entry) MarkEnds(ctx context.Context, done chan<- error) {
	for {
		select {
		case <-ctx.Done():
			done <- nil
			return
		case o := <-e.ended:
			e.endLease(ctx, o)
		}
		clock.Sleep(ctx, endPause) // the loop sees the end of ctx
	}
}

func (e *Entry) endLease(ctx context.Context, o *owned) {
	o.mu.Lock()
	id, ver := o.prog.ID(), o.leaseVer
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, settleFor)
	defer cancel()
	if _, err := e.platform.Put(ctx, leaseKey(id), leaseRecord{Holder: e.id, Journals: []string{e.journal.Name()}, Ended: true}, ver); err != nil {
		e.log.Warn("end of program not marked", "program", id, "err", err)
		return
	}
	e.journal.Release(id)
}

// releasePause spaces the writes of ReleaseLeases, so that a stopping
// instance with many programs leaves the table service room for others.
const releasePause = 2 * time.Millisecond

// ReleaseLeases gives up the leases of this instance's programs, so that
// other instances adopt them at once instead of waiting for the leases to
// lapse. A planned stop calls it last, when no call is in flight. It stops
// at the first failure or when ctx ends: what is left lapses by itself.
func (e *Entry) ReleaseLeases(ctx context.Context) {
	e.mu.Lock()
	all := make(map[program.ID]*owned, len(e.programs))
	for id, o := range e.programs {
		all[id] = o
	}
	e.mu.Unlock()
	released := 0
	for id, o := range all {
		o.mu.Lock()
		ver, idle := o.leaseVer, o.cancel == nil && o.pending == nil && o.prog.State() == program.StateRunning
		free := leaseRecord{Holder: e.id, Journals: []string{e.journal.Name()}, New: o.unlogged()}
		o.mu.Unlock()
		if !idle {
			continue
		}
		if _, err := e.platform.Put(ctx, leaseKey(id), free, ver); err != nil && !tableservice.Is(err, tableservice.FailureConflict) {
			e.log.Warn("leases not released", "released", released, "of", len(all), "err", err)
			return
		}
		e.depose(id, o)
		released++
		time.Sleep(releasePause)
	}
	e.log.Info("leases released", "released", released)
}
