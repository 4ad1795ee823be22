// Package retry limits and spaces retries. A Budget keeps them to a small share
// of the calls, so that an overloaded system is not loaded further by its own
// retries. A Backoff spreads them out. The package does no input or output.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget allows retries up to a share of the calls made, plus a reserve for
// times with few calls. It is safe for concurrent use. The zero value allows
// none; call NewBudget.
type Budget struct {
	mu        sync.Mutex
	ratio     float64
	maxTokens float64
	tokens    float64
}

// NewBudget returns a budget that earns ratio retries per call. It starts with
// maxTokens retries and accumulates no more than these.
func NewBudget(ratio, maxTokens float64) *Budget {
	return &Budget{ratio: ratio, maxTokens: maxTokens, tokens: maxTokens}
}

// Call records a call, which earns its share of a retry.
func (b *Budget) Call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.maxTokens)
}

// Retry reports whether a retry may be made now, and takes it from the budget if
// so.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns growing random delays between attempts. The zero value returns
// no delay. A Backoff is not safe for concurrent use.
type Backoff struct {
	// Initial is the upper bound of the first delay. The bound doubles with each
	// attempt up to Max.
	Initial, Max time.Duration

	attempts int
}

// Next returns the delay before the next attempt. It is random between 0 and the
// current bound ("full jitter"), so that callers that failed at the same time do
// not retry at the same time.
func (b *Backoff) Next() time.Duration {
	bound := b.Initial << min(b.attempts, 30)
	if bound <= 0 || bound > b.Max {
		bound = b.Max
	}
	b.attempts++
	return Jitter(bound)
}

// Jitter returns a random duration in [0, d], 0 if d is not positive.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d + 1)
}
