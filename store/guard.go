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
	// guardFailures in a row, and the store counts as away. One may be a
	// connection that went silent.
	guardFailures = 3
	// wholeFailures in a row, in any partitions, with no answer for
	// wholeSilence, and the whole store counts as away. With a third of the
	// partitions away, those that wait for them call again and again; but an
	// instance with work hears from the others ten times a second.
	wholeFailures = 6
	wholeSilence  = 400 * time.Millisecond
	// silentCall is how long a call must have waited to count as unanswered
	// though its caller gave it up. A slow store answers in a quarter of a
	// second; other instances wait 600 ms for a call made for them, and callers
	// of streams two seconds.
	silentCall = 500 * time.Millisecond
	// slowCall is how late a call is answered, or how long none is, and the store
	// counts as slow for slowTime: it answers in 4 ms, and in some 20 when many
	// write at once.
	slowCall = 100 * time.Millisecond
	slowTime = time.Second
	// probeInterval is how often a store that is away is tried, probeTimeout
	// how long each try waits. While the whole store is away and a try has no
	// answer, the next begins after probeSpacing: a store that was silent never
	// answers the tries of before, and each caller that waits for it waits for the
	// try after its return. Partitions are tried all at once, one try at a time: 34
	// of 96 that are silent, five times a second by 31 instances, would be 5,000
	// calls a second, where the store serves 2,000.
	probeInterval = 100 * time.Millisecond
	probeSpacing  = 200 * time.Millisecond
	probeTimeout  = time.Second
	// probedTable is what is read to try a store; it need not exist.
	probedTable = "probe"
)

// AllPartitions names the store as a whole where a Guard tells a partition.
const AllPartitions = "all"

// Guard is a Store that answers at once while the store behind it is away,
// so that a request that needs it can be turned away while its caller has
// time left to come back, and the store is not pressed while it recovers.
// Requests are not used to find out whether it is back, since the one that
// does would wait: Run does that.
type Guard struct {
	store  Store
	change func(partition string, away bool, err error)

	mu       sync.Mutex
	whole    health
	answered time.Time // when the store last answered
	returned time.Time // when the whole store was last found back
	// pending calls wait for an answer; since unserved, if it is set, calls were
	// made and none was served. late is when one was last served after slowCall.
	pending    int
	unserved   time.Time
	late       time.Time
	partitions map[string]*health
	// watches in progress are ended when the store is found away: they were
	// begun before, and would wait for news that cannot come.
	watches map[uint64]context.CancelFunc
	watched uint64
}

// health is what is known of one partition of the store: a part of them may
// be away while the others are served.
type health struct {
	failures int
	answered time.Time
}

// NewGuard returns a guard before s; Run must run. It calls change each time that the
// store is found to be away or back.
func NewGuard(s Store, change func(partition string, away bool, err error)) *Guard {
	return &Guard{store: s, change: change, partitions: map[string]*health{}, watches: map[uint64]context.CancelFunc{}}
}

// Away reports whether the store does not answer for a partition.
func (guard *Guard) Away(partition string) bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.health(partition).failures >= guardFailures || guard.whole.failures >= wholeFailures
}

// WholeAway reports whether no partition answers.
func (guard *Guard) WholeAway() bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.whole.failures >= wholeFailures
}

// AnsweredSince reports whether the store answered any call that ended after t.
func (guard *Guard) AnsweredSince(t time.Time) bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.answered.After(t)
}

// Slow reports whether the store serves calls later than usual, or none for the
// moment. It tells so much earlier than Away, and of a store that is only slow.
func (guard *Guard) Slow() bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	now := time.Now()
	return !guard.unserved.IsZero() && now.Sub(guard.unserved) >= slowCall || now.Sub(guard.late) < slowTime
}

// begin notes a call.
func (guard *Guard) begin() time.Time {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.beginLocked()
}

// beginLocked is begin for a caller that holds mu.
func (guard *Guard) beginLocked() time.Time {
	now := time.Now()
	guard.pending++
	if guard.unserved.IsZero() {
		guard.unserved = now
	}
	return now
}

// end takes in whether a call that began then was served. One that its caller
// gave up says nothing.
func (guard *Guard) end(began time.Time, unserved, givenUp bool) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	now := time.Now()
	guard.pending--
	switch {
	case unserved && !givenUp:
	case !unserved && guard.pending > 0:
		guard.unserved = now
	case guard.pending == 0:
		guard.unserved = time.Time{}
	}
	if !unserved && now.Sub(began) >= slowCall {
		guard.late = now
	}
}

// health returns the state of a partition. The caller holds mu. Partitions
// are few: the product's own tables have a fixed number each.
func (guard *Guard) health(partition string) *health {
	state, ok := guard.partitions[partition]
	if !ok {
		state = &health{}
		guard.partitions[partition] = state
	}
	return state
}

// Commit implements Store.
func (guard *Guard) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	partition := tx.partition()
	began, err := guard.enter("commit", partition)
	if err != nil {
		return 0, err
	}
	version, err := guard.store.Commit(ctx, tx)
	guard.leaveCall(ctx, began, partition, err)
	return version, err
}

// Read implements Store.
func (guard *Guard) Read(ctx context.Context, r Range) (Page, error) {
	began, err := guard.enter("read", r.Partition)
	if err != nil {
		return Page{}, err
	}
	page, err := guard.store.Read(ctx, r)
	guard.leaveCall(ctx, began, r.Partition, err)
	return page, err
}

// Watch implements Store. It is not held back: whoever watches waits
// between failures.
func (guard *Guard) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	limited, end := guard.watching(ctx)
	defer end()
	began := time.Now()
	page, err := guard.store.Watch(limited, table, after, wait)
	// However long it waited: a watch waits for news, not for an answer.
	if !errors.Is(limited.Err(), context.Canceled) || !Unserved(err) {
		guard.leave("", began, err)
	}
	return page, err
}

// watching returns a context that ends when the store is found away.
func (guard *Guard) watching(ctx context.Context) (context.Context, func()) {
	limited, cancel := context.WithCancel(ctx)
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.watched++
	id := guard.watched
	guard.watches[id] = cancel
	return limited, func() {
		guard.mu.Lock()
		defer guard.mu.Unlock()
		delete(guard.watches, id)
		cancel()
	}
}

// enter returns when a call to a partition began, or the error of one that is
// away.
func (guard *Guard) enter(op, partition string) (time.Time, error) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if guard.whole.failures < wholeFailures && guard.health(partition).failures < guardFailures {
		return guard.beginLocked(), nil
	}
	return time.Time{}, NewError(FailureRefused, op, "the store is away")
}

// Run tries what is away until ctx ends, then reports on done.
func (guard *Guard) Run(ctx context.Context, done chan<- error) {
	var probes sync.WaitGroup
	var pending atomic.Int32
	var last time.Time
	ended := make(chan error, 1)
	clock.Every(ctx, probeInterval, func(now time.Time) {
		isEarly := !guard.WholeAway() || now.Sub(last) < probeSpacing
		if len(guard.toProbe()) == 0 || pending.Load() > 0 && isEarly {
			return
		}
		last = now
		pending.Add(1)
		probes.Go(func() {
			defer pending.Add(-1)
			guard.Probe(ctx)
		})
	}, ended)
	probes.Wait()
	done <- <-ended
}

// Probe tries each partition that is away once, or any one if all are.
func (guard *Guard) Probe(ctx context.Context) {
	var tries sync.WaitGroup
	for _, partition := range guard.toProbe() {
		tries.Go(func() {
			limited, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			began := guard.begin()
			_, err := guard.store.Read(limited, Range{Table: probedTable, Partition: partition, Limit: 1})
			guard.leaveCall(limited, began, partition, err)
		})
	}
	tries.Wait()
}

func (guard *Guard) toProbe() []string {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	var away []string
	for partition, state := range guard.partitions {
		if state.failures >= guardFailures || guard.whole.failures >= wholeFailures {
			away = append(away, partition)
		}
	}
	if guard.whole.failures >= wholeFailures && len(away) > 0 {
		return away[:1]
	}
	return away
}

// leaveCall takes in how a call that began then ended. One that its caller soon
// gave up says nothing; one that was not answered in its time does.
func (guard *Guard) leaveCall(ctx context.Context, began time.Time, partition string, err error) {
	givenUp := Unserved(err) && errors.Is(ctx.Err(), context.Canceled) && time.Since(began) < silentCall
	guard.end(began, Unserved(err), givenUp)
	if !givenUp {
		guard.leave(partition, began, err)
	}
}

// leave takes in what a call to a partition came to that began then. One without
// an answer says nothing if the store was found back, or the partition served
// another one, since.
func (guard *Guard) leave(partition string, began time.Time, err error) {
	failed := Unserved(err)
	guard.mu.Lock()
	state := guard.health(partition)
	if failed && (began.Before(state.answered) || began.Before(guard.returned)) {
		guard.mu.Unlock()
		return
	}
	was, wasWhole := state.failures >= guardFailures, guard.whole.failures >= wholeFailures
	now := time.Now()
	if failed {
		// A partition that is known to be away, and is tried again and
		// again, says nothing of the others.
		// Short of the last step the count goes on at once; the last waits
		// until nothing was heard for wholeSilence.
		silent := now.Sub(guard.answered) >= wholeSilence
		if !was && (silent || guard.whole.failures < wholeFailures-1) {
			guard.whole.failures++
		}
		state.failures++
	} else {
		state.failures, guard.whole.failures = 0, 0
		state.answered, guard.answered = now, now
	}
	is, isWhole := state.failures >= guardFailures, guard.whole.failures >= wholeFailures
	switch {
	case isWhole && !wasWhole:
		for _, cancel := range guard.watches {
			cancel()
		}
	case wasWhole && !isWhole:
		// What was found out of single partitions is from the outage: left
		// standing, their refusals would have the whole store away again.
		clear(guard.partitions)
		guard.returned = now
	}
	guard.mu.Unlock()
	switch {
	case wasWhole != isWhole:
		guard.change(AllPartitions, isWhole, err)
	case was != is && !isWhole:
		guard.change(partition, is, err)
	}
}
