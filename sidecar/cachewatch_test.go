package sidecar

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/dghubble/sling"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/engine"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/standin"
)

// newTestWatcher returns a watcher of the engine at url that logs nothing.
func newTestWatcher(url string) *cacheWatcher {
	return newCacheWatcher(sling.New().Base(url), slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func storedEvent(seq, block uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: seq, Kind: engine.CacheStored, Block: block}
}

func removedEvent(seq, block uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: seq, Kind: engine.CacheRemoved, Block: block}
}

// TestCacheEventGapForcesResync checks that a missing event is detected and the
// full list of blocks then shows the removal. If the event of a tracked block's
// removal were lost unnoticed, the router would send a program turn after turn
// to an engine that evicted its history.
func TestCacheEventGapForcesResync(t *testing.T) {
	w := newTestWatcher("http://127.0.0.1:1")
	w.track([]uint64{10, 11, 12})
	require.True(t, w.applyEvents(&engine.CacheEvents{Events: []engine.CacheEvent{storedEvent(1, 10), storedEvent(2, 11), removedEvent(3, 11)}, Published: 3}))
	require.False(t, w.applyEvents(&engine.CacheEvents{Events: []engine.CacheEvent{storedEvent(5, 13)}, Published: 5}), "event 4 is missing")
	require.False(t, w.applyEvents(&engine.CacheEvents{Published: 4}), "all published events are missing")
	w.resync(&engine.CacheBlocks{Sequence: 5, Blocks: []uint64{12, 13}})
	var r peer.Report
	w.addRemovals(&r, 0)
	slices.Sort(r.Removed)
	require.Equal(t, []uint64{10, 11}, r.Removed)
	require.True(t, w.applyEvents(&engine.CacheEvents{Events: []engine.CacheEvent{storedEvent(6, 14)}, Published: 6}), "events continue after the resync")
}

// TestReportListsRemovalsSinceLastReport checks that a report lists the removals
// after the last one that the instance received, and sets Reset if the sidecar
// was restarted or the instance is too far behind.
func TestReportListsRemovalsSinceLastReport(t *testing.T) {
	w := newTestWatcher("http://127.0.0.1:1")
	remove := func(blocks ...uint64) {
		w.track(blocks)
		for _, b := range blocks {
			w.remove(b)
		}
	}
	report := func(seen uint64) peer.Report {
		var r peer.Report
		w.addRemovals(&r, seen)
		return r
	}
	require.Equal(t, peer.Report{}, report(0))
	remove(1, 2, 3)
	require.Equal(t, peer.Report{Sequence: 3, Removed: []uint64{1, 2, 3}}, report(0))
	require.Equal(t, peer.Report{Sequence: 3, Removed: []uint64{3}}, report(2))
	require.Equal(t, peer.Report{Sequence: 3}, report(3))
	require.True(t, report(9).Reset, "after a restart of the sidecar its number is lower than the instance's")
	for b := range uint64(2 * maxRetainedRemovals) {
		remove(100 + b)
	}
	require.True(t, report(3).Reset, "too many removals to list")
	last := report(3).Sequence
	require.False(t, report(last-1).Reset)
}

// TestEvictionsReportedDespiteLostEvents runs a stand-in engine that loses half
// of its cache events and checks that all evicted blocks are reported.
func TestEvictionsReportedDespiteLostEvents(t *testing.T) {
	eng := standin.NewEngine(standin.EngineSpec{Model: "m", Step: time.Millisecond, MaxBatch: 4, CacheBlocks: 8, BlockTokens: 4,
		ReportLag: 50 * time.Millisecond, EventLossPercent: 50})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go eng.Run(ctx, done)
	srv := httptest.NewServer(eng.Handler())
	defer srv.Close()
	w := newTestWatcher(srv.URL)
	go w.run(ctx, done)
	defer func() {
		cancel()
		for range cap(done) {
			require.NoError(t, <-done)
		}
	}()
	complete := func(text string) []uint64 {
		messages := []program.Message{{Role: "user", Content: text}}
		var out engine.ChatResponse
		_, err := sling.New().Base(srv.URL).Post("/v1/chat/completions").BodyJSON(engine.ChatRequest{Model: "m", Messages: messages, MaxTokens: 1}).ReceiveSuccess(&out) //nolint:bodyclose // closed by sling
		require.NoError(t, err)
		return engine.BlockHashes(engine.TokenizePrompt(messages), 4)
	}
	blocks := complete("one two three four five six seven eight")
	w.track(blocks)
	for _, text := range []string{"a b c d e f g h i j k l m", "n o p q r s t u v w x y z", "1 2 3 4 5 6 7 8 9 10 11 12"} {
		complete(text)
	}
	require.Eventually(t, func() bool {
		var r peer.Report
		w.addRemovals(&r, 0)
		slices.Sort(r.Removed)
		slices.Sort(blocks)
		return slices.Equal(blocks, r.Removed)
	}, 5*time.Second, 20*time.Millisecond)
}
