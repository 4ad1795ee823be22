package store

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// leastPatience is the least that the answer of a call is waited for
	// before the call is made again beside it: the store answers in 4 ms,
	// and in some 20 when many write at once.
	leastPatience = 60 * time.Millisecond
	// leastLimit and mostLimit bound a call with all its repeats. A store
	// that is slow answers in a quarter of a second, and in a second and a
	// quarter if the transactions before it in its partition take one. A write
	// that is given up before is applied all the same, and another in its
	// place has the partition do it twice.
	leastLimit = 600 * time.Millisecond
	mostLimit  = 1500 * time.Millisecond
	// silentUsual bounds what a call without an answer says of the usual time:
	// a store that is silent is waited for a second a call, one that is seen to
	// be slow for as long as it takes.
	silentUsual = 250 * time.Millisecond
	// patienceFactor times the usual time of an answer is waited for; each
	// repeat waits twice as long as the one before.
	patienceFactor = 4
	// answerWeight is the weight of a new answer's time in the usual one.
	answerWeight = 0.1
)

// Persistent makes a call again, beside the first, when its answer does not
// come in a few times the usual time, since a store that loses answers, or a
// connection that went silent, would cost the caller the whole of a long
// timeout. The first is not given up: the store may only be slow. A
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

// answer is what one try of a call came to.
type answer[T any] struct {
	result T
	err    error
	took   time.Duration
}

func persist[T any](ctx context.Context, persistent *Persistent, call func(context.Context) (T, error)) (T, error) {
	patience, limit := persistent.bounds()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answers := make(chan answer[T])
	tries := 0
	try := func() {
		tries++
		began := persistent.clock.Now()
		go func() {
			result, err := call(ctx)
			select {
			case answers <- answer[T]{result: result, err: err, took: persistent.clock.Now().Sub(began)}:
			case <-ctx.Done():
			}
		}()
	}
	try()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	var zero T
	var last error
	for {
		select {
		case got := <-answers:
			tries--
			if !Unserved(got.err) {
				persistent.took(got.took)
				return got.result, got.err
			}
			// A try that was refused does not undo one that has no answer.
			if last == nil || Is(got.err, FailureUnanswered) {
				last = got.err
			}
			if tries == 0 {
				return zero, last
			}
		case <-timer.C:
			patience *= 2
			timer.Reset(patience)
			try()
		case <-ctx.Done():
			persistent.unanswered(limit)
			return zero, NewError(FailureUnanswered, "call", ctx.Err().Error())
		}
	}
}

// bounds returns how long a first try waits alone, and the call in all.
func (persistent *Persistent) bounds() (patience, limit time.Duration) {
	persistent.mu.Lock()
	defer persistent.mu.Unlock()
	usual := patienceFactor * persistent.usual
	return max(usual, leastPatience), min(max(usual, leastLimit), mostLimit)
}

// took notes the time of an answer.
func (persistent *Persistent) took(d time.Duration) {
	persistent.mu.Lock()
	defer persistent.mu.Unlock()
	persistent.usual += time.Duration(answerWeight * float64(d-persistent.usual))
}

// unanswered notes that no answer came within limit. The store may have
// turned slow: the next calls wait longer, until answers are quick again.
func (persistent *Persistent) unanswered(limit time.Duration) {
	persistent.mu.Lock()
	defer persistent.mu.Unlock()
	persistent.usual = max(persistent.usual, min(limit/2, silentUsual))
}
