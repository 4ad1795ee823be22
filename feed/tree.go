package feed

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// FanOut is the number of instances that read from one instance.
	FanOut = 16
	// maxDirect is the number of instances of a data centre up to which each
	// reads from the store. With so few, another hop saves little.
	maxDirect = FanOut
	// initialAvoidance is how long an instance that did not respond is avoided.
	// The time doubles with each consecutive failure up to maxAvoidance.
	initialAvoidance = 2 * time.Second
	maxAvoidance     = 16 * time.Second
	// outdatedAvoidance is how long an instance is avoided whose replica is
	// outdated. It is short: the store may just be unavailable to all, and the
	// first one to reach it again should serve the others.
	outdatedAvoidance = time.Second
	// maxOutdated is the number of instances avoided at a time for outdated
	// copies. It bounds how many instances of a data centre call a store that
	// is unavailable to all of them.
	maxOutdated = 2
)

// Tree chooses the instance from which this one reads. The instances of a data
// centre are ordered by a hash of their names, which is the same everywhere, and
// form a heap: the first reads from the store, and each other one from an
// instance before it. Whatever the instances know of each other, nobody reads
// from an instance behind it in the order, so there are no cycles.
//
// It is safe for concurrent use. Use NewTree.
type Tree struct {
	self  string
	clock clock.Clock

	mu      sync.Mutex
	avoided map[string]avoidance
}

// avoidance describes an instance that is not read from for a while.
type avoidance struct {
	until time.Time
	// failures counts the consecutive failures to respond; it is 0 for an
	// instance that responds but has an outdated replica.
	failures int
}

// NewTree returns the tree as seen by the instance named self.
func NewTree(self string, clk clock.Clock) *Tree {
	return &Tree{self: self, clock: clk, avoided: map[string]avoidance{}}
}

// Order sorts the names of instances into the order of the tree.
func Order(names []string) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
}

// Source returns the name of the instance to read from, given the names of the
// reachable instances of the data centre, including this one, in the order of
// the tree. It returns "" if this instance is to read from the store.
func (tree *Tree) Source(ordered []string) string {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	now := tree.clock.Now()
	before, total := []string(nil), 0
	own := -1
	for _, name := range ordered {
		switch {
		case name == tree.self:
			own = len(before)
		case now.Before(tree.avoided[name].until):
			continue
		case own < 0:
			before = append(before, name)
		}
		total++
	}
	if total <= maxDirect || own <= 0 {
		return ""
	}
	return before[(own-1)/FanOut]
}

// IsShared reports whether the data centre with the given reachable instances is
// so large that they read from each other.
func IsShared(instances int) bool { return instances > maxDirect }

// RecordFailure avoids an instance that did not respond. It forgets those whose
// avoidance ended long ago.
func (tree *Tree) RecordFailure(name string) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	now := tree.clock.Now()
	maps.DeleteFunc(tree.avoided, func(_ string, avoided avoidance) bool { return now.Sub(avoided.until) > maxAvoidance })
	failures := tree.avoided[name].failures
	duration := min(initialAvoidance<<min(failures, 10), maxAvoidance)
	tree.avoided[name] = avoidance{until: now.Add(duration), failures: failures + 1}
}

// RecordOutdated avoids an instance whose replica is outdated, unless maxOutdated
// others are avoided for that reason. It reports whether the instance is avoided.
func (tree *Tree) RecordOutdated(name string) bool {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	now := tree.clock.Now()
	outdated := 0
	for other, avoided := range tree.avoided {
		if other != name && avoided.failures == 0 && now.Before(avoided.until) {
			outdated++
		}
	}
	if outdated >= maxOutdated {
		return false
	}
	tree.avoided[name] = avoidance{until: now.Add(outdatedAvoidance)}
	return true
}

// RecordSuccess records that an instance served a current replica.
func (tree *Tree) RecordSuccess(name string) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	delete(tree.avoided, name)
}
