package program_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/program"
)

// TestReplayRestoresHistoryAndRejectsGaps guards against a new owner that
// continues with a shortened history because the object store has lost, or
// not yet listed, one record. The log is replayed after each of 40 turns,
// which covers every distance from a full record, and compared with the
// owner's history; a replay without one of the records must return an error.
func TestReplayRestoresHistoryAndRejectsGaps(t *testing.T) {
	p, err := program.New(program.Spec{ID: "jur-log", BudgetTokens: 1 << 40}, time.Unix(0, 0), 1)
	require.NoError(t, err)
	var log program.Log
	store := map[uint64]program.Checkpoint{}
	write := func() program.Checkpoint {
		c := log.Record(p, nil)
		store[c.Index] = c
		log.Advance(&c)
		if c.Full() {
			clear(store)
			store[c.Index] = c
		}
		return c
	}
	last := write()
	for seq := uint64(1); seq <= 40; seq++ {
		require.NoError(t, p.Begin(seq, 10, time.Unix(0, 0)))
		p.Finish(seq, 10, program.Message{Role: "user", Content: fmt.Sprint("q", seq)}, program.Message{Role: "assistant", Content: fmt.Sprint("a", seq)})
		last = write()
		var records []program.Checkpoint
		for i := last.Base; i <= last.Index; i++ {
			records = append(records, store[i])
		}
		got, _, err := program.Replay("jur-log", records, 2)
		require.NoError(t, err)
		require.Equal(t, p.History(), got.History(), "after call %d", seq)
		require.Equal(t, p.Spent(), got.Spent())
		require.Equal(t, p.NextSequence(), got.NextSequence())
		if len(records) > 2 {
			_, _, err = program.Replay("jur-log", slices.Delete(slices.Clone(records), 1, 2), 2)
			var lerr *program.LogError
			require.ErrorAs(t, err, &lerr)
		}
		_, _, err = program.Replay("another", records, 2)
		require.Error(t, err, "a record of another program is rejected")
	}
	require.LessOrEqual(t, len(store), 16, "records before the last full record are dropped")
}
