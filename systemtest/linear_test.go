package systemtest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/entry"
	"github.com/wagtaildrum/wagtaildrum/standin"
)

// onceInput is one attempt at a program's non-idempotent call.
type onceInput struct {
	seq uint64
	// mine is the result the tool gives if this attempt is the one it runs.
	mine string
}

// onceKind is what an attempt was told.
type onceKind int

const (
	onceDone    onceKind = iota // ran, now or before, with a result
	onceRefused                 // not run
	onceUnknown                 // may have run
)

type onceOutput struct {
	kind   onceKind
	result string
}

// onceModel is a program whose calls run in order and at most once. Its
// state is the result of each call run so far.
var onceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		ran := splitResults(state.(string))
		in, out := input.(onceInput), output.(onceOutput)
		next := uint64(len(ran)) + 1
		runs := joinResults(append(slices.Clone(ran), in.mine))
		switch {
		case out.kind == onceRefused:
			return []any{state}
		case out.kind == onceDone && in.seq < next && ran[in.seq-1] == out.result:
			return []any{state}
		case out.kind == onceDone && in.seq == next && in.mine == out.result:
			return []any{runs}
		case out.kind == onceUnknown && in.seq == next:
			return []any{state, runs}
		case out.kind == onceUnknown:
			return []any{state}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

func splitResults(s string) []string {
	var out []string
	if s != "" {
		_ = json.Unmarshal([]byte(s), &out)
	}
	return out
}

func joinResults(r []string) string {
	b, _ := json.Marshal(r)
	return string(b)
}

// history records operations from several clients.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) now() int64 { return time.Since(h.start).Nanoseconds() }

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

func onceOutputOf(r reply) onceOutput {
	switch {
	case r.status == 200:
		var tr standin.ToolResult
		_ = json.Unmarshal(r.answer.Result, &tr)
		return onceOutput{kind: onceDone, result: tr.Result}
	case r.err.Type == caller.TypeOutOfOrder || r.err.Type == caller.TypeUnavailable || r.err.Type == caller.TypeOverloaded || r.err.Type == caller.TypeNotFound:
		return onceOutput{kind: onceRefused}
	}
	return onceOutput{kind: onceUnknown}
}

// TestConcurrentHistoryIsLinearizable: whatever fails, the callers' view of
// one program's non-idempotent calls is that of calls run one at a time, in
// order, each at most once.
//
// Symptom: two vans; or a van that a caller was told was not sent.
// Sequence: six callers race the same and next sequence numbers of one
// program through three entries, each with arguments of its own, while the
// platform loses acknowledgements, goes down, and fails between two writes
// of one call while the owner is killed, twice.
// Cause: any gap between lease, fence, intent record and log. The history
// is checked with porcupine, the tool's execution counts beside it.
func TestConcurrentHistoryIsLinearizable(t *testing.T) {
	b := newBed(t, oneEngine, 0)
	b.leaseTTL = 300 * time.Millisecond
	for i := range 3 {
		b.addEntry(i)
	}
	const id = "sul-vans"
	require.Equal(t, 201, createProgram(t, b.entryURL[0], caller.CreateProgramRequest{ID: id, BudgetTokens: 1000, NonIdempotentTools: []string{"dispatch_van"}}))
	h := &history{start: time.Now()}
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() { b.raceCalls(h, id, client) })
	}
	for _, fault := range []func(){
		func() { b.platform.LoseResponses(2) },
		func() { b.platform.SetOutage(true) },
		func() { b.platform.SetOutage(false) },
		// The store fails between two writes of one call, and the owner
		// dies before it comes back: once before the intent is taken, once
		// after.
		func() { b.platform.RejectWritesAfter(0) },
		func() { b.killOwner(id) },
		func() { b.platform.RejectWritesAfter(-1) },
		func() { b.platform.LoseResponses(3) },
		func() { b.platform.RejectWritesAfter(1) },
		func() { b.killOwner(id) },
		func() { b.platform.RejectWritesAfter(-1) },
	} {
		time.Sleep(200 * time.Millisecond)
		fault()
	}
	wg.Wait()
	res := porcupine.CheckOperationsTimeout(onceModel.ToModel(), h.ops, 20*time.Second)
	require.Equal(t, porcupine.Ok, res, "history of %d operations", len(h.ops))
	done := 0
	for _, op := range h.ops {
		if op.Output.(onceOutput).kind == onceDone {
			done++
		}
	}
	require.Positive(t, done, "no call ran at all")
	for seq := 1; b.tool.Executions(fmt.Sprintf("%s/%d", id, seq)) > 0; seq++ {
		require.Equal(t, 1, b.tool.Executions(fmt.Sprintf("%s/%d", id, seq)), "call %d", seq)
	}
	t.Logf("%d operations, %d answered with a result", len(h.ops), done)
}

// killOwner kills the live entry that holds the program under the highest
// fence.
func (b *bed) killOwner(id string) {
	owner, fence := -1, uint64(0)
	for i, e := range b.entries {
		for _, p := range e.State().(entry.State).Programs {
			if p.ID == id && p.Fence > fence && b.alive[i].Load() {
				owner, fence = i, p.Fence
			}
		}
	}
	if owner >= 0 {
		b.kill(owner)
	}
}

// raceCalls is one client: it sends calls at or near the sequence it
// believes next, through entries picked at random.
func (b *bed) raceCalls(h *history, id string, client int) {
	rng := rand.New(rand.NewPCG(uint64(client), 1))
	seq := uint64(1)
	for op := range 40 {
		args := fmt.Sprintf(`{"porch":"%d/%d"}`, client, op)
		in := onceInput{seq: seq, mine: standin.ToolResultFor("dispatch_van", []byte(args)).Result}
		start := h.now()
		// A call cut off by a kill is answered nothing: it may have run.
		out := onceOutput{kind: onceUnknown}
		if r, err := tryCall(b.entryURL[rng.IntN(len(b.entryURL))], id, toolCall(seq, "dispatch_van", args)); err == nil {
			out = onceOutputOf(r)
		}
		h.add(porcupine.Operation{ClientId: client, Input: in, Call: start, Output: out, Return: h.now()})
		if out.kind == onceDone {
			seq++
		}
		time.Sleep(time.Duration(rng.IntN(80)) * time.Millisecond)
	}
}
