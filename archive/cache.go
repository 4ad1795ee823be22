package archive

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wagtaildrum/wagtaildrum/history"
)

// cache holds turns used lately, up to a size in bytes.
type cache struct {
	mu    sync.Mutex
	turns *simplelru.LRU[string, *history.Turn]
	size  int
	most  int
}

// cachedTurns bounds the number of turns, however small.
const cachedTurns = 1 << 16

func newCache(most int) *cache {
	c := &cache{most: most}
	// The size is a positive constant, the only thing NewLRU refuses.
	c.turns, _ = simplelru.NewLRU(cachedTurns, func(_ string, turn *history.Turn) { c.size -= turn.Size() })
	return c
}

func (c *cache) get(id string) *history.Turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	turn, _ := c.turns.Get(id)
	return turn
}

func (c *cache) put(turn *history.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turns.Contains(turn.ID) {
		return
	}
	c.turns.Add(turn.ID, turn)
	c.size += turn.Size()
	for c.size > c.most && c.turns.Len() > 0 {
		c.turns.RemoveOldest()
	}
}
