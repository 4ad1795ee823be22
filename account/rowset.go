package account

import (
	"encoding/binary"

	"github.com/bits-and-blooms/bloom/v3"
)

const (
	// maxExactRows is the number of hashes up to which a rowSet is exact. At the target
	// size an instance evicts as many programs in five hours.
	maxExactRows = 1 << 17
	// filterRows is the number of hashes of which a rowSet that is not exact mistakes a
	// share of filterMistakes for others. Its filter takes 5 MB.
	filterRows     = 1 << 22
	filterMistakes = 0.01
)

// rowSet is a set of hashes of programs' names. It never forgets one, and takes memory for
// maxExactRows and a filter at most: a program that is mistaken for one of the set takes a write.
type rowSet struct {
	exact  map[uint64]struct{}
	filter *bloom.BloomFilter
}

// add adds a hash.
func (set *rowSet) add(hash uint64) {
	if set.filter != nil {
		set.filter.Add(hashKey(hash))
		return
	}
	if set.exact == nil {
		set.exact = map[uint64]struct{}{}
	}
	set.exact[hash] = struct{}{}
	if len(set.exact) <= maxExactRows {
		return
	}
	set.filter = bloom.NewWithEstimates(filterRows, filterMistakes)
	for known := range set.exact {
		set.filter.Add(hashKey(known))
	}
	set.exact = nil
}

// has reports whether a hash was added, and now and then that one was that was not.
func (set *rowSet) has(hash uint64) bool {
	if set.filter != nil {
		return set.filter.Test(hashKey(hash))
	}
	_, ok := set.exact[hash]
	return ok
}

// hashKey returns the key of a hash in a filter.
func hashKey(hash uint64) []byte { return binary.LittleEndian.AppendUint64(nil, hash) }
