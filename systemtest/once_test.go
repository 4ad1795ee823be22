package systemtest

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/caller"
)

const vanArgs = `{"booking": "sul-booking-0001", "porch": "Rua Andrade Neves 220"}`

// TestNonIdempotentRunsAtMostOnce: a van dispatch runs at most once
// whatever fails around it.
//
// Symptom: two vans at one porch (the tool's execution count for the
// call's idempotency key goes above 1).
// Sequence: the platform loses the answer to the intent write (the write
// took effect); eight callers send the same call at once; the caller
// retries after the answer; the owner dies and a new owner receives the
// same call again.
// Cause: each of these, without an intent record written before dispatch
// and read back after a lost answer, sends the call again.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	b := newBed(t, defaultEngines, 0)
	b.leaseTTL = 300 * time.Millisecond
	b.addEntry(0)
	b.addEntry(1)
	spec := caller.CreateProgramRequest{ID: "sul-van", BudgetTokens: 1000, NonIdempotentTools: []string{"dispatch_van"}}
	require.Equal(t, 201, createProgram(t, b.entryURL[0], spec))

	b.platform.LoseResponses(1)
	var wg sync.WaitGroup
	replies := make([]reply, 8)
	for i := range replies {
		wg.Go(func() { replies[i] = programCall(t, b.entryURL[0], spec.ID, toolCall(1, "dispatch_van", vanArgs)) })
	}
	wg.Wait()
	ok := 0
	for _, r := range replies {
		if r.status == 200 {
			ok++
			continue
		}
		require.Equal(t, caller.TypeOutOfOrder, r.err.Type, "a concurrent duplicate is refused as not run: %s", r.err.Message)
	}
	require.GreaterOrEqual(t, ok, 1)
	again := programCall(t, b.entryURL[0], spec.ID, toolCall(1, "dispatch_van", vanArgs))
	require.Equal(t, 200, again.status)
	require.True(t, again.answer.Replayed, "a retry gets the recorded answer")

	time.Sleep(400 * time.Millisecond) // the owner is gone; its lease lapses; entry-2 adopts it
	moved := programCall(t, b.entryURL[1], spec.ID, toolCall(1, "dispatch_van", vanArgs))
	require.Equal(t, 200, moved.status, moved.err.Message)
	require.True(t, moved.answer.Replayed, "the new owner answers from the intent record")
	require.Equal(t, 1, b.tool.Executions(spec.ID+"/1"), "one van")
}

// TestUnsettledIntentIsNeverRerun: when the outcome of a non-idempotent
// call is unknown, the system says so and never runs it again.
//
// Symptom: a member billed twice.
// Sequence: the charge runs; the write that records its result is lost
// (the platform goes down right after dispatch); the owner dies; a new
// owner gets the same call.
// Cause: a new owner that treats a "dispatched" intent as "not run".
func TestUnsettledIntentIsNeverRerun(t *testing.T) {
	b := newBed(t, defaultEngines, 0)
	b.leaseTTL = 300 * time.Millisecond
	b.addEntry(0)
	b.addEntry(1)
	spec := caller.CreateProgramRequest{ID: "jur-charge", BudgetTokens: 1000, NonIdempotentTools: []string{"billing_charge"}}
	require.Equal(t, 201, createProgram(t, b.entryURL[0], spec))
	// The intent write takes effect; the platform is down before the
	// settle write, so the record stays "dispatched". The turn's own record
	// cannot be written either, so the answer is withheld, not given.
	b.platform.RejectWritesAfter(1)
	r := programCall(t, b.entryURL[0], spec.ID, toolCall(1, "billing_charge", `{"gigabytes": 32}`))
	require.Equal(t, caller.TypeNotDurable, r.err.Type, r.err.Message)
	require.Equal(t, 1, b.tool.Executions(spec.ID+"/1"), "the charge ran")
	b.kill(0)
	b.platform.RejectWritesAfter(-1)

	time.Sleep(400 * time.Millisecond) // entry-2 adopts the program on the call
	moved := programCall(t, b.entryURL[1], spec.ID, toolCall(1, "billing_charge", `{"gigabytes": 32}`))
	require.Equal(t, caller.TypeOutcomeUnknown, moved.err.Type, moved.err.Message)
	require.Equal(t, 1, b.tool.Executions(spec.ID+"/1"), "charged once")
}

// TestRefusedMeansNotRun: a call refused because the platform is down was
// not run.
//
// Symptom: a caller told "not run" retries, and the action happens twice.
// Sequence: the platform goes down; the caller sends a non-idempotent
// call; it is refused with Retry-After; the platform comes back; the
// caller sends it again.
// Cause: dispatching before the intent is durable, then refusing.
func TestRefusedMeansNotRun(t *testing.T) {
	b := newBed(t, defaultEngines, 1)
	spec := caller.CreateProgramRequest{ID: "sul-outage", BudgetTokens: 1000, NonIdempotentTools: []string{"dispatch_van"}}
	require.Equal(t, 201, createProgram(t, b.entryURL[0], spec))
	b.platform.SetOutage(true)
	r := programCall(t, b.entryURL[0], spec.ID, toolCall(1, "dispatch_van", vanArgs))
	require.Equal(t, 503, r.status)
	require.Equal(t, caller.TypeUnavailable, r.err.Type)
	require.NotEmpty(t, r.retryAfter, "the caller is told when to come back")
	require.Equal(t, 0, b.tool.Executions(spec.ID+"/1"), "refused means not run")
	b.platform.SetOutage(false)
	r = programCall(t, b.entryURL[0], spec.ID, toolCall(1, "dispatch_van", vanArgs))
	require.Equal(t, 200, r.status, r.err.Message)
	require.Equal(t, 1, b.tool.Executions(spec.ID+"/1"))
}
