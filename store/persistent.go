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
	// silentPatience is waited instead of leastPatience while no call that began
	// later was answered: the store may have turned slow, and each transaction
	// that comes again takes a place in its partition.
	silentPatience = 250 * time.Millisecond
	// lossTime is how long answers count as being lost after one was: of a store
	// that loses some, calls are made again after leastPatience.
	lossTime = 2 * time.Second
	// silentUsual bounds what a call without an answer says of the usual time:
	// a store that is silent is waited for a second a call, one that is seen to
	// be slow for as long as it takes.
	silentUsual = 250 * time.Millisecond
	// patienceFactor times the usual time of an answer is waited for; each
	// repeat waits twice as long as the one before.
	patienceFactor = 4
	// answerWeight is the weight of a new answer's time in the usual one,
	// lateWeight that of one that took longer: a store that turns slow does so for
	// all calls at once.
	answerWeight = 0.1
	lateWeight   = 0.5
)

// Persistent makes a call again, beside the first, when its answer does not
// come in a few times the usual time, and later ones are answered, since a store that loses answers, or a
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
	// answered is when the call began that is the last to begin of those that
	// were answered, heard when the last answer came.
	answered, heard time.Time
	// lost is when a repeat was last answered soon, and no try before it.
	lost time.Time
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
	began  time.Time
}

func persist[T any](ctx context.Context, persistent *Persistent, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, mostLimit)
	defer cancel()
	answers := make(chan answer[T])
	began, first := persistent.clock.Now(), persistent.limit()
	tries, tried, factor := 0, began, time.Duration(1)
	try := func() {
		tries++
		tried = persistent.clock.Now()
		go func(began time.Time) {
			result, err := call(ctx)
			select {
			case answers <- answer[T]{result: result, err: err, began: began}:
			case <-ctx.Done():
			}
		}(tried)
	}
	try()
	timer := time.NewTimer(leastPatience)
	defer timer.Stop()
	var zero T
	var last error
	for {
		select {
		case got := <-answers:
			tries--
			if !Unserved(got.err) {
				persistent.served(got.began, got.began.After(began))
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
			limit := persistent.limitSince(began, first)
			left := limit - persistent.clock.Now().Sub(began)
			if left <= 0 {
				persistent.unanswered(limit)
				return zero, NewError(FailureUnanswered, "call", "no answer")
			}
			patience := factor * persistent.patience(tried)
			if persistent.clock.Now().Sub(tried) >= patience {
				try()
				patience, factor = 2*patience, 2*factor
			}
			timer.Reset(min(left, max(patience-persistent.clock.Now().Sub(tried), leastPatience/4)))
		case <-ctx.Done():
			persistent.unanswered(persistent.clock.Now().Sub(began))
			return zero, NewError(FailureUnanswered, "call", ctx.Err().Error())
		}
	}
}

// patience returns how long a try that began then waits alone, as far as is
// known by now.
func (persistent *Persistent) patience(tried time.Time) time.Duration {
	persistent.mu.Lock()
	defer persistent.mu.Unlock()
	if persistent.answered.After(tried) || persistent.clock.Now().Sub(persistent.lost) < lossTime {
		return max(patienceFactor*persistent.usual, leastPatience)
	}
	return max(patienceFactor*persistent.usual, silentPatience)
}

// limit returns how long a call that begins now waits in all.
func (persistent *Persistent) limit() time.Duration {
	persistent.mu.Lock()
	defer persistent.mu.Unlock()
	return min(max(patienceFactor*persistent.usual, leastLimit), mostLimit)
}

// limitSince returns how long a call waits in all that began then, with the
// limit of first: longer if answers that came since tell that the store is slow.
func (persistent *Persistent) limitSince(began time.Time, first time.Duration) time.Duration {
	persistent.mu.Lock()
	heard := persistent.heard.After(began)
	persistent.mu.Unlock()
	if !heard {
		return first
	}
	return max(first, persistent.limit())
}

// served notes that a try that began then was answered, and whether it is the
// repeat of another.
func (persistent *Persistent) served(began time.Time, isRepeat bool) {
	now := persistent.clock.Now()
	took := now.Sub(began)
	persistent.mu.Lock()
	defer persistent.mu.Unlock()
	persistent.heard = now
	weight := answerWeight
	if took > persistent.usual {
		weight = lateWeight
	}
	persistent.usual += time.Duration(weight * float64(took-persistent.usual))
	if began.After(persistent.answered) {
		persistent.answered = began
	}
	if isRepeat && took < leastPatience {
		persistent.lost = now
	}
}

// unanswered notes that no answer came in the time waited. The store may have
// turned slow: the next calls wait longer, until answers are quick again.
func (persistent *Persistent) unanswered(waited time.Duration) {
	persistent.mu.Lock()
	defer persistent.mu.Unlock()
	persistent.usual = max(persistent.usual, min(waited/2, silentUsual))
}
