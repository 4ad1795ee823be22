package account

import (
	"fmt"
)

// SpentError is returned when the remaining budget of a program is too small
// for a turn and no other instance can release enough of it.
type SpentError struct {
	program string
	total   int64
	holders string
}

// Error names the program, its budget and the accounts that hold it.
func (e *SpentError) Error() string {
	return fmt.Sprintf("program %s: budget of %d tokens is spent: %s", e.program, e.total, e.holders)
}

// Holders describes the accounts that hold the budget and the tokens of each,
// as the deciding instance last read them; empty if it did not tell.
func (e *SpentError) Holders() string { return e.holders }

// TooManyProgramsError is returned for a program without state here while there are as many
// programs as allowed. Nothing was granted.
type TooManyProgramsError struct{}

// Error implements error.
func (e *TooManyProgramsError) Error() string { return "too many programs at this instance" }

// NewSpentError returns a SpentError for a refusal that another instance
// reported, with that instance's description of the holders.
func NewSpentError(program string, total int64, holders string) *SpentError {
	return &SpentError{program: program, total: total, holders: holders}
}

// NewHeldError returns a HeldError for a refusal that another instance
// reported, with that instance's description of the holders.
func NewHeldError(program, holders string) *HeldError {
	return &HeldError{program: program, holders: holders}
}

// HeldError is returned when other instances hold the remaining budget and may
// release some of it, so that the turn may succeed later.
type HeldError struct {
	program, holders string
}

// Holders describes the accounts that hold the budget and the tokens of each,
// as this instance last read them.
func (e *HeldError) Holders() string { return e.holders }

// Error names the program and the holders.
func (e *HeldError) Error() string {
	return "program " + e.program + ": the remaining budget is held by other instances: " + e.holders
}
