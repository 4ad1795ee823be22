package archive

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"

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
