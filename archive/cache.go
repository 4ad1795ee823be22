package archive

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wagtaildrum/wagtaildrum/history"
)

// cache holds recently used turns with a total size of up to maxBytes.
type cache struct {
	mu       sync.Mutex
	turns    *simplelru.LRU[string, *history.Turn]
	size     int
	maxBytes int
}

// maxCachedTurns bounds the number of cached turns regardless of their size.
const maxCachedTurns = 1 << 16

// turnOverhead and partOverhead are the memory of a cached turn besides its data, and of each event
// and ancestor: structures, the headers of slices and the rounding up of allocations.
const (
	turnOverhead = 384
	partOverhead = 48
)

// cachedSize returns the memory that a turn takes in the cache, in bytes.
func cachedSize(turn *history.Turn) int {
	return turn.Size() + turnOverhead + partOverhead*(len(turn.Events)+len(turn.Ancestors))
}

// newCache returns an empty cache for turns of up to maxBytes in total.
func newCache(maxBytes int) *cache {
	c := &cache{maxBytes: maxBytes}
	// NewLRU fails only for a size that isn't positive.
	c.turns, _ = simplelru.NewLRU(maxCachedTurns, func(_ string, turn *history.Turn) { c.size -= cachedSize(turn) })
	return c
}

// get returns a turn, or nil if it isn't cached.
func (c *cache) get(id string) *history.Turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	turn, _ := c.turns.Get(id)
	return turn
}

// put adds a turn and evicts the least recently used ones that exceed maxBytes.
func (c *cache) put(turn *history.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turns.Contains(turn.ID) {
		return
	}
	c.turns.Add(turn.ID, turn)
	c.size += cachedSize(turn)
	for c.size > c.maxBytes && c.turns.Len() > 0 {
		c.turns.RemoveOldest()
	}
}
