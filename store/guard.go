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
	change func(away bool, err error)

	mu       sync.Mutex
	failures int
	probe    time.Time
}

// NewGuard returns a guard before s. It calls change each time that the
// store is found to be away or back.
func NewGuard(s Store, clk clock.Clock, change func(away bool, err error)) *Guard {
	return &Guard{store: s, clock: clk, change: change}
}

// Away reports whether the store does not answer.
func (guard *Guard) Away() bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.failures >= guardFailures
}

// Commit implements Store.
func (guard *Guard) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	if err := guard.enter("commit"); err != nil {
		return 0, err
	}
	version, err := guard.store.Commit(ctx, tx)
	guard.leave(ctx, err)
	return version, err
}

// Read implements Store.
func (guard *Guard) Read(ctx context.Context, r Range) (Page, error) {
	if err := guard.enter("read"); err != nil {
		return Page{}, err
	}
	page, err := guard.store.Read(ctx, r)
	guard.leave(ctx, err)
	return page, err
}

// Watch implements Store. It is not held back: whoever watches waits
// between failures.
func (guard *Guard) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	page, err := guard.store.Watch(ctx, table, after, wait)
	guard.leave(ctx, err)
	return page, err
}

func (guard *Guard) enter(op string) error {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if guard.failures < guardFailures {
		return nil
	}
	now := guard.clock.Now()
	if now.Before(guard.probe) {
		return NewError(FailureRefused, op, "the store is away")
	}
	guard.probe = now.Add(probeInterval)
	return nil
}

// leave takes in how a call ended. One that its caller gave up says nothing.
func (guard *Guard) leave(ctx context.Context, err error) {
	failed := Is(err, FailureUnanswered) || Is(err, FailureUnreachable) || Is(err, FailureRefused) || Is(err, FailureThrottled)
	if failed && ctx.Err() != nil {
		return
	}
	guard.mu.Lock()
	was := guard.failures >= guardFailures
	if failed {
		guard.failures++
	} else {
		guard.failures = 0
	}
	is := guard.failures >= guardFailures
	guard.mu.Unlock()
	if was != is {
		guard.change(is, err)
	}
}
