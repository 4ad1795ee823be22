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

// begin takes the program's next call under the program's lock: it
// replays the answer of a call that already ran, or checks order and
// reserves cost(history) tokens, and registers the cancel function that
// ending the program calls. It returns the history the call runs on, read
// under the same lock so no other call's turn can slip in between.
//
// A turn still pending is made durable first: until it is, neither its
// answer nor a call that builds on it may go out.
func (e *Entry) begin(ctx context.Context, o *owned, seq uint64, cancel context.CancelFunc, cost func([]program.Message) int64) (replay *caller.Answer, history []program.Message, err error) {
	if err := e.persist(ctx, o); err != nil {
		o.mu.Lock()
		ran := o.last != nil && o.last.seq == seq
		o.mu.Unlock()
		if ran {
			return nil, nil, err
		}
		return nil, nil, caller.NewError(http.StatusServiceUnavailable, caller.TypeUnavailable, "not run: %v", err).RetryAfter(comeBack())
	}
	replay, history, err = e.start(o, seq, cancel, cost)
	if replay != nil {
		if err := e.confirm(ctx, o); err != nil {
			return nil, nil, err
		}
	}
	return replay, history, err
}

// start is begin's part under the program's lock.
func (e *Entry) start(o *owned, seq uint64, cancel context.CancelFunc, cost func([]program.Message) int64) (replay *caller.Answer, history []program.Message, err error) {
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

// finish settles the call, appends its turn, and makes the turn durable.
// On an error the answer must not be given yet: the turn is not known to
// be in the log that a successor would read.
func (e *Entry) finish(ctx context.Context, o *owned, ans caller.Answer, used int64, msgs ...program.Message) error {
	o.mu.Lock()
	o.prog.Finish(ans.Sequence, used, msgs...)
	o.last = &lastAnswer{seq: ans.Sequence, answer: ans}
	o.cancel = nil
	e.stageTurn(o)
	o.mu.Unlock()
	if err := e.persist(ctx, o); err != nil {
		return err
	}
	return e.confirm(ctx, o)
}

// confirm returns nil if an answer of the program may leave this instance:
// the lease outlasted the write of its record. It holds for an answer given
// again as for one given first, since the first may not have left.
func (e *Entry) confirm(ctx context.Context, o *owned) error {
	err := e.confirmLease(ctx, o)
	var lost *LeaseError
	if errors.As(err, &lost) {
		return caller.NewError(http.StatusBadGateway, caller.TypeUpstreamFailed, "the program moved to another instance during the call; send the same sequence again").RetryAfter(time.Second)
	}
	if err != nil {
		return &NotDurableError{program: o.prog.ID()}
	}
	return nil
}

// abort ends call seq without a turn, charging the used tokens an engine
// had already spent on it.
func (e *Entry) abort(ctx context.Context, o *owned, seq uint64, used int64) {
	o.mu.Lock()
	o.prog.Abort(seq, used)
	o.cancel = nil
	charged := used > 0
	if charged {
		e.stageTurn(o)
	}
	o.mu.Unlock()
	if charged {
		// If this fails the record stays pending and the next call writes
		// it first.
		_ = e.persist(ctx, o)
	}
}

func (e *Entry) programCall(w http.ResponseWriter, r *http.Request, o *owned) {
	var req caller.Call
	if cerr := decodeBody(r, &req); cerr != nil {
		cerr.Write(w)
		return
	}
	start := e.clock.Now()
	e.metrics.calls.Inc(1)
	var ans *caller.Answer
	var err error
	switch req.Kind {
	case caller.CallModel:
		ans, err = e.runModelCall(r.Context(), o, &req)
	case caller.CallTool:
		ans, err = e.runToolCall(r.Context(), o, &req)
	default:
		err = caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "kind %q, want model or tool", req.Kind)
	}
	e.metrics.latency.Record(e.clock.Now().Sub(start))
	id := r.PathValue("id")
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
	user := program.Message{Role: "user", Content: req.Content}
	ctx, cancel := e.callContext(ctx, o.prog)
	defer cancel()
	replay, history, err := e.begin(ctx, o, req.Sequence, cancel, func(h []program.Message) int64 {
		return engine.PromptTokens(h) + engine.PromptTokens([]program.Message{user}) + int64(limit)
	})
	if replay != nil || err != nil {
		return replay, err
	}
	got, res := e.modelCall(ctx, o, req.Sequence, req.Model, append(history, user), limit, nil)
	if res.outcome != outcomeDone {
		e.abort(ctx, o, req.Sequence, got.used())
		return nil, failure(res)
	}
	ans := caller.Answer{Program: string(o.prog.ID()), Sequence: req.Sequence, Kind: caller.CallModel,
		Content: got.content.String(), Usage: got.usage, Endpoint: res.endpoint}
	if err := e.finish(ctx, o, ans, got.used(), user, program.Message{Role: "assistant", Content: ans.Content}); err != nil {
		return nil, err
	}
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

func isReason(err error, reason program.Reason) bool {
	var pe *program.Error
	return errors.As(err, &pe) && pe.Reason() == reason
}

func rawOr(args json.RawMessage, fallback string) json.RawMessage {
	if len(args) == 0 {
		return json.RawMessage(fallback)
	}
	return args
}
