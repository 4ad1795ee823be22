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

func newWatch(url string) *cacheWatch {
	return newCacheWatch(sling.New().Base(url), slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func stored(seq, block uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: seq, Kind: engine.CacheStored, Block: block}
}

func removed(seq, block uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: seq, Kind: engine.CacheRemoved, Block: block}
}

// TestGapInCacheEventsIsNoticed: an event that never comes does not go
// unnoticed.
//
// Symptom: a program is sent, turn after turn, to an engine that evicted
// its history.
// Sequence: the event of a tracked block's removal is lost; later events
// arrive.
// Cause: a reader that takes events as they come.
func TestGapInCacheEventsIsNoticed(t *testing.T) {
	w := newWatch("http://127.0.0.1:1")
	w.track([]uint64{10, 11, 12})
	require.True(t, w.apply(&engine.CacheEvents{Events: []engine.CacheEvent{stored(1, 10), stored(2, 11), removed(3, 11)}, Published: 3}))
	require.False(t, w.apply(&engine.CacheEvents{Events: []engine.CacheEvent{stored(5, 13)}, Published: 5}), "event 4 is missing")
	require.False(t, w.apply(&engine.CacheEvents{Published: 4}), "all of what was published is missing")
	w.resync(&engine.CacheBlocks{Sequence: 5, Blocks: []uint64{12, 13}})
	var r peer.Report
	w.fill(&r, 0)
	slices.Sort(r.Removed)
	require.Equal(t, []uint64{10, 11}, r.Removed)
	require.True(t, w.apply(&engine.CacheEvents{Events: []engine.CacheEvent{stored(6, 14)}, Published: 6}), "events go on after the list")
}

// TestReportsTellEachInstanceWhatItMissed: a report holds what is new to
// the instance it goes to, or tells it to start afresh.
func TestReportsTellEachInstanceWhatItMissed(t *testing.T) {
	w := newWatch("http://127.0.0.1:1")
	remove := func(blocks ...uint64) {
		w.track(blocks)
		for _, b := range blocks {
			w.remove(b)
		}
	}
	report := func(seen uint64) peer.Report {
		var r peer.Report
		w.fill(&r, seen)
		return r
	}
	require.Equal(t, peer.Report{}, report(0))
	remove(1, 2, 3)
	require.Equal(t, peer.Report{Sequence: 3, Removed: []uint64{1, 2, 3}}, report(0))
	require.Equal(t, peer.Report{Sequence: 3, Removed: []uint64{3}}, report(2))
	require.Equal(t, peer.Report{Sequence: 3}, report(3))
	require.True(t, report(9).Reset, "the sidecar restarted: its numbers are lower than those seen")
	for b := range uint64(2 * removedKept) {
		remove(100 + b)
	}
	require.True(t, report(3).Reset, "too far behind to list")
	last := report(3).Sequence
	require.False(t, report(last-1).Reset)
}

// TestEvictionsReachReports follows a real stand-in engine that loses half
// of its events: what it evicted is reported all the same.
func TestEvictionsReachReports(t *testing.T) {
	eng := standin.NewEngine(standin.EngineSpec{Model: "m", Step: time.Millisecond, MaxBatch: 4, CacheBlocks: 8, BlockTokens: 4,
		ReportLag: 50 * time.Millisecond, EventLossPercent: 50})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go eng.Run(ctx, done)
	srv := httptest.NewServer(eng.Handler())
	defer srv.Close()
	w := newWatch(srv.URL)
	go w.run(ctx, done)
	defer func() {
		cancel()
		for range cap(done) {
			require.NoError(t, <-done)
		}
	}()
	ask := func(text string) []uint64 {
		messages := []program.Message{{Role: "user", Content: text}}
		var out engine.ChatResponse
		_, err := sling.New().Base(srv.URL).Post("/v1/chat/completions").BodyJSON(engine.ChatRequest{Model: "m", Messages: messages, MaxTokens: 1}).ReceiveSuccess(&out) //nolint:bodyclose // closed by sling
		require.NoError(t, err)
		return engine.BlockHashes(engine.PromptTokenList(messages), 4)
	}
	first := ask("one two three four five six seven eight")
	w.track(first)
	for _, text := range []string{"a b c d e f g h i j k l m", "n o p q r s t u v w x y z", "1 2 3 4 5 6 7 8 9 10 11 12"} {
		ask(text)
	}
	require.Eventually(t, func() bool {
		var r peer.Report
		w.fill(&r, 0)
		slices.Sort(r.Removed)
		slices.Sort(first)
		return slices.Equal(first, r.Removed)
	}, 5*time.Second, 20*time.Millisecond)
}
