package tableservice

import "fmt"

// Failure is the kind of a platform error.
type Failure int

//go:generate stringer -type=Failure -trimprefix=Failure

// Failures of a platform call.
const (
	// FailureUnavailable: the call failed or its answer was lost. For a
	// write, the write may or may not have taken effect: read it back.
	FailureUnavailable Failure = iota
	// FailureConflict: a conditional put found another version.
	FailureConflict
	// FailureNotFound: no such key.
	FailureNotFound
	// FailureThrottled: the platform refused the call for coming too fast;
	// it had no effect.
	FailureThrottled
	// FailureBadAnswer: the platform answered something undecodable.
	FailureBadAnswer
)

// Error is a failed platform call.
type Error struct {
	failure Failure
	op      string
	key     string
	// current is the version found, for FailureConflict.
	current uint64
	detail  string
}

// Failure returns the kind of failure.
func (e *Error) Failure() Failure { return e.failure }

// Current returns the version found by a conflicting put.
func (e *Error) Current() uint64 { return e.current }

// Error returns "platform OP KEY: FAILURE: DETAIL".
func (e *Error) Error() string {
	return fmt.Sprintf("platform %s %s: %s: %s", e.op, e.key, e.failure, e.detail)
}

// Is reports whether err is a platform *Error of failure f.
func Is(err error, f Failure) bool {
	pe, ok := err.(*Error)
	return ok && pe.failure == f
}
