package feed_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/feed"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// step is the resolution of the model, and the time of one call.
	step = 10 * time.Millisecond
	// watchWait is how long the model's store holds a watch open, retryDelay the
	// delay after a failure, and pollTimeout the time after which an instance
	// that is suspended is given up.
	watchWait   = 800 * time.Millisecond
	retryDelay  = 100 * time.Millisecond
	pollTimeout = feed.MaxPollWait + 300*time.Millisecond
	centres     = 5
)

// model plays instances that follow a table of the store, without a network.
type model struct {
	clock *clock.Fake
	nodes []*node
	// members holds the instances of each data centre in the order of the tree.
	members map[int][]string
	byName  map[string]*node
	// log holds the changes of the table; the version of each is its position
	// counted from 1.
	log       []store.Row
	changedAt []time.Time
	storeAway bool
	// storeCalls and peerCalls count the calls to the store and between
	// instances.
	storeCalls, peerCalls int
}

// node is an instance of the model.
type node struct {
	name   string
	centre int
	tree   *feed.Tree
	table  *feed.Replica
	// version is the version up to which the node has applied the changes.
	version uint64
	// source is the node that the poll in progress reads from; nil for the
	// store. started is zero while no poll is in progress.
	source  *node
	started time.Time
	nextTry time.Time
	// dead nodes refuse connections, suspended ones do not respond, and those
	// that are cut off do not reach the store.
	dead, suspended, cut bool
	// readers is the number of polls in progress at this node, most the highest
	// number so far.
	readers, most int
	// slowest is the longest time that a change took to arrive.
	slowest time.Duration
}

// newModel returns a model of instances that have read the empty table.
func newModel(instances int) *model {
	m := &model{clock: clock.NewFake(time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)), members: map[int][]string{}, byName: map[string]*node{}}
	for n := range instances {
		name := fmt.Sprintf("instance-%d", n)
		node := &node{name: name, centre: n % centres, tree: feed.NewTree(name, m.clock), table: feed.NewReplica(nil, m.clock)}
		node.table.Replace(nil, 0, m.clock.Now())
		m.nodes, m.byName[name] = append(m.nodes, node), node
		m.members[node.centre] = append(m.members[node.centre], name)
	}
	for _, names := range m.members {
		feed.Order(names)
	}
	return m
}

// first returns the first instance of each data centre.
func (m *model) first() []*node {
	var first []*node
	for _, names := range m.members {
		first = append(first, m.byName[names[0]])
	}
	return first
}

// change appends a change to the table.
func (m *model) change() {
	version := uint64(len(m.log) + 1)
	key := store.Key{Table: "t", Name: strconv.Itoa(len(m.log) % 50)}
	m.log = append(m.log, store.Row{Key: key, Value: []byte(strconv.Itoa(len(m.log))), Version: version})
	m.changedAt = append(m.changedAt, m.clock.Now())
}

// run plays for a duration and makes a change at each interval; none if it is 0.
func (m *model) run(duration, interval time.Duration) {
	for elapsed := step; elapsed <= duration; elapsed += step {
		m.clock.Advance(step)
		if interval > 0 && elapsed%interval == 0 {
			m.change()
		}
		for _, node := range m.nodes {
			if !node.dead && !node.suspended {
				m.play(node)
			}
		}
	}
}

// play lets a node begin or continue its poll.
func (m *model) play(node *node) {
	now := m.clock.Now()
	switch {
	case now.Before(node.nextTry):
	case node.started.IsZero():
		node.started, node.source = now, m.byName[node.tree.Source(m.members[node.centre])]
		if node.source != nil {
			node.source.readers++
			node.source.most = max(node.source.most, node.source.readers)
		}
	case node.source == nil:
		m.pollStore(node, now)
	default:
		m.pollNode(node, now)
	}
}

// pollStore continues a watch of the store.
func (m *model) pollStore(node *node, now time.Time) {
	if m.storeAway || node.cut {
		m.storeCalls++
		node.table.SetFailing()
		node.started, node.nextTry = time.Time{}, now.Add(retryDelay)
		return
	}
	if uint64(len(m.log)) > node.version || now.Sub(node.started) >= watchWait {
		m.storeCalls++
		m.apply(node, m.log[min(node.version, uint64(len(m.log))):], uint64(len(m.log)), now)
	}
}

// pollNode continues a poll of another instance.
func (m *model) pollNode(reader *node, now time.Time) {
	source, waited := reader.source, now.Sub(reader.started)
	name := source.name
	end := func() {
		source.readers--
		reader.started = time.Time{}
	}
	if source.dead || source.suspended {
		if source.dead || waited >= pollTimeout {
			reader.tree.RecordFailure(name)
			end()
		}
		return
	}
	update, _ := source.table.Since(reader.version)
	if !update.IsDue(reader.started) && waited < feed.MaxPollWait {
		return
	}
	end()
	m.peerCalls++
	if update.OutdatedReason(now) == "" {
		reader.tree.RecordSuccess(name)
		m.apply(reader, update.Rows, update.Version, update.ConfirmedAt)
		return
	}
	if !reader.tree.RecordOutdated(name) {
		reader.table.SetFailing()
		reader.nextTry = now.Add(retryDelay)
	}
}

// apply applies a page to a node and ends its poll.
func (m *model) apply(node *node, rows []store.Row, version uint64, confirmedAt time.Time) {
	node.started = time.Time{}
	node.table.Apply(rows, version, confirmedAt)
	for v := node.version + 1; v <= version; v++ {
		node.slowest = max(node.slowest, m.clock.Now().Sub(m.changedAt[v-1]))
	}
	node.version = max(node.version, version)
}

// slowest returns the longest time that a change took to reach a node that is
// neither dead, suspended nor cut off.
func (m *model) slowest(t *testing.T) time.Duration {
	t.Helper()
	var slowest time.Duration
	for _, node := range m.nodes {
		if node.dead || node.suspended || node.cut {
			continue
		}
		require.EqualValues(t, len(m.log), node.version, "a change did not arrive")
		slowest = max(slowest, node.slowest)
	}
	return slowest
}

// Guards against store calls that grow with the instances times the changes: each
// of 518 instances watched the list of 630 endpoints, which changes ten times a
// second, and made nine tenths of all calls. The calls must not grow with the
// instances, an instance must not serve more than a bounded number of others,
// and the time until a change is known everywhere must grow no faster than the
// depth of the tree.
func TestFanOutOfChanges(t *testing.T) {
	calls := map[int]int{}
	for _, instances := range []int{64, 256, 1024, 3661} {
		m := newModel(instances)
		m.run(3*time.Second, 100*time.Millisecond)
		m.run(500*time.Millisecond, 0)
		calls[instances] = m.storeCalls
		slowest, most := m.slowest(t), 0
		for _, node := range m.nodes {
			most = max(most, node.most)
		}
		t.Logf("%d instances: %d store calls, %d calls between instances, %d readers of an instance at most, slowest change %v", instances, m.storeCalls, m.peerCalls, most, slowest)
		assert.LessOrEqual(t, most, feed.FanOut, instances)
		assert.LessOrEqual(t, slowest, 200*time.Millisecond, instances)
	}
	assert.LessOrEqual(t, calls[256], centres*40, "one reader in each data centre")
	assert.LessOrEqual(t, calls[1024], calls[256]+centres)
	assert.LessOrEqual(t, calls[3661], calls[256]+centres)
	assert.LessOrEqual(t, calls[64], 64*40, "each of a few instances reads from the store")
}

// Guards against instances that keep an outdated picture because the instance
// that they read from died, is suspended, or does not reach the store. The others
// must know each change within less than three seconds, without each of them
// calling the store.
func TestChangesArriveWhileReaderFails(t *testing.T) {
	for name, fail := range map[string]func(node *node){
		"dead":      func(node *node) { node.dead = true },
		"suspended": func(node *node) { node.suspended = true },
		"cut off":   func(node *node) { node.cut = true },
	} {
		t.Run(name, func(t *testing.T) {
			m := newModel(512)
			m.run(2*time.Second, 200*time.Millisecond)
			for _, node := range m.first() {
				fail(node)
			}
			m.storeCalls = 0
			m.run(6*time.Second, 200*time.Millisecond)
			m.run(3*time.Second, 0)
			assert.Less(t, m.slowest(t), 3*time.Second)
			assert.LessOrEqual(t, m.storeCalls, centres*9*60, "far less than each instance would make")
		})
	}
}

// Guards against a storm of calls to a store that is unavailable, or has just
// recovered: when the instance before it reported no changes, each instance went
// to the store itself.
func TestOutageOfStoreCausesNoStorm(t *testing.T) {
	calls := map[int]int{}
	for _, instances := range []int{256, 1024} {
		m := newModel(instances)
		m.run(2*time.Second, 200*time.Millisecond)
		m.storeAway, m.storeCalls = true, 0
		m.run(5*time.Second, 500*time.Millisecond)
		m.storeAway = false
		m.run(4*time.Second, 0)
		calls[instances] = m.storeCalls
		assert.Less(t, m.slowest(t), 8*time.Second, "at most three seconds after the recovery")
		t.Logf("%d instances: %d store calls, slowest change %v", instances, m.storeCalls, m.slowest(t))
	}
	const readers = 3 // of each data centre: the first, and two that try while it fails
	assert.LessOrEqual(t, calls[256], centres*readers*9*20)
	assert.LessOrEqual(t, calls[1024], calls[256]*5/4)
}
