// Package retry bounds and spaces retries: a Budget keeps them a small
// share of the calls, so that an overloaded system is not loaded further by
// its own retries, and a Backoff spreads them out. It does no input or
// output.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget allows retries up to a share of the calls made, with a reserve
// for quiet times. Its zero value allows none; call NewBudget.
type Budget struct {
	mu      sync.Mutex
	share   float64
	reserve float64
	tokens  float64
}

// NewBudget returns a budget of share retries per call, starting with and
// saving at most reserve.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, tokens: reserve}
}

// Call counts a call, earning its share of a retry.
func (b *Budget) Call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.reserve)
}

// Retry reports whether a retry may be made now, and counts it if so.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff gives growing pauses between tries. The zero value pauses not at
// all; it is not safe for concurrent use.
type Backoff struct {
	// First is the longest first pause; each next may be twice as long, up
	// to Most.
	First, Most time.Duration

	tries int
}

// Next returns the pause before the next try: at random between nothing
// and the current bound ("full jitter"), so that callers that failed
// together do not come back together.
func (b *Backoff) Next() time.Duration {
	bound := b.First << min(b.tries, 30)
	if bound <= 0 || bound > b.Most {
		bound = b.Most
	}
	b.tries++
	return Jitter(bound)
}

// Jitter returns a duration at random in [0, d].
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d + 1)
}
