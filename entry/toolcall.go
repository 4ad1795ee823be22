package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/routing"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// settleTimeout bounds the write of a non-idempotent call's outcome, and the
// write that marks a lease as ended.
const settleTimeout = 2 * time.Second

// zeroCost is the cost function of tool calls, which reserve no tokens.
func zeroCost([]program.Message) int64 { return 0 }

// runToolCall runs a tool call of the program and returns its answer, or the
// stored answer if the call has already run.
func (e *Entry) runToolCall(ctx context.Context, o *ownedProgram, req *caller.Call) (*caller.Response, error) {
	if req.Tool == "" {
		return nil, caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "a tool call requires tool")
	}
	nonIdempotent := o.prog.IsNonIdempotent(req.Tool)
	ctx, cancel := e.callContext(ctx, o.prog)
	defer cancel()
	replay, _, err := e.begin(ctx, o, req.Sequence, cancel, zeroCost)
	if nonIdempotent && hasReason(err, program.ReasonOutOfOrder) && o.isPast(req.Sequence) {
		// This may be a retry of a call that has already run, here or at a
		// previous owner. Answer it from the intent record and never run it.
		return e.replayIntent(ctx, o.prog.ID(), req, err)
	}
	if replay != nil || err != nil {
		return replay, err
	}
	if nonIdempotent {
		return e.runAtMostOnce(ctx, o, req)
	}
	result, res := e.dispatchTool(ctx, o, req)
	if res.outcome != outcomeDone {
		e.abort(ctx, o, req.Sequence, 0)
		return nil, dispatchError(res)
	}
	return e.finishTool(ctx, o, toolAnswer(o, req, result, res.endpoint))
}

// runAtMostOnce runs a non-idempotent call at most once: its intent record is
// durable before the call is sent, and any later attempt that finds the
// record does not send the call.
func (e *Entry) runAtMostOnce(ctx context.Context, o *ownedProgram, req *caller.Call) (*caller.Response, error) {
	id := o.prog.ID()
	claimant := fmt.Sprintf("%s/%d/%d", e.id, o.fence(), e.clock.Now().UnixNano())
	intent, err := e.claimIntent(ctx, id, req.Sequence, claimant)
	if err != nil {
		e.abort(ctx, o, req.Sequence, 0)
		return nil, err
	}
	if intent.existing != nil {
		return e.answerFromIntent(ctx, o, req, intent.existing)
	}
	result, res := e.dispatchTool(ctx, o, req)
	// The records of the outcome and of the turn are written concurrently;
	// the answer waits for both.
	settled := make(chan struct{})
	go func() {
		e.settleIntentForOutcome(ctx, id, req.Sequence, intent.version, res, result)
		close(settled)
	}()
	defer func() { <-settled }()
	switch res.outcome {
	case outcomeDone:
		return e.finishTool(ctx, o, toolAnswer(o, req, result, res.endpoint))
	case outcomeUnknown:
		// The call was sent and the connection failed, so it may have run.
		// Its intent record remains, so the call is never sent again.
		e.abort(ctx, o, req.Sequence, 0)
		return nil, caller.NewError(http.StatusBadGateway, caller.TypeOutcomeUnknown, "the call of %s may have run at endpoint %s; it will not be run again: %v", req.Tool, res.endpoint, res.err)
	}
	e.abort(ctx, o, req.Sequence, 0)
	return nil, dispatchError(res)
}

// dispatchTool dispatches a tool call and returns its response and the result
// of the dispatch.
func (e *Entry) dispatchTool(ctx context.Context, o *ownedProgram, req *caller.Call) ([]byte, dispatchResult) {
	call := &peer.Call{Sequence: req.Sequence, Kind: peer.KindTool, Tool: req.Tool, Body: argumentsOr(req.Arguments, "{}"),
		IdempotencyKey: fmt.Sprintf("%s/%d", o.prog.ID(), req.Sequence)}
	o.fillCall(call)
	if dl, ok := ctx.Deadline(); ok {
		call.Deadline = dl.UnixMilli()
	}
	var result toolResult
	route := &routing.Request{Target: routing.Target{Tool: req.Tool}, Key: call.Program}
	res := e.dispatch(ctx, route, call, &result, map[string]bool{})
	return result, res
}

// toolResult accumulates the response to a tool call. It implements
// responseSink.
type toolResult []byte

// write implements responseSink.
func (t *toolResult) write(piece []byte) error {
	*t = append(*t, piece...)
	return nil
}

// cachedTokens implements responseSink; a tool has no prefix cache.
func (t *toolResult) cachedTokens() int { return 0 }

// toolAnswer returns the answer to the tool call req with the given result.
func toolAnswer(o *ownedProgram, req *caller.Call, result []byte, endpoint string) caller.Response {
	return caller.Response{Program: string(o.prog.ID()), Sequence: req.Sequence, Kind: caller.CallTool, Tool: req.Tool, Result: result, Endpoint: endpoint}
}

// finishTool settles a tool call and returns ans once its turn is durable.
func (e *Entry) finishTool(ctx context.Context, o *ownedProgram, ans caller.Response) (*caller.Response, error) {
	turn := program.Message{Role: "tool", Content: ans.Tool + ": " + string(ans.Result)}
	if err := e.finish(ctx, o, ans, 0, turn); err != nil {
		return nil, err
	}
	return &ans, nil
}

// settleIntentForOutcome records the outcome of a dispatched call in its
// intent record. After an unknown outcome the record stays in state
// dispatched.
func (e *Entry) settleIntentForOutcome(ctx context.Context, id program.ID, seq, version uint64, res dispatchResult, result []byte) {
	// The record must be written even if the caller's context has ended.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	switch res.outcome {
	case outcomeDone:
		e.settleIntent(ctx, id, seq, version, intentRecord{State: intentDone, Endpoint: res.endpoint, Result: result})
	case outcomeRefused:
		e.settleIntent(ctx, id, seq, version, intentRecord{State: intentRefused})
	}
}

// replayIntent answers a non-idempotent call that precedes the program's next
// one from its intent record: with the recorded result if the call completed,
// otherwise with outcome_unknown. Without a record, or if the call was
// refused, it returns orderErr.
func (e *Entry) replayIntent(ctx context.Context, id program.ID, req *caller.Call, orderErr error) (*caller.Response, error) {
	rec, err := e.platform.Get(ctx, intentKey(id, req.Sequence))
	if tableservice.IsFailure(err, tableservice.FailureNotFound) {
		return nil, orderErr
	}
	if err != nil {
		return nil, err
	}
	var found intentRecord
	if err := json.Unmarshal(rec.Value, &found); err != nil {
		return nil, err
	}
	if found.State == intentRefused {
		return nil, orderErr
	}
	if found.State != intentDone {
		return nil, unknownOutcome(req, &found)
	}
	return &caller.Response{Program: string(id), Sequence: req.Sequence, Kind: caller.CallTool, Tool: req.Tool, Result: found.Result, Endpoint: found.Endpoint, Replayed: true}, nil
}

// answerFromIntent answers a non-idempotent call that an earlier attempt has
// claimed: with the recorded result if the call completed, otherwise with
// outcome_unknown. The call is not sent again.
func (e *Entry) answerFromIntent(ctx context.Context, o *ownedProgram, req *caller.Call, rec *intentRecord) (*caller.Response, error) {
	if rec.State != intentDone {
		e.abort(ctx, o, req.Sequence, 0)
		return nil, unknownOutcome(req, rec)
	}
	ans := toolAnswer(o, req, rec.Result, rec.Endpoint)
	ans.Replayed = true
	return e.finishTool(ctx, o, ans)
}

// unknownOutcome returns the caller's error for a call that was sent before
// and whose outcome is not recorded.
func unknownOutcome(req *caller.Call, rec *intentRecord) error {
	return caller.NewError(http.StatusConflict, caller.TypeOutcomeUnknown, "the call of %s with sequence number %d has already been sent (state %s); it will not be run again", req.Tool, req.Sequence, rec.State)
}
