package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/engine"
	"github.com/wagtaildrum/wagtaildrum/program"
)

// begin starts the program's call seq, or returns the stored answer as replay
// if the call has already run. It checks the call order, reserves
// cost(history) tokens, and registers cancel, which is invoked when the
// program ends. The returned history is read under the same lock, so that no
// turn of another call can be appended in between.
//
// A pending turn is made durable first: until then neither its answer nor a
// call that builds on it may leave this instance. begin fails if that write
// does not complete in time, or if the program refuses the call.
func (e *Entry) begin(ctx context.Context, o *ownedProgram, seq uint64, cancel context.CancelFunc, cost func([]program.Message) int64) (replay *caller.Response, history []program.Message, err error) {
	if err := e.persist(ctx, o); err != nil {
		o.mu.Lock()
		ran := o.last != nil && o.last.seq == seq
		o.mu.Unlock()
		if ran {
			return nil, nil, err
		}
		return nil, nil, caller.NewError(http.StatusServiceUnavailable, caller.TypeUnavailable, "not run: %v", err).WithRetryAfter(unavailableRetryAfter())
	}
	replay, history, err = e.beginLocked(o, seq, cancel, cost)
	if replay != nil {
		if err := e.confirmOwnership(ctx, o); err != nil {
			return nil, nil, err
		}
	}
	return replay, history, err
}

// beginLocked is the section of begin that runs under the program's lock. It
// returns either the stored answer or the history, and fails with a
// *program.Error if the call is refused.
func (e *Entry) beginLocked(o *ownedProgram, seq uint64, cancel context.CancelFunc, cost func([]program.Message) int64) (replay *caller.Response, history []program.Message, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.last != nil && o.last.seq == seq && o.prog.NextSequence() == seq+1 && o.pending == nil {
		again := o.last.answer
		again.Replayed = true
		return &again, nil, nil
	}
	history = o.prog.History()
	if err := o.prog.Begin(seq, cost(history), e.clock.Now()); err != nil {
		return nil, nil, err
	}
	o.cancel = cancel
	return nil, history, nil
}

// finish settles the call, appends its turn to the history and makes the turn
// durable. If it returns an error, the answer must not be sent: the turn may
// be missing from the log that a new owner would read.
func (e *Entry) finish(ctx context.Context, o *ownedProgram, ans caller.Response, used int64, msgs ...program.Message) error {
	o.mu.Lock()
	o.prog.Finish(ans.Sequence, used, msgs...)
	o.last = &lastAnswer{seq: ans.Sequence, answer: ans}
	o.cancel = nil
	e.stageTurn(o)
	o.mu.Unlock()
	if err := e.persist(ctx, o); err != nil {
		return err
	}
	return e.confirmOwnership(ctx, o)
}

// confirmOwnership returns nil if an answer of the program may be sent, which
// requires that the lease outlasted the write of the turn's record. The check
// applies to a replayed answer as well, since the original one may not have
// been sent. It returns a *caller.Error if another instance holds the lease,
// and a *NotDurableError if the lease could not be checked.
func (e *Entry) confirmOwnership(ctx context.Context, o *ownedProgram) error {
	err := e.confirmLease(ctx, o)
	var lost *LeaseError
	if errors.As(err, &lost) {
		return caller.NewError(http.StatusBadGateway, caller.TypeUpstreamFailed, "another instance took over the program during the call; send the same sequence number again").WithRetryAfter(time.Second)
	}
	if err != nil {
		return &NotDurableError{program: o.prog.ID()}
	}
	return nil
}

// abort ends call seq without a turn and charges the tokens that an engine
// spent on it.
func (e *Entry) abort(ctx context.Context, o *ownedProgram, seq uint64, used int64) {
	o.mu.Lock()
	o.prog.Abort(seq, used)
	o.cancel = nil
	charged := used > 0
	if charged {
		e.stageTurn(o)
	}
	o.mu.Unlock()
	if charged {
		// On failure the record stays pending, and the next call writes it
		// before it begins.
		_ = e.persist(ctx, o)
	}
}

// programCall serves POST /v1/programs/{id}/calls: a model or tool call of
// the program.
func (e *Entry) programCall(w http.ResponseWriter, r *http.Request, o *ownedProgram) {
	var req caller.Call
	if cerr := decodeBody(r, &req); cerr != nil {
		cerr.Write(w)
		return
	}
	start := e.clock.Now()
	e.metrics.calls.Inc(1)
	var ans *caller.Response
	var err error
	switch req.Kind {
	case caller.CallModel:
		ans, err = e.runModelCall(r.Context(), o, &req)
	case caller.CallTool:
		ans, err = e.runToolCall(r.Context(), o, &req)
	default:
		err = caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "kind is %q, want model or tool", req.Kind)
	}
	e.metrics.latency.Record(e.clock.Now().Sub(start))
	id := r.PathValue("id")
	if err != nil {
		e.metrics.failed.Inc(1)
		e.log.Info("program call failed", "program", id, "seq", req.Sequence, "kind", req.Kind, "err", err)
		apiError(err).Write(w)
		return
	}
	e.log.Info("program call completed", "program", id, "seq", req.Sequence, "kind", req.Kind, "endpoint", ans.Endpoint, "replayed", ans.Replayed)
	writeJSON(w, http.StatusOK, ans)
}

// callContext returns a context that ends at the call timeout or the
// program's deadline, whichever is earlier.
func (e *Entry) callContext(parent context.Context, p *program.Program) (context.Context, context.CancelFunc) {
	timeout := e.callTimeout
	if dl := p.Deadline(); !dl.IsZero() {
		timeout = min(timeout, dl.Sub(e.clock.Now()))
	}
	return context.WithTimeout(parent, timeout)
}

// runModelCall runs a model call of the program and returns its answer, or
// the stored answer if the call has already run.
func (e *Entry) runModelCall(ctx context.Context, o *ownedProgram, req *caller.Call) (*caller.Response, error) {
	if req.Model == "" || req.Content == "" {
		return nil, caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "a model call requires model and content")
	}
	limit := req.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	user := program.Message{Role: "user", Content: req.Content}
	ctx, cancel := e.callContext(ctx, o.prog)
	defer cancel()
	replay, history, err := e.begin(ctx, o, req.Sequence, cancel, func(h []program.Message) int64 {
		return engine.EstimatePromptTokens(h) + engine.EstimatePromptTokens([]program.Message{user}) + int64(limit)
	})
	if replay != nil || err != nil {
		return replay, err
	}
	got, res := e.modelCall(ctx, o, req.Sequence, req.Model, append(history, user), limit, nil)
	if res.outcome != outcomeDone {
		e.abort(ctx, o, req.Sequence, got.usedTokens())
		return nil, dispatchError(res)
	}
	ans := caller.Response{Program: string(o.prog.ID()), Sequence: req.Sequence, Kind: caller.CallModel,
		Content: got.content.String(), Usage: got.usage, Endpoint: res.endpoint}
	if err := e.finish(ctx, o, ans, got.usedTokens(), user, program.Message{Role: "assistant", Content: ans.Content}); err != nil {
		return nil, err
	}
	return &ans, nil
}

// dispatchError returns the caller's error for a dispatch that did not
// complete. Only a refusal guarantees that the call was not run.
func dispatchError(res dispatchResult) error {
	if res.outcome == outcomeRefused {
		return refusalError(res)
	}
	return caller.NewError(http.StatusBadGateway, caller.TypeUpstreamFailed, "endpoint %s: %v", res.endpoint, res.err).WithRetryAfter(time.Second)
}

// hasReason reports whether err is a *program.Error of the given reason.
func hasReason(err error, reason program.Reason) bool {
	var pe *program.Error
	return errors.As(err, &pe) && pe.Reason() == reason
}

// argumentsOr returns args, or fallback if args is empty.
func argumentsOr(args json.RawMessage, fallback string) json.RawMessage {
	if len(args) == 0 {
		return json.RawMessage(fallback)
	}
	return args
}
