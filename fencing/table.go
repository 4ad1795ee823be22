package fencing

import (
	"fmt"
	"sync"
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

type mark struct{ fence, sequence uint64 }

// Table holds the marks of each program. The zero value is not usable;
// call NewTable.
type Table struct {
	mu    sync.Mutex
	marks map[string]mark
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{marks: map[string]mark{}} }

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
	t.marks[program] = mark{fence: fence, sequence: sequence}
	return nil
}

// Forget drops the marks of an ended program.
func (t *Table) Forget(program string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.marks, program)
}

// Len returns the number of programs with marks.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.marks)
}
