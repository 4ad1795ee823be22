package shutdown_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/shutdown"
)

// Guards against limits of a stop that are worked out from different moments: one that
// begins twice, and a grace period shorter than the limits.
func TestLimitsOfShutdown(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	stop := shutdown.New(8*time.Second, clk)
	assert.True(t, stop.Admits(time.Unix(2000, 0)))
	stop.Begin()
	clk.Advance(time.Second)
	stop.Begin()
	assert.Equal(t, time.Unix(1003, 0), stop.AcceptUntil())
	assert.Equal(t, time.Unix(1006, 8e8), stop.RespondUntil())
	assert.True(t, stop.AcceptUntil().Before(stop.RespondUntil()) && stop.RespondUntil().Before(stop.ReleaseUntil()) && stop.ReleaseUntil().Before(stop.LeaveUntil()))
	assert.True(t, stop.LeaveUntil().Before(time.Unix(1008, 0)))
	assert.True(t, stop.Admits(stop.RespondUntil()))
	assert.False(t, stop.Admits(stop.RespondUntil().Add(1)))
	half := shutdown.New(5*time.Second, clk)
	half.Begin()
	begun := clk.Now()
	assert.False(t, half.RespondUntil().Before(begun.Add(5*time.Second*5/6)), "responses may take five sixths of a short grace period")
	assert.True(t, half.RespondUntil().Before(half.ReleaseUntil()) && half.ReleaseUntil().Before(half.LeaveUntil()))
	assert.True(t, half.LeaveUntil().Before(begun.Add(5*time.Second)))
	short := shutdown.New(time.Second, clk)
	short.Begin()
	require.False(t, short.AcceptUntil().After(short.RespondUntil()))
}
