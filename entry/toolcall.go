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

// settleFor bounds the write of a non-idempotent call's outcome.
const settleFor = 2 * time.Second

func noCost([]program.Message) int64 { return 0 }

func (e *Entry) runToolCall(ctx context.Context, o *owned, req *caller.Call) (*caller.Answer, error) {
	if req.Tool == "" {
		return nil, caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "a tool call needs tool")
	}
	nonIdempotent := o.prog.IsNonIdempotent(req.Tool)
	ctx, cancel := e.callContext(ctx, o.prog)
	defer cancel()
	replay, _, err := e.begin(ctx, o, req.Sequence, cancel, noCost)
	if nonIdempotent && isReason(err, program.ReasonOutOfOrder) && o.passed(req.Sequence) {
		// Perhaps a retry of a call that already ran, here or at an owner
		// that has since died: answer from the intent record, never run.
		return e.replayIntent(ctx, o.prog.ID(), req, err)
	}
	if replay != nil || err != nil {
		return replay, err
	}
	if nonIdempotent {
		return e.runOnce(ctx, o, req)
	}
	result, res := e.sendTool(ctx, o, req)
	if res.outcome != outcomeDone {
		e.abort(ctx, o, req.Sequence, 0)
		return nil, failure(res)
	}
	return e.finishTool(ctx, o, toolAnswer(o, req, result, res.endpoint))
}

// runOnce runs a non-idempotent call at most once: its intent is durable
// before it is sent, and whoever finds the intent later never sends it.
func (e *Entry) runOnce(ctx context.Context, o *owned, req *caller.Call) (*caller.Answer, error) {
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
	result, res := e.sendTool(ctx, o, req)
	// The record of the outcome and that of the turn are written at once;
	// the answer waits for both.
	settled := make(chan struct{})
	go func() {
		e.settleIntentAfter(ctx, id, req.Sequence, intent.version, res, result)
		close(settled)
	}()
	defer func() { <-settled }()
	switch res.outcome {
	case outcomeDone:
		return e.finishTool(ctx, o, toolAnswer(o, req, result, res.endpoint))
	case outcomeUnknown:
		// Sent and cut off: it may have run. Its intent stays, so the same
		// sequence is never sent again.
		e.abort(ctx, o, req.Sequence, 0)
		return nil, caller.NewError(http.StatusBadGateway, caller.TypeOutcomeUnknown, "%s may have run on %s; it will not be run again: %v", req.Tool, res.endpoint, res.err)
	}
	e.abort(ctx, o, req.Sequence, 0)
	return nil, failure(res)
}

func (e *Entry) sendTool(ctx context.Context, o *owned, req *caller.Call) ([]byte, dispatchResult) {
	call := &peer.Call{Sequence: req.Sequence, Kind: peer.KindTool, Tool: req.Tool, Body: rawOr(req.Arguments, "{}"),
		IdempotencyKey: fmt.Sprintf("%s/%d", o.prog.ID(), req.Sequence)}
	o.describe(call)
	if dl, ok := ctx.Deadline(); ok {
		call.Deadline = dl.UnixMilli()
	}
	var result toolResult
	route := &routing.Request{Target: routing.Target{Tool: req.Tool}, Key: call.Program}
	res := e.dispatch(ctx, route, call, &result, map[string]bool{})
	return result, res
}

// toolResult is a tool call's answer as it is assembled.
type toolResult []byte

func (t *toolResult) data(piece []byte) error {
	*t = append(*t, piece...)
	return nil
}

func (t *toolResult) cached() int { return 0 }

func toolAnswer(o *owned, req *caller.Call, result []byte, endpoint string) caller.Answer {
	return caller.Answer{Program: string(o.prog.ID()), Sequence: req.Sequence, Kind: caller.CallTool, Tool: req.Tool, Result: result, Endpoint: endpoint}
}

func (e *Entry) finishTool(ctx context.Context, o *owned, ans caller.Answer) (*caller.Answer, error) {
	turn := program.Message{Role: "tool", Content: ans.Tool + ": " + string(ans.Result)}
	if err := e.finish(ctx, o, ans, 0, turn); err != nil {
		return nil, err
	}
	return &ans, nil
}

func (e *Entry) settleIntentAfter(ctx context.Context, id program.ID, seq, version uint64, res dispatchResult, result []byte) {
	// The caller's context may have ended; the record must still be
	// written, so it gets a context of its own.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleFor)
	defer cancel()
	switch res.outcome {
	case outcomeDone:
		e.settleIntent(ctx, id, seq, version, intentRecord{State: intentDone, Endpoint: res.endpoint, Result: result})
	case outcomeRefused:
		e.settleIntent(ctx, id, seq, version, intentRecord{State: intentRefused})
	}
}

// replayIntent answers a non-idempotent call behind the program's
// sequence from its intent record: its result if it finished, otherwise
// outcome_unknown; without a record, the order error stands.
func (e *Entry) replayIntent(ctx context.Context, id program.ID, req *caller.Call, orderErr error) (*caller.Answer, error) {
	rec, err := e.platform.Get(ctx, intentKey(id, req.Sequence))
	if tableservice.Is(err, tableservice.FailureNotFound) {
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
	return &caller.Answer{Program: string(id), Sequence: req.Sequence, Kind: caller.CallTool, Tool: req.Tool, Result: found.Result, Endpoint: found.Endpoint, Replayed: true}, nil
}

// answerFromIntent answers a non-idempotent call that an earlier attempt
// already claimed: with its recorded result if it finished, otherwise with
// outcome_unknown. It is never sent again.
func (e *Entry) answerFromIntent(ctx context.Context, o *owned, req *caller.Call, rec *intentRecord) (*caller.Answer, error) {
	if rec.State != intentDone {
		e.abort(ctx, o, req.Sequence, 0)
		return nil, unknownOutcome(req, rec)
	}
	ans := toolAnswer(o, req, rec.Result, rec.Endpoint)
	ans.Replayed = true
	return e.finishTool(ctx, o, ans)
}

func unknownOutcome(req *caller.Call, rec *intentRecord) error {
	return caller.NewError(http.StatusConflict, caller.TypeOutcomeUnknown, "%s call %d was already sent (%s); it will not be run again", req.Tool, req.Sequence, rec.State)
}
