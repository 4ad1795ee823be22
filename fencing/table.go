package fencing

import (
	"fmt"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

// Error is returned for a stale call: one with a lower fencing token, or an
// earlier sequence number, than a call admitted before.
type Error struct {
	program string
	// fence and sequence are those of the refused call; seen and lastSequence
	// are the highest fencing token received and the last sequence number
	// under it.
	fence, seen            uint64
	sequence, lastSequence uint64
}

// Error returns a message with the stale number and the highest one received.
func (e *Error) Error() string {
	if e.fence < e.seen {
		return fmt.Sprintf("program %s: stale fencing token %d, the highest received is %d", e.program, e.fence, e.seen)
	}
	return fmt.Sprintf("program %s: stale call %d, the last one received is %d", e.program, e.sequence, e.lastSequence)
}

// lastCall holds the fencing token and sequence number of a program's last
// admitted call, and the time at which it was seen.
type lastCall struct {
	fence, sequence uint64
	seen            time.Time
}

// Table holds the last admitted call of each program. It is safe for
// concurrent use. A Table must be created with NewTable.
type Table struct {
	clock     clock.Clock
	mu        sync.Mutex
	lastCalls map[string]lastCall
}

// NewTable returns an empty table that reads the time from clk.
func NewTable(clk clock.Clock) *Table { return &Table{clock: clk, lastCalls: map[string]lastCall{}} }

// Admit records fence and sequence as the program's last call. It returns an
// *Error and records nothing if the call is stale: its fence is lower than
// the recorded one, or the fence is equal and the sequence number is lower. A
// repeat of the last sequence number is admitted, since it is a retry by the
// owner of a call whose response was lost.
func (t *Table) Admit(program string, fence, sequence uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.lastCalls[program]
	if fence < m.fence || (fence == m.fence && sequence < m.sequence) {
		return &Error{program: program, fence: fence, seen: m.fence, sequence: sequence, lastSequence: m.sequence}
	}
	t.lastCalls[program] = lastCall{fence: fence, sequence: sequence, seen: t.clock.Now()}
	return nil
}

// RemoveIdle removes programs without a call for longer than idle. Without it the
// table would grow with every program that ever made a call.
func (t *Table) RemoveIdle(idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cutoff := t.clock.Now().Add(-idle)
	for program, m := range t.lastCalls {
		if m.seen.Before(cutoff) {
			delete(t.lastCalls, program)
		}
	}
}

// Len returns the number of programs in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.lastCalls)
}
