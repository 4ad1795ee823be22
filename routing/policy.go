package routing

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy selects an endpoint among candidates, of which there is at least
// one. held is the number of leading blocks of the prompt that each candidate
// is expected to hold in its prefix cache. Choose is called under the
// router's lock.
type Policy interface {
	Choose(req *Request, candidates []*Endpoint, held map[*Endpoint]int, now time.Time) *Endpoint
}

// Names of the policies as they stand in the settings.
const (
	NameAffinity    = "affinity"
	NameLeastLoaded = "least_loaded"
	NameRoundRobin  = "round_robin"
	NameRendezvous  = "rendezvous"
)

// PolicyNames lists the names that NewPolicy accepts.
var PolicyNames = []string{NameAffinity, NameLeastLoaded, NameRoundRobin, NameRendezvous}

// PolicyError is returned for an unknown policy name.
type PolicyError struct{ name string }

// Error returns a message that quotes the name.
func (e *PolicyError) Error() string { return fmt.Sprintf("unknown routing policy %q", e.name) }

// NewPolicy returns the policy with the given name, or a *PolicyError if the
// name is unknown. tokensPerSecond is the prefill rate of an engine, which
// Affinity uses to weigh cached blocks against load; the other policies
// ignore it.
func NewPolicy(name string, tokensPerSecond float64) (Policy, error) {
	switch name {
	case NameAffinity:
		return &Affinity{TokensPerSecond: tokensPerSecond}, nil
	case NameLeastLoaded:
		return LeastLoaded{}, nil
	case NameRoundRobin:
		return &RoundRobin{}, nil
	case NameRendezvous:
		return Rendezvous{}, nil
	}
	return nil, &PolicyError{name: name}
}

// RoundRobin selects the candidates in rotation. It serves as a baseline for
// comparisons.
type RoundRobin struct{ next int }

// Choose implements Policy.
func (r *RoundRobin) Choose(_ *Request, candidates []*Endpoint, _ map[*Endpoint]int, _ time.Time) *Endpoint {
	r.next++
	return candidates[r.next%len(candidates)]
}

// LeastLoaded selects the candidate with the fewest calls. It serves as a
// baseline for comparisons and as the policy for endpoints without a prefix
// cache.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(req *Request, candidates []*Endpoint, _ map[*Endpoint]int, now time.Time) *Endpoint {
	return lowestCost(req, candidates, func(ep *Endpoint) float64 { return ep.Load(now) })
}

// lowestCost returns the candidate with the lowest cost. Ties are broken by
// the rendezvous weight of the request's key, which spreads them over the
// endpoints and gives the same result at every entry instance.
func lowestCost(req *Request, candidates []*Endpoint, cost func(*Endpoint) float64) *Endpoint {
	best, lowest := candidates[0], cost(candidates[0])
	for _, ep := range candidates[1:] {
		c := cost(ep)
		if c < lowest || (c == lowest && rendezvousWeight(req.Key, ep.Name()) > rendezvousWeight(req.Key, best.Name())) {
			best, lowest = ep, c
		}
	}
	return best
}

// Rendezvous selects the candidate with the highest rendezvous weight for the
// request's key, without regard to load. It was the first policy of the
// project and serves as a baseline for comparisons.
type Rendezvous struct{}

// Choose implements Policy.
func (Rendezvous) Choose(req *Request, candidates []*Endpoint, _ map[*Endpoint]int, _ time.Time) *Endpoint {
	best, highest := candidates[0], rendezvousWeight(req.Key, candidates[0].Name())
	for _, ep := range candidates[1:] {
		if w := rendezvousWeight(req.Key, ep.Name()); w > highest {
			best, highest = ep, w
		}
	}
	return best
}

// rendezvousWeight returns the weight of an endpoint for a key in rendezvous
// hashing.
func rendezvousWeight(key, endpoint string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(endpoint)
	return d.Sum64()
}

// Affinity selects the candidate with the lowest expected time to first
// token: the time to prefill the uncached tokens of the prompt and those of
// calls already queued there, plus the wait for a slot. A prefix in demand is
// therefore served where it is cached until the queue there costs more than a
// prefill elsewhere, and then spreads to other endpoints.
type Affinity struct {
	// TokensPerSecond is the prefill rate of an engine.
	TokensPerSecond float64
}

// costPerCall is the cost of each call already in an endpoint's batch. An
// additional call slows the steps of the others slightly; the term also
// breaks ties towards the less loaded endpoint.
const costPerCall = 100 * time.Microsecond

// Choose implements Policy.
func (a *Affinity) Choose(req *Request, candidates []*Endpoint, held map[*Endpoint]int, now time.Time) *Endpoint {
	return lowestCost(req, candidates, func(ep *Endpoint) float64 {
		return a.cost(ep, req.unread(held[ep]), now).Seconds()
	})
}

// cost returns the expected time to first token of a call sent to ep with the
// given number of uncached prompt tokens.
func (a *Affinity) cost(ep *Endpoint, unread int, now time.Time) time.Duration {
	read := float64(unread+ep.unread) / a.TokensPerSecond * float64(time.Second)
	return time.Duration(read) + ep.wait(now) + time.Duration(ep.Load(now)*float64(costPerCall))
}
