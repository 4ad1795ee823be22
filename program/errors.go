package program

import "fmt"

// Reason is the cause for which an operation on a program was refused.
type Reason int

//go:generate stringer -type=Reason -trimprefix=Reason

// Reasons for which an operation is refused. The entry package maps each of
// them to one error type of the caller package.
const (
	ReasonNotFound Reason = iota
	ReasonExists
	ReasonEnded
	ReasonOutOfOrder
	ReasonOverBudget
	ReasonBadSpec
	ReasonPastDeadline
)

// Error is returned for a refused operation on one program. Every refusal by
// this package, other than a *LogError, is an *Error, and leaves the program
// unchanged.
type Error struct {
	reason  Reason
	program ID
	detail  string
}

// newError returns an *Error whose detail is formatted from format and args.
func newError(reason Reason, id ID, format string, args ...any) *Error {
	return &Error{reason: reason, program: id, detail: fmt.Sprintf(format, args...)}
}

// Ended returns an *Error of ReasonEnded for a program that has ended and is
// no longer held in memory.
func Ended(id ID) error { return newError(ReasonEnded, id, "program has ended") }

// Reason returns the cause of the refusal.
func (e *Error) Reason() Reason { return e.reason }

// Program returns the ID of the program that the operation was for.
func (e *Error) Program() ID { return e.program }

// Error returns "program ID: reason: detail".
func (e *Error) Error() string {
	return fmt.Sprintf("program %s: %s: %s", e.program, e.reason, e.detail)
}
