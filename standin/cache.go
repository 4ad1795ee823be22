package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// prefixCache is an engine's prefix cache: blocks of blockTokens tokens,
// each keyed by the hash of every token up to its end, evicted least
// recently used first when more than capacity blocks are held.
type prefixCache struct {
	blockTokens int
	capacity    int
	order       *list.List
	blocks      map[uint64]*list.Element
	evicted     int64
}

func newPrefixCache(capacity, blockTokens int) *prefixCache {
	return &prefixCache{blockTokens: blockTokens, capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// admit returns how many leading tokens of prompt were cached, then caches
// all its whole blocks.
func (c *prefixCache) admit(prompt []string) (cached int) {
	h := xxhash.New()
	hit := true
	for i, tok := range prompt {
		_, _ = h.WriteString(tok)
		_, _ = h.WriteString(" ")
		if (i+1)%c.blockTokens != 0 {
			continue
		}
		key := h.Sum64()
		if el, ok := c.blocks[key]; ok {
			c.order.MoveToFront(el)
			if hit {
				cached = i + 1
			}
			continue
		}
		hit = false
		c.blocks[key] = c.order.PushFront(key)
		for c.order.Len() > c.capacity {
			last := c.order.Back()
			delete(c.blocks, last.Value.(uint64))
			c.order.Remove(last)
			c.evicted++
		}
	}
	return cached
}

func (c *prefixCache) len() int { return c.order.Len() }
