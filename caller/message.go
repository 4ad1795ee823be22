package caller

import (
	"encoding/json"

	"github.com/wagtaildrum/wagtaildrum/engine"
)

// ProgramHeader and SequenceHeader are the headers that make a request to POST
// /v1/chat/completions a call of a program: its ID and the call's sequence
// number.
const (
	ProgramHeader  = "Wagtaildrum-Program"
	SequenceHeader = "Wagtaildrum-Sequence"
)

// CreateProgramRequest is the body of POST /v1/programs, which creates a program with
// a budget in tokens.
type CreateProgramRequest struct {
	ID           string `json:"id"`
	BudgetTokens int64  `json:"budget_tokens"`
	// Urgency is "background", "normal" (the default) or "urgent".
	Urgency string `json:"urgency,omitempty"`
	// Deadline is the time from creation to the program's deadline as a Go
	// duration such as "90s". Empty means no deadline.
	Deadline string `json:"deadline,omitempty"`
	// NonIdempotentTools lists tools that must not be run again when the
	// outcome of a call is unknown.
	NonIdempotentTools []string `json:"non_idempotent_tools,omitempty"`
}

// ProgramState is the response to GET /v1/programs/{id}. Owner is the instance
// that holds the program's lease, Fence the fencing token of the lease.
type ProgramState struct {
	ID           string `json:"id"`
	State        string `json:"state"`
	Urgency      string `json:"urgency"`
	NextSequence uint64 `json:"next_sequence"`
	BudgetTokens int64  `json:"budget_tokens"`
	SpentTokens  int64  `json:"spent_tokens"`
	HistoryTurns int    `json:"history_turns"`
	Owner        string `json:"owner"`
	Fence        uint64 `json:"fence"`
}

// CallKind is the kind of a program call: a model call or a tool call.
type CallKind string

// Call kinds.
const (
	CallModel CallKind = "model"
	CallTool  CallKind = "tool"
)

// Call is the body of POST /v1/programs/{id}/calls. A model call appends Content
// to the program's history as a user message and requests a completion of the
// full history from Model. A tool call runs Tool with Arguments and appends the
// result to the history.
type Call struct {
	Sequence  uint64          `json:"sequence"`
	Kind      CallKind        `json:"kind"`
	Model     string          `json:"model,omitempty"`
	Content   string          `json:"content,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
	Tool      string          `json:"tool,omitempty"`
	Arguments json.RawMessage `json:"arguments,omitempty"`
}

// Response is the response to a Call. Content and Usage are set for a model call,
// Tool and Result for a tool call. Endpoint is the endpoint that served it.
type Response struct {
	Program  string          `json:"program"`
	Sequence uint64          `json:"sequence"`
	Kind     CallKind        `json:"kind"`
	Content  string          `json:"content,omitempty"`
	Tool     string          `json:"tool,omitempty"`
	Result   json.RawMessage `json:"result,omitempty"`
	Usage    *engine.Usage   `json:"usage,omitempty"`
	Endpoint string          `json:"endpoint"`
	// Replayed reports whether this is the recorded response of an earlier
	// request with the same sequence number, returned instead of running the
	// call again.
	Replayed bool `json:"replayed,omitempty"`
}
