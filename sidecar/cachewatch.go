package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/engine"
	"github.com/wagtaildrum/wagtaildrum/peer"
)

const (
	// cachePeriod is how often the engine's cache events are read.
	cachePeriod = 200 * time.Millisecond
	// trackedBlocks bounds the blocks whose removal is reported.
	trackedBlocks = 1 << 16
	// removedKept bounds the removals kept for entry instances that have
	// not seen them; one that lags further behind is told to start afresh.
	removedKept = 4096
	// removedSent bounds the removals in one report.
	removedSent = 512
)

// cacheWatch follows an engine's cache events and tells entry instances
// which of the blocks they routed by are gone. Events come late and some
// never: a gap in their numbers may hide a removal, and the router would go
// on sending a program to an engine that has to read its history again. At
// a gap the whole list of blocks is read instead.
type cacheWatch struct {
	endpoint *sling.Sling
	log      *slog.Logger

	mu      sync.Mutex
	tracked *simplelru.LRU[uint64, struct{}]
	// removed holds removals first+1 to first+len(removed).
	removed []uint64
	first   uint64
	// seen is the last event number taken in.
	seen    uint64
	resyncs int
}

func newCacheWatch(endpoint *sling.Sling, log *slog.Logger) *cacheWatch {
	tracked, err := simplelru.NewLRU[uint64, struct{}](trackedBlocks, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &cacheWatch{endpoint: endpoint, log: log, tracked: tracked}
}

// track notes that entry instances route by these blocks.
func (w *cacheWatch) track(blocks []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range blocks {
		w.tracked.Add(b, struct{}{})
	}
}

// fill adds to r the removals after number seen.
func (w *cacheWatch) fill(r *peer.Report, seen uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.first + uint64(len(w.removed))
	r.Sequence = last
	switch {
	case seen > last:
		// The sidecar restarted and counts anew.
		r.Reset = true
	case seen < w.first, last-seen > removedSent:
		r.Reset = seen > 0 || w.first > 0
	default:
		r.Removed = append(r.Removed, w.removed[seen-w.first:]...)
	}
}

// run reads the engine's events until ctx ends, then reports on done.
func (w *cacheWatch) run(ctx context.Context, done chan<- error) {
	clock.Every(ctx, cachePeriod, func(time.Time) {
		if err := w.poll(ctx); err != nil && ctx.Err() == nil {
			w.log.Info("cache events not read", "err", err)
		}
	}, done)
}

type afterQuery struct {
	After uint64 `url:"after"`
}

func (w *cacheWatch) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	var events engine.CacheEvents
	if err := w.get(ctx, w.endpoint.New().Get("cache-events").QueryStruct(afterQuery{w.seen}), &events); err != nil {
		return err
	}
	if w.apply(&events) {
		return nil
	}
	var blocks engine.CacheBlocks
	if err := w.get(ctx, w.endpoint.New().Get("cache-blocks"), &blocks); err != nil {
		return err
	}
	w.resync(&blocks)
	return nil
}

func (w *cacheWatch) get(ctx context.Context, s *sling.Sling, out any) error {
	req, err := s.Request()
	if err != nil {
		return err
	}
	_, err = w.endpoint.Do(req.WithContext(ctx), out, nil) //nolint:bodyclose // sling closes the body once decoded
	return err
}

// apply takes in events and reports whether none was missing.
func (w *cacheWatch) apply(events *engine.CacheEvents) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range events.Events {
		if e.Sequence != w.seen+1 {
			return false
		}
		w.seen = e.Sequence
		if e.Kind == engine.CacheRemoved {
			w.remove(e.Block)
		}
	}
	return events.Published == w.seen
}

// resync takes in the whole list of blocks: what is tracked and not in it
// is gone.
func (w *cacheWatch) resync(blocks *engine.CacheBlocks) {
	held := make(map[uint64]struct{}, len(blocks.Blocks))
	for _, b := range blocks.Blocks {
		held[b] = struct{}{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resyncs++
	w.seen = blocks.Sequence
	for _, b := range w.tracked.Keys() {
		if _, ok := held[b]; !ok {
			w.remove(b)
		}
	}
}

func (w *cacheWatch) remove(block uint64) {
	if !w.tracked.Remove(block) {
		return
	}
	w.removed = append(w.removed, block)
	if over := len(w.removed) - removedKept; over > 0 {
		w.removed = append(w.removed[:0], w.removed[over:]...)
		w.first += uint64(over)
	}
}

// stats returns the blocks tracked, removals so far and resyncs.
func (w *cacheWatch) stats() (tracked int, removed uint64, resyncs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracked.Len(), w.first + uint64(len(w.removed)), w.resyncs
}
