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
	// prefixMemoryShare is the share of an engine's memory that all shared
	// prefixes together may take; conversations and running requests have the
	// remainder. About a third of 240,000 tokens holds six of the sixteen
	// shared prefixes in use by the larger fleets.
	prefixMemoryShare = 0.35
	// minReplicas is the minimum number of replicas of a shared prefix in a data
	// centre. With two, the loss of one engine does not have the prefix
	// prefilled again everywhere.
	minReplicas = 2
	// replicaUtilisation is the target for the mean share of slots in use, by
	// prompts that start with a prefix, at the engines with a replica of it. At
	// a quarter, a fleet that is two thirds busy prefills 40 % fewer tokens of
	// shared prefixes repeatedly than with memory as the only limit, and one
	// that is a third busy 58 % fewer; the time to the header of a response of
	// 320 ms grows by 5 and 1 ms. At a third, turns wait 15 ms more.
	replicaUtilisation = 0.25
	// priorPrompts is added to the number of counted prompts. Otherwise an
	// instance that has seen one prompt would assume that all prompts start
	// with its prefix, and with many instances each would have all engines
	// prefill the first prefixes that it sees.
	priorPrompts = 16
	// maxSharedPrefixes bounds the recorded shared prefixes.
	maxSharedPrefixes = 1024
	// promptCountWindow is the number of prompts after which the counts are
	// halved, about ten seconds of one instance's prompts.
	promptCountWindow = 512
)

// sharedPrefixes decides which engines hold a replica of each shared prefix.
// An engine of a larger fleet cannot cache all prefixes, and an instance sees
// only its own few requests to each engine. Instances therefore agree without
// communication: the engines of a data centre are ranked for each prefix by
// rendezvous hashing, and the first of them hold replicas, in a number that
// follows from the prefix's share of the prompts.
type sharedPrefixes struct {
	prefixes *simplelru.LRU[string, *sharedPrefix]
	// total is the number of prompts with a shared prefix, tokens the sum of
	// the tokens of these prefixes. Both decay.
	total  float64
	tokens float64
}

// sharedPrefix holds the usage and the ranking of one shared prefix.
type sharedPrefix struct {
	// uses is the number of prompts that start with the prefix. It decays as
	// total does.
	uses float64
	// ranks holds the rank of each of candidates, in the same order.
	ranks      []candidateRank
	candidates []*membership.Endpoint
	// weightVersion is the version of the weights that ranks follow.
	weightVersion int
	// dataCentreSizes holds the number of candidates of each data centre.
	dataCentreSizes []int
}

// candidateRank is a candidate's rank for a prefix within its data centre;
// dataCentre is an index of dataCentreSizes.
type candidateRank struct {
	rank, dataCentre int
}

// newSharedPrefixes returns an empty record of shared prefixes.
func newSharedPrefixes() *sharedPrefixes {
	prefixes := &sharedPrefixes{}
	// NewLRU only rejects a size that is not positive.
	prefixes.prefixes, _ = simplelru.NewLRU[string, *sharedPrefix](maxSharedPrefixes, nil)
	return prefixes
}

// recordPrompt counts a prompt that starts with segment and returns the usage
// and ranking of this prefix among candidates. weight returns the placement
// weight of a candidate, and weightVersion changes with any of them.
func (prefixes *sharedPrefixes) recordPrompt(segment Part, candidates []*membership.Endpoint, weightVersion int, weight func(i int) float64) *sharedPrefix {
	prefix, ok := prefixes.prefixes.Get(segment.ID)
	if !ok {
		prefix = &sharedPrefix{}
		prefixes.prefixes.Add(segment.ID, prefix)
	}
	prefix.uses++
	prefixes.total++
	prefixes.tokens += float64(segment.Tokens)
	if prefixes.total > promptCountWindow {
		prefixes.halve()
	}
	// A candidate list is never modified but replaced by a new one, so
	// comparing its length and the address of its first element is
	// sufficient.
	if len(prefix.candidates) != len(candidates) || &prefix.candidates[0] != &candidates[0] || prefix.weightVersion != weightVersion {
		prefix.rank(segment.ID, candidates, weight)
		prefix.weightVersion = weightVersion
	}
	return prefix
}

// halve halves all counts.
func (prefixes *sharedPrefixes) halve() {
	prefixes.total /= 2
	prefixes.tokens /= 2
	for _, prefix := range prefixes.prefixes.Values() {
		prefix.uses /= 2
	}
}

// replicaCounts returns the number of replicas of the prefix in each data
// centre: as many as the load requires, given the mean share of an engine's
// slots in use, and as fit in memory, given an engine's memory in tokens.
func (prefixes *sharedPrefixes) replicaCounts(prefix *sharedPrefix, capacity int64, utilisation float64) []int {
	maxPrefixes := prefixMemoryShare * float64(capacity) / (prefixes.tokens / prefixes.total)
	prefixesPerEngine := min(maxPrefixes, utilisation/replicaUtilisation)
	replicaCounts := make([]int, len(prefix.dataCentreSizes))
	for i, size := range prefix.dataCentreSizes {
		wanted := int(math.Round(prefixesPerEngine * float64(size) * prefix.uses / (prefixes.total + priorPrompts)))
		replicaCounts[i] = min(max(wanted, minReplicas), size)
	}
	return replicaCounts
}

// rank orders the candidates of each data centre by weighted rendezvous hashing:
// each one's probability of being first is proportional to its weight. Where two
// instances have different weights for an endpoint, only its own rank differs.
func (prefix *sharedPrefix) rank(id string, candidates []*membership.Endpoint, weight func(i int) float64) {
	scores := make([]float64, len(candidates))
	order := make([]int, len(candidates))
	for i, candidate := range candidates {
		hash := (float64(xxhash.Sum64String(id+"/"+candidate.ID)) + 1) / (1 << 64)
		scores[i], order[i] = math.Log(hash)/weight(i), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	prefix.ranks, prefix.dataCentreSizes = make([]candidateRank, len(candidates)), nil
	dataCentres := map[string]int{}
	for _, i := range order {
		dataCentre, ok := dataCentres[candidates[i].DataCentre]
		if !ok {
			dataCentre = len(prefix.dataCentreSizes)
			dataCentres[candidates[i].DataCentre] = dataCentre
			prefix.dataCentreSizes = append(prefix.dataCentreSizes, 0)
		}
		prefix.ranks[i] = candidateRank{rank: prefix.dataCentreSizes[dataCentre], dataCentre: dataCentre}
		prefix.dataCentreSizes[dataCentre]++
	}
	prefix.candidates = candidates
}

// replicas holds the candidates that have a replica of a shared prefix.
type replicas struct {
	prefix        *sharedPrefix
	replicaCounts []int
}

// has reports whether candidate i has a replica. It returns false for nil.
func (replicas *replicas) has(i int) bool {
	if replicas == nil {
		return false
	}
	position := replicas.prefix.ranks[i]
	return position.rank < replicas.replicaCounts[position.dataCentre]
}
