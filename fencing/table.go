package fencing

import (
	"fmt"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

// Error is a call refused as stale.
type Error struct {
	program         string
	fence, seen     uint64
	sequence, after uint64
}

// Error says which number was stale.
func (e *Error) Error() string {
	if e.fence < e.seen {
		return fmt.Sprintf("program %s: stale fence %d, seen %d", e.program, e.fence, e.seen)
	}
	return fmt.Sprintf("program %s: call %d behind call %d", e.program, e.sequence, e.after)
}

type mark struct {
	fence, sequence uint64
	seen            time.Time
}

// Table holds the marks of each program. The zero value is not usable;
// call NewTable.
type Table struct {
	clock clock.Clock
	mu    sync.Mutex
	marks map[string]mark
}

// NewTable returns an empty table.
func NewTable(clk clock.Clock) *Table { return &Table{clock: clk, marks: map[string]mark{}} }

// Admit records (fence, sequence) for program and returns an *Error if the
// call is behind what was seen: a lower fence, or under the same fence an
// earlier sequence. A repeat of the latest sequence is admitted: it is the
// owner retrying a call whose answer it lost.
func (t *Table) Admit(program string, fence, sequence uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.marks[program]
	if fence < m.fence || (fence == m.fence && sequence < m.sequence) {
		return &Error{program: program, fence: fence, seen: m.fence, sequence: sequence, after: m.sequence}
	}
	t.marks[program] = mark{fence: fence, sequence: sequence, seen: t.clock.Now()}
	return nil
}

// Sweep drops the marks of programs without a call for longer than idle;
// without it the table would grow with every program that ever called.
func (t *Table) Sweep(idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cutoff := t.clock.Now().Add(-idle)
	for program, m := range t.marks {
		if m.seen.Before(cutoff) {
			delete(t.marks, program)
		}
	}
}

// Len returns the number of programs with marks.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.marks)
}
