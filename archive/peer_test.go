package archive_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/history"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

var errAbsent = errors.New("no such instance")

// fleet maps instance names to archives, and calls them directly as peers.
type fleet map[string]*archive.Archive

func (fleet fleet) Turns(_ context.Context, instance, id string) ([]archive.EncodedTurn, error) {
	if fleet[instance] == nil {
		return nil, errAbsent
	}
	return fleet[instance].Cached(id), nil
}

// countReads returns a counter of the reads from memory.
func countReads(memory *storetest.Memory) *atomic.Int32 {
	var reads atomic.Int32
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "read" {
			reads.Add(1)
		}
		return storetest.None
	})
	return &reads
}

// converse stores a conversation of the given number of turns, each through the
// next instance, and returns the last chain read. If passHolder is set,
// each chain is read with the instance of the previous turn as holder.
func converse(t *testing.T, instances []*archive.Archive, turns int, passHolder bool) []*history.Turn {
	t.Helper()
	ctx := context.Background()
	var chain []*history.Turn
	for n := range turns {
		instance, holder := instances[n%len(instances)], ""
		if passHolder && n > 0 {
			holder = fmt.Sprint((n - 1) % len(instances))
		}
		next := turn(fmt.Sprintf("t%02d", n))
		if n > 0 {
			var err error
			chain, err = instance.Chain(ctx, "", fmt.Sprintf("t%02d", n-1), holder, unlimited{})
			require.NoError(t, err)
			next.Ancestors = chain[len(chain)-1].Chain()
		}
		require.NoError(t, instance.Save(ctx, next))
	}
	return chain
}

// Guards against store reads of turns that make up a third of all calls to the
// store and grow with the number of instances. Each turn of a conversation was
// served by another instance, which read all earlier turns with one call each, 55
// for eleven turns, because instances used only their own cache although the
// instance of the previous turn had cached the complete conversation.
func TestChainFetchesTurnsFromPeer(t *testing.T) {
	const turns = 11
	memory := storetest.New()
	reads, all := countReads(memory), fleet{}
	var instances []*archive.Archive
	for n := range turns {
		instances = append(instances, openIn(memory, all))
		all[fmt.Sprint(n)] = instances[n]
	}
	chain := converse(t, instances, turns, true)
	require.Len(t, chain, turns-1)
	for n, turn := range chain {
		assert.Equal(t, fmt.Sprintf("t%02d", n), turn.ID)
		assert.Equal(t, "input of "+turn.ID, string(turn.Input))
	}
	assert.Zero(t, reads.Load(), "reads from the store")
}

// Guards against rejecting a turn as unknown, or delaying it, because of a faulty
// peer: the instance that served the previous turn is stopped, has evicted the
// conversation, returns invalid bytes or only some turns, or doesn't respond. The
// store must be read in all these cases.
func TestChainReadsStoreWhenPeerFails(t *testing.T) {
	memory := storetest.New()
	converse(t, []*archive.Archive{open(memory)}, 4, false)
	empty := open(memory)
	for name, peers := range map[string]archive.Peers{
		"stopped": fleet{}, "evicted": fleet{"x": empty}, "garbled": garbledPeers{}, "partial": partialPeers{}, "silent": silentPeers{},
	} {
		started := time.Now()
		chain, err := openIn(memory, peers).Chain(context.Background(), "", "t03", "x", unlimited{})
		require.NoError(t, err, name)
		assert.Equal(t, []string{"t00", "t01", "t02", "t03"}, ids(chain), name)
		assert.Less(t, time.Since(started), time.Second, name)
		_, err = openIn(memory, peers).Chain(context.Background(), "", "never", "x", unlimited{})
		var unknown *archive.UnknownTurnError
		assert.ErrorAs(t, err, &unknown, name)
	}
}

// garbledPeers returns a turn that cannot be decoded.
type garbledPeers struct{}

func (garbledPeers) Turns(context.Context, string, string) ([]archive.EncodedTurn, error) {
	return []archive.EncodedTurn{{ID: "t03", Rows: [][]byte{[]byte("no turn")}}}, nil
}

// partialPeers returns an ancestor of the turn only.
type partialPeers struct{}

func (partialPeers) Turns(context.Context, string, string) ([]archive.EncodedTurn, error) {
	rows, err := turn("t01", "t00").Encode(64 << 10)
	return []archive.EncodedTurn{{ID: "t01", Rows: rows}}, err
}

// silentPeers never responds.
type silentPeers struct{}

func (silentPeers) Turns(ctx context.Context, _, _ string) ([]archive.EncodedTurn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Checks that the turns for another instance are bounded in size and start with
// the newest one, so that one conversation doesn't occupy a link of 30 Mbit/s, and
// that a turn the store didn't accept is never returned.
func TestCachedTurnsForPeerAreNewestAndStored(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a := open(memory)
	var chain []string
	for n := range 8 {
		long := turn(fmt.Sprintf("t%d", n), chain...)
		long.Input = []byte(randomText(24 << 10))
		chain = append(chain, long.ID)
		require.NoError(t, a.Save(ctx, long))
	}
	cached := a.Cached("t7")
	size := 0
	for n, kept := range cached {
		assert.Equal(t, fmt.Sprintf("t%d", 7-n), kept.ID)
		for _, row := range kept.Rows {
			size += len(row)
		}
	}
	assert.Greater(t, len(cached), 4)
	assert.LessOrEqual(t, size, 128<<10)
	assert.Less(t, len(cached), len(chain))
	memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	callCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	require.True(t, store.Unserved(a.Save(callCtx, turn("t8", chain...))))
	assert.Empty(t, a.Cached("t8"))
}

var rng = rand.New(rand.NewPCG(1, 2))

// randomText returns text that compresses by at most a quarter.
func randomText(size int) string {
	var text strings.Builder
	for text.Len() < size {
		fmt.Fprintf(&text, "%c", 'A'+byte(rng.IntN(58)))
	}
	return text.String()
}
