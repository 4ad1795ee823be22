package store

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// callTries is how often one call is made before it counts as
	// unanswered.
	callTries = 3
	// leastPatience is the least that a first try waits for its answer: the
	// store answers in 4 ms, and in some 20 when many write at once.
	leastPatience = 60 * time.Millisecond
	// mostPatience bounds a try, also on a slow store.
	mostPatience = time.Second
	// patienceFactor times the usual time of an answer is waited for.
	patienceFactor = 4
	// answerWeight is the weight of a new answer's time in the usual one.
	answerWeight = 0.1
)

// Persistent makes a call again when its answer does not come in a few times
// the usual time, since a store that loses answers, or a connection that
// went silent, would cost the caller the whole of a long timeout. A
// transaction that was applied without an answer fails its conditions when
// it comes again: who makes a conditional call reads a conflict with its own
// write as success.
type Persistent struct {
	store Store
	clock clock.Clock

	mu    sync.Mutex
	usual time.Duration
}

// NewPersistent returns a store that repeats calls to s.
func NewPersistent(s Store, clk clock.Clock) *Persistent { return &Persistent{store: s, clock: clk} }

// Commit implements Store.
func (persistent *Persistent) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	return persist(ctx, persistent, func(ctx context.Context) (uint64, error) { return persistent.store.Commit(ctx, tx) })
}

// Read implements Store.
func (persistent *Persistent) Read(ctx context.Context, r Range) (Page, error) {
	return persist(ctx, persistent, func(ctx context.Context) (Page, error) { return persistent.store.Read(ctx, r) })
}

// Watch implements Store. It is made once: whoever watches does it again.
func (persistent *Persistent) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	return persistent.store.Watch(ctx, table, after, wait)
}

func persist[T any](ctx context.Context, persistent *Persistent, call func(context.Context) (T, error)) (T, error) {
	patience := persistent.patience()
	for try := 1; ; try++ {
		began := persistent.clock.Now()
		limited, cancel := context.WithTimeout(ctx, min(patience, mostPatience))
		result, err := call(limited)
		cancel()
		persistent.took(persistent.clock.Now().Sub(began), Is(err, FailureUnanswered))
		if !Is(err, FailureUnanswered) || try == callTries || ctx.Err() != nil {
			return result, err
		}
		patience *= 2
	}
}

// patience returns how long a first try waits.
func (persistent *Persistent) patience() time.Duration {
	persistent.mu.Lock()
	defer persistent.mu.Unlock()
	return max(patienceFactor*persistent.usual, leastPatience)
}

// took notes the time of an answer. A try without one may mean that the
// store turned slow: the next tries wait longer, until answers are quick
// again.
func (persistent *Persistent) took(d time.Duration, unanswered bool) {
	persistent.mu.Lock()
	defer persistent.mu.Unlock()
	if unanswered {
		persistent.usual = max(persistent.usual, min(d, mostPatience)/2)
		return
	}
	persistent.usual += time.Duration(answerWeight * float64(d-persistent.usual))
}
