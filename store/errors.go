package store

import (
	"errors"
	"fmt"
)

// Failure is the kind of failure of a call to the store.
type Failure int

//go:generate stringer -type=Failure -trimprefix=Failure

// The kinds of failure of a call to the store.
const (
	// FailureUnanswered means that the call was sent and no complete response
	// arrived. A write may have been applied, or may be applied seconds later
	// if its conditions still hold.
	FailureUnanswered Failure = iota
	// FailureUnreachable means that the call never left this process.
	FailureUnreachable
	// FailureRefused means that the store, or a Guard before it, rejected the
	// call; nothing was done.
	FailureRefused
	// FailureThrottled means that the store rejected the call because of its
	// rate limit; nothing was done.
	FailureThrottled
	// FailureConflict means that a condition of the transaction did not hold;
	// nothing was done.
	FailureConflict
	// FailureCompacted means that the requested part of the change history has
	// been compacted; the caller must read the full table instead.
	FailureCompacted
	// FailureInvalid means that the store rejected the request as malformed,
	// or that its response could not be decoded.
	FailureInvalid
)

// Error is the error of a failed call to the store.
type Error struct {
	failure Failure
	op      string
	detail  string
	rows    []Row
}

// NewError returns an Error for the operation op.
func NewError(failure Failure, op, detail string) *Error {
	return &Error{failure: failure, op: op, detail: detail}
}

// NewConflict returns the error of a transaction whose conditions did not
// hold. The rows are the current versions of those named in its conditions.
func NewConflict(op string, rows []Row) *Error {
	return &Error{failure: FailureConflict, op: op, rows: rows}
}

// Failure returns the kind of failure.
func (e *Error) Failure() Failure { return e.failure }

// Rows returns the current rows named in the conditions of the transaction if
// the failure is a conflict, else nil.
func (e *Error) Rows() []Row { return e.rows }

// Error returns "store OP: FAILURE: DETAIL", without the detail if it is empty.
func (e *Error) Error() string {
	if e.detail == "" {
		return fmt.Sprintf("store %s: %s", e.op, e.failure)
	}
	return fmt.Sprintf("store %s: %s: %s", e.op, e.failure, e.detail)
}

// Is reports whether err is an *Error of the given kind.
func Is(err error, failure Failure) bool {
	var storeErr *Error
	return errors.As(err, &storeErr) && storeErr.failure == failure
}

// Unserved reports whether err means that the store did not serve the call or
// that its response was lost. The call may succeed through another route to the
// store.
func Unserved(err error) bool {
	var storeErr *Error
	if !errors.As(err, &storeErr) {
		return false
	}
	switch storeErr.failure {
	case FailureUnanswered, FailureUnreachable, FailureRefused, FailureThrottled:
		return true
	}
	return false
}
