package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/wagtaildrum/wagtaildrum/retry"
)

// Reason says why a request was not served.
type Reason int

//go:generate stringer -type=Reason -trimprefix=Reason

// Reasons.
const (
	// ReasonNone: the request was served, or its endpoint's own failure was
	// passed on.
	ReasonNone Reason = iota
	// ReasonBadRequest: it cannot be understood.
	ReasonBadRequest
	// ReasonTooLarge: its body is larger than the limit.
	ReasonTooLarge
	// ReasonNoRoute: no route leads anywhere for its host and path.
	ReasonNoRoute
	// ReasonUnknownKey: no organisation holds the key that it shows.
	ReasonUnknownKey
	// ReasonQuota: its organisation has no request left for now.
	ReasonQuota
	// ReasonQuotaUnknown: what its organisation has left cannot be known here.
	ReasonQuotaUnknown
	// ReasonNoConfiguration: none was read yet.
	ReasonNoConfiguration
	// ReasonNoEndpoint: no endpoint of the service may take work.
	ReasonNoEndpoint
	// ReasonEndpointsFull: the endpoints asked did not run it.
	ReasonEndpointsFull
	// ReasonSpent: its program's budget does not hold it.
	ReasonSpent
	// ReasonBudgetHeld: other instances hold what is left of the budget.
	ReasonBudgetHeld
	// ReasonUnknownTurn: it continues a turn that does not exist.
	ReasonUnknownTurn
	// ReasonStoreAway: what it needs from the store cannot be had.
	ReasonStoreAway
	// ReasonEndpointFailed: it may have run, and the answer is lost.
	ReasonEndpointFailed
	// ReasonTimeout: its time is over.
	ReasonTimeout
	// ReasonCallerGone: the caller left.
	ReasonCallerGone
	// ReasonNotKept: the turn could not be made durable.
	ReasonNotKept
	// ReasonNoMemory: the bodies of requests under way take all the memory
	// that there is for them.
	ReasonNoMemory
)

// refusal is an answer of the system's own.
type refusal struct {
	reason Reason
	status int
	// after is when the caller may come back; 0 says nothing.
	after time.Duration
	cause error
}

// Error describes the refusal.
func (e *refusal) Error() string { return fmt.Sprintf("%s (%d): %v", e.reason, e.status, e.cause) }

// Unwrap returns the cause.
func (e *refusal) Unwrap() error { return e.cause }

func refuse(reason Reason, status int, after time.Duration, cause error) *refusal {
	return &refusal{reason: reason, status: status, after: after, cause: cause}
}

type errorBody struct {
	Error  string `json:"error"`
	Reason string `json:"reason"`
}

// write answers the caller with the refusal. Callers that were refused
// together are told to come back at different times.
func (e *refusal) write(w http.ResponseWriter) {
	if e.after > 0 {
		after := e.after + retry.Jitter(e.after/2)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	text := e.reason.String()
	if e.cause != nil {
		text = e.cause.Error()
	}
	body, err := json.Marshal(errorBody{Error: text, Reason: e.reason.String()})
	if err != nil {
		body = nil // a struct of two strings always encodes
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.status)
	_, _ = w.Write(body) // the caller may be gone; nothing depends on it
}
