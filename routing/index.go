package routing

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// anchorHolders bounds the endpoints kept per anchor.
const anchorHolders = 16

// index remembers which endpoints are thought to hold which prompt blocks.
// Of each prompt it keeps only some blocks, its anchors: at depths 1, 2, 4,
// 8 and so on, and the last. A prompt that shares a prefix with it is then
// found with at most half of the shared blocks missed, in a number of
// look-ups that grows with the logarithm of its length.
//
// Of an anchor's holders the latest anchorHolders are kept: a prompt that
// the whole fleet holds must not make every decision weigh the whole fleet.
type index struct {
	anchors *simplelru.LRU[uint64, []*Endpoint]
}

func newIndex(size int) *index {
	lru, err := simplelru.NewLRU[uint64, []*Endpoint](size, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &index{anchors: lru}
}

// Anchors returns the depths, in blocks, of a prompt's anchors: powers of
// two, the hints that lie within it, and its last block; ascending.
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

// depths returns, for each endpoint known to hold part of the prompt, how
// many of its leading blocks it holds.
func (x *index) depths(req *Request) map[*Endpoint]int {
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

// add notes that ep holds the anchors of a prompt.
func (x *index) add(ep *Endpoint, req *Request) {
	for _, d := range req.anchors() {
		h := req.Prompt[d-1]
		eps, _ := x.anchors.Get(h)
		if slices.Contains(eps, ep) {
			continue
		}
		if len(eps) >= anchorHolders {
			eps = eps[1:]
		}
		x.anchors.Add(h, append(slices.Clone(eps), ep))
	}
}

// remove notes that ep no longer holds block h.
func (x *index) remove(ep *Endpoint, h uint64) {
	eps, ok := x.anchors.Peek(h)
	if !ok {
		return
	}
	left := slices.DeleteFunc(slices.Clone(eps), func(e *Endpoint) bool { return e == ep })
	if len(left) == 0 {
		x.anchors.Remove(h)
		return
	}
	x.anchors.Add(h, left)
}

// forget notes that ep holds nothing.
func (x *index) forget(ep *Endpoint) {
	for _, h := range x.anchors.Keys() {
		x.remove(ep, h)
	}
}
