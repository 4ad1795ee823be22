package store

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// partitionFailureThreshold is the number of consecutive failures after
	// which a partition counts as unavailable. A single failure may come from
	// one stale connection.
	partitionFailureThreshold = 3
	// storeFailureThreshold is the number of consecutive failures, in any
	// partitions and with no response for storeSilenceThreshold, after which the
	// complete store counts as unavailable. While a third of the partitions is
	// unavailable, callers that wait for them retry continuously and would reach
	// the count alone; the other partitions, however, respond ten times a second
	// to an instance with work.
	storeFailureThreshold = 6
	storeSilenceThreshold = 400 * time.Millisecond
	// throttleSilenceThreshold is the time without a served call after which
	// throttled calls count as failures. A store may reject all calls of one
	// instance that way and serve the others; while all instances together
	// exceed its rate limit, each is served some calls within that time.
	throttleSilenceThreshold = 2 * time.Second
	// unansweredThreshold is how long a call that its caller cancelled must have
	// waited to count as unanswered. A slow store responds within 250 ms; other
	// instances wait 600 ms for a call relayed through this one, and callers of
	// streams two seconds.
	unansweredThreshold = 500 * time.Millisecond
	// slowThreshold is the latency of a call, or the time without a response to
	// any call, from which the store counts as slow. It then counts as slow for
	// slowPeriod after such a response. The store usually responds in 4 ms, and
	// in about 20 ms during many concurrent writes.
	slowThreshold = 100 * time.Millisecond
	slowPeriod    = time.Second
	// probeInterval is the interval between probes of an unavailable store, and
	// probeTimeout the timeout of each. While the complete store is unavailable
	// and a probe is pending, the next one starts after
	// overlappingProbeInterval: a silent store never responds to probes sent
	// before its recovery, so callers wait for the first probe sent after it.
	// Probes of partitions don't overlap and cover all unavailable
	// partitions at once: 34 silent partitions of 96, probed five times a second
	// by 31 instances, would be 5,000 calls a second, and the store serves
	// 2,000.
	probeInterval            = 100 * time.Millisecond
	overlappingProbeInterval = 200 * time.Millisecond
	probeTimeout             = time.Second
	// probeTable is the table read by a probe; it need not exist.
	probeTable = "probe"
)

// AllPartitions stands for the complete store where a Guard reports the name
// of a partition.
const AllPartitions = "all"

// Guard is a Store that rejects calls immediately while the store behind it is
// unavailable. Requests that need the store can then be rejected while their
// callers still have time to retry, and the store receives little load while it
// recovers. Guard doesn't use requests to detect the recovery, because such a
// request would have to wait; Run probes the store instead.
type Guard struct {
	store    Store
	onChange func(partition string, unavailable bool, err error)

	createdAt    time.Time
	mu           sync.Mutex
	overall      health
	lastResponse time.Time // when the store last responded
	recoveredAt  time.Time // when the complete store was last found available again
	// pending is the number of calls without a result. unserved, if not zero, is
	// the time since which calls were made and none was served.
	// lastSlowResponse is when the last response arrived that took slowThreshold
	// or longer.
	pending          int
	unserved         time.Time
	lastSlowResponse time.Time
	partitions       map[string]*health
	// watchCancels holds the cancel functions of the watches in progress, by
	// watch ID. Watches are cancelled when the store is found unavailable,
	// because they would wait for changes that cannot arrive.
	watchCancels map[uint64]context.CancelFunc
	lastWatchID  uint64
}

// health holds the consecutive failures and the last response of one
// partition, or of all partitions together. Some partitions may be unavailable
// while the others are served.
type health struct {
	failures     int
	lastResponse time.Time
}

// NewGuard returns a Guard for s; the caller must start Run. The guard calls
// onChange each time a partition, or AllPartitions, becomes unavailable or
// available again, with the result of the call that caused the change.
func NewGuard(s Store, onChange func(partition string, unavailable bool, err error)) *Guard {
	return &Guard{store: s, onChange: onChange, createdAt: time.Now(), partitions: map[string]*health{}, watchCancels: map[uint64]context.CancelFunc{}}
}

// Unavailable reports whether a partition, or the complete store, is unavailable.
func (guard *Guard) Unavailable(partition string) bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.health(partition).failures >= partitionFailureThreshold || guard.overall.failures >= storeFailureThreshold
}

// AllUnavailable reports whether the complete store is unavailable.
func (guard *Guard) AllUnavailable() bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.overall.failures >= storeFailureThreshold
}

// RespondedSince reports whether the store responded to any call after t.
func (guard *Guard) RespondedSince(t time.Time) bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.lastResponse.After(t)
}

// Slow reports whether calls take longer than usual or currently receive no
// response. It detects an outage much earlier than Unavailable, and also detects a
// store that is slow but available.
func (guard *Guard) Slow() bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	now := time.Now()
	return !guard.unserved.IsZero() && now.Sub(guard.unserved) >= slowThreshold || now.Sub(guard.lastSlowResponse) < slowPeriod
}

// recordStart records the start of a call and returns its time.
func (guard *Guard) recordStart() time.Time {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.recordStartLocked()
}

// recordStartLocked is recordStart for a caller that holds mu.
func (guard *Guard) recordStartLocked() time.Time {
	now := time.Now()
	guard.pending++
	if guard.unserved.IsZero() {
		guard.unserved = now
	}
	return now
}

// recordEnd records the end of a call that started at started, and whether it
// was unserved. A call that its caller abandoned early is not evidence for
// either state of the store.
func (guard *Guard) recordEnd(started time.Time, unserved, abandoned bool) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	now := time.Now()
	guard.pending--
	switch {
	case unserved && !abandoned:
	case !unserved && guard.pending > 0:
		guard.unserved = now
	case guard.pending == 0:
		guard.unserved = time.Time{}
	}
	if !unserved && now.Sub(started) >= slowThreshold {
		guard.lastSlowResponse = now
	}
}

// health returns the state of a partition. The caller holds mu. The map stays
// small, since each table has a fixed number of partitions.
func (guard *Guard) health(partition string) *health {
	state, ok := guard.partitions[partition]
	if !ok {
		state = &health{}
		guard.partitions[partition] = state
	}
	return state
}

// Commit implements Store. It fails with FailureRefused without calling the store
// while the partition is unavailable.
func (guard *Guard) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	partition := tx.partition()
	started, err := guard.admit("commit", partition)
	if err != nil {
		return 0, err
	}
	version, err := guard.store.Commit(ctx, tx)
	guard.finishCall(ctx, started, partition, err)
	return version, err
}

// Read implements Store. It fails with FailureRefused without calling the store
// while the partition is unavailable.
func (guard *Guard) Read(ctx context.Context, r Range) (Page, error) {
	started, err := guard.admit("read", r.Partition)
	if err != nil {
		return Page{}, err
	}
	page, err := guard.store.Read(ctx, r)
	guard.finishCall(ctx, started, r.Partition, err)
	return page, err
}

// Watch implements Store. It calls the store even while the store is
// unavailable, because callers of Watch wait between failures.
func (guard *Guard) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	callCtx, stop := guard.watchContext(ctx)
	defer stop()
	started := time.Now()
	page, err := guard.store.Watch(callCtx, table, after, wait)
	// The duration is irrelevant: a watch waits for changes, not for a response.
	if !errors.Is(callCtx.Err(), context.Canceled) || !Unserved(err) {
		guard.recordResult("", started, err)
	}
	return page, err
}

// watchContext returns a context that is cancelled when the store is found
// unavailable, and the function that releases it.
func (guard *Guard) watchContext(ctx context.Context) (context.Context, func()) {
	callCtx, cancel := context.WithCancel(ctx)
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.lastWatchID++
	id := guard.lastWatchID
	guard.watchCancels[id] = cancel
	return callCtx, func() {
		guard.mu.Lock()
		defer guard.mu.Unlock()
		delete(guard.watchCancels, id)
		cancel()
	}
}

// admit records the start of a call to a partition and returns its time, or
// fails with FailureRefused if the partition or the complete store is
// unavailable.
func (guard *Guard) admit(op, partition string) (time.Time, error) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if guard.overall.failures < storeFailureThreshold && guard.health(partition).failures < partitionFailureThreshold {
		return guard.recordStartLocked(), nil
	}
	return time.Time{}, NewError(FailureRefused, op, "store unavailable; call not sent")
}

// Run probes unavailable partitions until ctx ends and all probes have
// returned, then sends the result to done.
func (guard *Guard) Run(ctx context.Context, done chan<- error) {
	var probes sync.WaitGroup
	var pending atomic.Int32
	var lastProbe time.Time
	ended := make(chan error, 1)
	clock.Every(ctx, probeInterval, func(now time.Time) {
		isEarly := !guard.AllUnavailable() || now.Sub(lastProbe) < overlappingProbeInterval
		if len(guard.probeTargets()) == 0 || pending.Load() > 0 && isEarly {
			return
		}
		lastProbe = now
		pending.Add(1)
		probes.Go(func() {
			defer pending.Add(-1)
			guard.Probe(ctx)
		})
	}, ended)
	probes.Wait()
	done <- <-ended
}

// Probe reads once from each unavailable partition, or from any one if the
// complete store is unavailable, and returns when all reads have ended.
func (guard *Guard) Probe(ctx context.Context) {
	var probes sync.WaitGroup
	for _, partition := range guard.probeTargets() {
		probes.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			started := guard.recordStart()
			_, err := guard.store.Read(callCtx, Range{Table: probeTable, Partition: partition, Limit: 1})
			guard.finishCall(callCtx, started, partition, err)
		})
	}
	probes.Wait()
}

// probeTargets returns the partitions to probe: the unavailable ones, or any
// one if the complete store is unavailable.
func (guard *Guard) probeTargets() []string {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	var unavailable []string
	for partition, state := range guard.partitions {
		if state.failures >= partitionFailureThreshold || guard.overall.failures >= storeFailureThreshold {
			unavailable = append(unavailable, partition)
		}
	}
	if guard.overall.failures >= storeFailureThreshold && len(unavailable) > 0 {
		return unavailable[:1]
	}
	return unavailable
}

// finishCall records the result of a call to a partition. A call that its
// caller cancelled within unansweredThreshold is ignored; a call that waited
// longer counts as a failure.
func (guard *Guard) finishCall(ctx context.Context, started time.Time, partition string, err error) {
	abandoned := Unserved(err) && errors.Is(ctx.Err(), context.Canceled) && time.Since(started) < unansweredThreshold
	guard.recordEnd(started, Unserved(err), abandoned)
	if !abandoned {
		guard.recordResult(partition, started, err)
	}
}

// recordResult records the result of a call that started at started. A failure
// is ignored if, since the start of the call, the complete store was found
// available again or the partition served another call. A throttled call is
// ignored unless the store has not served any for throttleSilenceThreshold.
func (guard *Guard) recordResult(partition string, started time.Time, err error) {
	failed := Unserved(err)
	guard.mu.Lock()
	state := guard.health(partition)
	isServing := started.Before(state.lastResponse) || started.Before(guard.recoveredAt) ||
		Is(err, FailureThrottled) && time.Since(later(guard.createdAt, guard.lastResponse)) < throttleSilenceThreshold
	if failed && isServing {
		guard.mu.Unlock()
		return
	}
	wasUnavailable, wasAllUnavailable := state.failures >= partitionFailureThreshold, guard.overall.failures >= storeFailureThreshold
	now := time.Now()
	if failed {
		// Probes of a partition already known to be unavailable say nothing
		// about the other partitions and don't count for the complete
		// store. The last failure before the threshold counts only after
		// storeSilenceThreshold without a response.
		noResponse := now.Sub(guard.lastResponse) >= storeSilenceThreshold
		if !wasUnavailable && (noResponse || guard.overall.failures < storeFailureThreshold-1) {
			guard.overall.failures++
		}
		state.failures++
	} else {
		state.failures, guard.overall.failures = 0, 0
		state.lastResponse, guard.lastResponse = now, now
	}
	isUnavailable, isAllUnavailable := state.failures >= partitionFailureThreshold, guard.overall.failures >= storeFailureThreshold
	switch {
	case isAllUnavailable && !wasAllUnavailable:
		for _, cancel := range guard.watchCancels {
			cancel()
		}
	case wasAllUnavailable && !isAllUnavailable:
		// The state of single partitions dates from the outage. If it stayed,
		// rejections by it would count as failures of the complete store and
		// make it unavailable again.
		clear(guard.partitions)
		guard.recoveredAt = now
	}
	guard.mu.Unlock()
	switch {
	case wasAllUnavailable != isAllUnavailable:
		guard.onChange(AllPartitions, isAllUnavailable, err)
	case wasUnavailable != isUnavailable && !isAllUnavailable:
		guard.onChange(partition, isUnavailable, err)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
