package balance

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxCachedSegments bounds the segments recorded for one engine. The record
	// of a conversation takes about 100 bytes here.
	maxCachedSegments = 4096
	// segmentMemoryShare is the share of an engine's memory that is expected to
	// hold cached segments; running requests occupy the remainder.
	segmentMemoryShare = 0.5
	// segmentTTL is how long an engine is expected to keep a segment after a
	// request that used it. Requests of other instances evict segments: under
	// load about 40,000 tokens a second, against 100,000 or more free ones.
	segmentTTL = 3 * time.Second
)

// segmentCache models the prefix cache of one engine from the prompts that
// this instance sent to it. Least recently used segments are evicted when the
// engine's memory is full. Prompts sent by other instances are not modelled.
type segmentCache struct {
	segments *simplelru.LRU[string, cachedSegment]
	tokens   int64
}

// cachedSegment holds the tokens cached of one segment and when they were last
// used. A conversation is one segment, which grows with each turn.
type cachedSegment struct {
	tokens int64
	at     time.Time
}

// newSegmentCache returns an empty cache.
func newSegmentCache() *segmentCache {
	cache := &segmentCache{}
	// NewLRU only rejects a size that is not positive.
	cache.segments, _ = simplelru.NewLRU(maxCachedSegments, func(_ string, segment cachedSegment) { cache.tokens -= segment.tokens })
	return cache
}

// missing returns the number of tokens to prefill: those of a segment that are
// not cached, and all tokens of the segments after it. prefixCached states
// that the first segment is cached, whether or not this instance sent it. It is
// also cached if a later segment is, since they were cached together.
func (cache *segmentCache) missing(segments []Part, prefixCached bool, now time.Time) int64 {
	var missing int64
	for i, segment := range segments {
		switch {
		case missing > 0:
			missing += segment.Tokens
		case i == 0 && prefixCached:
		default:
			uncached := segment.Tokens - min(cache.cachedTokens(segment.ID, now), segment.Tokens)
			if i > 0 || uncached > 0 && !cache.hasAny(segments[1:], now) {
				missing += uncached
			}
		}
	}
	return missing
}

// cachedTokens returns the number of tokens cached of the segment with an ID.
func (cache *segmentCache) cachedTokens(id string, now time.Time) int64 {
	segment, ok := cache.segments.Peek(id)
	if !ok || now.Sub(segment.at) >= segmentTTL {
		return 0
	}
	return segment.tokens
}

// hasAny reports whether any of segments is cached.
func (cache *segmentCache) hasAny(segments []Part, now time.Time) bool {
	for _, segment := range segments {
		if cache.cachedTokens(segment.ID, now) > 0 {
			return true
		}
	}
	return false
}

// add records the segments of a prompt sent to the engine, and evicts the least
// recently used segments beyond the share of capacity that holds segments.
func (cache *segmentCache) add(segments []Part, capacity int64, now time.Time) {
	if len(segments) == 0 {
		return
	}
	for _, segment := range segments {
		cache.record(segment, now)
	}
	for cache.tokens > int64(segmentMemoryShare*float64(capacity)) && cache.segments.Len() > 0 {
		cache.segments.RemoveOldest()
	}
}

// record records that the segment is cached.
func (cache *segmentCache) record(segment Part, now time.Time) {
	previous, _ := cache.segments.Peek(segment.ID)
	cache.tokens += segment.Tokens - previous.tokens
	cache.segments.Add(segment.ID, cachedSegment{tokens: segment.Tokens, at: now})
}

// len returns the number of segments recorded.
func (cache *segmentCache) len() int { return cache.segments.Len() }
