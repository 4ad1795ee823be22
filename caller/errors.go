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

// Error types. Those marked "not run" guarantee that the call had no effect.
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
	// TypeUpstreamFailed is the type for an idempotent call that failed after
	// it started. The caller may retry it with the same sequence number.
	TypeUpstreamFailed ErrorType = "upstream_failed"
	// TypeNotDurable is the type for a call that ran, and whose response is
	// retained but not yet durable. A retry with the same sequence number
	// returns the response later.
	TypeNotDurable ErrorType = "not_durable"
	// TypeOutcomeUnknown is the type for a non-idempotent call that may have
	// run. It is never run again; the program's state may show the outcome
	// later.
	TypeOutcomeUnknown ErrorType = "outcome_unknown"
)

// Error is an API error. It is written as {"error": {...}}, the form that
// OpenAI clients read, with a Retry-After header if a delay was set.
type Error struct {
	status     int
	typ        ErrorType
	message    string
	retryAfter time.Duration
}

// NewError returns an error with an HTTP status, a type and a formatted message.
func NewError(status int, typ ErrorType, format string, args ...any) *Error {
	return &Error{status: status, typ: typ, message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the delay after which the caller should retry, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.retryAfter = d
	return e
}

// Type returns the error's type.
func (e *Error) Type() ErrorType { return e.typ }

// Status returns the HTTP status of the response.
func (e *Error) Status() int { return e.status }

// Error returns the error's type and message as "TYPE: MESSAGE".
func (e *Error) Error() string { return string(e.typ) + ": " + e.message }

// ErrorBody is the JSON body of an API error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the value of "error" in an ErrorBody.
type ErrorDetail struct {
	Type    ErrorType `json:"type"`
	Message string    `json:"message"`
	// RetryAfterSeconds equals the Retry-After header, 0 if there is none.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// RetryAfterMillis is the same delay in milliseconds, without the header's
	// rounding up to seconds.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// Write writes the error to w as a complete response.
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
