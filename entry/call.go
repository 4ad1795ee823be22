package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/engine"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/routing"
)

// lastAnswer keeps the answer of a program's latest call, so a caller who
// lost it and sends the same sequence again gets it again instead of a
// second run.
type lastAnswer struct {
	seq    uint64
	answer caller.Answer
}

// begin takes the program's next call under the program's lock: it
// replays the answer of a call that already ran, or checks order and
// reserves cost(history) tokens, and registers the cancel function that
// ending the program calls. It returns the history the call runs on, read
// under the same lock so no other call's turn can slip in between.
func (e *Entry) begin(o *owned, seq uint64, cancel context.CancelFunc, cost func([]program.Message) int64) (replay *caller.Answer, history []program.Message, reserved int64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.last != nil && o.last.seq == seq && o.prog.NextSequence() == seq+1 {
		again := o.last.answer
		again.Replayed = true
		return &again, nil, 0, nil
	}
	history = o.prog.History()
	reserved = cost(history)
	if err := o.prog.Begin(seq, reserved, e.clock.Now()); err != nil {
		return nil, nil, 0, err
	}
	o.cancel = cancel
	return nil, history, reserved, nil
}

func noCost([]program.Message) int64 { return 0 }

func (e *Entry) finish(o *owned, ans caller.Answer, used int64, msgs ...program.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.prog.Finish(ans.Sequence, used, msgs...)
	o.last = &lastAnswer{seq: ans.Sequence, answer: ans}
	o.cancel = nil
}

func (e *Entry) abort(o *owned, seq uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.prog.Abort(seq)
	o.cancel = nil
}

func (e *Entry) programCall(w http.ResponseWriter, r *http.Request) {
	id := program.ID(r.PathValue("id"))
	o, ok := e.lookup(id)
	if !ok {
		caller.NewError(http.StatusNotFound, caller.TypeNotFound, "no program %q here", id).Write(w)
		return
	}
	var req caller.Call
	if cerr := decodeBody(r, &req); cerr != nil {
		cerr.Write(w)
		return
	}
	start := e.clock.Now()
	e.metrics.calls.Inc(1)
	var ans *caller.Answer
	err := e.holdLease(r.Context(), o)
	switch {
	case err != nil:
	case req.Kind == caller.CallModel:
		ans, err = e.runModelCall(r.Context(), o, &req)
	case req.Kind == caller.CallTool:
		ans, err = e.runToolCall(r.Context(), o, &req)
	default:
		err = caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "kind %q, want model or tool", req.Kind)
	}
	e.metrics.latency.Record(e.clock.Now().Sub(start))
	if err != nil {
		e.metrics.failed.Inc(1)
		e.log.Info("call refused", "program", id, "seq", req.Sequence, "kind", req.Kind, "err", err)
		apiError(err).Write(w)
		return
	}
	e.log.Info("call done", "program", id, "seq", req.Sequence, "kind", req.Kind, "endpoint", ans.Endpoint, "replayed", ans.Replayed)
	writeJSON(w, http.StatusOK, ans)
}

func (e *Entry) callContext(parent context.Context, p *program.Program) (context.Context, context.CancelFunc) {
	timeout := e.callTimeout
	if dl := p.Deadline(); !dl.IsZero() {
		timeout = min(timeout, dl.Sub(e.clock.Now()))
	}
	return context.WithTimeout(parent, timeout)
}

func (e *Entry) runModelCall(ctx context.Context, o *owned, req *caller.Call) (*caller.Answer, error) {
	if req.Model == "" || req.Content == "" {
		return nil, caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "a model call needs model and content")
	}
	limit := req.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	p := o.prog
	user := program.Message{Role: "user", Content: req.Content}
	ctx, cancel := e.callContext(ctx, p)
	defer cancel()
	replay, history, reserve, err := e.begin(o, req.Sequence, cancel, func(h []program.Message) int64 {
		return engine.PromptTokens(h) + engine.PromptTokens([]program.Message{user}) + int64(limit)
	})
	if replay != nil || err != nil {
		return replay, err
	}
	messages := append(history, user)
	got, res := e.modelCall(ctx, p, req.Sequence, req.Model, messages, limit, nil)
	if res.outcome != outcomeDone {
		e.abort(o, req.Sequence)
		return nil, failure(res)
	}
	ans := caller.Answer{Program: string(p.ID()), Sequence: req.Sequence, Kind: caller.CallModel,
		Content: got.content.String(), Usage: got.usage, Endpoint: res.endpoint}
	used := reserve
	if got.usage != nil {
		used = got.usage.TotalTokens
	}
	e.finish(o, ans, used, user, program.Message{Role: "assistant", Content: ans.Content})
	return &ans, nil
}

// failure turns a dispatch that did not complete into the caller's error.
// Only a refusal promises the call was not run.
func failure(res dispatchResult) error {
	if res.outcome == outcomeRefused {
		return refusalError(res)
	}
	return caller.NewError(http.StatusBadGateway, caller.TypeUpstreamFailed, "endpoint %s: %v", res.endpoint, res.err).RetryAfter(time.Second)
}

func (e *Entry) runToolCall(ctx context.Context, o *owned, req *caller.Call) (*caller.Answer, error) {
	if req.Tool == "" {
		return nil, caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "a tool call needs tool")
	}
	o.mu.Lock()
	p := o.prog
	nonIdempotent := p.IsNonIdempotent(req.Tool)
	o.mu.Unlock()
	ctx, cancel := e.callContext(ctx, p)
	defer cancel()
	if replay, _, _, err := e.begin(o, req.Sequence, cancel, noCost); replay != nil || err != nil {
		return replay, err
	}
	args := req.Arguments
	if len(args) == 0 {
		args = json.RawMessage("{}")
	}
	call := &peer.Call{Program: string(p.ID()), Sequence: req.Sequence, Fence: p.Fence(), Kind: peer.KindTool,
		Urgency: int(p.Spec().Urgency), Tool: req.Tool, Body: args,
		IdempotencyKey: fmt.Sprintf("%s/%d", p.ID(), req.Sequence)}
	if dl, ok := ctx.Deadline(); ok {
		call.Deadline = dl.UnixMilli()
	}
	var intent claim
	if nonIdempotent {
		var err error
		intent, err = e.claimIntent(ctx, p.ID(), req.Sequence, fmt.Sprintf("%s/%d/%d", e.id, p.Fence(), e.clock.Now().UnixNano()))
		if err != nil {
			e.abort(o, req.Sequence)
			return nil, err
		}
		if intent.existing != nil {
			return e.answerFromIntent(o, req, intent.existing)
		}
	}
	var result []byte
	res := e.dispatch(ctx, routing.Target{Tool: req.Tool}, string(p.ID()), call, func(data []byte) error {
		result = append(result, data...)
		return nil
	})
	ans := caller.Answer{Program: string(p.ID()), Sequence: req.Sequence, Kind: caller.CallTool, Result: result, Endpoint: res.endpoint}
	if nonIdempotent {
		e.settleIntentAfter(ctx, p.ID(), req.Sequence, intent.version, res, result)
	}
	switch res.outcome {
	case outcomeDone:
		e.finish(o, ans, 0, program.Message{Role: "tool", Content: req.Tool + ": " + string(result)})
		return &ans, nil
	case outcomeUnknown:
		if nonIdempotent {
			// Sent and cut off: it may have run. It is never sent again;
			// the sequence stays taken so the program cannot go on as if
			// it had not happened.
			e.abort(o, req.Sequence)
			return nil, caller.NewError(http.StatusBadGateway, caller.TypeOutcomeUnknown, "%s may have run on %s; it will not be run again: %v", req.Tool, res.endpoint, res.err)
		}
	}
	e.abort(o, req.Sequence)
	return nil, failure(res)
}

func (e *Entry) settleIntentAfter(ctx context.Context, id program.ID, seq, version uint64, res dispatchResult, result []byte) {
	// The caller's context may have ended; the record must still be
	// written, so it gets a context of its own.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer cancel()
	switch res.outcome {
	case outcomeDone:
		e.settleIntent(ctx, id, seq, version, intentRecord{State: intentDone, Endpoint: res.endpoint, Result: result})
	case outcomeRefused:
		e.settleIntent(ctx, id, seq, version, intentRecord{State: intentRefused})
	}
}

// answerFromIntent answers a non-idempotent call that an earlier attempt
// already claimed: with its recorded result if it finished, otherwise with
// outcome_unknown. It is never sent again.
func (e *Entry) answerFromIntent(o *owned, req *caller.Call, rec *intentRecord) (*caller.Answer, error) {
	if rec.State != intentDone {
		e.abort(o, req.Sequence)
		return nil, caller.NewError(http.StatusConflict, caller.TypeOutcomeUnknown, "%s call %d was already sent (%s); it will not be run again", req.Tool, req.Sequence, rec.State)
	}
	ans := caller.Answer{Program: string(o.prog.ID()), Sequence: req.Sequence, Kind: caller.CallTool, Result: rec.Result, Endpoint: rec.Endpoint, Replayed: true}
	e.finish(o, ans, 0, program.Message{Role: "tool", Content: req.Tool + ": " + string(rec.Result)})
	return &ans, nil
}
