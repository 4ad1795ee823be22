package balance

import "github.com/hashicorp/golang-lru/v2/simplelru"

// partCache is what an engine is expected to hold of the prompts that were
// sent to it from here: the least recently used parts yield when the
// engine's memory is full. What other instances send there is not known.
type partCache struct {
	parts  *simplelru.LRU[string, int64]
	tokens int64
}

// maxParts bounds the parts remembered of one engine; a session's own part
// is some 100 bytes here.
const maxParts = 4096

// cachedShare is the part of an engine's memory that is counted on for
// parts: the requests that run hold the rest.
const cachedShare = 0.5

func newPartCache() *partCache {
	cache := &partCache{}
	// The size is a positive constant, the only thing NewLRU refuses.
	cache.parts, _ = simplelru.NewLRU(maxParts, func(_ string, tokens int64) { cache.tokens -= tokens })
	return cache
}

// missing returns how many tokens of the prompt are to be read: all from the
// first part on that is not held.
func (cache *partCache) missing(parts []Part) int64 {
	var missing int64
	for _, part := range parts {
		if missing == 0 && cache.parts.Contains(part.ID) {
			continue
		}
		missing += part.Tokens
	}
	return missing
}

func (cache *partCache) add(parts []Part, capacity int64) {
	for _, part := range parts {
		if old, ok := cache.parts.Peek(part.ID); ok {
			cache.tokens -= old
		}
		cache.parts.Add(part.ID, part.Tokens)
		cache.tokens += part.Tokens
	}
	for cache.tokens > int64(cachedShare*float64(capacity)) && cache.parts.Len() > 0 {
		cache.parts.RemoveOldest()
	}
}

func (cache *partCache) len() int { return cache.parts.Len() }
