package archive

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/history"
)

// cache holds recently used turns with a total size of up to maxBytes, less what is lent.
type cache struct {
	mu             sync.Mutex
	turns          *simplelru.LRU[string, *history.Turn]
	size, maxBytes int64
	// lent is the memory that is used for other purposes for a while.
	lent                 int64
	sizeGauge, lentGauge tally.Gauge
}

// maxCachedTurns bounds the number of cached turns regardless of their size.
const maxCachedTurns = 1 << 16

// newCache returns an empty cache for turns of up to maxBytes in total.
func newCache(maxBytes int64) *cache {
	c := &cache{maxBytes: maxBytes, sizeGauge: tally.NoopScope.Gauge(""), lentGauge: tally.NoopScope.Gauge("")}
	// NewLRU fails only for a size that isn't positive.
	c.turns, _ = simplelru.NewLRU(maxCachedTurns, func(_ string, turn *history.Turn) { c.size -= turn.Memory() })
	return c
}

// get returns a turn, or nil if it isn't cached.
func (c *cache) get(id string) *history.Turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	turn, _ := c.turns.Get(id)
	return turn
}

// put adds a turn and evicts the least recently used ones that exceed the limit.
func (c *cache) put(turn *history.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turns.Contains(turn.ID) {
		return
	}
	c.turns.Add(turn.ID, turn)
	c.size += turn.Memory()
	c.evict()
}

// lend makes room for n bytes that are used for another purpose, until it is called with -n.
func (c *cache) lend(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lent += n
	c.evict()
}

// evict removes the least recently used turns that exceed the limit. The caller must hold mu.
func (c *cache) evict() {
	for c.size > c.maxBytes-c.lent && c.turns.Len() > 0 {
		c.turns.RemoveOldest()
	}
	c.sizeGauge.Update(float64(c.size))
	c.lentGauge.Update(float64(c.lent))
}
