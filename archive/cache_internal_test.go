package archive

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/history"
)

// Guards against a cache of many small turns that takes several times the memory set aside for it.
func TestCacheOfSmallTurnsStaysWithinItsMemory(t *testing.T) {
	const limit = 4 << 20
	live := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := live()
	cached := newCache(limit)
	for n := range maxCachedTurns {
		turn := &history.Turn{ID: fmt.Sprintf("%016x", n), Input: []byte("hi")}
		for event := range 3 {
			turn.Events = append(turn.Events, []byte(fmt.Sprint("event ", event)))
		}
		cached.put(turn)
	}
	used := live() - before
	runtime.KeepAlive(cached)
	t.Logf("%d turns, %d KB", cached.turns.Len(), used>>10)
	assert.Positive(t, cached.turns.Len())
	assert.LessOrEqual(t, used, int64(limit))
}

// Guards against a cache that takes its whole share beside the calls in progress, which have the same share.
func TestCacheMakesRoomForCalls(t *testing.T) {
	cached := newCache(4 << 20)
	for n := range 100 {
		cached.put(&history.Turn{ID: fmt.Sprint(n), Input: make([]byte, 100<<10)})
	}
	assert.Greater(t, cached.size, int64(3<<20))
	release, err := newWork(cached).acquire(context.Background(), 3<<20)
	require.NoError(t, err)
	assert.LessOrEqual(t, cached.size, int64(1<<20))
	assert.NotNil(t, cached.get("99"), "the latest stay")
	cached.put(&history.Turn{ID: "next", Input: make([]byte, 100<<10)})
	assert.LessOrEqual(t, cached.size, int64(1<<20))
	release()
	assert.Zero(t, cached.lent)
}
