package tableservice

import "fmt"

// Failure is the kind of a platform error.
type Failure int

//go:generate stringer -type=Failure -trimprefix=Failure

// Kinds of failure of a platform call.
const (
	// FailureUnavailable means that the call failed or its response was
	// lost. A write may or may not have taken effect, so the caller must
	// read the record back.
	FailureUnavailable Failure = iota
	// FailureConflict means that a conditional put found a version other
	// than the expected one.
	FailureConflict
	// FailureNotFound means that there is no record or object with the key.
	FailureNotFound
	// FailureThrottled means that the platform rejected the call because it
	// exceeded the rate limit. The call had no effect.
	FailureThrottled
	// FailureBadAnswer means that a request could not be built, for example
	// because its value has no JSON encoding.
	FailureBadAnswer
)

// Error is the error returned by a failed platform call.
type Error struct {
	failure Failure
	op      string
	key     string
	// currentVersion is the record's version for FailureConflict, otherwise 0.
	currentVersion uint64
	detail         string
}

// Failure returns the kind of failure.
func (e *Error) Failure() Failure { return e.failure }

// Current returns the record's version that a put or transaction conflicted
// with, or 0 for other kinds of failure.
func (e *Error) Current() uint64 { return e.currentVersion }

// Error returns a message of the form "platform OP KEY: FAILURE: DETAIL".
func (e *Error) Error() string {
	return fmt.Sprintf("platform %s %s: %s: %s", e.op, e.key, e.failure, e.detail)
}

// IsFailure reports whether err is an *Error of kind f. It does not unwrap err.
func IsFailure(err error, f Failure) bool {
	pe, ok := err.(*Error)
	return ok && pe.failure == f
}
