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

// avoidList holds endpoints to route around until a time.
type avoidList struct {
	clock clock.Clock
	mu    sync.Mutex
	until map[string]time.Time
}

func newAvoidList(clk clock.Clock) *avoidList {
	return &avoidList{clock: clk, until: map[string]time.Time{}}
}

func (a *avoidList) add(name string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[name] = a.clock.Now().Add(d)
}

func (a *avoidList) has(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.until[name]
	if ok && a.clock.Now().After(t) {
		delete(a.until, name)
		return false
	}
	return ok
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
