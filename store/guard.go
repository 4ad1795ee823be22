package store

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// guardFailures in a row, and the store counts as away. One may be a
	// connection that went silent.
	guardFailures = 3
	// wholeFailures in a row, in any partitions, and the whole store counts
	// as away: with a third of the partitions away, six in a row happen once
	// in 700 times.
	wholeFailures = 6
	// probeInterval is how often one call is let through to a store that is
	// away.
	probeInterval = 100 * time.Millisecond
)

// Guard is a Store that answers at once while the store behind it is away,
// so that a request that needs it can be turned away while its caller has
// time left to come back, and the store is not pressed while it recovers.
type Guard struct {
	store  Store
	clock  clock.Clock
	change func(partition string, away bool, err error)

	mu         sync.Mutex
	whole      health
	partitions map[string]*health
}

// health is what is known of one partition of the store: a part of them may
// be away while the others are served.
type health struct {
	failures int
	probe    time.Time
}

// NewGuard returns a guard before s. It calls change each time that the
// store is found to be away or back.
func NewGuard(s Store, clk clock.Clock, change func(partition string, away bool, err error)) *Guard {
	return &Guard{store: s, clock: clk, change: change, partitions: map[string]*health{}}
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
	if err := guard.enter("commit", partition); err != nil {
		return 0, err
	}
	version, err := guard.store.Commit(ctx, tx)
	guard.leave(ctx, partition, err)
	return version, err
}

// Read implements Store.
func (guard *Guard) Read(ctx context.Context, r Range) (Page, error) {
	if err := guard.enter("read", r.Partition); err != nil {
		return Page{}, err
	}
	page, err := guard.store.Read(ctx, r)
	guard.leave(ctx, r.Partition, err)
	return page, err
}

// Watch implements Store. It is not held back: whoever watches waits
// between failures.
func (guard *Guard) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	page, err := guard.store.Watch(ctx, table, after, wait)
	guard.leave(ctx, "", err)
	return page, err
}

func (guard *Guard) enter(op, partition string) error {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	state := &guard.whole
	if state.failures < wholeFailures {
		state = guard.health(partition)
		if state.failures < guardFailures {
			return nil
		}
	}
	now := guard.clock.Now()
	if now.Before(state.probe) {
		return NewError(FailureRefused, op, "the store is away")
	}
	state.probe = now.Add(probeInterval)
	return nil
}

// leave takes in how a call ended. One that its caller gave up says nothing.
func (guard *Guard) leave(ctx context.Context, partition string, err error) {
	failed := Unserved(err)
	if failed && ctx.Err() != nil {
		return
	}
	guard.mu.Lock()
	state := guard.health(partition)
	was, wasWhole := state.failures >= guardFailures, guard.whole.failures >= wholeFailures
	if failed {
		state.failures++
		guard.whole.failures++
	} else {
		state.failures, guard.whole.failures = 0, 0
	}
	is, isWhole := state.failures >= guardFailures, guard.whole.failures >= wholeFailures
	guard.mu.Unlock()
	switch {
	case wasWhole != isWhole:
		guard.change("all", isWhole, err)
	case was != is && !isWhole:
		guard.change(partition, is, err)
	}
}
