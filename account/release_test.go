package account_test

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// Guards against programs that are refused for what their own home holds: its
// escrow stands in the store, but could not be used when they began.
func TestEscrowNotUsedYetHoldsNothing(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	a := site.start("a")
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "read" {
			return storetest.Refuse
		}
		return storetest.None
	})
	require.Error(t, a.AcquireOnce(ctx, a, false), "which programs have rows is not known")
	memory.SetFault(served)
	for turn := range 2 {
		reservation, err := whole(ctx, a.Keeper, "p", 567, 1134)
		require.NoError(t, err, "turn %d", turn)
		reservation.Settle(567)
	}
	ledger, sum := programRow(t, memory, "p")
	assert.Len(t, ledger.Accounts, 1)
	assert.LessOrEqual(t, sum.Granted, int64(1134))
	single, err := a.Reserve(ctx, "single", 567, 600)
	require.NoError(t, err, "a program of one turn")
	assert.EqualValues(t, 567, single.Promised())
}

// Guards against programs that are refused for what the escrow of an instance
// holds that never saw them: they began elsewhere, and it was asked.
func TestEscrowOfProgramNotKnownIsGivenBack(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	a, b := site.start("a"), site.start("b") // each its own home
	a.acquire(t)
	for turn := range 2 {
		reservation, err := whole(ctx, b.Keeper, "p", 567, 1134)
		require.NoError(t, err, "turn %d", turn)
		reservation.Settle(567)
	}
	var spent *account.SpentError
	_, err := a.Reserve(ctx, "p", 100, 1134)
	require.ErrorAs(t, err, &spent, "it was given back")
	_, err = whole(ctx, a.Keeper, "p", 1, 1134)
	require.ErrorAs(t, err, &spent)
}

// Guards against a count that is lost: what the escrow handed out of a program
// that its home forgot is not given back when another instance asks.
func TestEscrowOfForgottenProgramIsNotGivenBack(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	clk := clock.NewFake(time.Unix(1000, 0))
	site := &machines{store: memory, clock: clk}
	a, b := site.start("a"), site.start("b")
	a.acquire(t)
	reservation, err := whole(ctx, a.Keeper, "p", 300, 1000)
	require.NoError(t, err)
	reservation.Settle(300)
	clk.Advance(3 * time.Minute)
	a.SweepOnce(ctx)
	require.Zero(t, a.Len())
	_, err = whole(ctx, b.Keeper, "p", 701, 1000)
	require.Error(t, err)
	_, err = whole(ctx, b.Keeper, "p", 700, 1000)
	require.NoError(t, err)
}

// Guards against budget that is lost in a planned stop: programs that began
// elsewhere were told to count the escrow of an instance that released it.
func TestReleasedEscrowHoldsNothing(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}, knowsStarts: true}
	a, b := site.start("a"), site.start("b")
	a.acquire(t)
	first, err := whole(ctx, b.Keeper, "p", 567, 1134)
	require.NoError(t, err)
	first.Settle(567)
	used, err := whole(ctx, a.Keeper, "used", 300, 1000)
	require.NoError(t, err)
	used.Settle(300)
	require.NoError(t, a.Stop(ctx))
	a.up = false
	site.start("a")
	second, err := whole(ctx, b.Keeper, "p", 567, 1134)
	require.NoError(t, err)
	second.Settle(567)
	_, err = whole(ctx, b.Keeper, "used", 701, 1000)
	require.Error(t, err, "what was handed out by escrow stays counted")
	_, err = whole(ctx, b.Keeper, "used", 700, 1000)
	require.NoError(t, err)
}

// apart refuses transactions over several partitions, as a store does that has
// more of them waiting in any one than it takes.
type apart struct{ store.Store }

func (s apart) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	partitions := map[string]bool{}
	for _, put := range tx.Puts {
		partitions[put.Key.Partition] = true
	}
	if len(partitions) > 1 {
		return 0, store.NewError(store.FailureThrottled, "commit", "test")
	}
	return s.Store.Commit(ctx, tx)
}

// Guards against budgets that are lost in a planned stop while the store is slow:
// one busy partition had it refuse all that the instance gives back.
func TestStopGivesBackByPartition(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: apart{memory}, clock: clock.Real{}}
	a := site.start("a")
	a.acquire(t)
	for n := range 60 {
		turn, err := whole(ctx, a.Keeper, fmt.Sprint("p", n), 300, 1000)
		require.NoError(t, err)
		turn.Settle(100)
	}
	require.NoError(t, a.Stop(ctx))
	a.up = false
	b := site.start("b")
	b.acquire(t)
	for n := range 60 {
		_, err := whole(ctx, b.Keeper, fmt.Sprint("p", n), 900, 1000)
		assert.NoError(t, err, "program %d", n)
	}
}

// Guards against shards whose escrow stands for ever, since one program could not be
// given back as their instance stopped, and against the release of that program's.
func TestStopReleasesShardsThatAreGivenBack(t *testing.T) {
	for _, refusals := range []int64{1, math.MaxInt64} {
		ctx := context.Background()
		memory := storetest.New()
		site := &machines{store: apart{memory}, clock: clock.Real{}}
		a := site.start("a")
		a.acquire(t)
		for n := range 60 {
			turn, err := whole(ctx, a.Keeper, fmt.Sprint("p", n), 300, 1000)
			require.NoError(t, err)
			turn.Settle(300)
		}
		stuck := fmt.Sprintf("program-%02d", budget.Shard("p0")%48)
		var refused atomic.Int64
		memory.SetFault(func(op, partition string) storetest.Fault {
			if op == "commit" && partition == stuck && refused.Add(1) <= refusals {
				return storetest.Refuse
			}
			return storetest.None
		})
		var left *account.NotGivenBackError
		require.ErrorAs(t, a.Stop(ctx), &left)
		a.up = false
		memory.SetFault(served)
		b := site.start("b")
		b.acquire(t)
		memory.SetFault(away)
		begun := 0
		for n := 100; n < 200; n++ {
			if _, err := b.Reserve(ctx, fmt.Sprint("p", n), 300, 1000); err == nil {
				begun++
			}
		}
		assert.GreaterOrEqual(t, begun, 90, "its next home begins programs by escrow")
		memory.SetFault(served)
		for n := range 60 {
			_, err := whole(ctx, b.Keeper, fmt.Sprint("p", n), 701, 1000)
			assert.Error(t, err, "program %d", n)
		}
	}
}
