package caller

import (
	"encoding/json"

	"github.com/wagtaildrum/wagtaildrum/engine"
)

// Headers a caller sets on POST /v1/chat/completions to make the call part
// of a program.
const (
	ProgramHeader  = "Wagtaildrum-Program"
	SequenceHeader = "Wagtaildrum-Sequence"
)

// CreateProgram is the body of POST /v1/programs.
type CreateProgram struct {
	ID           string `json:"id"`
	BudgetTokens int64  `json:"budget_tokens"`
	// Urgency is "background", "normal" (the default) or "urgent".
	Urgency string `json:"urgency,omitempty"`
	// Deadline is a Go duration such as "90s" from creation; empty: none.
	Deadline           string   `json:"deadline,omitempty"`
	NonIdempotentTools []string `json:"non_idempotent_tools,omitempty"`
}

// ProgramState answers GET /v1/programs/{id}.
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

// CallKind names what a program call does.
type CallKind string

// Call kinds.
const (
	CallModel CallKind = "model"
	CallTool  CallKind = "tool"
)

// Call is the body of POST /v1/programs/{id}/calls. A model call appends
// Content as the user's message to the program's history and asks Model
// to answer the whole history; a tool call runs Tool with Arguments and
// appends the result to the history.
type Call struct {
	Sequence  uint64          `json:"sequence"`
	Kind      CallKind        `json:"kind"`
	Model     string          `json:"model,omitempty"`
	Content   string          `json:"content,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
	Tool      string          `json:"tool,omitempty"`
	Arguments json.RawMessage `json:"arguments,omitempty"`
}

// Answer answers a program call.
type Answer struct {
	Program  string          `json:"program"`
	Sequence uint64          `json:"sequence"`
	Kind     CallKind        `json:"kind"`
	Content  string          `json:"content,omitempty"`
	Tool     string          `json:"tool,omitempty"`
	Result   json.RawMessage `json:"result,omitempty"`
	Usage    *engine.Usage   `json:"usage,omitempty"`
	Endpoint string          `json:"endpoint"`
	// Replayed is true when the call had already run and this is its
	// recorded answer, given again instead of running it twice.
	Replayed bool `json:"replayed,omitempty"`
}
