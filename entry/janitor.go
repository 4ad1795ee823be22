package entry

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/program"
)

// The janitor's limits. A full queue drops names: a record left behind
// costs room in the store, never correctness, and the whole program's
// records go when the program has ended.
const (
	janitorQueue  = 4096
	janitorPeriod = time.Second
	// endedFor is how long an ended program stays in memory, so that late
	// callers get "program ended" without a read of the store.
	endedFor = time.Minute
)

// janitor deletes log records no longer needed, off the call path.
type janitor struct{ names chan string }

func newJanitor() *janitor { return &janitor{names: make(chan string, janitorQueue)} }

func (j *janitor) drop(name string) {
	select {
	case j.names <- name:
	default:
	}
}

// Tidy deletes log records that newer whole records replaced, and forgets
// programs that ended a while ago, until ctx ends; then it reports on done.
func (e *Entry) Tidy(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(janitorPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			done <- nil
			return
		case name := <-e.janitor.names:
			if err := e.platform.DropObject(ctx, name); err != nil && ctx.Err() == nil {
				e.log.Info("record not dropped", "name", name, "err", err)
			}
		case <-ticker.C:
			e.forgetEnded()
		}
	}
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
