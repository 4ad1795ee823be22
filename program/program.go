package program

import (
	"slices"
	"time"
)

// ID identifies a program. It is chosen by the caller and unique within a
// deployment.
type ID string

// State is the stage of a program: running or ended.
type State int

//go:generate stringer -type=State -trimprefix=State

// States of a program.
const (
	StateRunning State = iota
	StateEnded
)

// Spec holds the parameters with which an operator or caller creates a
// program.
type Spec struct {
	ID                 ID
	BudgetTokens       int64
	Urgency            Urgency
	Deadline           time.Duration
	NonIdempotentTools []string
}

// Validate returns an *Error of ReasonBadSpec for the first invalid
// parameter, or nil if s is valid.
func (s Spec) Validate() error {
	switch {
	case s.ID == "":
		return newError(ReasonBadSpec, s.ID, "id is empty")
	case len(s.ID) > 128:
		return newError(ReasonBadSpec, s.ID, "id is longer than 128 bytes")
	case s.BudgetTokens <= 0:
		return newError(ReasonBadSpec, s.ID, "budget_tokens must be positive, got %d", s.BudgetTokens)
	case s.Deadline < 0:
		return newError(ReasonBadSpec, s.ID, "deadline must not be negative")
	}
	return nil
}

// Equal reports whether s and t hold the same parameters.
func (s *Spec) Equal(t *Spec) bool {
	return s.ID == t.ID && s.BudgetTokens == t.BudgetTokens && s.Urgency == t.Urgency && s.Deadline == t.Deadline &&
		slices.Equal(s.NonIdempotentTools, t.NonIdempotentTools)
}

// Message is one message of the conversation history. Role is a chat role of
// the engines' protocol ("system", "user", "assistant", "tool").
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Program holds the state of one agent program at its owner. It is not safe
// for concurrent use; the entry package guards each program by its own lock.
type Program struct {
	spec    Spec
	created time.Time
	state   State
	fence   uint64
	// nextSeq is the sequence number of the next call, or of the call in
	// flight if inFlight is set; spent counts the tokens charged and reserved
	// those held for the call in flight.
	nextSeq  uint64
	inFlight bool
	spent    int64
	reserved int64
	history  []Message
}

// New returns a running program for spec, created at now and owned under the
// lease with the fencing token fence. It returns an *Error if spec is
// invalid.
func New(spec Spec, now time.Time, fence uint64) (*Program, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	spec.NonIdempotentTools = slices.Clone(spec.NonIdempotentTools)
	return &Program{spec: spec, created: now, fence: fence, nextSeq: 1}, nil
}

// ID returns the program's ID.
func (p *Program) ID() ID { return p.spec.ID }

// Spec returns the parameters with which the program was created.
func (p *Program) Spec() Spec { return p.spec }

// State returns whether the program is running or has ended.
func (p *Program) State() State { return p.state }

// Created returns the time at which the program was created.
func (p *Program) Created() time.Time { return p.created }

// Fence returns the fencing token of the lease under which the program is
// owned.
func (p *Program) Fence() uint64 { return p.fence }

// RaiseFence sets the fencing token after a renewal of the owner's lease. Tokens
// only grow: a token lower than the current one is ignored.
func (p *Program) RaiseFence(fence uint64) {
	p.fence = max(p.fence, fence)
}

// NextSequence returns the sequence number that the next call must have.
func (p *Program) NextSequence() uint64 { return p.nextSeq }

// Spent returns the number of tokens charged to the budget by completed and
// aborted calls.
func (p *Program) Spent() int64 { return p.spent }

// Reserved returns the number of tokens reserved for the call in flight, or 0
// if there is none.
func (p *Program) Reserved() int64 { return p.reserved }

// History returns a copy of the conversation history, oldest message first.
func (p *Program) History() []Message { return slices.Clone(p.history) }

// Deadline returns the time by which the program must be completed, or the
// zero time if it has no deadline.
func (p *Program) Deadline() time.Time {
	if p.spec.Deadline == 0 {
		return time.Time{}
	}
	return p.created.Add(p.spec.Deadline)
}

// IsNonIdempotent reports whether tool is listed in the program's Spec as one
// whose calls must never be repeated.
func (p *Program) IsNonIdempotent(tool string) bool {
	return slices.Contains(p.spec.NonIdempotentTools, tool)
}

// Begin starts call seq and reserves the given number of tokens of the budget
// for it. Calls run one at a time and in order: seq must equal NextSequence
// and no call may be in flight. A call that cannot reserve its tokens is
// refused before it runs, which keeps the program within its budget even when
// calls compete for its last tokens. Begin returns an *Error if the call is
// refused.
func (p *Program) Begin(seq uint64, reserve int64, now time.Time) error {
	switch {
	case p.state == StateEnded:
		return newError(ReasonEnded, p.spec.ID, "program has ended")
	case seq != p.nextSeq || p.inFlight:
		return newError(ReasonOutOfOrder, p.spec.ID, "got call %d, want call %d (a call is in flight: %t)", seq, p.nextSeq, p.inFlight)
	case !p.Deadline().IsZero() && now.After(p.Deadline()):
		return newError(ReasonPastDeadline, p.spec.ID, "the deadline %s has passed", p.Deadline().Format(time.RFC3339))
	case p.spent+reserve > p.spec.BudgetTokens:
		return newError(ReasonOverBudget, p.spec.ID, "the call needs up to %d tokens, %d of the budget of %d remain",
			reserve, p.spec.BudgetTokens-p.spent, p.spec.BudgetTokens)
	}
	p.inFlight = true
	p.reserved = reserve
	return nil
}

// Finish settles call seq: it charges the used tokens, appends messages to
// the history and advances the sequence number. At most the reserved tokens
// are charged, so the budget holds even if an engine reports more. Finish
// does nothing if seq is not in flight.
func (p *Program) Finish(seq uint64, used int64, messages ...Message) {
	if !p.inFlight || seq != p.nextSeq {
		return
	}
	p.spent += min(used, p.reserved)
	p.reserved = 0
	p.inFlight = false
	p.nextSeq++
	p.history = append(p.history, messages...)
}

// Abort ends call seq without a turn: it charges the used tokens, which an
// engine generated before the call failed, and releases the remainder of the
// reservation. The caller may send the same sequence number again. Without
// the charge, a program whose calls keep failing midway would spend tokens
// without limit. Abort does nothing if seq is not in flight.
func (p *Program) Abort(seq uint64, used int64) {
	if !p.inFlight || seq != p.nextSeq {
		return
	}
	p.spent += min(used, p.reserved)
	p.reserved = 0
	p.inFlight = false
}

// End marks the program as ended. Calls are refused from then on.
func (p *Program) End() { p.state = StateEnded }
