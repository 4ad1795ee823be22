package standin

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/wagtaildrum/wagtaildrum/engine"
)

// maxRetainedEvents is the maximum number of cache events kept for readers.
// Once it is exceeded, only the newest half of that number is kept.
const maxRetainedEvents = 1 << 16

// prefixCache is the prefix cache of an engine. It holds at most capacity
// blocks and evicts the least recently used ones. A block is identified by
// the hash of all tokens up to its end (see engine.BlockHashes). Events are
// published after a delay of lag, and lossPercent of them are never
// published.
type prefixCache struct {
	capacity int
	// recency holds the block hashes, most recently used first, and blocks
	// the list element of each hash.
	recency *list.List
	blocks  map[uint64]*list.Element
	// evicted counts the evicted blocks.
	evicted     int64
	lag         time.Duration
	lossPercent int
	// rng chooses the lost events.
	rng *rand.Rand
	// lastSequence is the sequence number of the last event.
	lastSequence uint64
	// events holds the retained events, oldest first.
	events []timedEvent
}

// timedEvent is a cache event with its creation time. A lost event is never
// published.
type timedEvent struct {
	createdAt time.Time
	lost      bool
	event     engine.CacheEvent
}

// newPrefixCache returns an empty cache. The choice of lost events has a
// fixed seed, so the same sequence of events loses the same ones.
func newPrefixCache(capacity int, lag time.Duration, lossPercent int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), blocks: map[uint64]*list.Element{},
		lag: lag, lossPercent: lossPercent, rng: rand.New(rand.NewPCG(uint64(capacity), 7))}
}

// lookup returns the number of leading blocks of hashes that are in the
// cache, and marks them as recently used.
func (c *prefixCache) lookup(hashes []uint64) int {
	for i, h := range hashes {
		el, ok := c.blocks[h]
		if !ok {
			return i
		}
		c.recency.MoveToFront(el)
	}
	return len(hashes)
}

// insert adds the blocks of hashes and evicts the least recently used blocks
// beyond the capacity.
func (c *prefixCache) insert(hashes []uint64, now time.Time) {
	// The last block comes first, so that a prefix counts as more recently
	// used than the blocks that extend it and is evicted after them.
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if el, ok := c.blocks[h]; ok {
			c.recency.MoveToFront(el)
			continue
		}
		c.blocks[h] = c.recency.PushFront(h)
		c.addEvent(engine.CacheStored, h, now)
	}
	for c.recency.Len() > c.capacity {
		last := c.recency.Back()
		h := last.Value.(uint64)
		delete(c.blocks, h)
		c.recency.Remove(last)
		c.evicted++
		c.addEvent(engine.CacheRemoved, h, now)
	}
}

// addEvent appends an event for block, created at now.
func (c *prefixCache) addEvent(kind engine.CacheEventKind, block uint64, now time.Time) {
	c.lastSequence++
	c.events = append(c.events, timedEvent{createdAt: now, lost: c.rng.IntN(100) < c.lossPercent,
		event: engine.CacheEvent{Sequence: c.lastSequence, Kind: kind, Block: block}})
	if len(c.events) > maxRetainedEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxRetainedEvents/2:]...)
	}
}

// eventsAfter returns the published events whose sequence number is greater
// than after, and the highest sequence number among published and lost
// events, so that a reader can detect a gap.
func (c *prefixCache) eventsAfter(after uint64, now time.Time) engine.CacheEvents {
	out := engine.CacheEvents{Events: []engine.CacheEvent{}, Published: after}
	for _, e := range c.events {
		if now.Sub(e.createdAt) < c.lag {
			break
		}
		if e.event.Sequence <= after {
			continue
		}
		out.Published = e.event.Sequence
		if !e.lost {
			out.Events = append(out.Events, e.event)
		}
	}
	return out
}

// snapshot returns the hashes of all blocks in the cache and the sequence
// number of the last event.
func (c *prefixCache) snapshot() engine.CacheBlocks {
	out := engine.CacheBlocks{Sequence: c.lastSequence, Blocks: make([]uint64, 0, len(c.blocks))}
	for h := range c.blocks {
		out.Blocks = append(out.Blocks, h)
	}
	return out
}

// len returns the number of blocks in the cache.
func (c *prefixCache) len() int { return c.recency.Len() }
