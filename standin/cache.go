package standin

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/wagtaildrum/wagtaildrum/engine"
)

// maxEvents bounds the published cache events kept for readers.
const maxEvents = 1 << 16

// prefixCache is an engine's prefix cache: blocks named by the hash of
// every token up to their end (engine.BlockHashes), evicted least recently
// used first when more than capacity blocks are held. Its events are
// published lag late, and lossPercent of them never.
type prefixCache struct {
	capacity    int
	order       *list.List
	blocks      map[uint64]*list.Element
	evicted     int64
	lag         time.Duration
	lossPercent int
	rng         *rand.Rand
	seq         uint64
	events      []timedEvent
}

type timedEvent struct {
	at    time.Time
	lost  bool
	event engine.CacheEvent
}

func newPrefixCache(capacity int, lag time.Duration, lossPercent int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{},
		lag: lag, lossPercent: lossPercent, rng: rand.New(rand.NewPCG(uint64(capacity), 7))}
}

// lookup returns how many leading blocks of hashes are held, and marks them
// used.
func (c *prefixCache) lookup(hashes []uint64) int {
	for i, h := range hashes {
		el, ok := c.blocks[h]
		if !ok {
			return i
		}
		c.order.MoveToFront(el)
	}
	return len(hashes)
}

// insert holds every block of hashes, evicting others if need be.
func (c *prefixCache) insert(hashes []uint64, now time.Time) {
	// Last block first, so that a prefix is used more recently than what
	// follows it and is evicted after it.
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if el, ok := c.blocks[h]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		c.publish(engine.CacheStored, h, now)
	}
	for c.order.Len() > c.capacity {
		last := c.order.Back()
		h := last.Value.(uint64)
		delete(c.blocks, h)
		c.order.Remove(last)
		c.evicted++
		c.publish(engine.CacheRemoved, h, now)
	}
}

func (c *prefixCache) publish(kind engine.CacheEventKind, block uint64, now time.Time) {
	c.seq++
	c.events = append(c.events, timedEvent{at: now, lost: c.rng.IntN(100) < c.lossPercent,
		event: engine.CacheEvent{Sequence: c.seq, Kind: kind, Block: block}})
	if len(c.events) > maxEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxEvents/2:]...)
	}
}

// eventsAfter returns the events after sequence number after that are old
// enough to be published and were not lost.
func (c *prefixCache) eventsAfter(after uint64, now time.Time) engine.CacheEvents {
	out := engine.CacheEvents{Events: []engine.CacheEvent{}, Published: after}
	for _, e := range c.events {
		if now.Sub(e.at) < c.lag {
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

func (c *prefixCache) snapshot() engine.CacheBlocks {
	out := engine.CacheBlocks{Sequence: c.seq, Blocks: make([]uint64, 0, len(c.blocks))}
	for h := range c.blocks {
		out.Blocks = append(out.Blocks, h)
	}
	return out
}

func (c *prefixCache) len() int { return c.order.Len() }
