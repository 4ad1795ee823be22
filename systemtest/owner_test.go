package systemtest

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/peer"
)

// TestDeposedOwnerCannotAct: calls of one program run in order even with
// two entry instances that both believe they own it.
//
// Symptom it guards against: a tool runs twice for one call, or two calls
// of one program run out of order.
// Sequence: entry-1 creates the program; its lease lapses while it is
// paused; entry-2 gets call 1, adopts the program (takes the lease with a
// higher fence) and runs it; entry-1 wakes and gets call 1 again.
// Cause: without fencing, entry-1 still thinks it owns the program.
func TestDeposedOwnerCannotAct(t *testing.T) {
	b := newBed(t, defaultEngines, 0)
	b.leaseTTL = 300 * time.Millisecond
	b.addEntry(0)
	b.addEntry(1)
	spec := caller.CreateProgramRequest{ID: "jur-two-owners", BudgetTokens: 5000}
	require.Equal(t, 201, createProgram(t, b.entryURL[0], spec))
	time.Sleep(400 * time.Millisecond) // entry-1 "paused" past its lease
	require.Equal(t, 409, createProgram(t, b.entryURL[1], spec), "the id is taken; it is not created again")
	// entry-2 adopts the program on its first call: the lease has lapsed.

	r := programCall(t, b.entryURL[1], spec.ID, toolCall(1, "ledger_usage", `{"voyage": 2611}`))
	require.Equal(t, 200, r.status, r.err.Message)

	stale := programCall(t, b.entryURL[0], spec.ID, toolCall(1, "ledger_usage", `{"voyage": 2611}`))
	require.Equal(t, 200, stale.status, stale.err.Message)
	require.True(t, stale.answer.Replayed, "the deposed owner must not run the call; it forwards it, and the owner replays its answer")
	require.Equal(t, r.answer.Result, stale.answer.Result)
	require.Equal(t, "entry-2", programState(t, b.entryURL[0], spec.ID).Owner)
	require.Equal(t, 1, b.tool.Executions(spec.ID+"/1"), "the call ran exactly once")
}

// TestSidecarRefusesStaleFence: the sidecar is the last line for endpoints
// that ignore fencing numbers.
//
// Symptom: an engine or tool acts on an order from a deposed owner.
// Sequence: a call with fence 2 reaches the sidecar; then a call with
// fence 1 (an owner that was paused mid-call and wakes) arrives.
// Cause: the endpoint itself does not check fences.
func TestSidecarRefusesStaleFence(t *testing.T) {
	b := newBed(t, defaultEngines, 0)
	ep, ok := b.cfg.Find("tools-1")
	require.True(t, ok)
	client := peer.NewClient(clock.Real{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	send := func(fence, seq uint64) peer.Frame {
		var last peer.Frame
		call := &peer.Call{Program: "p", Sequence: seq, Fence: fence, Kind: peer.KindTool, Tool: "dispatch_van",
			IdempotencyKey: "p/1", Body: []byte(`{}`)}
		_, err := client.Do(ctx, ep.Sidecar, call, func(f peer.Frame) error { last = f; return nil })
		require.NoError(t, err)
		return last
	}
	require.Equal(t, peer.FrameEnd, send(2, 1).Type)
	f := send(1, 1)
	require.Equal(t, peer.FrameRefused, f.Type)
	require.Equal(t, "stale_fence", f.Reason)
	f = send(2, 0)
	require.Equal(t, peer.FrameRefused, f.Type, "an earlier sequence under the same fence is refused too")
	require.Equal(t, 1, b.tool.Executions("p/1"))
}

// TestLostCreationIsFoundAgain: a creation whose answer was lost twice over
// is neither lost nor made twice.
//
// Symptom: a caller is told its program exists, though it was also told it
// was not created; or one id starts two programs.
// Sequence: the store takes the creation and loses its answer, and is down
// when the entry reads it back; the caller retries when the store is well;
// then somebody else asks for the id.
// Cause: a conditional write that cannot tell its own earlier try from
// another's.
func TestLostCreationIsFoundAgain(t *testing.T) {
	b := newBed(t, oneEngine, 2)
	spec := caller.CreateProgramRequest{ID: "jur-lost-creation", BudgetTokens: 5000}
	b.platform.LoseResponses(1)
	b.platform.FailLeaseReads(1)
	require.Equal(t, 503, createProgram(t, b.entryURL[0], spec))
	require.Equal(t, 201, createProgram(t, b.entryURL[0], spec))
	require.Equal(t, 409, createProgram(t, b.entryURL[0], spec))
	require.Equal(t, 409, createProgram(t, b.entryURL[1], spec))
	other := spec
	other.BudgetTokens = 7
	require.Equal(t, 409, createProgram(t, b.entryURL[1], other))
	b.newReference("fleetdesk").turn(b.entryURL[1], spec.ID, 1, nil, "first")
}
