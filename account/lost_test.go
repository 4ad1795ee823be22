package account_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// Guards against refusals that do not tell whether the budget is spent or was granted to an
// instance that has terminated.
func TestRefusalTellsLostTokens(t *testing.T) {
	ctx := context.Background()
	cluster := &testCluster{store: storetest.New(), clock: clock.Real{}, detectsReplacement: true}
	a, b := cluster.start("a", "b"), cluster.start("b", "a")
	program := programWithHome(0, "a", "a", "b")
	turn, err := reserveInFull(ctx, a.Manager, program, 600, 1000)
	require.NoError(t, err)
	turn.Settle(600)
	a.up = false
	cluster.start("a", "b")
	turn, err = reserveInFull(ctx, b.Manager, program, 200, 1000)
	require.NoError(t, err)
	turn.Settle(200)
	_, err = reserveInFull(ctx, b.Manager, program, 900, 1000)
	var spent *account.SpentError
	require.ErrorAs(t, err, &spent)
	assert.Contains(t, spent.Holders(), "lost=7")
	assert.Contains(t, err.Error(), spent.Holders())
}

// Guards against tokens taken for lost while their owner does not respond for a moment, and
// against owners that are gone for good and never count as lost.
func TestSilentOwnersAreLostAfterTimeout(t *testing.T) {
	ctx := context.Background()
	clk := clock.NewFake(time.Unix(1000, 0))
	cluster := &testCluster{store: storetest.New(), clock: clk}
	a, b := cluster.start("a"), cluster.start("b") // each is the home in its own member list
	program := "p"
	turn, err := reserveInFull(ctx, a.Manager, program, 600, 3000)
	require.NoError(t, err)
	turn.Settle(600)
	a.up = false
	holders := func() string {
		_, err := reserveInFull(ctx, b.Manager, program, 2000, 3000)
		var held *account.HeldError
		require.ErrorAs(t, err, &held)
		return held.Holders()
	}
	assert.Contains(t, holders(), "lost=0")
	clk.Advance(1900 * time.Millisecond)
	assert.Contains(t, holders(), "lost=0")
	clk.Advance(200 * time.Millisecond)
	_, err = reserveInFull(ctx, b.Manager, program, 2000, 3000)
	require.NoError(t, err, "of a's 1,400 it is not known what was spent")
	_, err = reserveInFull(ctx, b.Manager, program, 1001, 3000)
	require.Error(t, err, "the budget may be exceeded by no more than the lost tokens")
}

// Guards against a turn that is refused since the home counts a loan as in use, and later as
// spent, whose borrower was killed.
func TestLoanOfTerminatedBorrowerIsLost(t *testing.T) {
	ctx := context.Background()
	for _, expires := range []bool{false, true} {
		memory := storetest.New()
		clk := clock.NewFake(time.Unix(1000, 0))
		cluster := &testCluster{store: memory, clock: clk, detectsReplacement: !expires}
		a, b := cluster.start("a", "b"), cluster.start("b", "a")
		program := programWithHome(0, "a", "a", "b")
		first, err := reserveInFull(ctx, a.Manager, program, 405, 1105)
		require.NoError(t, err)
		first.Settle(405)
		lost, err := reserveInFull(ctx, b.Manager, program, 567, 1105)
		require.NoError(t, err)
		require.Equal(t, "a", lost.Home())
		b.up = false
		cluster.start("b", "a")
		if expires {
			_, err = reserveInFull(ctx, a.Manager, program, 567, 1105)
			require.Error(t, err, "b may still run")
			clk.Advance(31 * time.Second)
			a.SweepOnce(ctx)
		}
		turn, err := reserveInFull(ctx, a.Manager, program, 567, 1105)
		require.NoError(t, err)
		turn.Settle(81)
		clk.Advance(time.Second)
		require.True(t, a.SettleRowsOnce(ctx))
		a.up = false
		a = cluster.start("a", "b")
		_, err = reserveInFull(ctx, a.Manager, program, 620, 1105)
		require.Error(t, err, "the lost 567 may exceed the budget by no more than one turn")
		_, err = reserveInFull(ctx, a.Manager, program, 567, 1105)
		require.NoError(t, err, "the row tells what is lost")
	}
}

// Guards against a turn that is refused for half a minute, since its home waits for the
// repayment of a borrower that is gone and is not known to have terminated.
func TestLoanIsLostAfterItsRequest(t *testing.T) {
	ctx := context.Background()
	clk := clock.NewFake(time.Unix(1000, 0))
	cluster := &testCluster{store: storetest.New(), clock: clk}
	a, b := cluster.start("a", "b"), cluster.start("b", "a")
	program := programWithHome(0, "a", "a", "b")
	request, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	lost, err := reserveInFull(request, b.Manager, program, 567, 1105)
	require.NoError(t, err)
	require.Equal(t, "a", lost.Home())
	b.up = false
	clk.Advance(4 * time.Second)
	_, err = reserveInFull(ctx, a.Manager, program, 567, 1105)
	require.Error(t, err, "the repayment may be on its way")
	clk.Advance(3 * time.Second)
	_, err = reserveInFull(ctx, a.Manager, program, 567, 1105)
	require.NoError(t, err)
}

// Guards against a turn that is refused at its first try, since what is lost is found only as
// it is refused.
func TestLostGrantIsCoveredAtFirstTry(t *testing.T) {
	ctx := context.Background()
	cluster := &testCluster{store: storetest.New(), clock: clock.Real{}, detectsReplacement: true}
	a := cluster.start("a")
	turn, err := reserveInFull(ctx, a.Manager, "p", 567, 1105)
	require.NoError(t, err)
	turn.Settle(81)
	a.up = false
	a = cluster.start("a")
	_, err = reserveInFull(ctx, a.Manager, "p", 567, 1105)
	require.NoError(t, err)
}
