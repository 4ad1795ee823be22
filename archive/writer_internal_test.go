package archive

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/history"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

const testRowBytes = 45_000

// encoded returns the rows of a turn with the given number of rows, which differ
// between seeds.
func encoded(t *testing.T, rows int, seed uint64) [][]byte {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, uint64(rows)))
	input := make([]byte, (rows-1)*testRowBytes+testRowBytes/2)
	for i := range input {
		input[i] = byte(rng.Uint32())
	}
	values, err := (&history.Turn{ID: "t", Input: input}).Encode(testRowBytes)
	require.NoError(t, err)
	require.Len(t, values, rows)
	return values
}

// stored returns the rows of the turn "t" in partition "p".
func stored(t *testing.T, memory *storetest.Memory) [][]byte {
	t.Helper()
	a := New(memory, nil, testRowBytes, 0, slog.New(slog.DiscardHandler), tally.NoopScope)
	rows, release, err := a.rowsIn(context.Background(), "p", "t")
	require.NoError(t, err)
	if release != nil {
		release()
	}
	return rows
}

// equal reports whether two turns have the same rows, whose difference is too long for
// a report.
func equal(a, b [][]byte) bool { return slices.EqualFunc(a, b, bytes.Equal) }

// abandon writes all but the final transaction of a turn.
func abandon(t *testing.T, memory *storetest.Memory, values [][]byte) {
	t.Helper()
	w := newWriter(memory, "t", "p", values)
	for {
		tx, staging := w.next()
		if len(staging) == 0 {
			return
		}
		version, err := memory.Commit(context.Background(), tx)
		require.NoError(t, err)
		for _, i := range staging {
			w.versions[i], w.staged[i] = version, true
		}
	}
}

// Guards against rows of an abandoned write that show up as a turn, or keep a turn with
// the same ID, shorter or longer or written by an earlier version, from being stored
// and read.
func TestAbandonedRowsHarmNoTurn(t *testing.T) {
	lead := newWriter(storetest.New(), "t", "p", encoded(t, 40, 1)).lead // left-over rows follow those of a turn with as many
	for _, rows := range []int{1, 5, lead, 20, 40, 60} {
		t.Run(fmt.Sprint(rows), func(t *testing.T) {
			memory := storetest.New()
			abandon(t, memory, encoded(t, 40, 1))
			require.Empty(t, stored(t, memory))
			values := encoded(t, rows, 2)
			require.NoError(t, newWriter(memory, "t", "p", values).write(context.Background()))
			assert.True(t, equal(values, stored(t, memory)))
			err := newWriter(memory, "t", "p", encoded(t, 40, 1)).write(context.Background())
			assert.True(t, store.Is(err, store.FailureConflict), "%v", err)
			assert.True(t, equal(values, stored(t, memory)))
		})
	}
	memory := storetest.New()
	abandon(t, memory, encoded(t, 40, 1))
	values := encoded(t, 10, 2)
	tx := store.Transaction{Conditions: []store.Condition{{Key: store.Key{Table: table, Partition: "p", Name: rowName("t", 0)}}}}
	for i, value := range values {
		tx.Puts = append(tx.Puts, store.Put{Key: store.Key{Table: table, Partition: "p", Name: rowName("t", i)}, Value: value})
	}
	require.NoError(t, memory.Apply(tx), "as earlier versions write all turns")
	assert.True(t, equal(values, stored(t, memory)))
}

// Guards against a repeat that sends rows again which the store already has.
func TestRepeatedWriteContinues(t *testing.T) {
	memory := storetest.New()
	values := encoded(t, 60, 1)
	abandon(t, memory, values)
	staged := memory.Commits()
	require.NoError(t, newWriter(memory, "t", "p", values).write(context.Background()))
	assert.Equal(t, staged+1, memory.Commits(), "only the final transaction is applied")
	assert.True(t, equal(values, stored(t, memory)))
}

// Guards against a turn that mixes rows of two writers of the same ID, while calls
// fail and transactions are applied late, and against a written turn that is replaced.
func TestWritersOfOneIDNeverMix(t *testing.T) {
	large := [][][]byte{encoded(t, 20, 1), encoded(t, 33, 2), encoded(t, 40, 3)}
	written := 0
	for seed := range uint64(60) {
		turns := large
		if seed%4 == 0 {
			turns = append(slices.Clone(large), encoded(t, 3, 4)) // mostly the first to succeed
		}
		memory, rng := storetest.New(), rand.New(rand.NewPCG(seed, 8))
		memory.SetFault(storetest.RandomFaults(rng, 0.5, storetest.Refuse, storetest.LoseResponse, storetest.LoseRequest))
		var writers []*writer
		for _, values := range turns {
			writers = append(writers, newWriter(memory, "t", "p", values))
		}
		var winner [][]byte
		for range 60 {
			i := rng.IntN(len(writers))
			switch err := writers[i].write(context.Background()); {
			case err == nil:
				require.Nil(t, winner, "two writers succeeded")
				winner = turns[i]
			case rng.IntN(3) == 0:
				memory.ApplyLost()
			case rng.IntN(6) == 0:
				writers[i] = newWriter(memory, "t", "p", turns[i])
			}
		}
		memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
		memory.ApplyLost()
		rows := stored(t, memory)
		if winner != nil {
			written++
			require.True(t, equal(winner, rows), "seed %d", seed)
			continue
		}
		isTurn := func(values [][]byte) bool { return equal(values, rows) }
		require.True(t, len(rows) == 0 || slices.ContainsFunc(turns, isTurn), "seed %d", seed)
	}
	t.Logf("a writer succeeded in %d of 60 seeds", written)
}
