package load

import "sync"

// blockTokens is the number of tokens in a block of the engines' prefix
// caches.
const blockTokens = 16

// cacheStats counts prompt tokens by their reuse from prefix caches. A prompt
// token is reusable if any engine has computed the same prefix up to that
// token earlier in the run, either for a previous turn of the program or for
// another program with the same shared prefix. A reusable token is wasted if
// it is not in the cache of the engine that serves the call, because that
// engine has evicted it or another engine holds it.
type cacheStats struct {
	mu sync.Mutex
	// prefixes holds the shared prefixes that an engine has computed.
	prefixes map[prefixID]bool
	// tokens holds the totals of the run.
	tokens tokenCount
	// samples holds the counts of each call, in the order of their ends.
	samples []tokenSample
}

// prefixID identifies a shared prefix of a program shape.
type prefixID struct {
	shape  string
	number int
}

// tokenCount holds the token counts of a run. Cached is the number of tokens
// that the engines reported as cached.
type tokenCount struct {
	Prompt   int64 `json:"prompt"`
	Reusable int64 `json:"reusable"`
	Cached   int64 `json:"cached"`
	Wasted   int64 `json:"wasted"`
}

// tokenSample holds the token counts of a call, or of the calls within a
// second. Seconds is the time since the start of the run.
type tokenSample struct {
	Seconds  float64 `json:"s"`
	Reusable int64   `json:"r"`
	Wasted   int64   `json:"w"`
}

// newCacheStats returns an empty cacheStats.
func newCacheStats() *cacheStats { return &cacheStats{prefixes: map[prefixID]bool{}} }

// markPrefixRead records that an engine computes the shared prefix of p, and
// reports whether one has done so before.
func (s *cacheStats) markPrefixRead(p *programPlan) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := prefixID{p.shape.Name, p.prefix}
	seen := s.prefixes[id]
	s.prefixes[id] = true
	return seen
}

// add records the prompt token counts of a call that ended seconds after the
// start. Reusable tokens are rounded down to complete blocks, because caches
// hold only these.
func (s *cacheStats) add(seconds float64, prompt, reusable, cached int64) {
	reusable -= reusable % blockTokens
	wasted := max(0, reusable-cached)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens.Prompt += prompt
	s.tokens.Reusable += reusable
	s.tokens.Cached += cached
	s.tokens.Wasted += wasted
	s.samples = append(s.samples, tokenSample{Seconds: seconds, Reusable: reusable, Wasted: wasted})
}
