package routing

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxHoldersPerAnchor bounds the endpoints recorded for one anchor.
const maxHoldersPerAnchor = 16

// cacheIndex records which endpoints are expected to hold which prompt blocks
// in their prefix cache. Of each prompt it records only the anchors: the
// blocks at depths 1, 2, 4, 8 and so on, and the last one. The lookup of a
// prompt that shares a prefix with a recorded one then underestimates the
// shared blocks by at most half, with a number of lookups logarithmic in the
// prompt's length.
//
// Only the latest maxHoldersPerAnchor holders of an anchor are kept, so that
// a decision for a prompt cached by the whole fleet does not evaluate the
// whole fleet. Anchors beyond the capacity are evicted in least recently used
// order.
type cacheIndex struct {
	anchors *simplelru.LRU[uint64, []*Endpoint]
}

// newCacheIndex returns an empty index that holds at most size anchors.
func newCacheIndex(size int) *cacheIndex {
	lru, err := simplelru.NewLRU[uint64, []*Endpoint](size, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &cacheIndex{anchors: lru}
}

// Anchors returns the depths, in blocks, of the anchors of a prompt of the
// given number of blocks, in ascending order: the powers of two below that
// number, the hints that lie within the prompt, and the last block. It
// returns nil for a prompt without blocks.
func Anchors(blocks int, hints ...int) []int {
	var depths []int
	for d := 1; d < blocks; d *= 2 {
		depths = append(depths, d)
	}
	for _, h := range hints {
		if h > 0 && h < blocks {
			depths = append(depths, h)
		}
	}
	if blocks > 0 {
		depths = append(depths, blocks)
	}
	slices.Sort(depths)
	return slices.Compact(depths)
}

// depths returns, for each endpoint recorded as a holder of any anchor of the
// prompt, the depth of its deepest anchor: the number of leading blocks that
// it is expected to hold.
func (x *cacheIndex) depths(req *Request) map[*Endpoint]int {
	if len(req.Prompt) == 0 {
		return nil
	}
	held := map[*Endpoint]int{}
	for _, d := range req.anchors() {
		eps, ok := x.anchors.Get(req.Prompt[d-1])
		if !ok {
			continue
		}
		for _, ep := range eps {
			held[ep] = d
		}
	}
	return held
}

// add records ep as a holder of the prompt's anchors.
func (x *cacheIndex) add(ep *Endpoint, req *Request) {
	for _, d := range req.anchors() {
		h := req.Prompt[d-1]
		eps, _ := x.anchors.Get(h)
		if slices.Contains(eps, ep) {
			continue
		}
		if len(eps) >= maxHoldersPerAnchor {
			eps = eps[1:]
		}
		x.anchors.Add(h, append(slices.Clone(eps), ep))
	}
}

// remove records that ep no longer holds the block with hash h.
func (x *cacheIndex) remove(ep *Endpoint, h uint64) {
	eps, ok := x.anchors.Peek(h)
	if !ok {
		return
	}
	remaining := slices.DeleteFunc(slices.Clone(eps), func(e *Endpoint) bool { return e == ep })
	if len(remaining) == 0 {
		x.anchors.Remove(h)
		return
	}
	x.anchors.Add(h, remaining)
}

// forget removes ep from all anchors.
func (x *cacheIndex) forget(ep *Endpoint) {
	for _, h := range x.anchors.Keys() {
		x.remove(ep, h)
	}
}
