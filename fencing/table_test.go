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

// TestMarksAreSwept: marks of programs without calls are forgotten, those
// in use are not.
//
// Symptom: a sidecar's memory grows with every program it ever served.
// Sequence: two programs call; one goes on calling, the other stops; the
// table is swept.
// Cause: marks that are never dropped.
func TestMarksAreSwept(t *testing.T) {
	clk := clock.NewFake(time.Unix(1_000_000_000, 0))
	table := fencing.NewTable(clk)
	require.NoError(t, table.Admit("ended", 5, 1))
	require.NoError(t, table.Admit("running", 5, 1))
	clk.Advance(time.Minute)
	require.NoError(t, table.Admit("running", 5, 2))
	table.Sweep(time.Minute / 2)
	require.Equal(t, 1, table.Len())
	require.Error(t, table.Admit("running", 4, 3), "the mark in use still refuses a deposed owner")
}

func ExampleTable() {
	table := fencing.NewTable(clock.Real{})
	fmt.Println(table.Admit("sul-van", 2, 7))
	err := table.Admit("sul-van", 1, 8) // an owner deposed since
	var stale *fencing.Error
	fmt.Println(errors.As(err, &stale), err)
	// Output:
	// <nil>
	// true program sul-van: stale fence 1, seen 2
}
