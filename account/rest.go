package account

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/retry"
)

const (
	// restTime is how long after its last turn here the row of a program is settled.
	// If this instance is lost after that, nothing of the budget is lost with it. Most
	// programs continue sooner; one that continues later takes another write.
	restTime = time.Second
	// minSettleInterval and settleIntervalPerInstance give the interval at which an
	// instance settles rows: all instances together do so at most 50 times a second,
	// however many there are, with transactions for up to 50 programs.
	minSettleInterval         = time.Second
	settleIntervalPerInstance = 20 * time.Millisecond
	// settleTimeout bounds one search for programs at rest and the writes of their rows.
	settleTimeout = 2 * time.Second
	// maxSettleBackoff bounds the interval while the store does not serve the writes.
	maxSettleBackoff = 8 * time.Second
)

// SettleRows returns a function that settles the rows of programs at rest until ctx
// ends, and then sends nil on done.
func (manager *Manager) SettleRows(members Members) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		defer func() { done <- nil }()
		backoff := retry.Backoff{Initial: minSettleInterval, Max: maxSettleBackoff}
		for {
			_, names := members.Members()
			interval := max(minSettleInterval, time.Duration(len(names))*settleIntervalPerInstance)
			if manager.SettleRowsOnce(ctx) {
				backoff = retry.Backoff{Initial: minSettleInterval, Max: maxSettleBackoff}
			} else {
				interval = max(interval, backoff.Next())
			}
			if !clock.Sleep(ctx, interval) {
				return
			}
		}
	}
}

// SettleRowsOnce writes rows that release the unused tokens of the programs that are at
// rest now, and record what they spent. It reports whether the store served the writes.
func (manager *Manager) SettleRowsOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, programs := range splitIntoBatches(manager.programsAtRest()) {
		if _, unserved := manager.releaseInTransaction(ctx, programs); len(unserved) > 0 {
			return false
		}
	}
	return true
}

// programsAtRest returns the programs that have had no turn here for restTime and whose
// rows are not settled.
func (manager *Manager) programsAtRest() []*program {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	var atRest []*program
	now := manager.clock.Now()
	for _, p := range manager.programs {
		if p.pins == 0 && p.needsSettling(now) {
			atRest = append(atRest, p)
		}
	}
	return atRest
}

// needsSettling reports whether the program is at rest and its row is not settled.
func (p *program) needsSettling(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastUsed) >= restTime && p.usage.NeedsSettling()
}
