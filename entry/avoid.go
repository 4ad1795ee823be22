package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

// avoidDraining is how long an endpoint that refused a call as draining is
// left out of routing. The refusal by the sidecar is the first sign that an
// endpoint is about to leave; the configuration and the instance list, which
// lags, follow later.
const avoidDraining = 5 * time.Second

// avoidance holds the end and the cause of the exclusion of one endpoint.
type avoidance struct {
	until time.Time
	// overloaded is set if the endpoint refused as overloaded. Urgent calls
	// are still sent to it, since they precede the calls that fill its queue.
	overloaded bool
}

// avoidList holds the endpoints, and the entry instances under their
// entryAvoidName, that are temporarily left out of routing. It is safe for
// concurrent use.
type avoidList struct {
	clock clock.Clock
	mu    sync.Mutex
	until map[string]avoidance
}

// newAvoidList returns an empty list that reads the time from clk.
func newAvoidList(clk clock.Clock) *avoidList {
	return &avoidList{clock: clk, until: map[string]avoidance{}}
}

// add leaves the endpoint out of routing for d from now; a previous exclusion
// is replaced.
func (a *avoidList) add(name string, d time.Duration, overloaded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[name] = avoidance{until: a.clock.Now().Add(d), overloaded: overloaded}
}

// avoids reports whether a call must not be sent to the endpoint. An urgent
// call is not kept from an endpoint that is merely overloaded.
func (a *avoidList) avoids(name string, urgent bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	v, ok := a.until[name]
	if ok && a.clock.Now().After(v.until) {
		delete(a.until, name)
		return false
	}
	return ok && (!urgent || !v.overloaded)
}

// names returns the names in the list in ascending order, including those
// whose exclusion has ended but has not been looked up since.
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
