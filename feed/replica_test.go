package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/feed"
	"github.com/wagtaildrum/wagtaildrum/store"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func row(name, value string, version uint64) store.Row {
	return store.Row{Key: store.Key{Table: "t", Name: name}, Value: []byte(value), Version: version}
}

func removal(name string, version uint64) store.Row {
	return store.Row{Key: store.Key{Table: "t", Name: name}, Version: version, Removed: true}
}

// describe returns rows as name=value, or -name for a removal.
func describe(rows []store.Row) []string {
	out := []string{}
	for _, row := range rows {
		if row.Removed {
			out = append(out, "-"+row.Key.Name)
			continue
		}
		out = append(out, row.Key.Name+"="+string(row.Value))
	}
	return out
}

// Checks that a reader receives exactly the changes after its version, in order.
func TestReplicaPassesChangesOn(t *testing.T) {
	table := feed.NewReplica(nil, clock.NewFake(start))
	update, changed := table.Since(0)
	assert.False(t, update.Loaded)
	table.Replace([]store.Row{row("a", "1", 3), row("b", "1", 5)}, 5, start)
	<-changed
	assert.Equal(t, []string{"a=1", "b=1"}, describe(table.All().Rows))
	applied := table.Apply([]store.Row{row("a", "2", 6), removal("b", 7), row("c", "1", 8), removal("none", 9)}, 9, start)
	assert.Equal(t, []string{"a=2", "-b", "c=1"}, describe(applied))
	for after, want := range map[uint64][]string{5: {"a=2", "-b", "c=1"}, 6: {"-b", "c=1"}, 8: {}, 9: {}, 50: {}} {
		update, _ := table.Since(after)
		assert.Equal(t, want, describe(update.Rows), after)
		assert.EqualValues(t, 9, update.Version)
		assert.False(t, update.Compacted, after)
	}
	update, _ = table.Since(4)
	assert.True(t, update.Compacted, "changes before the first read are not known")
}

// Guards against a table that goes back to an earlier state when its reader
// switches to an instance that is behind: a row of an earlier version is not
// applied, nor one that was removed since.
func TestReplicaIgnoresOlderRows(t *testing.T) {
	table := feed.NewReplica(nil, clock.NewFake(start))
	table.Replace([]store.Row{row("a", "1", 3), row("b", "1", 4)}, 4, start)
	table.Apply([]store.Row{row("a", "2", 7), removal("b", 8)}, 8, start)
	assert.Empty(t, table.Apply([]store.Row{row("a", "1", 3), row("b", "1", 4), removal("a", 2)}, 5, start))
	assert.Equal(t, []string{"a=2"}, describe(table.All().Rows))
	assert.EqualValues(t, 8, table.All().Version)
	assert.Equal(t, []string{"b=2"}, describe(table.Apply([]store.Row{row("b", "2", 9)}, 9, start)), "a row may be created again")
}

// Guards against readers that miss what was removed while the history of the
// store was compacted: the replica is replaced by a full read, and its readers
// receive the differences.
func TestReplacedReplicaPassesDifferencesOn(t *testing.T) {
	table := feed.NewReplica(nil, clock.NewFake(start))
	table.Replace([]store.Row{row("a", "1", 3), row("b", "1", 4), row("c", "1", 5)}, 5, start)
	table.Replace([]store.Row{row("a", "1", 3), row("c", "2", 9)}, 20, start)
	update, _ := table.Since(5)
	assert.Equal(t, []string{"c=2", "-b"}, describe(update.Rows))
	assert.False(t, update.Compacted)
}

// Guards against waking every instance for changes that mean nothing to them,
// such as the sequence number in an endpoint's heartbeat.
func TestReplicaDropsInsignificantChanges(t *testing.T) {
	table := feed.NewReplica(func(a, b []byte) bool { return a[0] == b[0] }, clock.NewFake(start))
	table.Replace([]store.Row{row("a", "x1", 3)}, 3, start)
	_, changed := table.Since(3)
	assert.Empty(t, table.Apply([]store.Row{row("a", "x2", 4)}, 4, start))
	update, _ := table.Since(3)
	assert.Empty(t, update.Rows)
	assert.EqualValues(t, 4, update.Version)
	select {
	case <-changed:
		t.Fatal("readers were woken")
	default:
	}
	assert.Equal(t, []string{"a=y1"}, describe(table.Apply([]store.Row{row("a", "y1", 5)}, 5, start)))
	<-changed
}

// Checks that the memory of removed rows is bounded, and that a reader that
// missed more of them reads the full table.
func TestRemovalsAreBounded(t *testing.T) {
	table := feed.NewReplica(nil, clock.NewFake(start))
	table.Replace(nil, 1, start)
	version := uint64(1)
	for n := range 5000 {
		version += 2
		table.Apply([]store.Row{row(fmt.Sprint(n), "1", version-1), removal(fmt.Sprint(n), version)}, version, start)
	}
	update, _ := table.Since(2)
	assert.True(t, update.Compacted)
	update, _ = table.Since(version - 100)
	assert.False(t, update.Compacted)
	assert.Len(t, update.Rows, 50)
}

// Checks what a reader is told of an outage of the store.
func TestReplicaReportsOutage(t *testing.T) {
	fake := clock.NewFake(start)
	table := feed.NewReplica(nil, fake)
	table.Replace(nil, 1, start)
	_, changed := table.Since(1)
	table.SetFailing()
	<-changed
	update, changed := table.Since(1)
	assert.True(t, update.IsDue(start), "the reader is told at once")
	assert.Equal(t, "store unavailable", update.OutdatedReason(start))
	fake.Advance(time.Second)
	table.Apply(nil, 1, fake.Now())
	<-changed
	update, _ = table.Since(1)
	assert.Equal(t, fake.Now(), update.RecoveredAt)
	assert.Empty(t, update.OutdatedReason(fake.Now()))
	assert.NotEmpty(t, update.OutdatedReason(fake.Now().Add(3*time.Second)))
}

// Checks that the sources of instances form no cycle, whatever each of them
// knows, and that few instances read from the store themselves.
func TestTreeHasNoCycles(t *testing.T) {
	names := []string{}
	for n := range 200 {
		names = append(names, fmt.Sprintf("i%d", n))
	}
	feed.Order(names)
	position := map[string]int{}
	for n, name := range names {
		position[name] = n
	}
	fake := clock.NewFake(start)
	for n, name := range names {
		tree := feed.NewTree(name, fake)
		known := append([]string{}, names...)
		known = append(known[:n/2], known[n-n/2:]...) // each lacks some others
		source := tree.Source(known)
		if source != "" {
			require.Less(t, position[source], n)
		}
		assert.Empty(t, tree.Source([]string{name}))
		assert.Empty(t, tree.Source(names[:min(n, 15)]), "an instance that is not listed reads from the store")
	}
	assert.True(t, feed.IsShared(17))
	assert.False(t, feed.IsShared(16))
}

// Guards against instances that return to one that does not respond again and
// again: it is avoided for longer each time, and used again once it responds.
func TestUnresponsiveInstanceIsAvoidedLonger(t *testing.T) {
	names := []string{}
	for n := range 40 {
		names = append(names, fmt.Sprintf("i%d", n))
	}
	feed.Order(names)
	fake := clock.NewFake(start)
	tree := feed.NewTree(names[5], fake)
	for _, avoided := range []time.Duration{2, 4, 8, 16, 16} {
		require.Equal(t, names[0], tree.Source(names))
		tree.RecordFailure(names[0])
		require.Equal(t, names[1], tree.Source(names))
		fake.Advance(avoided*time.Second - time.Millisecond)
		require.Equal(t, names[1], tree.Source(names))
		fake.Advance(time.Millisecond)
	}
	tree.RecordSuccess(names[0])
	tree.RecordFailure(names[0])
	fake.Advance(2 * time.Second)
	assert.Equal(t, names[0], tree.Source(names))
	assert.True(t, tree.RecordOutdated(names[0]))
	assert.True(t, tree.RecordOutdated(names[1]))
	assert.False(t, tree.RecordOutdated(names[2]), "two outdated replicas mean that the store is unavailable to all")
	assert.Equal(t, names[2], tree.Source(names))
}
