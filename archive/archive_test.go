package archive_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/history"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

func open(s store.Store) *archive.Archive { return openIn(s, fleet{}) }

func openIn(s store.Store, peers archive.Peers) *archive.Archive {
	return archive.New(s, peers, 64<<10, 1<<20, slog.New(slog.DiscardHandler), tally.NoopScope)
}

func turn(id string, ancestors ...string) *history.Turn {
	return &history.Turn{ID: id, Ancestors: ancestors, Input: []byte("input of " + id), Events: [][]byte{[]byte("event of " + id)}}
}

func ids(chain []*history.Turn) []string {
	var ids []string
	for _, turn := range chain {
		ids = append(ids, turn.ID)
	}
	return ids
}

// Guards against one organisation's conversation being continued, or told
// apart from one that does not exist, by another that guesses its turn's ID.
func TestTurnOfAnotherOrganisationIsUnknown(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a := open(memory)
	for _, owner := range []string{"", "x", "y"} {
		kept := turn("of-" + owner)
		kept.Organisation = owner
		require.NoError(t, a.Keep(ctx, kept))
	}
	for _, reader := range []*archive.Archive{a, open(memory)} {
		for _, owner := range []string{"", "x", "y"} {
			for _, asker := range []string{"", "x", "y", "z"} {
				chain, err := reader.Chain(ctx, asker, "of-"+owner, "")
				if asker == owner {
					require.NoError(t, err)
					assert.Equal(t, []string{"of-" + owner}, ids(chain))
					continue
				}
				var unknown *archive.UnknownTurnError
				require.ErrorAs(t, err, &unknown)
				assert.Equal(t, "no turn of-"+owner, err.Error())
			}
		}
	}
}

func TestChainIsReadByAnotherInstance(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a := open(memory)
	require.NoError(t, a.Keep(ctx, turn("t1")))
	require.NoError(t, a.Keep(ctx, turn("t2", "t1")))
	require.NoError(t, a.Keep(ctx, turn("t3", "t1", "t2")))
	chain, err := open(memory).Chain(ctx, "", "t3", "")
	require.NoError(t, err)
	assert.Equal(t, []string{"t1", "t2", "t3"}, ids(chain))
	assert.Equal(t, "input of t1event of t1\ninput of t2event of t2\ninput of t3event of t3\nx", string(history.Prompt(chain, []byte("x"))))
	_, err = open(memory).Chain(ctx, "", "t4", "")
	var unknown *archive.UnknownTurnError
	assert.ErrorAs(t, err, &unknown)
}

// Symptom: a caller is told that a turn it saw the end of does not exist.
// Events: the store, or the partition that holds the turn, is away when the
// next turn comes. Cause: a read that failed was taken for a row that is
// absent.
func TestUnreadableTurnIsNotUnknown(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	require.NoError(t, open(memory).Keep(ctx, turn("t1")))
	home := ""
	memory.SetFault(func(op, partition string) storetest.Fault {
		if op == "read" && home == "" {
			home = partition
		}
		if op == "read" && partition == home {
			return storetest.Refuse
		}
		return storetest.None
	})
	for _, id := range []string{"t1", "never"} {
		home = ""
		_, err := open(memory).Chain(ctx, "", id, "")
		assert.True(t, store.Unserved(err), "%s: %v", id, err)
	}
}

// Symptom: a third of the turns cannot be kept for seconds. Events: a third
// of the store's partitions are away. Cause: a turn had one partition.
func TestTurnIsKeptWhileItsPartitionIsAway(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	for i := range 40 {
		id := fmt.Sprintf("t%d", i)
		var away string
		memory.SetFault(func(_, partition string) storetest.Fault {
			if away == "" {
				away = partition
			}
			if partition == away {
				return storetest.Refuse
			}
			return storetest.None
		})
		bounded, cancel := context.WithTimeout(ctx, time.Second)
		require.NoError(t, open(memory).Keep(bounded, turn(id)))
		cancel()
		memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
		chain, err := open(memory).Chain(ctx, "", id, "")
		require.NoError(t, err)
		assert.Equal(t, []string{id}, ids(chain))
	}
}

func TestKeepingAgainChangesNothing(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a := open(memory)
	require.NoError(t, a.Keep(ctx, turn("t1")))
	require.NoError(t, a.Keep(ctx, turn("t1")))
	other := turn("t1")
	other.Input = []byte("another")
	var taken *archive.TakenError
	require.ErrorAs(t, a.Keep(ctx, other), &taken)
	chain, err := open(memory).Chain(ctx, "", "t1", "")
	require.NoError(t, err)
	assert.Equal(t, "input of t1", string(chain[0].Input))
}

func TestLongTurnAndOddNames(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	rng := rand.New(rand.NewPCG(1, 1))
	long := turn("a/b!c d")
	long.Input = make([]byte, 300_000)
	for i := range long.Input {
		long.Input[i] = byte(rng.Uint32())
	}
	require.NoError(t, open(memory).Keep(ctx, long))
	chain, err := open(memory).Chain(ctx, "", "a/b!c d", "")
	require.NoError(t, err)
	assert.Equal(t, long.Input, chain[0].Input)
}

// keepInput and keepOutput are one operation on a turn, for the model of a
// register that is written once.
type keepInput struct {
	keep bool
	id   string
}

type keepOutput struct {
	found, unknown bool
}

var writeOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[string][]porcupine.Operation{}
		for _, op := range history {
			id := op.Input.(keepInput).id
			byID[id] = append(byID[id], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		kept := state.(bool)
		if input.(keepInput).keep {
			return true, true
		}
		out := output.(keepOutput)
		return out.found && kept || out.unknown && !kept || !out.found && !out.unknown, kept
	},
}

// TestTurnsAreLinearizable keeps and reads turns through instances without
// memory while the store loses calls and answers: once a turn is kept, or
// was read, no reader is told that it does not exist.
func TestTurnsAreLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		memory := storetest.New()
		memory.SetFault(storetest.Random(rand.New(rand.NewPCG(seed, 3)), 0.3, storetest.Refuse, storetest.LoseAnswer, storetest.LoseCall))
		var mu sync.Mutex
		var ops []porcupine.Operation
		began := time.Now()
		var clients sync.WaitGroup
		for client := range 8 {
			clients.Go(func() {
				draw := rand.New(rand.NewPCG(seed, uint64(client)))
				for range 15 {
					in := keepInput{keep: draw.IntN(3) == 0, id: fmt.Sprintf("t%d", draw.IntN(6))}
					op := porcupine.Operation{ClientId: client, Input: in, Call: int64(time.Since(began))}
					out := keepOutput{}
					ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
					if in.keep {
						out.found = open(memory).Keep(ctx, turn(in.id)) == nil
					} else {
						_, err := open(memory).Chain(ctx, "", in.id, "")
						_, unknown := err.(*archive.UnknownTurnError)
						out = keepOutput{found: err == nil, unknown: unknown}
					}
					cancel()
					op.Output, op.Return = out, int64(time.Since(began))
					if in.keep && !out.found {
						// It may be done any time later.
						op.Return = int64(time.Hour)
					}
					mu.Lock()
					ops = append(ops, op)
					mu.Unlock()
				}
			})
		}
		clients.Wait()
		assert.True(t, porcupine.CheckOperations(writeOnce, ops), "seed %d", seed)
	}
}
