package balance

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxParts bounds the parts remembered of one engine; a session's own
	// part is some 100 bytes here.
	maxParts = 4096
	// cachedShare is the part of an engine's memory that is counted on for
	// parts: the requests that run hold the rest.
	cachedShare = 0.5
	// partLifetime is how long an engine counts on for what one request left
	// there. What other instances send there pushes it out: under load some
	// 40,000 tokens a second, against 100,000 or more that are free.
	partLifetime = 3 * time.Second
)

// partCache is what an engine is expected to hold of the prompts that were
// sent to it from here: the least recently used parts yield when the
// engine's memory is full. What other instances send there is not known.
type partCache struct {
	parts  *simplelru.LRU[string, held]
	tokens int64
}

// held is what is held of one part. A conversation is one part, which grows
// by each turn.
type held struct {
	tokens int64
	at     time.Time
}

func newPartCache() *partCache {
	cache := &partCache{}
	// The size is a positive constant, the only thing NewLRU refuses.
	cache.parts, _ = simplelru.NewLRU(maxParts, func(_ string, part held) { cache.tokens -= part.tokens })
	return cache
}

// missing returns how many tokens of the prompt are to be read: all from the
// first that is not held. home tells that the first part is held, whether or
// not it was sent there from here.
func (cache *partCache) missing(parts []Part, home bool, now time.Time) int64 {
	var missing int64
	for i, part := range parts {
		switch {
		case missing > 0:
			missing += part.Tokens
		case i == 0 && home:
		default:
			missing += part.Tokens - min(cache.held(part.ID, now), part.Tokens)
		}
	}
	return missing
}

func (cache *partCache) held(id string, now time.Time) int64 {
	part, ok := cache.parts.Peek(id)
	if !ok || now.Sub(part.at) >= partLifetime {
		return 0
	}
	return part.tokens
}

func (cache *partCache) add(parts []Part, capacity int64, now time.Time) {
	if len(parts) == 0 {
		return
	}
	for _, part := range parts {
		cache.learn(part, now)
	}
	for cache.tokens > int64(cachedShare*float64(capacity)) && cache.parts.Len() > 0 {
		cache.parts.RemoveOldest()
	}
}

// learn notes that a part is held.
func (cache *partCache) learn(part Part, now time.Time) {
	old, _ := cache.parts.Peek(part.ID)
	cache.tokens += part.Tokens - old.tokens
	cache.parts.Add(part.ID, held{tokens: part.Tokens, at: now})
}

func (cache *partCache) len() int { return cache.parts.Len() }
