package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ErrorType is the machine-readable kind of an API error.
type ErrorType string

// Error types. Those marked "not run" guarantee the call had no effect.
const (
	TypeInvalidRequest ErrorType = "invalid_request_error" // not run
	TypeNotFound       ErrorType = "not_found"             // not run
	TypeExists         ErrorType = "already_exists"        // not run
	TypeOutOfOrder     ErrorType = "out_of_order"          // not run
	TypeOverBudget     ErrorType = "over_budget"           // not run
	TypeEnded          ErrorType = "program_ended"         // not run
	TypePastDeadline   ErrorType = "past_deadline"         // not run
	TypeOverloaded     ErrorType = "overloaded"            // not run
	TypeUnavailable    ErrorType = "unavailable"           // not run
	// TypeUpstreamFailed: an idempotent call failed after it started; it
	// may be sent again with the same sequence.
	TypeUpstreamFailed ErrorType = "upstream_failed"
	// TypeNotDurable: the call ran and its answer is kept, but the record
	// of it is not durable yet; the same sequence gets the answer later.
	TypeNotDurable ErrorType = "not_durable"
	// TypeOutcomeUnknown: a non-idempotent call may have run; it is never
	// run again. Read the program's state to learn more later.
	TypeOutcomeUnknown ErrorType = "outcome_unknown"
)

// Error is an API error, answered as {"error": {...}} in the shape
// OpenAI clients read, with a Retry-After header when the caller should
// come back.
type Error struct {
	status     int
	typ        ErrorType
	message    string
	retryAfter time.Duration
}

// NewError returns an error answered with HTTP status.
func NewError(status int, typ ErrorType, format string, args ...any) *Error {
	return &Error{status: status, typ: typ, message: fmt.Sprintf(format, args...)}
}

// RetryAfter sets when the caller should come back, and returns e.
func (e *Error) RetryAfter(d time.Duration) *Error {
	e.retryAfter = d
	return e
}

// Type returns the error's type.
func (e *Error) Type() ErrorType { return e.typ }

// Status returns the HTTP status.
func (e *Error) Status() int { return e.status }

// Error returns "TYPE: MESSAGE".
func (e *Error) Error() string { return string(e.typ) + ": " + e.message }

// ErrorBody is the JSON body of an API error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the inside of ErrorBody.
type ErrorDetail struct {
	Type    ErrorType `json:"type"`
	Message string    `json:"message"`
	// RetryAfterSeconds repeats the Retry-After header, when set.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// RetryAfterMillis is the same, not rounded up to whole seconds.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// Write answers the error at once.
func (e *Error) Write(w http.ResponseWriter) {
	body := ErrorBody{Error: ErrorDetail{Type: e.typ, Message: e.message}}
	if e.retryAfter > 0 {
		secs := int(math.Ceil(e.retryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(secs))
		body.Error.RetryAfterSeconds = secs
		body.Error.RetryAfterMillis = e.retryAfter.Milliseconds()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.status)
	_ = json.NewEncoder(w).Encode(body)
}
