package systemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/standin"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

func served(e *standin.Engine) int64 { return e.State().(standin.EngineState).Served }

// TestLeavingEndpointGetsNoNewWork: an endpoint that is leaving receives
// no new work after a few seconds.
//
// Symptom: calls keep landing on an engine that is being taken away, and
// are cut when it goes.
// Sequence: workshop-1's sidecar starts draining; the instance list still
// lists it as live (it lags) and the configuration still names it; 20
// programs whose calls hash to either workshop engine are served.
// Cause: routing on the lagging instance list or configuration alone.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	b := newBed(t, defaultEngines, 1)
	pc := tableservice.NewClient(b.platURL, time.Second)
	require.NoError(t, pc.SetInstance(b.ctx, tableservice.Instance{ID: "workshop-1", State: tableservice.InstanceLive}))
	<-b.sidecars["workshop-1"].Drain()
	require.NoError(t, pc.SetInstance(b.ctx, tableservice.Instance{ID: "workshop-1", State: tableservice.InstanceLeaving}))
	list, err := pc.Instances(b.ctx)
	require.NoError(t, err)
	require.Empty(t, list, "the instance list lags: it does not show the change yet")

	before := served(b.engines["workshop-1"])
	for i := range 20 {
		id := fmt.Sprintf("sul-drain-%d", i)
		require.Equal(t, 201, createProgram(t, b.entryURL[0], caller.CreateProgramRequest{ID: id, BudgetTokens: 1000}))
		r := programCall(t, b.entryURL[0], id, modelCall(1, "workshop", "when is my pickup", 4))
		require.Equal(t, 200, r.status, r.err.Message)
		require.Equal(t, "workshop-2", r.answer.Endpoint)
	}
	require.Equal(t, before, served(b.engines["workshop-1"]), "the leaving engine got new work")
}

// TestPlannedStopCutsNothing: a planned stop cuts off no request in
// flight.
//
// Symptom: a caller's answer stops half way when an endpoint is taken out
// for maintenance.
// Sequence: a long answer streams from fleetdesk; its sidecar is told to
// drain mid-stream; the sidecar waits for the stream before it reports
// idle.
// Cause: stopping without draining.
func TestPlannedStopCutsNothing(t *testing.T) {
	b := newBed(t, defaultEngines, 1)
	spec := caller.CreateProgramRequest{ID: "jur-drain", BudgetTokens: 100000}
	require.Equal(t, 201, createProgram(t, b.entryURL[0], spec))
	done := make(chan reply, 1)
	go func() {
		done <- programCall(t, b.entryURL[0], spec.ID, modelCall(1, "fleetdesk", "summarise the dispute", 300))
	}()
	require.Eventually(t, func() bool { return b.engineRunning() == 1 }, 2*time.Second, 5*time.Millisecond)
	name, ok := b.busyEngine()
	require.True(t, ok)
	idle := b.sidecars[name].Drain()
	select {
	case <-idle:
		t.Fatal("the sidecar reported idle while a stream was in flight")
	case <-time.After(50 * time.Millisecond):
	}
	r := <-done
	require.Equal(t, 200, r.status, r.err.Message)
	require.EqualValues(t, 300, r.answer.Usage.CompletionTokens, "the whole answer arrived")
	select {
	case <-idle:
	case <-time.After(time.Second):
		t.Fatal("the sidecar never reported idle")
	}
}
