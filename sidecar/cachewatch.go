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
	// cachePollInterval is the interval at which the engine's cache events are
	// read.
	cachePollInterval = 200 * time.Millisecond
	// maxTrackedBlocks is the maximum number of blocks whose removal is
	// reported. Beyond it the least recently tracked ones are dropped.
	maxTrackedBlocks = 1 << 16
	// maxRetainedRemovals is the maximum number of removals retained for entry
	// instances that have not received them. An instance further behind gets a
	// report with Reset set.
	maxRetainedRemovals = 4096
	// maxReportedRemovals is the maximum number of removals in one report.
	maxReportedRemovals = 512
)

// cacheWatcher reads an engine's cache events and reports to entry instances
// which of the blocks they routed by were removed from its prefix cache. Events
// are published with a lag and some are lost. A gap in their sequence numbers
// may hide a removal, after which the router would continue to send a program to
// an engine that has to read its history again. After a gap the full list of
// blocks is read instead.
type cacheWatcher struct {
	endpoint *sling.Sling
	log      *slog.Logger

	mu      sync.Mutex
	tracked *simplelru.LRU[uint64, struct{}]
	// removed holds the latest removals of tracked blocks, numbered from
	// discarded+1 to discarded+len(removed).
	removed []uint64
	// discarded is the number of removals no longer retained.
	discarded uint64
	// lastEvent is the sequence number of the last event applied.
	lastEvent uint64
	// resyncs is the number of times the full list of blocks was applied.
	resyncs int
}

// newCacheWatcher returns a watcher of endpoint that tracks no blocks yet.
func newCacheWatcher(endpoint *sling.Sling, log *slog.Logger) *cacheWatcher {
	tracked, err := simplelru.NewLRU[uint64, struct{}](maxTrackedBlocks, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &cacheWatcher{endpoint: endpoint, log: log, tracked: tracked}
}

// track adds blocks, which entry instances route by, to the tracked ones.
func (w *cacheWatcher) track(blocks []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range blocks {
		w.tracked.Add(b, struct{}{})
	}
}

// addRemovals adds to r the removals with numbers above lastSeen, the number of
// the last removal that the instance received. It sets r.Reset instead if they
// are too many, are no longer retained, or were counted by an earlier
// incarnation of the sidecar.
func (w *cacheWatcher) addRemovals(r *peer.Report, lastSeen uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := w.discarded + uint64(len(w.removed))
	r.Sequence = newest
	switch {
	case lastSeen > newest:
		// The sidecar was restarted, and its numbers start from 1 again.
		r.Reset = true
	case lastSeen < w.discarded, newest-lastSeen > maxReportedRemovals:
		r.Reset = lastSeen > 0 || w.discarded > 0
	default:
		r.Removed = append(r.Removed, w.removed[lastSeen-w.discarded:]...)
	}
}

// run polls the engine's cache events until ctx is cancelled, then sends on done.
func (w *cacheWatcher) run(ctx context.Context, done chan<- error) {
	clock.Every(ctx, cachePollInterval, func(time.Time) {
		if err := w.poll(ctx); err != nil && ctx.Err() == nil {
			w.log.Info("engine cache events not read; retrying at the next poll", "err", err)
		}
	}, done)
}

// afterQuery is the query of GET /cache-events.
type afterQuery struct {
	After uint64 `url:"after"`
}

// poll reads and applies the engine's new cache events and, if one is missing,
// the full list of blocks. It returns an error if a request fails.
func (w *cacheWatcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	var events engine.CacheEvents
	if err := w.getJSON(ctx, w.endpoint.New().Get("cache-events").QueryStruct(afterQuery{w.lastEvent}), &events); err != nil {
		return err
	}
	if w.applyEvents(&events) {
		return nil
	}
	var blocks engine.CacheBlocks
	if err := w.getJSON(ctx, w.endpoint.New().Get("cache-blocks"), &blocks); err != nil {
		return err
	}
	w.resync(&blocks)
	return nil
}

// getJSON sends the request s and decodes the JSON response into out.
func (w *cacheWatcher) getJSON(ctx context.Context, s *sling.Sling, out any) error {
	req, err := s.Request()
	if err != nil {
		return err
	}
	_, err = w.endpoint.Do(req.WithContext(ctx), out, nil) //nolint:bodyclose // sling closes the body once decoded
	return err
}

// applyEvents applies events in order and reports whether none is missing up to
// the highest published sequence number. It stops at the first gap.
func (w *cacheWatcher) applyEvents(events *engine.CacheEvents) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range events.Events {
		if e.Sequence != w.lastEvent+1 {
			return false
		}
		w.lastEvent = e.Sequence
		if e.Kind == engine.CacheRemoved {
			w.remove(e.Block)
		}
	}
	return events.Published == w.lastEvent
}

// resync applies the full list of blocks in the prefix cache: a tracked block
// that is not in it was removed.
func (w *cacheWatcher) resync(blocks *engine.CacheBlocks) {
	present := make(map[uint64]struct{}, len(blocks.Blocks))
	for _, b := range blocks.Blocks {
		present[b] = struct{}{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resyncs++
	w.lastEvent = blocks.Sequence
	for _, b := range w.tracked.Keys() {
		if _, ok := present[b]; !ok {
			w.remove(b)
		}
	}
}

// remove records the removal of block if it is tracked, and discards the oldest
// removals beyond maxRetainedRemovals. The caller must hold w.mu.
func (w *cacheWatcher) remove(block uint64) {
	if !w.tracked.Remove(block) {
		return
	}
	w.removed = append(w.removed, block)
	if excess := len(w.removed) - maxRetainedRemovals; excess > 0 {
		w.removed = append(w.removed[:0], w.removed[excess:]...)
		w.discarded += uint64(excess)
	}
}

// stats returns the numbers of tracked blocks, removals so far and resyncs.
func (w *cacheWatcher) stats() (tracked int, removed uint64, resyncs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracked.Len(), w.discarded + uint64(len(w.removed)), w.resyncs
}
