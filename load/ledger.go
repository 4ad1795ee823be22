package load

import "sync"

// blockTokens is the block size of the engines' prefix caches.
const blockTokens = 16

// ledger counts prompt tokens by whether an engine had read them before. A
// token of a prompt is reusable if some engine of the run has read the same
// prefix up to it: the program's own turns so far, or a shared prefix that
// another program brought. Reusable tokens that were not in the cache of
// the engine that got the call are wasted: it had evicted them, or they
// were in another engine's cache.
type ledger struct {
	mu       sync.Mutex
	prefixes map[prefixID]bool
	tokens   tokenCount
	byTime   []tokenSample
}

type prefixID struct {
	shape  string
	number int
}

type tokenCount struct {
	Prompt   int64 `json:"prompt"`
	Reusable int64 `json:"reusable"`
	Cached   int64 `json:"cached"`
	Wasted   int64 `json:"wasted"`
}

// tokenSample is the count of one call at a time since the start.
type tokenSample struct {
	Seconds  float64 `json:"s"`
	Reusable int64   `json:"r"`
	Wasted   int64   `json:"w"`
}

func newLedger() *ledger { return &ledger{prefixes: map[prefixID]bool{}} }

// known reports whether the program's shared prefix has been read before,
// and notes that it is now.
func (l *ledger) known(p *drawn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := prefixID{p.shape.Name, p.prefix}
	seen := l.prefixes[id]
	l.prefixes[id] = true
	return seen
}

// add counts one call's prompt.
func (l *ledger) add(seconds float64, prompt, reusable, cached int64) {
	reusable -= reusable % blockTokens
	wasted := max(0, reusable-cached)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens.Prompt += prompt
	l.tokens.Reusable += reusable
	l.tokens.Cached += cached
	l.tokens.Wasted += wasted
	l.byTime = append(l.byTime, tokenSample{Seconds: seconds, Reusable: reusable, Wasted: wasted})
}
