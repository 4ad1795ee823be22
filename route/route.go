package route

import (
	"math/rand/v2"
	"time"
)

// Kind says what may be repeated on a route.
type Kind int

//go:generate stringer -type=Kind -trimprefix=Kind

// Kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindNonIdempotent requests may run at most once.
	KindNonIdempotent
	// KindStream requests are answered by a series of events; they may run
	// once, unless the route is resumable.
	KindStream
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route is one entry of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Targets share the requests by weight.
	Targets []Target
	// Timeout is the longest that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is worth its full value:
	// up to the first event for a stream.
	Objective time.Duration
	// Pause is the longest pause between events of an answer in time.
	Pause time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// Attempts is the most endpoints that may run one request; at least 1.
	Attempts int
	// KeepsHistory: requests carry only new input; what was said before is
	// kept here for Retention after a turn ends.
	KeepsHistory bool
	Retention    time.Duration
	// Resumable streams may go on at another endpoint after the last event
	// received.
	Resumable bool
	// Public routes are open to callers without an organisation's key.
	Public bool
}

// Repeatable reports whether a request may run again after it may have run.
func (route *Route) Repeatable() bool {
	return route.Kind == KindIdempotent || route.Kind == KindStream && route.Resumable
}

// Pick returns the service that takes the next request.
func (route *Route) Pick() string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return route.Targets[0].Service
	}
	at := rand.IntN(total)
	for _, target := range route.Targets {
		at -= target.Weight
		if at < 0 {
			return target.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// Model is set for services that run a language model.
	Model *Model
}

// Model says how a service's engines work.
type Model struct {
	// Slots requests run in one batch.
	Slots int
	// Capacity is an engine's memory, in tokens.
	Capacity int64
	// EventTokens is how many tokens one event of an answer counts.
	EventTokens int64
}

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes int64
}
