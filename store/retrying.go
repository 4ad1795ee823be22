package store

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/retry"
)

const (
	// initialThrottleBackoff and maxThrottleBackoff bound the delay before a
	// throttled call is repeated. A partition accepts calls again when it has
	// worked off some of the second of transactions that it queues.
	initialThrottleBackoff = 50 * time.Millisecond
	maxThrottleBackoff     = 400 * time.Millisecond
	// maxThrottleWait bounds the time spent on a throttled call. Callers that
	// wait longer repeat it themselves.
	maxThrottleWait = 600 * time.Millisecond
)

// Retrying is a Store that repeats calls that were rejected because of the rate
// limit of the store behind it, after a growing random delay. If many instances
// exceed the limit together, each call then succeeds a little later, and none of
// them takes the store for unavailable.
type Retrying struct {
	store Store
	clock clock.Clock
}

// NewRetrying returns a Store that repeats throttled calls to s.
func NewRetrying(s Store, clk clock.Clock) *Retrying { return &Retrying{store: s, clock: clk} }

// Commit implements Store.
func (retrying *Retrying) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	return whileThrottled(ctx, retrying.clock, func() (uint64, error) { return retrying.store.Commit(ctx, tx) })
}

// Read implements Store.
func (retrying *Retrying) Read(ctx context.Context, r Range) (Page, error) {
	return whileThrottled(ctx, retrying.clock, func() (Page, error) { return retrying.store.Read(ctx, r) })
}

// Watch implements Store.
func (retrying *Retrying) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	return whileThrottled(ctx, retrying.clock, func() (Page, error) { return retrying.store.Watch(ctx, table, after, wait) })
}

// whileThrottled makes a call and repeats it while it fails with
// FailureThrottled, for at most maxThrottleWait. It does not begin a delay that
// the deadline of ctx would interrupt.
func whileThrottled[T any](ctx context.Context, clk clock.Clock, call func() (T, error)) (T, error) {
	giveUp := clk.Now().Add(maxThrottleWait)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(giveUp) {
		giveUp = deadline
	}
	backoff := retry.Backoff{Initial: initialThrottleBackoff, Max: maxThrottleBackoff}
	for {
		result, err := call()
		if !Is(err, FailureThrottled) {
			return result, err
		}
		delay := initialThrottleBackoff/2 + backoff.Next()
		if clk.Now().Add(delay).After(giveUp) || !clock.Sleep(ctx, delay) {
			return result, err
		}
	}
}
