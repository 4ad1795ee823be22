package systemtest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/engine"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/standin"
)

// reference answers what an engine of the model would answer to messages:
// the stand-in's output depends only on the prompt, so an answer equal to
// the reference proves that the whole history, and nothing else, was sent.
type reference struct {
	t   *testing.T
	url string
	// once: a call must be served at its first attempt.
	once bool
}

func (b *bed) newReference(model string) *reference {
	ref := standin.NewEngine(engineOf(model))
	go ref.Run(b.ctx, make(chan error, 1))
	return &reference{t: b.t, url: serve(b.t, ref.Handler())}
}

func (r *reference) answer(model string, messages []program.Message, limit int) string {
	var want engine.ChatResponse
	req := engine.ChatRequest{Model: model, Messages: messages, MaxTokens: limit}
	resp, err := api(r.url).Post("v1/chat/completions").BodyJSON(req).ReceiveSuccess(&want) //nolint:bodyclose // closed by sling
	require.NoError(r.t, err)
	require.Equal(r.t, http.StatusOK, resp.StatusCode)
	return want.Choices[0].Message.Content
}

// turn runs one model call and checks its answer against the history kept
// here; it returns the history with the new turn.
func (r *reference) turn(url, id string, seq uint64, history []program.Message, content string) []program.Message {
	history = append(history, program.Message{Role: "user", Content: content})
	want := r.answer("fleetdesk", history, 6)
	send := callUntilRun
	if r.once {
		send = programCall
	}
	got := send(r.t, url, id, modelCall(seq, "fleetdesk", content, 6))
	require.Equal(r.t, 200, got.status, got.err.Message)
	require.Equal(r.t, want, got.answer.Content, "call %d of %s ran on another history", seq, id)
	return append(history, program.Message{Role: "assistant", Content: got.answer.Content})
}

// callUntilRun sends a call, coming back while the answer says to.
func callUntilRun(t *testing.T, url, id string, c caller.Call) reply {
	for {
		r := programCall(t, url, id, c)
		if r.status == 200 || r.retryAfter == "" || t.Failed() {
			return r
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// kill ends entry i as a crash would: its peer connections close, and
// nothing more reaches it or leaves it.
func (b *bed) kill(i int) {
	b.alive[i].Store(false)
	b.stopEntry[i]()
	b.entries[i].Close()
}

// TestHistorySurvivesOwnerDeath: a program's conversation history is never
// lost and never mixed with another's.
//
// Symptom: after an owner died, an answer ignores what was said before, or
// shows another crew's dispute.
// Sequence: two programs run interleaved turns at entry-1, past a whole
// log record; entry-1 is killed between turns; both go on at entry-2,
// which then dies too; both go on at entry-3.
// Cause: history held only in the owner's memory, or keyed loosely.
func TestHistorySurvivesOwnerDeath(t *testing.T) {
	b := newBed(t, defaultEngines, 0)
	b.leaseTTL = 400 * time.Millisecond
	for i := range 3 {
		b.addEntry(i)
	}
	ref := b.newReference("fleetdesk")
	ids := []string{"jur-history-a", "jur-history-b"}
	histories := map[string][]program.Message{}
	for _, id := range ids {
		require.Equal(t, 201, createProgram(t, b.entryURL[0], caller.CreateProgramRequest{ID: id, BudgetTokens: 1 << 30}))
	}
	seq := uint64(0)
	for owner, turns := range []int{19, 3, 2} {
		for range turns {
			seq++
			for _, id := range ids {
				histories[id] = ref.turn(b.entryURL[owner], id, seq, histories[id], fmt.Sprintf("%s says %d", id, seq))
			}
		}
		b.kill(owner)
	}
}

// TestDeposedOwnerCannotRewriteHistory: what a successor has read of the
// log stays true.
//
// Symptom: a turn answered by the new owner vanishes, or a caller holds an
// answer the program's history does not have.
// Sequence: entry-1 starts a long call; its lease lapses meanwhile and
// entry-2 adopts the program and answers the same call; entry-1's call
// ends and it writes its record, then answers its caller; entry-2 dies and
// entry-3 adopts the program.
// Cause: a log record that a deposed owner can write over its successor's,
// or an answer given without checking that the lease outlasted the write.
func TestDeposedOwnerCannotRewriteHistory(t *testing.T) {
	b := newBed(t, defaultEngines, 0)
	b.leaseTTL = 300 * time.Millisecond
	for i := range 3 {
		b.addEntry(i)
	}
	ref := b.newReference("fleetdesk")
	const id = "jur-rewrite"
	require.Equal(t, 201, createProgram(t, b.entryURL[0], caller.CreateProgramRequest{ID: id, BudgetTokens: 1 << 30}))
	history := ref.turn(b.entryURL[0], id, 1, nil, "first")
	late := make(chan reply, 1)
	go func() {
		late <- programCall(t, b.entryURL[0], id, modelCall(2, "fleetdesk", "from the deposed owner", 900))
	}()
	time.Sleep(450 * time.Millisecond) // the call outlasts the lease
	history = ref.turn(b.entryURL[1], id, 2, history, "from the new owner")
	r := <-late
	require.NotEqual(t, 200, r.status, "the deposed owner answered a turn its successor does not have")
	b.kill(1)
	ref.turn(b.entryURL[2], id, 3, history, "third")
}

// TestStoreDownWithholdsAnswer: while the store is down an answer is kept,
// not lost and not given before it is durable.
//
// Symptom: the caller acts on an answer that the program, after its owner
// died during the outage, has never heard of.
// Sequence: the store refuses writes; a call runs; the caller is told to
// come back, and a next call is refused as not run; the store comes back;
// the same sequence gets the answer without a second run.
// Cause: answering first and writing later.
func TestStoreDownWithholdsAnswer(t *testing.T) {
	b := newBed(t, defaultEngines, 1)
	ref := b.newReference("fleetdesk")
	const id = "jur-store-down"
	require.Equal(t, 201, createProgram(t, b.entryURL[0], caller.CreateProgramRequest{ID: id, BudgetTokens: 1 << 30}))
	b.platform.RejectWritesAfter(0)
	r := programCall(t, b.entryURL[0], id, modelCall(1, "fleetdesk", "first", 6))
	require.Equal(t, caller.TypeNotDurable, r.err.Type, r.err.Message)
	require.NotEmpty(t, r.retryAfter)
	next := programCall(t, b.entryURL[0], id, modelCall(2, "fleetdesk", "second", 6))
	require.Equal(t, caller.TypeUnavailable, next.err.Type, next.err.Message)
	b.platform.RejectWritesAfter(-1)
	ran := b.servedCalls()
	history := ref.turn(b.entryURL[0], id, 1, nil, "first")
	require.Equal(t, ran, b.servedCalls(), "the call ran again")
	ref.turn(b.entryURL[0], id, 2, history, "second")
}

// TestCallsReachTheOwnerThroughAnyEntry: callers come through a balancer.
//
// Symptom: a caller is refused, or a program's calls run on two histories,
// because the balancer picked another instance than before.
// Sequence: one program's calls go to three entries in turn; then the
// owner is killed and they go to the other two.
// Cause: an instance that only serves the programs it created.
func TestCallsReachTheOwnerThroughAnyEntry(t *testing.T) {
	b := newBed(t, defaultEngines, 0)
	b.leaseTTL = 400 * time.Millisecond
	for i := range 3 {
		b.addEntry(i)
	}
	ref := b.newReference("fleetdesk")
	const id = "jur-any-entry"
	require.Equal(t, 201, createProgram(t, b.entryURL[0], caller.CreateProgramRequest{ID: id, BudgetTokens: 1 << 30}))
	var history []program.Message
	ref.once = true
	for seq := uint64(1); seq <= 6; seq++ {
		history = ref.turn(b.entryURL[int(seq)%3], id, seq, history, fmt.Sprint("turn ", seq))
	}
	ref.once = false
	b.kill(0)
	for seq := uint64(7); seq <= 10; seq++ {
		history = ref.turn(b.entryURL[1+int(seq)%2], id, seq, history, fmt.Sprint("turn ", seq))
	}
	require.Equal(t, "entry-", strings.TrimRight(programState(t, b.entryURL[1], id).Owner, "123"))
}

// servedCalls returns the calls all engines have finished.
func (b *bed) servedCalls() int64 {
	var n int64
	for _, e := range b.engines {
		n += served(e)
	}
	return n
}

// TestUnreachableOwnerIsAnsweredAtOnce: callers of a program whose owner
// just died are not held up, one after another, by attempts to reach it.
//
// Symptom: every call of a dead owner's programs takes seconds to be
// refused, until their leases lapse.
// Sequence: the owner is killed; its lease has long to go; two calls of the
// program reach another entry.
// Cause: dialling anew for each call an address that does not answer.
func TestUnreachableOwnerIsAnsweredAtOnce(t *testing.T) {
	b := newBed(t, oneEngine, 2)
	const id = "jur-unreachable"
	create(t, b.entryURL[0], id)
	b.kill(0)
	first := programCall(t, b.entryURL[1], id, modelCall(1, "fleetdesk", "hello", 3))
	require.Equal(t, caller.TypeUnavailable, first.err.Type, first.err.Message)
	start := time.Now()
	second := programCall(t, b.entryURL[1], id, modelCall(1, "fleetdesk", "hello", 3))
	require.Equal(t, caller.TypeUnavailable, second.err.Type, second.err.Message)
	require.NotEmpty(t, second.retryAfter)
	require.Less(t, time.Since(start), time.Second, "held up by another handshake, which takes two")
}
