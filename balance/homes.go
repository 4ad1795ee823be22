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
	// ranks are the engines' places within their data centres, of the
	// candidates that begin with first and are count.
	ranks map[string]int
	first *membership.Endpoint
	count int
	// sizes are the numbers of engines by data centre.
	sizes map[string]int
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
	if s.first != candidates[0] || s.count != len(candidates) {
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

// kept returns how many engines of a data centre keep the part, given an
// engine's memory in tokens.
func (homes *homes) kept(s *shared, dataCentre string, capacity int64) int {
	size := s.sizes[dataCentre]
	perEngine := homeShare * float64(capacity) / (homes.tokens / homes.total)
	kept := int(math.Round(perEngine * float64(size) * s.uses / homes.total))
	return min(max(kept, leastHomes), size)
}

// rank puts the candidates of each data centre in the part's order.
func (s *shared) rank(part string, candidates []*membership.Endpoint) {
	type scored struct {
		endpoint *membership.Endpoint
		score    uint64
	}
	all := make([]scored, 0, len(candidates))
	for _, candidate := range candidates {
		all = append(all, scored{endpoint: candidate, score: xxhash.Sum64String(part + "/" + candidate.ID)})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	s.ranks, s.sizes = make(map[string]int, len(all)), map[string]int{}
	for _, next := range all {
		s.ranks[next.endpoint.ID] = s.sizes[next.endpoint.DataCentre]
		s.sizes[next.endpoint.DataCentre]++
	}
	s.first, s.count = candidates[0], len(candidates)
}
