package routing

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy chooses among candidates, of which there is at least one. held
// tells how many leading blocks of the prompt a candidate is thought to
// hold. Policies are called under the router's lock.
type Policy interface {
	Choose(req *Request, candidates []*Endpoint, held map[*Endpoint]int, now time.Time) *Endpoint
}

// Names of the policies, as settings give them.
const (
	NameAffinity    = "affinity"
	NameLeastLoaded = "least_loaded"
	NameRoundRobin  = "round_robin"
	NameRendezvous  = "rendezvous"
)

// PolicyNames lists the names NewPolicy knows.
var PolicyNames = []string{NameAffinity, NameLeastLoaded, NameRoundRobin, NameRendezvous}

// PolicyError says a policy's name is not known.
type PolicyError struct{ name string }

// Error quotes the name.
func (e *PolicyError) Error() string { return fmt.Sprintf("no routing policy %q", e.name) }

// NewPolicy returns the policy of a name. tokensPerSecond is how fast an
// engine reads a prompt; Affinity weighs cache against load with it.
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

// RoundRobin takes the candidates in turn. It is a baseline.
type RoundRobin struct{ next int }

// Choose implements Policy.
func (r *RoundRobin) Choose(_ *Request, candidates []*Endpoint, _ map[*Endpoint]int, _ time.Time) *Endpoint {
	r.next++
	return candidates[r.next%len(candidates)]
}

// LeastLoaded takes the candidate with the fewest calls. It is a baseline,
// and the policy for endpoints without a cache.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(req *Request, candidates []*Endpoint, _ map[*Endpoint]int, now time.Time) *Endpoint {
	return cheapest(req, candidates, func(ep *Endpoint) float64 { return ep.Load(now) })
}

// cheapest returns the candidate of the lowest cost; of several, the
// rendezvous choice of the request's key, so that ties spread over the
// endpoints and every entry instance breaks them alike.
func cheapest(req *Request, candidates []*Endpoint, cost func(*Endpoint) float64) *Endpoint {
	best, lowest := candidates[0], cost(candidates[0])
	for _, ep := range candidates[1:] {
		c := cost(ep)
		if c < lowest || (c == lowest && weight(req.Key, ep.Name()) > weight(req.Key, best.Name())) {
			best, lowest = ep, c
		}
	}
	return best
}

// Rendezvous takes the candidate of the highest weight for the request's
// key, whatever its load: the project's first policy, kept as a baseline.
type Rendezvous struct{}

// Choose implements Policy.
func (Rendezvous) Choose(req *Request, candidates []*Endpoint, _ map[*Endpoint]int, _ time.Time) *Endpoint {
	best, highest := candidates[0], weight(req.Key, candidates[0].Name())
	for _, ep := range candidates[1:] {
		if w := weight(req.Key, ep.Name()); w > highest {
			best, highest = ep, w
		}
	}
	return best
}

func weight(key, endpoint string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(endpoint)
	return d.Sum64()
}

// Affinity takes the candidate that is expected to give the first token
// soonest: the time to read what it does not hold of the prompt, after what
// calls before it still have to read, plus the wait for a slot. A hot
// prefix therefore stays where it is cached until the queue there costs
// more than reading it again elsewhere, and then spreads.
type Affinity struct {
	// TokensPerSecond is how fast an engine reads a prompt.
	TokensPerSecond float64
}

// perCall is the cost of one more call in an endpoint's batch: it slows the
// others' steps a little, and breaks ties towards the less loaded.
const perCall = 100 * time.Microsecond

// Choose implements Policy.
func (a *Affinity) Choose(req *Request, candidates []*Endpoint, held map[*Endpoint]int, now time.Time) *Endpoint {
	return cheapest(req, candidates, func(ep *Endpoint) float64 {
		return a.cost(ep, req.unread(held[ep]), now).Seconds()
	})
}

func (a *Affinity) cost(ep *Endpoint, unread int, now time.Time) time.Duration {
	read := float64(unread+ep.unread) / a.TokensPerSecond * float64(time.Second)
	return time.Duration(read) + ep.wait(now) + time.Duration(ep.Load(now)*float64(perCall))
}
