package debug

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Counters is a set of counters of the same name that differ in the values of
// their labels. It avoids the cost of looking up the counter for each event, and
// it is safe for concurrent use.
type Counters struct {
	scope  tally.Scope
	name   string
	labels []string

	mu       sync.Mutex
	counters map[[2]string]tally.Counter
}

// NewCounters returns counters called name in scope with one or two labels.
func NewCounters(scope tally.Scope, name string, labels ...string) *Counters {
	return &Counters{scope: scope, name: name, labels: labels, counters: map[[2]string]tally.Counter{}}
}

// Inc adds delta to the counter whose labels have the given values. The values
// must come from a bounded set.
func (counters *Counters) Inc(delta int64, values ...string) {
	var key [2]string
	copy(key[:], values)
	counters.mu.Lock()
	counter, ok := counters.counters[key]
	if !ok {
		tags := map[string]string{}
		for i, label := range counters.labels {
			tags[label] = key[i]
		}
		counter = counters.scope.Tagged(tags).Counter(counters.name)
		counters.counters[key] = counter
	}
	counters.mu.Unlock()
	counter.Inc(delta)
}
