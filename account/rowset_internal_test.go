package account

import (
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against memory that grows with the number of programs that an instance has ever had, and against one that is forgotten, whose escrow would grant its budget again.
func TestRowSetForgetsNoneInBoundedMemory(t *testing.T) {
	const rows = 1 << 20
	live := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := live()
	var set escrows
	rng := rand.New(rand.NewPCG(1, 1))
	for range rows {
		set.rows.add(rng.Uint64())
	}
	assert.Less(t, live()-before, int64(8<<20))
	rng = rand.New(rand.NewPCG(1, 1))
	forgotten, mistaken := 0, 0
	for range rows {
		if !set.rows.has(rng.Uint64()) {
			forgotten++
		}
	}
	for range rows {
		if set.rows.has(rng.Uint64()) {
			mistaken++
		}
	}
	assert.Zero(t, forgotten)
	assert.Less(t, mistaken, rows/50)
}

// Guards against writes for programs that the escrow may grant tokens: a set of few is exact.
func TestRowSetOfFewIsExact(t *testing.T) {
	var set rowSet
	assert.False(t, set.has(1))
	for hash := range uint64(maxExactRows) {
		set.add(2 * hash)
	}
	for hash := range uint64(maxExactRows) {
		assert.True(t, set.has(2*hash))
		assert.False(t, set.has(2*hash+1))
	}
}
