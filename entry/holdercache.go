package entry

import (
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/program"
)

// maxCachedHolders bounds the entries of a holderCache. A full cache is
// cleared.
const maxCachedHolders = 100_000

// holderCache caches the peer address of the instance that holds a program's
// lease, until that lease expires, so that forwarding a program's calls does
// not read the table service on each of them.
type holderCache struct {
	clock clock.Clock
	mu    sync.Mutex
	byID  map[program.ID]holder
}

// holder is the peer address of a lease's holder and the time at which the
// lease expires.
type holder struct {
	address string
	until   time.Time
}

// newHolderCache returns an empty cache that reads the time from clk.
func newHolderCache(clk clock.Clock) *holderCache {
	return &holderCache{clock: clk, byID: map[program.ID]holder{}}
}

// get returns the address of the program's owner, or false if none is cached
// or its lease has expired.
func (h *holderCache) get(id program.ID) (address string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.byID[id]
	if ok && h.clock.Now().After(held.until) {
		delete(h.byID, id)
		return "", false
	}
	return held.address, ok
}

// put caches address as that of the program's owner until the given time.
func (h *holderCache) put(id program.ID, address string, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.byID) >= maxCachedHolders {
		clear(h.byID)
	}
	h.byID[id] = holder{address: address, until: until}
}

// drop removes the program from the cache.
func (h *holderCache) drop(id program.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byID, id)
}
