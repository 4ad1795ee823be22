package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/wagtaildrum/wagtaildrum/retry"
)

// Reason identifies why the gateway refused a request.
type Reason int

//go:generate stringer -type=Reason -trimprefix=Reason

// Reasons, as they appear in logs, metrics and error responses.
const (
	// ReasonNone means that the request was served, or that the endpoint's own
	// error response was relayed.
	ReasonNone Reason = iota
	// ReasonBadRequest means that the headers or the body are malformed.
	ReasonBadRequest
	// ReasonTooLarge means that the body exceeds the size limit.
	ReasonTooLarge
	// ReasonNoRoute means that no route matches the host and path.
	ReasonNoRoute
	// ReasonUnknownKey means that no organisation has the caller's key.
	ReasonUnknownKey
	// ReasonQuota means that the organisation's quota is exhausted for now.
	ReasonQuota
	// ReasonQuotaUnknown means that the organisation's remaining quota could
	// not be determined.
	ReasonQuotaUnknown
	// ReasonNoConfiguration means that no configuration is loaded yet.
	ReasonNoConfiguration
	// ReasonNoEndpoint means that no endpoint of the service accepts requests.
	ReasonNoEndpoint
	// ReasonEndpointsFull means that none of the endpoints tried ran the
	// request, or that the service's queue rejected it.
	ReasonEndpointsFull
	// ReasonSpent means that the program's remaining budget is too small.
	ReasonSpent
	// ReasonBudgetHeld means that other instances hold the remaining budget.
	ReasonBudgetHeld
	// ReasonUnknownTurn means that the previous turn does not exist.
	ReasonUnknownTurn
	// ReasonStoreAway means that the store is unavailable and the request needs
	// it.
	ReasonStoreAway
	// ReasonEndpointFailed means that an endpoint may have run the request but
	// gave no usable response.
	ReasonEndpointFailed
	// ReasonTimeout means that the request's deadline passed.
	ReasonTimeout
	// ReasonCallerGone means that the caller closed its connection.
	ReasonCallerGone
	// ReasonNotKept means that the turn ran but could not be made durable.
	ReasonNotKept
	// ReasonNoMemory means that the bodies of requests in flight use all the
	// memory set aside for them.
	ReasonNoMemory
	// ReasonUnknownOrigin means that the software version at which the stream to
	// resume began could not be determined.
	ReasonUnknownOrigin
	// ReasonNoVersion means that no endpoint has the software version at which the
	// stream to resume began.
	ReasonNoVersion
	// ReasonOverloaded means that capacity is short and the program has not begun.
	ReasonOverloaded
	// ReasonQuarantined means that too many endpoints crashed under this request or
	// earlier attempts at it.
	ReasonQuarantined
	// ReasonCrashUnresolved means that too many endpoints may have crashed under this
	// request or earlier attempts at it.
	ReasonCrashUnresolved
	// ReasonShuttingDown means that the instance stops before the request's deadline.
	ReasonShuttingDown
)

// refusal is an error that the gateway itself reports to the caller, as opposed
// to an error response relayed from an endpoint.
type refusal struct {
	reason Reason
	status int
	// retryAfter is the delay that the Retry-After header names; 0 omits the
	// header.
	retryAfter time.Duration
	cause      error
}

// Error returns the reason, the HTTP status and the cause.
func (e *refusal) Error() string { return fmt.Sprintf("%s (%d): %v", e.reason, e.status, e.cause) }

// Unwrap returns the cause.
func (e *refusal) Unwrap() error { return e.cause }

// refuse returns a refusal; a retryAfter of 0 omits the Retry-After header.
func refuse(reason Reason, status int, retryAfter time.Duration, cause error) *refusal {
	return &refusal{reason: reason, status: status, retryAfter: retryAfter, cause: cause}
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error  string `json:"error"`
	Reason string `json:"reason"`
}

// write sends the refusal to the caller. It adds jitter to the retry delay, so
// that callers refused together don't retry together.
func (e *refusal) write(w http.ResponseWriter) {
	if e.retryAfter > 0 {
		retryAfter := e.retryAfter + retry.Jitter(e.retryAfter/2)
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	text := e.reason.String()
	if e.cause != nil {
		text = e.cause.Error()
	}
	body, err := json.Marshal(errorBody{Error: text, Reason: e.reason.String()})
	if err != nil {
		body = nil // encoding a struct of two strings cannot fail
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.status)
	_, _ = w.Write(body) // the caller may be gone; nothing depends on the write
}
