package program

import "fmt"

// Reason says why the core refused an operation on a program.
type Reason int

//go:generate stringer -type=Reason -trimprefix=Reason

// Reasons for refusing an operation. Each maps to one caller-visible error
// type in the caller package.
const (
	ReasonNotFound Reason = iota
	ReasonExists
	ReasonEnded
	ReasonOutOfOrder
	ReasonOverBudget
	ReasonBadSpec
	ReasonPastDeadline
)

// Error is the failure of an operation on one program. Every refusal by the
// core is an *Error; none of them changed the program.
type Error struct {
	reason  Reason
	program ID
	detail  string
}

func newError(reason Reason, id ID, format string, args ...any) *Error {
	return &Error{reason: reason, program: id, detail: fmt.Sprintf(format, args...)}
}

// Ended returns the failure of an operation on a program that has ended and
// is no longer kept.
func Ended(id ID) error { return newError(ReasonEnded, id, "program has ended") }

// Reason returns why the operation was refused.
func (e *Error) Reason() Reason { return e.reason }

// Program returns the program the operation was for.
func (e *Error) Program() ID { return e.program }

// Error returns "program ID: reason: detail".
func (e *Error) Error() string {
	return fmt.Sprintf("program %s: %s: %s", e.program, e.reason, e.detail)
}
