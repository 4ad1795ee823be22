package store

import (
	"errors"
	"fmt"
)

// Failure is the kind of a failed call.
type Failure int

//go:generate stringer -type=Failure -trimprefix=Failure

// Failures of a call to the store.
const (
	// FailureUnanswered: the call was sent and no whole answer came. A
	// write may have been applied, or may be applied seconds later if its
	// conditions still hold.
	FailureUnanswered Failure = iota
	// FailureUnreachable: the call never left this process.
	FailureUnreachable
	// FailureRefused: the store said that it did nothing.
	FailureRefused
	// FailureThrottled: refused for coming too fast; nothing was done.
	FailureThrottled
	// FailureConflict: a condition did not hold; nothing was done.
	FailureConflict
	// FailureCompacted: the history asked for is gone; read the whole.
	FailureCompacted
	// FailureInvalid: the store called the request wrong, or its answer
	// could not be decoded.
	FailureInvalid
)

// Error is a failed call to the store.
type Error struct {
	failure Failure
	op      string
	detail  string
	rows    []Row
}

// NewError returns an error of a call named op.
func NewError(failure Failure, op, detail string) *Error {
	return &Error{failure: failure, op: op, detail: detail}
}

// NewConflict returns the failure of a transaction whose conditions did not
// hold, with the rows that stand in their place.
func NewConflict(op string, rows []Row) *Error {
	return &Error{failure: FailureConflict, op: op, rows: rows}
}

// Failure returns the kind of failure.
func (e *Error) Failure() Failure { return e.failure }

// Rows returns, for a conflict, the rows named in conditions as they are.
func (e *Error) Rows() []Row { return e.rows }

// Error returns "store OP: FAILURE: DETAIL".
func (e *Error) Error() string {
	if e.detail == "" {
		return fmt.Sprintf("store %s: %s", e.op, e.failure)
	}
	return fmt.Sprintf("store %s: %s: %s", e.op, e.failure, e.detail)
}

// Is reports whether err is an *Error of the given kind.
func Is(err error, failure Failure) bool {
	var se *Error
	return errors.As(err, &se) && se.failure == failure
}

// Unserved reports whether err says that the store did not serve the call,
// or that its answer was lost: another way to the store may do better.
func Unserved(err error) bool {
	var se *Error
	if !errors.As(err, &se) {
		return false
	}
	switch se.failure {
	case FailureUnanswered, FailureUnreachable, FailureRefused, FailureThrottled:
		return true
	}
	return false
}
