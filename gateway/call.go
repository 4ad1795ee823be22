package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/route"
)

// Call is what a caller says of a request beside its path and body.
type Call struct {
	// ID names this attempt of the request.
	ID string
	// Key is the organisation's that the caller showed; zero if none.
	Key route.Key
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// Program is the program that the request belongs to, Session its line
	// of turns; empty for a request of no program.
	Program, Session string
	// Finish is how long until the program should be finished; 0 if
	// unknown.
	Finish time.Duration
	// Budget is what all turns of the program may generate, in tokens; 0
	// if the request is no turn.
	Budget int64
	// PromptTokens and MaxTokens are the prompt's size and the most the
	// turn generates.
	PromptTokens, MaxTokens int64
	// Previous is the turn that this one continues; empty for the first.
	Previous string
	// Parts are the parts of the prompt, in order.
	Parts []balance.Part
}

// BadCallError is a request whose headers cannot be understood.
type BadCallError struct {
	header, value string
}

// NewBadCallError returns the error of a header's value.
func NewBadCallError(header, value string) *BadCallError {
	return &BadCallError{header: header, value: value}
}

// Error names the header and its value.
func (e *BadCallError) Error() string {
	return fmt.Sprintf("header %s: bad value %q", e.header, e.value)
}

// Send is what the system tells an endpoint beside the caller's headers.
type Send struct {
	// Endpoint is the ID that the endpoint must have to run the request.
	Endpoint string
	// Organisation is the name of the caller's; empty if it showed no key.
	Organisation string
	// Deadline is what is left for the endpoint.
	Deadline time.Duration
}

// Verdict is what an endpoint's answer says beside status and body.
type Verdict struct {
	// NotRun: the endpoint did not run the request and never will.
	NotRun bool
	// Misdirected: the address belongs to another endpoint now.
	Misdirected bool
	// Stamped: the answer is an endpoint's own.
	Stamped bool
	// Load is what the endpoint tells of itself, nil if nothing.
	Load *balance.Load
}

// Dialect translates the headers of callers and endpoints.
type Dialect interface {
	// Decode reads a caller's headers. It returns a *BadCallError if they
	// cannot be understood.
	Decode(header http.Header) (*Call, error)
	// Prepare changes a copy of a caller's headers into those for an
	// endpoint, without what only the system may say.
	Prepare(header http.Header, send Send)
	// Verdict reads an endpoint's answer.
	Verdict(status int, header http.Header) Verdict
	// IDHeader names the header that carries a request's ID both ways.
	IDHeader() string
}
