package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

// avoidFor is how long an endpoint that refused as draining or overloaded
// is kept out of routing. The configuration and the lagging instance list
// catch up later; the sidecar's own refusal is the first and fastest
// signal that an endpoint is leaving.
const avoidFor = 5 * time.Second

// avoidance is why and how long an endpoint is routed around.
type avoidance struct {
	until time.Time
	// busy: it refused as overloaded; urgent calls may still try it, since
	// they go before what fills its queue.
	busy bool
}

// avoidList holds endpoints to route around until a time.
type avoidList struct {
	clock clock.Clock
	mu    sync.Mutex
	until map[string]avoidance
}

func newAvoidList(clk clock.Clock) *avoidList {
	return &avoidList{clock: clk, until: map[string]avoidance{}}
}

func (a *avoidList) add(name string, d time.Duration, busy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[name] = avoidance{until: a.clock.Now().Add(d), busy: busy}
}

func (a *avoidList) has(name string, urgent bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	v, ok := a.until[name]
	if ok && a.clock.Now().After(v.until) {
		delete(a.until, name)
		return false
	}
	return ok && (!urgent || !v.busy)
}

func (a *avoidList) names() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]string, 0, len(a.until))
	for n := range a.until {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}
