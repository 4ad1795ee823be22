package fencing_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/fencing"
)

// TestSweepDropsIdlePrograms guards against a sidecar whose memory grows with
// every program it has served. Two programs make calls, and only one of them
// continues; RemoveIdle must remove the idle one and keep the other.
func TestSweepDropsIdlePrograms(t *testing.T) {
	clk := clock.NewFake(time.Unix(1_000_000_000, 0))
	table := fencing.NewTable(clk)
	require.NoError(t, table.Admit("ended", 5, 1))
	require.NoError(t, table.Admit("running", 5, 1))
	clk.Advance(time.Minute)
	require.NoError(t, table.Admit("running", 5, 2))
	table.RemoveIdle(time.Minute / 2)
	require.Equal(t, 1, table.Len())
	require.Error(t, table.Admit("running", 4, 3), "the entry of the running program still refuses a former owner")
}

func ExampleTable() {
	table := fencing.NewTable(clock.Real{})
	fmt.Println(table.Admit("sul-van", 2, 7))
	err := table.Admit("sul-van", 1, 8) // a former owner
	var stale *fencing.Error
	fmt.Println(errors.As(err, &stale), err)
	// Output:
	// <nil>
	// true program sul-van: stale fencing token 1, the highest received is 2
}
