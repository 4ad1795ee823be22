package upstream

import "fmt"

// Stage says how far a request got before it failed.
type Stage int

//go:generate stringer -type=Stage -trimprefix=Stage

// Stages.
const (
	// StageConnect: there was no connection; nothing was sent.
	StageConnect Stage = iota
	// StageSend: some or all of the request was sent; it may run.
	StageSend
	// StageHead: what came is not the answer to this request.
	StageHead
	// StageBody: the answer broke off.
	StageBody
)

// Error is a failed request to an endpoint.
type Error struct {
	stage   Stage
	address string
	err     error
}

// Stage returns how far the request got.
func (e *Error) Stage() Stage { return e.stage }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Error returns "endpoint ADDRESS: STAGE: CAUSE".
func (e *Error) Error() string { return fmt.Sprintf("endpoint %s: %s: %v", e.address, e.stage, e.err) }

// ForeignAnswerError is an answer that carries another request's ID.
type ForeignAnswerError struct {
	want, got string
}

// Error names both IDs.
func (e *ForeignAnswerError) Error() string {
	return fmt.Sprintf("answer of request %q in place of %q", e.got, e.want)
}
