package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/route"
)

// RequestInfo holds the request metadata decoded from a caller's headers.
type RequestInfo struct {
	// ID identifies this attempt of the request.
	ID string
	// Key is the organisation's key; the zero value if the caller sent none.
	Key route.Key
	// Deadline is how long the caller waits for the response; 0 if not
	// specified.
	Deadline time.Duration
	// Program is the program that the request belongs to, and Session the
	// sequence of turns within it. Both are empty for a request of no program.
	Program, Session string
	// Finish is the time in which the program should finish; 0 if unknown.
	Finish time.Duration
	// Budget is the number of tokens that all turns of the program may
	// generate; 0 if the request is not a turn.
	Budget int64
	// PromptTokens is the size of the prompt, and MaxTokens the maximum that
	// the turn may generate.
	PromptTokens, MaxTokens int64
	// Previous is the ID of the turn that this one continues; empty for the
	// first turn.
	Previous string
	// Resumes is the ID of the attempt that brought the first event of the stream
	// that the request resumes, and LastEvent the ID of the last event that the
	// caller received. Both are empty for a new stream; callers that do not name
	// the attempt send LastEvent alone.
	Resumes, LastEvent string
	// Segments are the segments of the prompt, in order.
	Segments []balance.Part
}

// HeaderError is returned when a caller's header cannot be parsed.
type HeaderError struct {
	header, value string
}

// NewHeaderError returns an error for the named header and its value.
func NewHeaderError(header, value string) *HeaderError {
	return &HeaderError{header: header, value: value}
}

// Error returns the header's name and its value.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s: bad value %q", e.header, abbreviate(e.value))
}

// ForwardInfo holds the metadata that the gateway adds to a request for an endpoint.
type ForwardInfo struct {
	// Endpoint is the ID of the intended endpoint; any other one must reject
	// the request.
	Endpoint string
	// Organisation is the name of the caller's organisation; empty if the
	// caller sent no key.
	Organisation string
	// Deadline is the time remaining for the endpoint's response.
	Deadline time.Duration
}

// ResponseInfo holds the metadata decoded from an endpoint's response.
type ResponseInfo struct {
	// NotRun is set if the endpoint did not run the request and never will.
	NotRun bool
	// Misdirected is set if the address now belongs to another endpoint.
	Misdirected bool
	// Stamped is set if the response carries an endpoint's stamp. A response
	// without one was not produced by an endpoint.
	Stamped bool
	// Load is the load that the endpoint reports; nil if it reports none.
	Load *balance.Load
}

// Dialect translates between HTTP headers and request metadata.
type Dialect interface {
	// Decode returns the metadata in a caller's headers, or a *HeaderError if
	// they are malformed.
	Decode(header http.Header) (*RequestInfo, error)
	// Prepare changes a copy of a caller's headers into those for an endpoint.
	// It removes headers that only the gateway may set.
	Prepare(header http.Header, send ForwardInfo)
	// ResponseInfo returns the metadata of an endpoint's response.
	ResponseInfo(status int, header http.Header) ResponseInfo
	// HealthHeader returns the header of a health check of an endpoint. Any other
	// endpoint at the address must reject it.
	HealthHeader(endpoint string) http.Header
	// IsFrom reports whether the response to a health check comes from the endpoint,
	// whatever it says.
	IsFrom(endpoint string, status int, header http.Header) bool
	// IDHeader returns the name of the header that carries the request ID in
	// both requests and responses.
	IDHeader() string
}
