package entrypeer_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/discovery"
	"github.com/wagtaildrum/wagtaildrum/entrypeer"
	"github.com/wagtaildrum/wagtaildrum/quota"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// entryKey returns the key of the row of an instance.
func entryKey(name string) store.Key { return store.Key{Table: "entries", Name: name} }

// entryOwner returns the owner in the row of an instance, "" if there is none.
func entryOwner(t *testing.T, memory *storetest.Memory, name string) string {
	t.Helper()
	row, err := store.Get(context.Background(), memory, entryKey(name))
	require.NoError(t, err)
	var instance entrypeer.Instance
	if row.Version > 0 && codec.Unmarshal(row.Value, &instance) != nil {
		return "invalid"
	}
	return instance.Owner
}

// member is an instance that follows the table and writes its entry.
type member struct {
	directory *entrypeer.Directory
	client    *entrypeer.Client
	cancel    context.CancelFunc
	joined    chan error
}

// join starts an incarnation of an instance on s until the test ends.
func join(t *testing.T, s store.Store, name, owner string) *member {
	t.Helper()
	log, clk := slog.New(slog.DiscardHandler), clock.Real{}
	m := &member{directory: entrypeer.NewDirectory(entrypeer.Instance{Name: name, Owner: owner, Address: "127.0.0.1:1", DataCentre: "a"}, clk), joined: make(chan error, 1)}
	m.client = entrypeer.NewClient(m.directory, tally.NoopScope)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	followed := make(chan error, 1)
	go m.directory.Join(s, s, log)(ctx, m.joined)
	go discovery.NewFollower(s, m.directory.Source(log), clk, log, tally.NoopScope).Run(ctx, followed)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-followed)
	})
	return m
}

// awaitListed waits until the table that the instance has read has its entry.
func (m *member) awaitListed(t *testing.T) {
	t.Helper()
	require.Eventually(t, m.client.Listed, 3*time.Second, time.Millisecond)
}

// Guards against an instance that is unknown to the others for good, once a removal by its previous incarnation is applied late.
func TestLateRemovalDoesNotRemoveNextIncarnation(t *testing.T) {
	memory := storetest.New()
	first := join(t, memory, "a", "a-1")
	first.awaitListed(t)
	first.cancel()
	require.NoError(t, <-first.joined)
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.LoseRequest
		}
		return storetest.None
	})
	require.Error(t, first.directory.Leave(context.Background(), memory))
	memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	join(t, memory, "a", "a-2").awaitListed(t)
	memory.ApplyLost()
	assert.Equal(t, "a-2", entryOwner(t, memory, "a"))
}

// Guards against an incarnation that is hidden by a late write of an earlier one.
func TestLateWriteDoesNotReplaceNextIncarnation(t *testing.T) {
	memory := storetest.New()
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.LoseRequest
		}
		return storetest.None
	})
	first := join(t, memory, "a", "a-1")
	time.Sleep(20 * time.Millisecond)
	first.cancel()
	require.NoError(t, <-first.joined)
	memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	join(t, memory, "a", "a-2").awaitListed(t)
	memory.ApplyLost()
	assert.Equal(t, "a-2", entryOwner(t, memory, "a"))
}

// Guards against an instance that goes on although the others no longer know it, however its row went.
func TestInstanceWritesItsEntryAgainWheneverItIsGone(t *testing.T) {
	memory := storetest.New()
	m := join(t, memory, "a", "a-1")
	m.awaitListed(t)
	earlier, err := codec.Marshal(&entrypeer.Instance{Owner: "a-0", Address: "127.0.0.1:2"})
	require.NoError(t, err)
	for name, tx := range map[string]store.Transaction{
		"removed":     {Deletes: []store.Key{entryKey("a")}},
		"overwritten": {Puts: []store.Put{{Key: entryKey("a"), Value: earlier}}},
		"garbled":     {Puts: []store.Put{{Key: entryKey("a"), Value: []byte("no entry")}}},
	} {
		for round := range 3 {
			require.NoError(t, memory.Apply(tx))
			if round == 1 {
				memory.Compact() // the table is read whole
			}
			require.Eventually(t, func() bool { return entryOwner(t, memory, "a") == "a-1" && m.client.Listed() }, 3*time.Second, time.Millisecond, "%s %d", name, round)
		}
	}
}

// Guards against an entry that is written again and again though it is there: the table is read as it was before the write,
// or a write was applied and its response lost.
func TestEntryIsWrittenOnce(t *testing.T) {
	memory := storetest.New()
	var mu sync.Mutex
	lost := 0
	memory.SetFault(func(op, _ string) storetest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if op == "commit" && lost < 2 {
			lost++
			return storetest.LoseResponse
		}
		return storetest.None
	})
	for n := range 5 {
		join(t, memory, fmt.Sprint("i", n), fmt.Sprintf("i%d-1", n)).awaitListed(t)
	}
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, 5, memory.Commits())
}

// Guards against an instance that writes its entry again after it has left, since it is told that the entry is gone.
func TestEntryStaysRemovedAfterLeave(t *testing.T) {
	memory := storetest.New()
	m := join(t, memory, "a", "a-1")
	m.awaitListed(t)
	require.NoError(t, m.directory.Leave(context.Background(), memory))
	require.Eventually(t, func() bool { return !m.client.Listed() }, 3*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	assert.Empty(t, entryOwner(t, memory, "a"))
}

// Guards against an instance that removes the entry of another incarnation, or leaves its own, as it stops.
func TestLeaveRemovesOwnEntryAlone(t *testing.T) {
	for _, owner := range []string{"a-1", "a-2", ""} {
		memory := storetest.New()
		if owner != "" {
			value, err := codec.Marshal(&entrypeer.Instance{Owner: owner})
			require.NoError(t, err)
			require.NoError(t, memory.Apply(store.Transaction{Puts: []store.Put{{Key: entryKey("a"), Value: value}}}))
		}
		unread := entrypeer.NewDirectory(entrypeer.Instance{Name: "a", Owner: "a-1"}, clock.Real{})
		require.NoError(t, unread.Leave(context.Background(), memory))
		want := owner
		if owner == "a-1" {
			want = ""
		}
		assert.Equal(t, want, entryOwner(t, memory, "a"))
	}
	memory := storetest.New()
	m := join(t, memory, "a", "a-1")
	m.awaitListed(t)
	m.cancel()
	require.NoError(t, <-m.joined)
	row, err := store.Get(context.Background(), memory, entryKey("a"))
	require.NoError(t, err)
	require.NoError(t, memory.Apply(store.Transaction{Puts: []store.Put{{Key: entryKey("a"), Value: row.Value}}}), "a late copy of its own write")
	require.NoError(t, m.directory.Leave(context.Background(), memory))
	assert.Empty(t, entryOwner(t, memory, "a"))
}

// Guards against an instance that removes the entry of the incarnation that has replaced it meanwhile.
func TestLeaveKeepsTheEntryThatReplacedItsOwn(t *testing.T) {
	memory := storetest.New()
	m := join(t, memory, "a", "a-1")
	m.awaitListed(t)
	m.cancel()
	require.NoError(t, <-m.joined)
	value, err := codec.Marshal(&entrypeer.Instance{Owner: "a-2"})
	require.NoError(t, err)
	require.NoError(t, memory.Apply(store.Transaction{Puts: []store.Put{{Key: entryKey("a"), Value: value}}}))
	require.NoError(t, m.directory.Leave(context.Background(), memory))
	assert.Equal(t, "a-2", entryOwner(t, memory, "a"))
}

// Guards against quotas granted beside the homes that the others know: instances are homes once their entries are in the table
// that they have read.
func TestUnlistedInstancesGrantNoQuota(t *testing.T) {
	memory := storetest.New()
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.LoseRequest
		}
		return storetest.None
	})
	var fleet []*instance
	for n := range 4 {
		fleet = append(fleet, start(t, memory, fmt.Sprint("i", n)))
	}
	limit := quota.Limit{Rate: 20, Burst: 20, Version: 1}
	take := func() (granted int, lastErr error) {
		for _, i := range fleet {
			if _, err := i.quotas.Take(context.Background(), "x", limit, quota.Request{}); err == nil {
				granted++
			} else {
				lastErr = err
			}
		}
		return granted, lastErr
	}
	time.Sleep(300 * time.Millisecond)
	granted, err := take()
	assert.Zero(t, granted)
	require.ErrorIs(t, err, quota.ErrUnlisted)
	memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	require.Eventually(t, func() bool { granted, _ := take(); return granted > 0 }, 5*time.Second, 10*time.Millisecond)

	for _, i := range fleet {
		require.Eventually(t, func() bool { return len(i.client.Homes("x", true)) == 3 && i.client.Listed() }, 3*time.Second, time.Millisecond)
	}
	home := fleet[0].client.Homes("x", true)[0]
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.Refuse
		}
		return storetest.None
	})
	require.NoError(t, memory.Apply(store.Transaction{Deletes: []store.Key{entryKey(home)}}))
	for _, i := range fleet {
		require.Eventually(t, func() bool { return i.client.Homes("x", true)[0] != home }, 3*time.Second, time.Millisecond, "all have another home, the one that was removed, too")
	}
	want := fleet[0].client.Homes("x", false)[0]
	for _, i := range fleet {
		assert.Equal(t, want, i.client.Homes("x", false)[0])
	}
}
