package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wagtaildrum/wagtaildrum/membership"
)

const (
	// homeShare is the part of an engine's memory that shared parts of
	// prompts may take together; conversations and the requests that run
	// have the rest. A third of 240,000 tokens is six of the sixteen shared
	// parts that the larger fleets have in use.
	homeShare = 0.35
	// leastHomes of a data centre keep a shared part, so that the loss of
	// one engine does not have it read anew everywhere.
	leastHomes = 2
	// maxShared bounds the shared parts that are remembered.
	maxShared = 1024
	// countWindow is after how many prompts the counts of shared parts are
	// halved: some ten seconds of one instance's.
	countWindow = 512
)

// homes says which engines keep a shared part of prompts. All engines of a
// larger fleet cannot keep all of them, and an instance sees only its own
// few requests to each engine. So all instances agree without a word: the
// engines of a data centre are ranked for each part by rendezvous hashing,
// and as many of the first keep it as its share of the prompts needs.
type homes struct {
	shared *simplelru.LRU[string, *shared]
	total  float64
	tokens float64
}

// shared is one shared part.
type shared struct {
	uses float64
	// places are those of candidates, in their order.
	places     []rankedPlace
	candidates []*membership.Endpoint
	// sizes are the numbers of candidates by data centre.
	sizes []int
}

// rankedPlace is a candidate's rank for a part within its data centre, which
// is an index of sizes.
type rankedPlace struct {
	rank, dataCentre int
}

func newHomes() *homes {
	h := &homes{}
	// The size is a positive constant, the only thing NewLRU refuses.
	h.shared, _ = simplelru.NewLRU[string, *shared](maxShared, nil)
	return h
}

// note counts a prompt that begins with part and returns what is known of
// the part among candidates.
func (homes *homes) note(part Part, candidates []*membership.Endpoint) *shared {
	s, ok := homes.shared.Get(part.ID)
	if !ok {
		s = &shared{}
		homes.shared.Add(part.ID, s)
	}
	s.uses++
	homes.total++
	homes.tokens += float64(part.Tokens)
	if homes.total > countWindow {
		homes.halve()
	}
	// A list of candidates is never changed, a new one takes its place.
	if len(s.candidates) != len(candidates) || &s.candidates[0] != &candidates[0] {
		s.rank(part.ID, candidates)
	}
	return s
}

func (homes *homes) halve() {
	homes.total /= 2
	homes.tokens /= 2
	for _, s := range homes.shared.Values() {
		s.uses /= 2
	}
}

// kept returns, by data centre, how many engines keep the part, given an
// engine's memory in tokens.
func (homes *homes) kept(s *shared, capacity int64) []int {
	perEngine := homeShare * float64(capacity) / (homes.tokens / homes.total)
	kept := make([]int, len(s.sizes))
	for i, size := range s.sizes {
		wanted := int(math.Round(perEngine * float64(size) * s.uses / homes.total))
		kept[i] = min(max(wanted, leastHomes), size)
	}
	return kept
}

// rank puts the candidates of each data centre in the part's order.
func (s *shared) rank(part string, candidates []*membership.Endpoint) {
	scores := make([]uint64, len(candidates))
	order := make([]int, len(candidates))
	for i, candidate := range candidates {
		scores[i], order[i] = xxhash.Sum64String(part+"/"+candidate.ID), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	s.places, s.sizes = make([]rankedPlace, len(candidates)), nil
	known := map[string]int{}
	for _, i := range order {
		dataCentre, ok := known[candidates[i].DataCentre]
		if !ok {
			dataCentre = len(s.sizes)
			known[candidates[i].DataCentre] = dataCentre
			s.sizes = append(s.sizes, 0)
		}
		s.places[i] = rankedPlace{rank: s.sizes[dataCentre], dataCentre: dataCentre}
		s.sizes[dataCentre]++
	}
	s.candidates = candidates
}
