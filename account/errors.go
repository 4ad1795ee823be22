package account

import (
	"fmt"
)

// SpentError is a turn that the budget does not hold.
type SpentError struct {
	program     string
	used, total int64
}

// Error tells the program, what is used and the budget, in tokens.
func (e *SpentError) Error() string {
	return fmt.Sprintf("program %s: budget of %d tokens is spent (%d used here)", e.program, e.total, e.used)
}

// NewSpentError returns the error of a turn that the budget does not hold,
// as another instance found.
func NewSpentError(program string, total int64) *SpentError {
	return &SpentError{program: program, total: total}
}

// NewHeldError returns the error of a turn that has to wait, as another
// instance found, with the holders that it told.
func NewHeldError(program, holders string) *HeldError {
	return &HeldError{program: program, holders: holders}
}

// HeldError is a turn that has to wait, since other instances hold what is
// left of the budget.
type HeldError struct {
	program, holders string
}

// Holders tells which accounts were taken to hold it, and what of it.
func (e *HeldError) Holders() string { return e.holders }

// Error names the program and the holders.
func (e *HeldError) Error() string {
	return "program " + e.program + ": what is left of the budget is held by other instances: " + e.holders
}
