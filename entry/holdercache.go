package entry

import (
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/program"
)

// maxHolders bounds the holder cache; beyond it the cache starts afresh.
const maxHolders = 100_000

// holders remembers which instance held a program's lease, until the lease
// known here ends, so that forwarding a program's calls does not read the
// table service on each.
type holders struct {
	clock clock.Clock
	mu    sync.Mutex
	byID  map[program.ID]holder
}

type holder struct {
	address string
	until   time.Time
}

func newHolders(clk clock.Clock) *holders {
	return &holders{clock: clk, byID: map[program.ID]holder{}}
}

func (h *holders) get(id program.ID) (address string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.byID[id]
	if ok && h.clock.Now().After(held.until) {
		delete(h.byID, id)
		return "", false
	}
	return held.address, ok
}

func (h *holders) put(id program.ID, address string, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.byID) >= maxHolders {
		clear(h.byID)
	}
	h.byID[id] = holder{address: address, until: until}
}

func (h *holders) drop(id program.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byID, id)
}
