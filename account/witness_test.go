package account_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// startWitnessed starts instances of the given names that all know each other, and whose
// escrows have witnesses.
func startWitnessed(t *testing.T, names ...string) (*testCluster, *storetest.Memory, *clock.Fake) {
	t.Helper()
	memory, clk := storetest.New(), clock.NewFake(time.Unix(1000, 0))
	cluster := &testCluster{store: memory, clock: clk, hasWitnesses: true}
	for _, name := range names {
		cluster.start(name, names...)
	}
	for _, m := range cluster.all {
		m.acquire(t)
	}
	return cluster, memory, clk
}

// Guards against programs that can't go on although their budget holds the turn: their
// home is gone for good, and its escrow counts as granted to programs that begin later,
// and in full to those that it granted little.
func TestEscrowOfLostHomeIsReleased(t *testing.T) {
	ctx := context.Background()
	cluster, _, _ := startWitnessed(t, "a", "b", "c")
	a, b := cluster.running("a"), cluster.running("b")
	begun := programWithHome(0, "a", "a", "b", "c")
	turn, err := reserveInFull(ctx, a.Manager, begun, 100, 1000)
	require.NoError(t, err)
	turn.Settle(60)
	a.up = false
	later, err := reserveInFull(ctx, b.Manager, programWithHome(1, "a", "a", "b", "c"), 1000, 1000)
	require.NoError(t, err, "a program that begins later has its whole budget")
	later.Settle(1000)
	_, err = reserveInFull(ctx, b.Manager, begun, 901, 1000)
	require.Error(t, err, "the home may have spent what it was granted")
	_, err = reserveInFull(ctx, b.Manager, begun, 900, 1000)
	require.NoError(t, err, "it was granted no more than that")
}

// Guards against a program that spends the same tokens twice: its home was frozen while
// its escrow was released, and grants by it when it wakes.
func TestFrozenHomeGrantsNothingAfterTakeover(t *testing.T) {
	ctx := context.Background()
	cluster, _, clk := startWitnessed(t, "a", "b", "c")
	a, b := cluster.running("a"), cluster.running("b")
	begun, other := programWithHome(0, "a", "a", "b", "c"), programWithHome(1, "a", "a", "b", "c")
	turn, err := reserveInFull(ctx, a.Manager, begun, 100, 1000)
	require.NoError(t, err)
	turn.Settle(100)
	a.isFrozen = true
	for _, program := range []string{begun, other} {
		clk.Advance(2 * time.Second)
		_, err = reserveInFull(ctx, b.Manager, program, 900, 1000)
		require.NoError(t, err)
	}
	a.isFrozen = false
	_, err = a.Reserve(ctx, begun, 100, 1000)
	require.Error(t, err, "all is granted")
	_, err = a.Reserve(ctx, other, 101, 1000)
	require.Error(t, err, "another instance was granted nine tenths")
	clk.Advance(3 * time.Second)
	a.acquire(t)
	_, err = reserveInFull(ctx, a.Manager, programWithHome(2, "a", "a", "b", "c"), 1000, 1000)
	require.NoError(t, err, "it goes on with a new escrow")
}

// Guards against callers that are told 402 though the budget holds the turn: the home
// restarted under its name, and the escrow of the incarnation before counts as spent.
func TestRestartedHomeAcquiresItsShardsAgain(t *testing.T) {
	ctx := context.Background()
	cluster, memory, _ := startWitnessed(t, "a", "b", "c")
	cluster.detectsReplacement = true
	begun := programWithHome(0, "a", "a", "b", "c")
	turn, err := reserveInFull(ctx, cluster.running("a").Manager, begun, 100, 1000)
	require.NoError(t, err)
	turn.Settle(100)
	for range 2 {
		cluster.running("a").up = false
		cluster.start("a", "b", "c").acquire(t)
	}
	memory.SetFault(storeRefuses)
	_, err = reserveInFull(ctx, cluster.running("a").Manager, programWithHome(1, "a", "a", "b", "c"), 300, 1000)
	require.NoError(t, err, "programs begin by the new escrow")
	memory.SetFault(storeServes)
	_, err = reserveInFull(ctx, cluster.running("b").Manager, begun, 900, 1000)
	require.NoError(t, err)
	_, err = reserveInFull(ctx, cluster.running("b").Manager, begun, 101, 1000)
	require.Error(t, err, "the budget may be exceeded by no more than the lost 100")
	time.Sleep(401 * time.Millisecond) // the refusal is cached
	_, err = reserveInFull(ctx, cluster.running("b").Manager, begun, 100, 1000)
	require.NoError(t, err)
	_, err = reserveInFull(ctx, cluster.running("b").Manager, begun, 1, 1000)
	require.Error(t, err)
}

// Guards against instances that are gone one after the other, each the witness of the
// next: an escrow whose witness is gone has to get another one.
func TestEscrowGetsAnotherWitness(t *testing.T) {
	ctx := context.Background()
	cluster, memory, clk := startWitnessed(t, "a", "b", "c")
	a, b, c := cluster.running("a"), cluster.running("b"), cluster.running("c")
	var begun []string
	for n := range 20 {
		begun = append(begun, programWithHome(n, "a", "a", "b", "c"))
		turn, err := reserveInFull(ctx, a.Manager, begun[n], 100, 1000)
		require.NoError(t, err)
		turn.Settle(100)
	}
	c.up = false
	for n := range 40 { // grants that no witness records are written as rows
		clk.Advance(200 * time.Millisecond)
		turn, err := reserveInFull(ctx, a.Manager, programWithHome(100+n, "a", "a", "b", "c"), 100, 1000)
		require.NoError(t, err)
		turn.Settle(100)
	}
	a.peers = []string{"b"}
	a.acquire(t)
	before := memory.Commits()
	after := programWithHome(200, "a", "a", "b", "c")
	turn, err := reserveInFull(ctx, a.Manager, after, 100, 1000)
	require.NoError(t, err)
	turn.Settle(100)
	assert.Equal(t, before, memory.Commits(), "granted by an escrow with another witness")
	a.up = false
	clk.Advance(2 * time.Second)
	for _, program := range append(begun, after) {
		_, err = reserveInFull(ctx, b.Manager, program, 900, 1000)
		require.NoError(t, err)
	}
	clk.Advance(2 * time.Second)
	_, err = reserveInFull(ctx, b.Manager, programWithHome(300, "a", "a", "b", "c"), 1000, 1000)
	require.NoError(t, err)
}

// Guards against tokens spent twice where the home and its witness are gone: what the
// escrow granted is unknown, and stays granted.
func TestEscrowStaysWithoutHomeAndWitness(t *testing.T) {
	ctx := context.Background()
	cluster, _, _ := startWitnessed(t, "a", "b", "c")
	a := cluster.running("a")
	program := programWithHome(0, "a", "a", "b", "c")
	turn, err := reserveInFull(ctx, a.Manager, program, 300, 1000)
	require.NoError(t, err)
	turn.Settle(300)
	for _, m := range cluster.all {
		m.up = false
	}
	next := cluster.start("b", "a", "c")
	cluster.start("c", "a", "b")
	_, err = reserveInFull(ctx, next.Manager, program, 701, 1000)
	require.Error(t, err)
	_, err = reserveInFull(ctx, next.Manager, program, 700, 1000)
	require.NoError(t, err)
}

// Guards against tokens spent twice by programs that have rows when their home's escrow is
// released: another instance wrote one without knowing what the escrow had granted, and the
// home one that grants more than the escrow.
func TestTakeoverCountsGrantsOfProgramsWithRows(t *testing.T) {
	ctx := context.Background()
	cluster, memory, clk := startWitnessed(t, "a", "b", "c")
	a, b := cluster.running("a"), cluster.running("b")
	unknown, granted := programWithHome(0, "a", "a", "b", "c"), programWithHome(1, "a", "a", "b", "c")
	for _, program := range []string{unknown, granted} {
		turn, err := reserveInFull(ctx, a.Manager, program, 300, 1000)
		require.NoError(t, err)
		turn.Settle(300)
	}
	turn, err := reserveInFull(ctx, a.Manager, granted, 300, 1000)
	require.NoError(t, err)
	turn.Settle(300)
	a.isFrozen = true
	turn, err = reserveInFull(ctx, b.Manager, unknown, 600, 1000)
	require.NoError(t, err)
	turn.Settle(600)
	for _, program := range []string{unknown, granted} {
		for _, m := range cluster.all {
			_ = m.takeOverHeld(ctx, memory, budget.Shard(program)) // one of them is the witness
		}
		clk.Advance(2 * time.Second)
	}
	_, err = reserveInFull(ctx, b.Manager, unknown, 101, 1000)
	require.Error(t, err)
	_, err = reserveInFull(ctx, b.Manager, unknown, 100, 1000)
	require.NoError(t, err)
	_, err = reserveInFull(ctx, b.Manager, granted, 401, 1000)
	require.Error(t, err)
}

// Guards against tokens spent twice by a shard that is used again although its release was
// sent: the response was lost, and the release is applied later.
func TestShardIsNotUsedAfterUnansweredRelease(t *testing.T) {
	ctx := context.Background()
	memory, clk := storetest.New(), clock.NewFake(time.Unix(1000, 0))
	cluster := &testCluster{store: memory, clock: clk}
	a := cluster.start("a")
	a.acquire(t)
	a.peers = []string{"b"}
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.LoseRequest
		}
		return storetest.None
	})
	require.Error(t, a.AcquireOnce(ctx, a, false))
	a.peers = nil
	clk.Advance(afterDepartureGrace)
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.Refuse
		}
		return storetest.None
	})
	_ = a.AcquireOnce(ctx, a, false) // the shards' home is this instance again
	program := programWithHome(0, "b", "a", "b")
	_, errOfHome := a.Reserve(ctx, program, 300, 1000)
	memory.SetFault(storeServes)
	memory.ApplyLost()
	a.up = false
	_, err := reserveInFull(ctx, cluster.start("c", "a").Manager, program, 1000, 1000)
	assert.True(t, err != nil || errOfHome != nil, "both were granted tokens")
}

// interferingStore calls before ahead of each commit that writes a shard.
type interferingStore struct {
	store.Store
	before func()
}

func (s *interferingStore) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	if before := s.before; before != nil && len(tx.Puts) > 0 && tx.Puts[0].Key.Table == "escrows" {
		s.before = nil
		before()
	}
	return s.Store.Commit(ctx, tx)
}

// Guards against a takeover that releases the escrow of another holder, which acquired the
// shard since the witness read it.
func TestTakeoverLeavesLaterEscrows(t *testing.T) {
	ctx := context.Background()
	cluster, memory, _ := startWitnessed(t, "a", "b")
	a, b := cluster.running("a"), cluster.running("b")
	shard := budget.Shard(programWithHome(0, "a", "a", "b"))
	row, held, err := readEscrow(ctx, memory, shard)
	require.NoError(t, err)
	next := budget.Escrow{Account: "c-1.1", Instance: "c", Witness: b.owner}
	value, err := next.Encode()
	require.NoError(t, err)
	interfering := &interferingStore{Store: memory, before: func() {
		_, err := memory.Commit(ctx, store.Transaction{Puts: []store.Put{{Key: row.Key, Value: value}}})
		assert.NoError(t, err)
	}}
	witness := account.NewManager(interfering, b.owner, b, b, cluster.clock, slog.New(slog.DiscardHandler), tally.NoopScope)
	require.NoError(t, witness.TakeOver(ctx, b.owner, held.Account, []int{shard}))
	row, err = store.Get(ctx, memory, shardKey(shard))
	require.NoError(t, err)
	assert.Equal(t, value, row.Value)
	assert.True(t, a.up)
}

// Guards against a takeover by an instance that is not the witness, and knows of no grant.
func TestOnlyWitnessTakesOver(t *testing.T) {
	ctx := context.Background()
	cluster, memory, _ := startWitnessed(t, "a", "b", "c")
	a := cluster.running("a")
	program := programWithHome(0, "a", "a", "b", "c")
	row, escrow, err := readEscrow(ctx, memory, budget.Shard(program))
	require.NoError(t, err)
	for _, m := range cluster.all {
		if m != a && m.owner != escrow.Witness {
			var refused *account.WitnessRefusedError
			require.ErrorAs(t, m.Manager.TakeOver(ctx, m.owner, escrow.Account, []int{budget.Shard(program)}), &refused)
		}
	}
	turn, err := reserveInFull(ctx, a.Manager, program, 300, 1000)
	require.NoError(t, err)
	turn.Settle(300)
	unchanged, err := store.Get(ctx, memory, row.Key)
	require.NoError(t, err)
	assert.Equal(t, row, unchanged)
}

// Guards against grants that a witness records after it released the escrow, or for
// another incarnation: they arrive late, or their sender was frozen.
func TestWitnessRefusesGrantsOfEndedEscrows(t *testing.T) {
	ctx := context.Background()
	cluster, memory, _ := startWitnessed(t, "a", "b")
	b := cluster.running("b")
	program := programWithHome(0, "a", "a", "b")
	grant := recordedGrant(t, memory, program)
	require.NoError(t, b.Manager.RecordGrant(b.owner, grant))
	var refused *account.WitnessRefusedError
	require.ErrorAs(t, b.Manager.RecordGrant("b-0", grant), &refused)
	require.NoError(t, b.takeOverHeld(ctx, memory, grant.Shard))
	require.ErrorAs(t, b.Manager.RecordGrant(b.owner, grant), &refused)
	newer := grant
	newer.Version += 100
	require.NoError(t, b.Manager.RecordGrant(b.owner, newer), "a later escrow of the shard")
	require.NoError(t, b.Manager.DropGrants(b.owner, []account.WitnessedGrant{grant}))
	assert.Equal(t, 1, b.WitnessedPrograms(), "records of another escrow stay")
	require.ErrorAs(t, b.Manager.RecordGrant(b.owner, grant), &refused)
}

// Guards against escrows that are released though their holder runs: the witness was
// suspended and has heard from nobody, or the holder is slow to call. A holder that is
// silent for long loses its escrow.
func TestWitnessWaitsForSilentHolder(t *testing.T) {
	ctx := context.Background()
	cluster, memory, clk := startWitnessed(t, "a", "b")
	a, b := cluster.running("a"), cluster.running("b")
	shardOfA := budget.Shard(programWithHome(0, "a", "a", "b"))
	version := func() uint64 {
		row, err := store.Get(ctx, memory, shardKey(shardOfA))
		require.NoError(t, err)
		return row.Version
	}
	before := version()
	b.TakeOverLost(ctx)
	clk.Advance(time.Minute) // b was suspended
	b.TakeOverLost(ctx)
	for range 10 {
		clk.Advance(2 * time.Second)
		b.TakeOverLost(ctx)
		a.acquire(t)
	}
	assert.Equal(t, before, version())
	for range 5 {
		clk.Advance(2 * time.Second)
		b.TakeOverLost(ctx)
	}
	assert.Greater(t, version(), before)
}

// Guards against programs that can't begin in an outage of the store since the witness of
// their home stops as planned, and against tokens spent twice if it ended the escrow before.
func TestEscrowGoesOnWhenWitnessStops(t *testing.T) {
	ctx := context.Background()
	for _, isEnded := range []bool{false, true} {
		cluster, memory, _ := startWitnessed(t, "a", "b")
		a, b := cluster.running("a"), cluster.running("b")
		programs := []string{programWithHome(0, "a", "a", "b"), programWithHome(1, "a", "a", "b"), programWithHome(2, "a", "a", "b")}
		if isEnded {
			for _, program := range programs {
				require.NoError(t, b.takeOverHeld(ctx, memory, budget.Shard(program)))
			}
		}
		b.StopWitnessing()
		var refused *account.WitnessRefusedError
		grant := recordedGrant(t, memory, programs[0])
		if isEnded {
			grant.Version = 1
			require.ErrorAs(t, b.Manager.RecordGrant(b.owner, grant), &refused)
			assert.Equal(t, account.WitnessEscrowEnded, refused.Reason())
		} else {
			require.ErrorAs(t, b.takeOverHeld(ctx, memory, grant.Shard), &refused, "its holder grants without records")
		}
		memory.SetFault(storeRefuses)
		_ = a.AcquireOnce(ctx, a, false) // calls its witness
		b.up = false
		for _, program := range programs {
			_, err := a.Reserve(ctx, program, 300, 1000)
			assert.Equal(t, isEnded, err != nil, "program %s: %v", program, err)
		}
	}
}

// Guards against tokens spent twice by a holder that takes the end of its witness for proof
// that its escrow stands: the witness released it before.
func TestTerminatedWitnessMayHaveReleasedEscrow(t *testing.T) {
	ctx := context.Background()
	cluster, memory, _ := startWitnessed(t, "a", "b")
	cluster.detectsReplacement = true
	a, b := cluster.running("a"), cluster.running("b")
	program := programWithHome(0, "a", "a", "b")
	a.isFrozen = true
	require.NoError(t, b.takeOverHeld(ctx, memory, budget.Shard(program)))
	turn, err := reserveInFull(ctx, b.Manager, program, 1000, 1000)
	require.NoError(t, err)
	turn.Settle(1000)
	b.up = false
	cluster.start("b", "a")
	a.isFrozen = false
	memory.SetFault(storeRefuses)
	_ = a.AcquireOnce(ctx, a, false)
	_, err = a.Reserve(ctx, program, 300, 1000)
	require.Error(t, err)
}

// Guards against a witness whose records grow as long as the home runs, and refuse further
// programs in the end.
func TestWitnessDropsRecordsOfEvictedPrograms(t *testing.T) {
	ctx := context.Background()
	cluster, memory, clk := startWitnessed(t, "a", "b")
	a, b := cluster.running("a"), cluster.running("b")
	program := programWithHome(0, "a", "a", "b")
	turn, err := reserveInFull(ctx, a.Manager, program, 300, 1000)
	require.NoError(t, err)
	turn.Settle(200)
	assert.Equal(t, 1, b.WitnessedPrograms())
	clk.Advance(3 * time.Minute)
	a.SweepOnce(ctx)
	assert.Zero(t, b.WitnessedPrograms())
	a.up = false
	require.NoError(t, b.takeOverHeld(ctx, memory, budget.Shard(program)))
	_, err = reserveInFull(ctx, b.Manager, program, 801, 1000)
	require.Error(t, err, "its row tells what it spent")
	_, err = reserveInFull(ctx, b.Manager, program, 800, 1000)
	require.NoError(t, err)
}

// Guards against a witness that counts too little as spent, since an earlier record arrives
// after a later one.
func TestWitnessKeepsLargestGrant(t *testing.T) {
	ctx := context.Background()
	cluster, memory, _ := startWitnessed(t, "a", "b")
	a, b := cluster.running("a"), cluster.running("b")
	program := programWithHome(0, "a", "a", "b")
	grant := recordedGrant(t, memory, program)
	require.NoError(t, b.Manager.RecordGrant(b.owner, grant))
	grant.Tokens = 100
	require.NoError(t, b.Manager.RecordGrant(b.owner, grant))
	a.up = false
	require.NoError(t, b.takeOverHeld(ctx, memory, grant.Shard))
	_, err := reserveInFull(ctx, b.Manager, program, 701, 1000)
	require.Error(t, err)
	_, err = reserveInFull(ctx, b.Manager, program, 700, 1000)
	require.NoError(t, err)
}

// recordedGrant returns a grant of all that the escrow of the program's shard may grant,
// under the escrow in the store.
func recordedGrant(t *testing.T, memory *storetest.Memory, program string) account.WitnessedGrant {
	t.Helper()
	shard := budget.Shard(program)
	row, err := store.Get(context.Background(), memory, shardKey(shard))
	require.NoError(t, err)
	return account.WitnessedGrant{Shard: shard, Version: row.Version, Program: program, Tokens: 300}
}
