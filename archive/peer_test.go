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

// fleet is the archives of instances by name; they are asked directly.
type fleet map[string]*archive.Archive

func (fleet fleet) Turns(_ context.Context, instance, id string) ([]archive.Kept, error) {
	if fleet[instance] == nil {
		return nil, errAbsent
	}
	return fleet[instance].Held(id), nil
}

// countReads has memory count the reads of it.
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

// converse keeps a conversation of some turns, each at the next instance, and
// returns the last chain.
func converse(t *testing.T, instances []*archive.Archive, turns int, known bool) []*history.Turn {
	t.Helper()
	ctx := context.Background()
	var chain []*history.Turn
	for n := range turns {
		at, before := instances[n%len(instances)], ""
		if known && n > 0 {
			before = fmt.Sprint((n - 1) % len(instances))
		}
		next := turn(fmt.Sprintf("t%02d", n))
		if n > 0 {
			var err error
			chain, err = at.Chain(ctx, "", fmt.Sprintf("t%02d", n-1), before)
			require.NoError(t, err)
			next.Ancestors = chain[len(chain)-1].Chain()
		}
		require.NoError(t, at.Keep(ctx, next))
	}
	return chain
}

// Symptom: a third of all calls to the store read turns, more the more
// instances there are. Events: each turn of a conversation comes through
// another instance, which reads all the turns before it, a call each: 55 for
// eleven turns. Cause: an instance looked in its own memory only, though the
// one that served the turn before has the whole conversation.
func TestConversationIsHadFromInstanceThatServedIt(t *testing.T) {
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
	assert.Zero(t, reads.Load(), "the store was read")
}

// Symptom: a turn is refused as unknown, or waits. Events: the instance that
// served the one before is gone, has the conversation no more, hands out bytes
// that are none, or does not answer. Cause it guards against: taking another
// instance's word, or its silence, for the store's.
func TestStoreIsReadForWhatNoInstanceHas(t *testing.T) {
	memory := storetest.New()
	converse(t, []*archive.Archive{open(memory)}, 4, false)
	empty := open(memory)
	for name, peers := range map[string]archive.Peers{
		"gone": fleet{}, "forgot": fleet{"x": empty}, "garbled": garbled{}, "part": part{}, "silent": silent{},
	} {
		began := time.Now()
		chain, err := openIn(memory, peers).Chain(context.Background(), "", "t03", "x")
		require.NoError(t, err, name)
		assert.Equal(t, []string{"t00", "t01", "t02", "t03"}, ids(chain), name)
		assert.Less(t, time.Since(began), time.Second, name)
		_, err = openIn(memory, peers).Chain(context.Background(), "", "never", "x")
		var unknown *archive.UnknownTurnError
		assert.ErrorAs(t, err, &unknown, name)
	}
}

type garbled struct{}

func (garbled) Turns(context.Context, string, string) ([]archive.Kept, error) {
	return []archive.Kept{{ID: "t03", Rows: [][]byte{[]byte("no turn")}}}, nil
}

// part has an ancestor only.
type part struct{}

func (part) Turns(context.Context, string, string) ([]archive.Kept, error) {
	rows, err := turn("t01", "t00").Encode(64 << 10)
	return []archive.Kept{{ID: "t01", Rows: rows}}, err
}

type silent struct{}

func (silent) Turns(ctx context.Context, _, _ string) ([]archive.Kept, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// What another instance is given is bounded, and begins with the newest turn:
// a link of 30 Mbit/s must not be taken by one conversation. A turn that the
// store did not take is given to nobody.
func TestInstanceGivesNewestTurnsThatAreKept(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a := open(memory)
	var chain []string
	for n := range 8 {
		long := turn(fmt.Sprintf("t%d", n), chain...)
		long.Input = []byte(randomText(24 << 10))
		chain = append(chain, long.ID)
		require.NoError(t, a.Keep(ctx, long))
	}
	held := a.Held("t7")
	size := 0
	for n, kept := range held {
		assert.Equal(t, fmt.Sprintf("t%d", 7-n), kept.ID)
		for _, row := range kept.Rows {
			size += len(row)
		}
	}
	assert.Greater(t, len(held), 4)
	assert.LessOrEqual(t, size, 128<<10)
	assert.Less(t, len(held), len(chain))
	memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	require.True(t, store.Unserved(a.Keep(short, turn("t8", chain...))))
	assert.Empty(t, a.Held("t8"))
}

var rng = rand.New(rand.NewPCG(1, 2))

// randomText returns text that compression makes a quarter shorter at most.
func randomText(size int) string {
	var text strings.Builder
	for text.Len() < size {
		fmt.Fprintf(&text, "%c", 'A'+byte(rng.IntN(58)))
	}
	return text.String()
}
