package store

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// minHedgeDelay is the minimum time to wait for a response before the call
	// is repeated in parallel. The store responds in 4 ms, and in about 20 ms
	// during many concurrent writes.
	minHedgeDelay = 60 * time.Millisecond
	// minTimeout and maxTimeout bound a call with all its repeats. A slow store
	// responds in 250 ms, or in 1.25 s if earlier transactions occupy the
	// partition for a second. A write abandoned before its response arrives is
	// still applied, and a retry makes the partition do the work twice.
	minTimeout = 600 * time.Millisecond
	maxTimeout = 1500 * time.Millisecond
	// silentHedgeDelay replaces minHedgeDelay while no call that started later
	// has had a response: the store may have become slow, and each repeated
	// transaction adds to the queue of its partition.
	silentHedgeDelay = 250 * time.Millisecond
	// lossWindow is how long after a lost response further losses are expected.
	// During this time calls are repeated after minHedgeDelay.
	lossWindow = 2 * time.Second
	// maxSilentLatency bounds the typical latency inferred from a call without a
	// response. With latencyFactor it limits calls to a silent store to one
	// second. Latencies measured at a store that does respond are not capped.
	maxSilentLatency = 250 * time.Millisecond
	// latencyFactor times the typical latency is the time to wait before a
	// repeat and the basis of the timeout. The wait doubles with each repeat.
	latencyFactor = 4
	// latencyWeight is the weight of a new sample in the moving average of the
	// latency, and slowLatencyWeight the weight of a sample above the average:
	// when a store becomes slow, all calls become slow at once.
	latencyWeight     = 0.1
	slowLatencyWeight = 0.5
)

// Hedged is a Store that hedges Commit and Read: it repeats a call in
// parallel if no response arrives within a multiple of the typical latency.
// Otherwise a lost response or a stale connection would cost the caller a long
// timeout. The first attempt stays pending, because the store may only be slow.
// If a transaction was applied but its response was lost, the conditions of the
// repeat fail; a caller that makes conditional writes must treat a conflict with
// its own write as success.
type Hedged struct {
	store Store
	clock clock.Clock

	mu             sync.Mutex
	typicalLatency time.Duration
	// lastServedStart is the latest start of a call that had a response;
	// responded is when the last response arrived.
	lastServedStart, responded time.Time
	// lastLoss is when a repeat was last answered within minHedgeDelay and
	// before the earlier attempts, whose responses therefore count as lost.
	lastLoss time.Time
}

// NewHedged returns a Store that hedges the calls to s.
func NewHedged(s Store, clk clock.Clock) *Hedged { return &Hedged{store: s, clock: clk} }

// Commit implements Store.
func (hedged *Hedged) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	return hedge(ctx, hedged, func(ctx context.Context) (uint64, error) { return hedged.store.Commit(ctx, tx) })
}

// Read implements Store.
func (hedged *Hedged) Read(ctx context.Context, r Range) (Page, error) {
	return hedge(ctx, hedged, func(ctx context.Context) (Page, error) { return hedged.store.Read(ctx, r) })
}

// Watch implements Store. It makes a single attempt, because callers repeat
// watches.
func (hedged *Hedged) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	return hedged.store.Watch(ctx, table, after, wait)
}

// outcome is the result of one attempt of a call, which started at started.
type outcome[T any] struct {
	result  T
	err     error
	started time.Time
}

// hedge makes a call and repeats it in parallel until an attempt is served, all
// attempts have failed, the timeout passes or ctx ends. It returns the first
// served result; a failure of an unanswered attempt takes precedence over a
// rejection.
func hedge[T any](ctx context.Context, hedged *Hedged, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTimeout)
	defer cancel()
	outcomes := make(chan outcome[T])
	started, initial := hedged.clock.Now(), hedged.timeout()
	pending, lastStart, factor := 0, started, time.Duration(1)
	send := func() {
		pending++
		lastStart = hedged.clock.Now()
		go func(started time.Time) {
			result, err := call(ctx)
			select {
			case outcomes <- outcome[T]{result: result, err: err, started: started}:
			case <-ctx.Done():
			}
		}(lastStart)
	}
	send()
	timer := time.NewTimer(minHedgeDelay)
	defer timer.Stop()
	var zero T
	var lastErr error
	for {
		select {
		case got := <-outcomes:
			pending--
			if !Unserved(got.err) {
				hedged.recordResponse(got.started, got.started.After(started))
				return got.result, got.err
			}
			// A rejected attempt doesn't rule out that an unanswered one was
			// applied.
			if lastErr == nil || Is(got.err, FailureUnanswered) {
				lastErr = got.err
			}
			if pending == 0 {
				return zero, lastErr
			}
		case <-timer.C:
			timeout := hedged.extendedTimeout(started, initial)
			remaining := timeout - hedged.clock.Now().Sub(started)
			if remaining <= 0 {
				hedged.recordTimeout(timeout)
				return zero, NewError(FailureUnanswered, "call", "no response before the timeout")
			}
			hedgeDelay := factor * hedged.hedgeDelay(lastStart)
			if hedged.clock.Now().Sub(lastStart) >= hedgeDelay {
				send()
				hedgeDelay, factor = 2*hedgeDelay, 2*factor
			}
			timer.Reset(min(remaining, max(hedgeDelay-hedged.clock.Now().Sub(lastStart), minHedgeDelay/4)))
		case <-ctx.Done():
			hedged.recordTimeout(hedged.clock.Now().Sub(started))
			return zero, NewError(FailureUnanswered, "call", ctx.Err().Error())
		}
	}
}

// hedgeDelay returns how long to wait for the attempt started at lastStart
// before repeating the call, given the responses received since.
func (hedged *Hedged) hedgeDelay(lastStart time.Time) time.Duration {
	hedged.mu.Lock()
	defer hedged.mu.Unlock()
	if hedged.lastServedStart.After(lastStart) || hedged.clock.Now().Sub(hedged.lastLoss) < lossWindow {
		return max(latencyFactor*hedged.typicalLatency, minHedgeDelay)
	}
	return max(latencyFactor*hedged.typicalLatency, silentHedgeDelay)
}

// timeout returns the total time allowed for a call that starts now.
func (hedged *Hedged) timeout() time.Duration {
	hedged.mu.Lock()
	defer hedged.mu.Unlock()
	return min(max(latencyFactor*hedged.typicalLatency, minTimeout), maxTimeout)
}

// extendedTimeout returns the total time allowed for a call that started at
// started with the timeout initial. The result is longer if responses received
// since the start show that the store is slow.
func (hedged *Hedged) extendedTimeout(started time.Time, initial time.Duration) time.Duration {
	hedged.mu.Lock()
	responded := hedged.responded.After(started)
	hedged.mu.Unlock()
	if !responded {
		return initial
	}
	return max(initial, hedged.timeout())
}

// recordResponse records that the store responded to an attempt that started at
// started, and whether the attempt was a repeat.
func (hedged *Hedged) recordResponse(started time.Time, isHedge bool) {
	now := hedged.clock.Now()
	latency := now.Sub(started)
	hedged.mu.Lock()
	defer hedged.mu.Unlock()
	hedged.responded = now
	weight := latencyWeight
	if latency > hedged.typicalLatency {
		weight = slowLatencyWeight
	}
	hedged.typicalLatency += time.Duration(weight * float64(latency-hedged.typicalLatency))
	if started.After(hedged.lastServedStart) {
		hedged.lastServedStart = started
	}
	if isHedge && latency < minHedgeDelay {
		hedged.lastLoss = now
	}
}

// recordTimeout records a call without a response in the time waited. Since the
// store may have become slow, it raises the typical latency, so that later calls
// wait longer until responses are fast again.
func (hedged *Hedged) recordTimeout(waited time.Duration) {
	hedged.mu.Lock()
	defer hedged.mu.Unlock()
	hedged.typicalLatency = max(hedged.typicalLatency, min(waited/2, maxSilentLatency))
}
