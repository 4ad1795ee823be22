package systemtest

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/caller"
)

// TestLoopingProgramStopsAtBudget: a program never spends beyond its
// budget.
//
// Symptom: a program that loops without end burns tokens forever.
// Sequence: the program calls the model again and again, each call
// growing its history; concurrent duplicates race for the last tokens.
// Cause: charging after the fact lets the last calls overshoot.
func TestLoopingProgramStopsAtBudget(t *testing.T) {
	b := newBed(t, defaultEngines, 1)
	const budget = 400
	spec := caller.CreateProgramRequest{ID: "sul-loop", BudgetTokens: budget}
	require.Equal(t, 201, createProgram(t, b.entryURL[0], spec))
	seq := uint64(1)
	for ; seq < 100; seq++ {
		var wg sync.WaitGroup
		replies := make([]reply, 4)
		for i := range replies {
			wg.Go(func() {
				replies[i] = programCall(t, b.entryURL[0], spec.ID, modelCall(seq, "workshop", "check the charger again please", 16))
			})
		}
		wg.Wait()
		over := false
		for _, r := range replies {
			if r.err.Type == caller.TypeOverBudget {
				over = true
			}
		}
		st := programState(t, b.entryURL[0], spec.ID)
		require.LessOrEqual(t, st.SpentTokens, int64(budget), "after call %d", seq)
		if over {
			break
		}
	}
	require.Less(t, seq, uint64(100), "the loop was stopped by its budget")
	r := programCall(t, b.entryURL[0], spec.ID, modelCall(seq, "workshop", "and again", 16))
	require.Equal(t, caller.TypeOverBudget, r.err.Type)
	require.Empty(t, r.retryAfter, "over budget is final: no time to come back")
}
