package account_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// Guards against budgets that are lost with an instance which held them while no turn of the
// program was in progress, whether by a row or by its escrow.
func TestBudgetsAtRestAreNotLost(t *testing.T) {
	ctx := context.Background()
	for _, first := range []int64{567, 200} { // by a row, by the escrow
		memory := storetest.New()
		clk := clock.NewFake(time.Unix(1000, 0))
		cluster := &testCluster{store: memory, clock: clk, detectsReplacement: true}
		a, b := cluster.start("a", "b"), cluster.start("b", "a")
		a.acquire(t)
		program := programWithHome(0, "a", "a", "b")
		turn, err := reserveInFull(ctx, a.Manager, program, first, 1105)
		require.NoError(t, err)
		clk.Advance(time.Minute)
		require.True(t, a.SettleRowsOnce(ctx))
		turn.Settle(81) // in flight until now
		require.True(t, a.SettleRowsOnce(ctx))
		before := memory.Commits()
		clk.Advance(time.Second)
		require.True(t, a.SettleRowsOnce(ctx))
		require.True(t, a.SettleRowsOnce(ctx))
		assert.Equal(t, before+1, memory.Commits(), "one write, after a second without a turn")
		a.up = false
		cluster.start("a", "b")
		_, err = reserveInFull(ctx, b.Manager, program, 1025, 1105)
		require.Error(t, err, "nothing is lost, so nothing may exceed the budget")
		_, err = reserveInFull(ctx, b.Manager, program, 1024, 1105)
		require.NoError(t, err)
	}
}

// Guards against a store that is called for each program at rest while it does not serve
// writes, and against programs that stay unsettled after that.
func TestSettlingWaitsForStore(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	clk := clock.NewFake(time.Unix(1000, 0))
	cluster := &testCluster{store: memory, clock: clk}
	a := cluster.start("a")
	a.acquire(t)
	for n := range 200 {
		turn, err := reserveInFull(ctx, a.Manager, fmt.Sprint("p", n), 200, 1105)
		require.NoError(t, err)
		turn.Settle(81)
	}
	clk.Advance(time.Second)
	calls := 0
	memory.SetFault(func(string, string) storetest.Fault {
		calls++
		return storetest.Refuse
	})
	assert.False(t, a.SettleRowsOnce(ctx))
	assert.Equal(t, 1, calls)
	memory.SetFault(storeServes)
	assert.True(t, a.SettleRowsOnce(ctx))
	ledger, sum := programRow(t, memory, "p7")
	assert.Len(t, ledger.Accounts, 1)
	assert.EqualValues(t, 81, sum.Granted)
}

// Guards against programs that lose their escrow or headroom in an outage of the store since
// their rows could not be settled.
func TestRejectedSettlingKeepsGrants(t *testing.T) {
	ctx := context.Background()
	for _, first := range []int64{567, 200} { // by a row, by the escrow
		memory := storetest.New()
		clk := clock.NewFake(time.Unix(1000, 0))
		cluster := &testCluster{store: memory, clock: clk}
		a := cluster.start("a")
		a.acquire(t)
		turn, err := reserveInFull(ctx, a.Manager, "p", first, 4000)
		require.NoError(t, err)
		turn.Settle(81)
		clk.Advance(time.Second)
		memory.SetFault(storeRefuses)
		require.False(t, a.SettleRowsOnce(ctx))
		require.False(t, a.SettleRowsOnce(ctx))
		turn, err = reserveInFull(ctx, a.Manager, "p", first, 4000)
		require.NoError(t, err)
		turn.Settle(81)
		clk.Advance(time.Second)
		memory.SetFault(func(string, string) storetest.Fault { return storetest.LoseRequest })
		require.False(t, a.SettleRowsOnce(ctx))
		memory.SetFault(storeRefuses)
		require.False(t, a.SettleRowsOnce(ctx))
		_, err = a.Reserve(ctx, "p", first, 4000)
		require.Error(t, err, "the write without a response may be applied later")
	}
}

// Guards against a row that is never settled, and is lost with its owner, since its turns
// spent nothing.
func TestRowOfTurnsThatSpentNothingIsSettled(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	clk := clock.NewFake(time.Unix(1000, 0))
	cluster := &testCluster{store: memory, clock: clk}
	a := cluster.start("a")
	turn, err := reserveInFull(ctx, a.Manager, "p", 800, 2400)
	require.NoError(t, err)
	turn.Settle(0)
	clk.Advance(time.Second)
	require.True(t, a.SettleRowsOnce(ctx))
	_, sum := programRow(t, memory, "p")
	assert.Zero(t, sum.Granted)
	before := memory.Commits()
	require.True(t, a.SettleRowsOnce(ctx))
	assert.Equal(t, before, memory.Commits())
}
