package connlimit_test

import (
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
)

// newLimiter returns a limiter of the given memory and connections, and its log and metrics.
func newLimiter(memory int64, connections int) (*connlimit.Limiter, *strings.Builder, tally.TestScope) {
	log, scope := &strings.Builder{}, tally.NewTestScope("", nil)
	return connlimit.New(connlimit.Config{Name: "callers", Memory: memory, Connections: connections, HeadBytes: func() int64 { return 16 << 10 }, Log: slog.New(slog.NewTextHandler(log, nil)), Metrics: scope}), log, scope
}

// holderOf returns a holder that waits, and records its name in ended once it is evicted.
func holderOf(t *testing.T, limiter *connlimit.Limiter, name string, held int64, ended *[]string) *connlimit.Holder {
	t.Helper()
	var holder *connlimit.Holder
	for range 2 { // there is no room until the evicted holders have ended
		holder = limiter.NewHolder(held, func() {
			*ended = append(*ended, name)
			holder.End()
		})
		if holder != nil {
			break
		}
	}
	require.NotNil(t, holder, name)
	holder.Wait()
	return holder
}

// Guards against an order of eviction in which those that hold little, or came last, yield to those that hold much for long.
func TestLargestThenOldestHolderIsEvicted(t *testing.T) {
	limiter, _, _ := newLimiter(1<<20, 0)
	var ended []string
	holderOf(t, limiter, "small", 20<<10, &ended)
	holderOf(t, limiter, "large", 400<<10, &ended)
	holderOf(t, limiter, "small later", 20<<10, &ended)
	holderOf(t, limiter, "large later", 400<<10, &ended)
	holderOf(t, limiter, "a", 400<<10, &ended)
	assert.Equal(t, []string{"large"}, ended)
	holderOf(t, limiter, "b", 400<<10, &ended)
	assert.Equal(t, []string{"large", "large later"}, ended)
	ended = nil
	holderOf(t, limiter, "c", 400<<10, &ended)
	assert.Equal(t, []string{"a"}, ended)
}

// Guards against ordinary connections that are ended, and room that is kept for them taken, for large ones.
func TestLargeHoldersLeaveRoomForSmallOnes(t *testing.T) {
	limiter, _, _ := newLimiter(1<<20, 0)
	var ended []string
	holderOf(t, limiter, "small", 20<<10, &ended)
	serving := holderOf(t, limiter, "serving", 600<<10, &ended)
	require.True(t, serving.Proceed())
	assert.Nil(t, limiter.NewHolder(240<<10, func() {}), "but for the small one it would fit")
	assert.False(t, serving.Charge(250<<10))
	assert.Empty(t, ended)
	for n := range 6 {
		assert.NotNil(t, limiter.NewHolder(20<<10, func() {}), n)
	}
	assert.Empty(t, ended)
	holderOf(t, limiter, "another", 50<<10, &ended)
	assert.Equal(t, []string{"small"}, ended, "small ones make room for each other")
}

// Guards against requests in flight that are ended, and against others that are ended in vain, for a reservation that does not fit.
func TestHoldersThatProceedAreNotEvicted(t *testing.T) {
	limiter, log, scope := newLimiter(1<<20, 0)
	var ended []string
	serving := holderOf(t, limiter, "serving", 600<<10, &ended)
	waiting := holderOf(t, limiter, "waiting", 100<<10, &ended)
	require.True(t, serving.Proceed())
	assert.Nil(t, limiter.NewHolder(500<<10, func() {}))
	assert.False(t, waiting.Reserve(900<<10))
	assert.Empty(t, ended)
	assert.EqualValues(t, 700<<10, limiter.Used())
	assert.Contains(t, log.String(), "refused=1")
	assert.EqualValues(t, 2, scope.Snapshot().Counters()["clients_refused+listener=callers"].Value())
	serving.Wait()
	holderOf(t, limiter, "new", 500<<10, &ended)
	assert.Equal(t, []string{"serving"}, ended)
	assert.False(t, serving.Proceed(), "evicted")
	assert.EqualValues(t, 1, scope.Snapshot().Counters()["clients_evicted+listener=callers"].Value())
}

// Guards against memory that is spent twice while evicted holders have not ended.
func TestMemoryOfEvictedHoldersCountsUntilTheyEnd(t *testing.T) {
	limiter, _, _ := newLimiter(1<<20, 0)
	slow := limiter.NewHolder(840<<10, func() {})
	slow.Wait()
	require.NotNil(t, limiter.NewHolder(100<<10, func() {}))
	require.NotNil(t, limiter.NewHolder(100<<10, func() {}), "within the slack")
	assert.True(t, slow.IsEvicted())
	assert.Nil(t, limiter.NewHolder(120<<10, func() {}), "beyond the slack")
	assert.Nil(t, limiter.NewHolder(200<<10, func() {}), "a large one may not use the slack")
	slow.End()
	slow.End()
	assert.EqualValues(t, 200<<10, limiter.Used())
	assert.NotNil(t, limiter.NewHolder(200<<10, func() {}))
}

// Guards against large reservations that use the memory kept for ordinary requests while evicted holders end.
func TestLargeReservationsDoNotUseTheSlack(t *testing.T) {
	limiter, _, _ := newLimiter(1<<20, 0)
	slow := limiter.NewHolder(840<<10, func() {})
	slow.Wait()
	assert.Nil(t, limiter.NewHolder(140<<10, func() {}))
	assert.True(t, slow.IsEvicted())
	assert.NotNil(t, limiter.NewHolder(120<<10, func() {}))
}

// Guards against memory that stays charged, or is freed twice.
func TestMemoryIsFreed(t *testing.T) {
	limiter, _, scope := newLimiter(1<<20, 0)
	holder := limiter.NewHolder(10, func() {})
	assert.True(t, holder.Reserve(100<<10))
	assert.False(t, holder.Charge(2<<20), "beyond the limit")
	assert.EqualValues(t, 10+100<<10+2<<20, limiter.Used(), "charged all the same")
	assert.False(t, holder.Charge(-1), "still beyond the limit")
	assert.True(t, holder.Charge(1-2<<20))
	assert.EqualValues(t, 1, scope.Snapshot().Counters()["clients_refused+listener=callers"].Value(), "freeing memory is not refused")
	holder.ReleaseTo(10)
	holder.ReleaseTo(1 << 20)
	assert.EqualValues(t, 10, limiter.Used())
	holder.End()
	assert.False(t, holder.Charge(5) && limiter.Used() != 0)
	holder.ReleaseTo(0)
	assert.Zero(t, limiter.Used())
}

// Guards against a log line for each connection of a crowd.
func TestLogLinesAreBounded(t *testing.T) {
	limiter, log, _ := newLimiter(1<<20, 0)
	for range 1000 {
		limiter.NewHolder(2<<20, func() {})
	}
	assert.LessOrEqual(t, strings.Count(log.String(), "\n"), 25)
}

// Guards against memory beyond the limit while nothing is being freed.
func TestSlackIsKeptForEvictions(t *testing.T) {
	limiter, _, _ := newLimiter(1<<20, 0)
	for range 10 {
		require.NotNil(t, limiter.NewHolder(100<<10, func() {}))
	}
	assert.Nil(t, limiter.NewHolder(100<<10, func() {}))
}

// Guards against connections that are counted as ended twice, for which others exceed the limit.
func TestConnectionsEndOnce(t *testing.T) {
	limiter, _, _ := newLimiter(0, 2)
	ended := limiter.NewConn(1, func() {})
	require.NotNil(t, limiter.NewConn(1, func() {}))
	ended.End()
	ended.End()
	require.NotNil(t, limiter.NewConn(1, func() {}))
	assert.Nil(t, limiter.NewConn(1, func() {}))
}
