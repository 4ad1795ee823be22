package account_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// Guards against programs without number that are kept for two minutes each: beyond the limit new ones are refused, and idle ones make room sooner, without loss of their budgets.
func TestProgramsAreBounded(t *testing.T) {
	const limit = 10
	ctx := context.Background()
	clk := clock.NewFake(time.Unix(1000, 0))
	cluster := &testCluster{store: storetest.New(), clock: clk}
	a, b := cluster.start("a"), cluster.start("b")
	a.acquire(t)
	a.LimitPrograms(limit)
	spend := func(name string) error {
		reservation, err := reserveInFull(ctx, a.Manager, name, 300, 1000)
		if err == nil {
			reservation.Settle(300)
		}
		return err
	}
	for n := range limit {
		require.NoError(t, spend(fmt.Sprint("p", n)))
	}
	var tooMany *account.TooManyProgramsError
	require.ErrorAs(t, spend("new"), &tooMany)
	_, err := a.Lend(ctx, "new", account.Borrowing{Total: 1000})
	require.ErrorAs(t, err, &tooMany)
	require.NoError(t, spend("p0"), "a program that has state goes on")
	a.SweepOnce(ctx)
	assert.Equal(t, limit, a.Len(), "used a moment ago")
	clk.Advance(2 * time.Second)
	a.SweepOnce(ctx)
	assert.Less(t, a.Len(), limit)
	require.NoError(t, spend("new"))
	_, err = reserveInFull(ctx, b.Manager, "p1", 701, 1000)
	require.Error(t, err, "what an evicted program spent still counts")
	_, err = reserveInFull(ctx, b.Manager, "p1", 700, 1000)
	require.NoError(t, err, "what it did not spend was released")
}

// Guards against programs that are evicted early although there are few.
func TestFewProgramsAreKept(t *testing.T) {
	ctx := context.Background()
	clk := clock.NewFake(time.Unix(1000, 0))
	cluster := &testCluster{store: storetest.New(), clock: clk}
	a := cluster.start("a")
	a.acquire(t)
	a.LimitPrograms(10)
	for n := range 5 {
		reservation, err := reserveInFull(ctx, a.Manager, fmt.Sprint("p", n), 300, 1000)
		require.NoError(t, err)
		reservation.Settle(300)
	}
	clk.Advance(100 * time.Second)
	a.SweepOnce(ctx)
	assert.Equal(t, 5, a.Len())
}
