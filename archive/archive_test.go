package archive_test

import (
	"bytes"
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

// Guards against a caller that guesses the turn ID of another organisation and
// continues its conversation, or finds out that the turn exists.
func TestTurnOfAnotherOrganisationIsUnknown(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a := open(memory)
	for _, owner := range []string{"", "x", "y"} {
		written := turn("of-" + owner)
		written.Organisation = owner
		require.NoError(t, a.Save(ctx, written))
	}
	for _, reader := range []*archive.Archive{a, open(memory)} {
		for _, owner := range []string{"", "x", "y"} {
			for _, requester := range []string{"", "x", "y", "z"} {
				chain, err := reader.Chain(ctx, requester, "of-"+owner, "", unlimited{})
				if requester == owner {
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

func TestChainReadsTurnsWrittenByAnotherInstance(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a := open(memory)
	require.NoError(t, a.Save(ctx, turn("t1")))
	require.NoError(t, a.Save(ctx, turn("t2", "t1")))
	require.NoError(t, a.Save(ctx, turn("t3", "t1", "t2")))
	chain, err := open(memory).Chain(ctx, "", "t3", "", unlimited{})
	require.NoError(t, err)
	assert.Equal(t, []string{"t1", "t2", "t3"}, ids(chain))
	assert.Equal(t, "input of t1event of t1\ninput of t2event of t2\ninput of t3event of t3\nx", string(bytes.Join(history.PromptParts(chain), nil))+"x")
	_, err = open(memory).Chain(ctx, "", "t4", "", unlimited{})
	var unknown *archive.UnknownTurnError
	assert.ErrorAs(t, err, &unknown)
}

// Guards against reporting a turn as unknown to a caller that received its end.
// It happened when the store, or the partition of the turn, was unavailable at
// the next turn, because a failed read was taken for a missing row.
func TestChainReportsStoreErrorForUnreadableTurn(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	require.NoError(t, open(memory).Save(ctx, turn("t1")))
	primary := ""
	memory.SetFault(func(op, partition string) storetest.Fault {
		if op == "read" && primary == "" {
			primary = partition
		}
		if op == "read" && partition == primary {
			return storetest.Refuse
		}
		return storetest.None
	})
	for _, id := range []string{"t1", "never"} {
		primary = ""
		_, err := open(memory).Chain(ctx, "", id, "", unlimited{})
		assert.True(t, store.Unserved(err), "%s: %v", id, err)
	}
}

// Guards against failing to store a third of the turns for seconds while a third
// of the store's partitions is unavailable, when each turn had one partition.
func TestSaveUsesSecondaryPartitionWhenPrimaryUnavailable(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	for i := range 40 {
		id := fmt.Sprintf("t%d", i)
		var unavailable string
		memory.SetFault(func(_, partition string) storetest.Fault {
			if unavailable == "" {
				unavailable = partition
			}
			if partition == unavailable {
				return storetest.Refuse
			}
			return storetest.None
		})
		bounded, cancel := context.WithTimeout(ctx, time.Second)
		require.NoError(t, open(memory).Save(bounded, turn(id)))
		cancel()
		memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
		chain, err := open(memory).Chain(ctx, "", id, "", unlimited{})
		require.NoError(t, err)
		assert.Equal(t, []string{id}, ids(chain))
	}
}

func TestSaveIsIdempotent(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a := open(memory)
	require.NoError(t, a.Save(ctx, turn("t1")))
	require.NoError(t, a.Save(ctx, turn("t1")))
	other := turn("t1")
	other.Input = []byte("another")
	var conflict *archive.TurnConflictError
	require.ErrorAs(t, a.Save(ctx, other), &conflict)
	chain, err := open(memory).Chain(ctx, "", "t1", "", unlimited{})
	require.NoError(t, err)
	assert.Equal(t, "input of t1", string(chain[0].Input))
}

func TestSaveLongTurnWithSpecialCharactersInID(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	rng := rand.New(rand.NewPCG(1, 1))
	long := turn("a/b!c d")
	long.Input = make([]byte, 300_000)
	for i := range long.Input {
		long.Input[i] = byte(rng.Uint32())
	}
	require.NoError(t, open(memory).Save(ctx, long))
	chain, err := open(memory).Chain(ctx, "", "a/b!c d", "", unlimited{})
	require.NoError(t, err)
	assert.Equal(t, long.Input, chain[0].Input)
}

// registerInput and registerOutput describe one operation on a turn, for the
// model of a write-once register.
type registerInput struct {
	write bool
	id    string
}

type registerOutput struct {
	found, unknown bool
}

var writeOnceRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[string][]porcupine.Operation{}
		for _, op := range history {
			id := op.Input.(registerInput).id
			byID[id] = append(byID[id], op)
		}
		var groups [][]porcupine.Operation
		for _, group := range byID {
			groups = append(groups, group)
		}
		return groups
	},
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		written := state.(bool)
		if input.(registerInput).write {
			return true, true
		}
		out := output.(registerOutput)
		return out.found && written || out.unknown && !written || !out.found && !out.unknown, written
	},
}

// TestTurnsAreLinearizable writes and reads turns through instances without
// caches while the store loses requests and responses. After a turn was written
// or read, no reader may get an UnknownTurnError for it.
func TestTurnsAreLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		memory := storetest.New()
		memory.SetFault(storetest.RandomFaults(rand.New(rand.NewPCG(seed, 3)), 0.3, storetest.Refuse, storetest.LoseResponse, storetest.LoseRequest))
		var mu sync.Mutex
		var ops []porcupine.Operation
		started := time.Now()
		var clients sync.WaitGroup
		for client := range 8 {
			clients.Go(func() {
				draw := rand.New(rand.NewPCG(seed, uint64(client)))
				for range 15 {
					in := registerInput{write: draw.IntN(3) == 0, id: fmt.Sprintf("t%d", draw.IntN(6))}
					op := porcupine.Operation{ClientId: client, Input: in, Call: int64(time.Since(started))}
					out := registerOutput{}
					ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
					if in.write {
						out.found = open(memory).Save(ctx, turn(in.id)) == nil
					} else {
						_, err := open(memory).Chain(ctx, "", in.id, "", unlimited{})
						_, unknown := err.(*archive.UnknownTurnError)
						out = registerOutput{found: err == nil, unknown: unknown}
					}
					cancel()
					op.Output, op.Return = out, int64(time.Since(started))
					if in.write && !out.found {
						// The write may be applied at any later time.
						op.Return = int64(time.Hour)
					}
					mu.Lock()
					ops = append(ops, op)
					mu.Unlock()
				}
			})
		}
		clients.Wait()
		assert.True(t, porcupine.CheckOperations(writeOnceRegister, ops), "seed %d", seed)
	}
}
