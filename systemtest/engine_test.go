package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/engine"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/standin"
)

// engineRunning returns the sequences running or waiting on all engines.
func (b *bed) engineRunning() int {
	n := 0
	for _, e := range b.engines {
		n += busy(e)
	}
	return n
}

// busyEngine returns the name of an engine with a sequence running or
// waiting, by the same count engineRunning uses.
func (b *bed) busyEngine() (string, bool) {
	for name, e := range b.engines {
		if busy(e) > 0 {
			return name, true
		}
	}
	return "", false
}

func busy(e *standin.Engine) int {
	st := e.State().(standin.EngineState)
	return st.Running + st.Waiting
}

// TestEndedProgramFreesEngine: no engine memory stays held by programs
// that have ended.
//
// Symptom: an engine keeps generating (and holding KV cache) for a program
// nobody waits for.
// Sequence: a program's long model call streams; the operator ends the
// program mid-stream.
// Cause: ending the program without cancelling the stream at the engine.
func TestEndedProgramFreesEngine(t *testing.T) {
	b := newBed(t, defaultEngines, 1)
	spec := caller.CreateProgramRequest{ID: "jur-ended", BudgetTokens: 100000}
	require.Equal(t, 201, createProgram(t, b.entryURL[0], spec))
	done := make(chan reply, 1)
	go func() {
		done <- programCall(t, b.entryURL[0], spec.ID, modelCall(1, "fleetdesk", "reconcile voyage 2611", 5000))
	}()
	require.Eventually(t, func() bool { return b.engineRunning() == 1 }, 2*time.Second, 5*time.Millisecond)
	_, err := api(b.entryURL[0]).Delete("v1/programs/" + spec.ID).ReceiveSuccess(nil) //nolint:bodyclose // closed by sling
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.engineRunning() == 0 }, time.Second, 5*time.Millisecond,
		"the engine still runs the ended program's stream")
	r := <-done
	require.NotEqual(t, 200, r.status)
}

// TestAnswersNotCrossed: each caller receives the whole answer to its own
// request, even when many answers are in flight at once.
//
// Symptom: a master reads the answer meant for another ship.
// Sequence: 24 callers send different prompts at once; answers stream
// back interleaved over shared QUIC connections.
// Cause: replies matched to requests by arrival instead of by stream.
func TestAnswersNotCrossed(t *testing.T) {
	b := newBed(t, defaultEngines, 1)
	// A reference engine outside the deployment gives each prompt's own
	// answer (the stand-in's output depends only on the prompt).
	ref := standin.NewEngine(engineOf("fleetdesk"))
	refURL := serve(t, ref.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go ref.Run(ctx, make(chan error, 1))
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			req := engine.ChatRequest{Model: "fleetdesk", MaxTokens: 20 + i,
				Messages: []program.Message{{Role: "user", Content: fmt.Sprintf("vessel %d asks about voyage %d", i, 2600+i)}}}
			var got, want engine.ChatResponse
			resp, err := api(b.entryURL[0]).Post("v1/chat/completions").BodyJSON(req).ReceiveSuccess(&got) //nolint:bodyclose // closed by sling
			if !assert.NoError(t, err) || !assert.Equal(t, http.StatusOK, resp.StatusCode) {
				return
			}
			_, err = api(refURL).Post("v1/chat/completions").BodyJSON(req).ReceiveSuccess(&want) //nolint:bodyclose // closed by sling
			if !assert.NoError(t, err) || !assert.Len(t, got.Choices, 1) {
				return
			}
			assert.Equal(t, want.Choices[0].Message.Content, got.Choices[0].Message.Content, "caller %d", i)
			assert.EqualValues(t, 20+i, got.Usage.CompletionTokens, "caller %d got the whole answer", i)
		})
	}
	wg.Wait()
}
