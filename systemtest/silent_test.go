package systemtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/program"
)

// oneEngine is a deployment with a single fleet desk engine.
var oneEngine = []engineSpec{{"fleetdesk-1", "fleetdesk"}}

// TestSilentConnectionIsReplaced: a connection that goes silent for good is
// found and replaced, and holds nothing.
//
// Symptom: every call to one engine hangs until its deadline although the
// engine is well and a new connection would work; the engine goes on
// generating for a caller that will never hear it.
// Sequence: a long answer streams; the middlebox between entry and sidecar
// loses track of the connection; the entry notices, dials anew and resumes
// the answer after the last piece it has; the caller gets it whole.
// Cause: no heartbeat of our own, no redial, or a broken-off answer given
// up although it could be resumed.
func TestSilentConnectionIsReplaced(t *testing.T) {
	b := newBed(t, oneEngine, 0)
	r := newRelay(t, b.cfg.Endpoints[0].Sidecar)
	b.cfg.Endpoints[0].Sidecar = r.addr()
	b.applyConfig()
	b.callTimeout = 15 * time.Second
	b.addEntry(0)
	const id = "jur-silent"
	want := b.newReference("fleetdesk").answer("fleetdesk", []program.Message{{Role: "user", Content: "long"}}, 1500)
	require.Equal(t, 201, createProgram(t, b.entryURL[0], caller.CreateProgramRequest{ID: id, BudgetTokens: 1 << 30}))
	done := make(chan reply, 1)
	go func() { done <- programCall(t, b.entryURL[0], id, modelCall(1, "fleetdesk", "long", 1500)) }()
	require.Eventually(t, func() bool { return b.engineRunning() == 1 }, 2*time.Second, 5*time.Millisecond)
	require.Positive(t, r.silence())
	select {
	case got := <-done:
		require.Equal(t, 200, got.status, got.err.Message)
		require.Equal(t, want, got.answer.Content, "the answer is whole, each piece once")
	case <-time.After(peer.IdleTimeout + 10*time.Second):
		t.Fatal("the call outlived the silent connection's idle timeout")
	}
	require.Zero(t, b.engineRunning(), "the engine still generates for a connection that is gone")
}

// TestHangingToolIsGivenUp: a tool that hangs costs its caller no more
// than the call timeout, and holds no slot afterwards.
//
// Symptom: a program waits for ever; the tool's slots fill with calls
// nobody waits for.
// Sequence: a tool takes the request and never answers, three times over;
// then another tool of the same service is called.
// Cause: a call without a deadline of its own.
func TestHangingToolIsGivenUp(t *testing.T) {
	b := newBed(t, oneEngine, 0)
	b.callTimeout = 300 * time.Millisecond
	b.addEntry(0)
	const id = "sul-hang"
	require.Equal(t, 201, createProgram(t, b.entryURL[0], caller.CreateProgramRequest{ID: id, BudgetTokens: 1000, NonIdempotentTools: []string{"slow_tool"}}))
	r := programCall(t, b.entryURL[0], id, toolCall(1, "slow_tool", `{}`))
	require.Equal(t, caller.TypeOutcomeUnknown, r.err.Type, "a non-idempotent call that hangs may have run: %s", r.err.Message)
	again := programCall(t, b.entryURL[0], id, toolCall(1, "slow_tool", `{}`))
	require.Equal(t, caller.TypeOutcomeUnknown, again.err.Type, again.err.Message)
	const id2 = "sul-hang-2"
	require.Equal(t, 201, createProgram(t, b.entryURL[0], caller.CreateProgramRequest{ID: id2, BudgetTokens: 1000}))
	r = programCall(t, b.entryURL[0], id2, toolCall(1, "slow_tool", `{}`))
	require.Equal(t, caller.TypeUpstreamFailed, r.err.Type, r.err.Message)
	require.NotEmpty(t, r.retryAfter)
	r = programCall(t, b.entryURL[0], id2, toolCall(1, "parts_lookup", `{}`))
	require.Equal(t, 200, r.status, r.err.Message)
	running, _ := b.gateStats("tools-1")
	require.Zero(t, running, "a call given up on still holds its slot")
}
