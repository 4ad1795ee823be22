package upstream

import "fmt"

// Stage is the stage of the exchange in which a request failed.
type Stage int

//go:generate stringer -type=Stage -trimprefix=Stage

// Stages of an exchange.
const (
	// StageConnect means that no connection was made and nothing was sent.
	StageConnect Stage = iota
	// StageSend means that some or all of the request may have been sent, so
	// the endpoint may execute it.
	StageSend
	// StageHead means that the data received is not a response to this request.
	StageHead
	// StageBody means that the response ended early.
	StageBody
)

// Error is returned when a request to an endpoint fails.
type Error struct {
	stage   Stage
	address string
	err     error
}

// Stage returns the stage in which the request failed.
func (e *Error) Stage() Stage { return e.stage }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Error returns "endpoint ADDRESS: STAGE: CAUSE".
func (e *Error) Error() string { return fmt.Sprintf("endpoint %s: %s: %v", e.address, e.stage, e.err) }

// ResponseMismatchError is the cause of an Error if the response carries the ID
// of another request.
type ResponseMismatchError struct {
	want, got string
}

// Error returns both IDs.
func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("response carries request ID %q, expected %q", e.got, e.want)
}
