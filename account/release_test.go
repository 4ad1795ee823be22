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

// Guards against programs that are refused because of tokens held by their own
// home's escrow, which is in the store but was not usable yet when they
// started.
func TestUnusableEscrowHoldsNothing(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	a := cluster.start("a")
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "read" {
			return storetest.Refuse
		}
		return storetest.None
	})
	require.Error(t, a.AcquireOnce(ctx, a, false), "the programs that have rows cannot be read")
	memory.SetFault(storeServes)
	for turn := range 2 {
		reservation, err := reserveInFull(ctx, a.Manager, "p", 567, 1134)
		require.NoError(t, err, "turn %d", turn)
		reservation.Settle(567)
	}
	ledger, sum := programRow(t, memory, "p")
	assert.Len(t, ledger.Accounts, 1)
	assert.LessOrEqual(t, sum.Granted, int64(1134))
	single, err := a.Reserve(ctx, "single", 567, 600)
	require.NoError(t, err, "a program with one turn")
	assert.EqualValues(t, 567, single.GrantedTokens())
}

// Guards against programs that are refused because of tokens held by the
// escrow of an instance that never served them. They started at another
// instance, which requests the release.
func TestEscrowOfUnknownProgramIsReleased(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	a, b := cluster.start("a"), cluster.start("b") // each is the home in its own member list
	a.acquire(t)
	for turn := range 2 {
		reservation, err := reserveInFull(ctx, b.Manager, "p", 567, 1134)
		require.NoError(t, err, "turn %d", turn)
		reservation.Settle(567)
	}
	var spent *account.SpentError
	_, err := a.Reserve(ctx, "p", 100, 1134)
	require.ErrorAs(t, err, &spent, "the escrow's account was released")
	_, err = reserveInFull(ctx, a.Manager, "p", 1, 1134)
	require.ErrorAs(t, err, &spent)
}

// Guards against lost usage: the home granted tokens of a program by escrow
// and then evicted the program. The escrow's account must not be released at
// another instance's request.
func TestEscrowOfEvictedProgramIsNotReleased(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	clk := clock.NewFake(time.Unix(1000, 0))
	cluster := &testCluster{store: memory, clock: clk}
	a, b := cluster.start("a"), cluster.start("b")
	a.acquire(t)
	reservation, err := reserveInFull(ctx, a.Manager, "p", 300, 1000)
	require.NoError(t, err)
	reservation.Settle(300)
	clk.Advance(3 * time.Minute)
	a.SweepOnce(ctx)
	require.Zero(t, a.Len())
	_, err = reserveInFull(ctx, b.Manager, "p", 701, 1000)
	require.Error(t, err)
	_, err = reserveInFull(ctx, b.Manager, "p", 700, 1000)
	require.NoError(t, err)
}

// Guards against budget lost in a planned stop: programs that started
// elsewhere still counted the escrow of an instance that had released it.
func TestReleasedEscrowHoldsNothing(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}, detectsReplacement: true}
	a, b := cluster.start("a"), cluster.start("b")
	a.acquire(t)
	first, err := reserveInFull(ctx, b.Manager, "p", 567, 1134)
	require.NoError(t, err)
	first.Settle(567)
	used, err := reserveInFull(ctx, a.Manager, "used", 300, 1000)
	require.NoError(t, err)
	used.Settle(300)
	require.NoError(t, a.Stop(ctx))
	a.up = false
	cluster.start("a")
	second, err := reserveInFull(ctx, b.Manager, "p", 567, 1134)
	require.NoError(t, err)
	second.Settle(567)
	_, err = reserveInFull(ctx, b.Manager, "used", 701, 1000)
	require.Error(t, err, "tokens granted by the escrow stay counted")
	_, err = reserveInFull(ctx, b.Manager, "used", 700, 1000)
	require.NoError(t, err)
}

// singlePartitionStore rejects transactions over several partitions, as the
// store does when one of them has too many transactions queued.
type singlePartitionStore struct{ store.Store }

func (s singlePartitionStore) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	partitions := map[string]bool{}
	for _, put := range tx.Puts {
		partitions[put.Key.Partition] = true
	}
	if len(partitions) > 1 {
		return 0, store.NewError(store.FailureThrottled, "commit", "test")
	}
	return s.Store.Commit(ctx, tx)
}

// Guards against budgets lost in a planned stop while the store is slow: one
// busy partition made it reject all releases of the instance.
func TestStopReleasesByPartition(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: singlePartitionStore{memory}, clock: clock.Real{}}
	a := cluster.start("a")
	a.acquire(t)
	for n := range 60 {
		turn, err := reserveInFull(ctx, a.Manager, fmt.Sprint("p", n), 300, 1000)
		require.NoError(t, err)
		turn.Settle(100)
	}
	require.NoError(t, a.Stop(ctx))
	a.up = false
	b := cluster.start("b")
	b.acquire(t)
	for n := range 60 {
		_, err := reserveInFull(ctx, b.Manager, fmt.Sprint("p", n), 900, 1000)
		assert.NoError(t, err, "program %d", n)
	}
}

// Guards against shards whose escrow is never released because one program of
// the stopping instance could not be released, and against the release of that
// program's own shard.
func TestStopReleasesShardsWithoutUnreleasedPrograms(t *testing.T) {
	for _, refusals := range []int64{1, math.MaxInt64} {
		ctx := context.Background()
		memory := storetest.New()
		cluster := &testCluster{store: singlePartitionStore{memory}, clock: clock.Real{}}
		a := cluster.start("a")
		a.acquire(t)
		for n := range 60 {
			turn, err := reserveInFull(ctx, a.Manager, fmt.Sprint("p", n), 300, 1000)
			require.NoError(t, err)
			turn.Settle(300)
		}
		failingPartition := fmt.Sprintf("program-%02d", budget.Shard("p0")%48)
		var refused atomic.Int64
		memory.SetFault(func(op, partition string) storetest.Fault {
			if op == "commit" && partition == failingPartition && refused.Add(1) <= refusals {
				return storetest.Refuse
			}
			return storetest.None
		})
		var left *account.UnreleasedBudgetError
		require.ErrorAs(t, a.Stop(ctx), &left)
		a.up = false
		memory.SetFault(storeServes)
		b := cluster.start("b")
		b.acquire(t)
		memory.SetFault(storeRefuses)
		begun := 0
		for n := 100; n < 200; n++ {
			if _, err := b.Reserve(ctx, fmt.Sprint("p", n), 300, 1000); err == nil {
				begun++
			}
		}
		assert.GreaterOrEqual(t, begun, 90, "the next home starts programs by escrow")
		memory.SetFault(storeServes)
		for n := range 60 {
			_, err := reserveInFull(ctx, b.Manager, fmt.Sprint("p", n), 701, 1000)
			assert.Error(t, err, "program %d", n)
		}
	}
}
