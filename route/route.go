package route

import (
	"math/rand/v2"
	"time"
)

// Kind determines whether requests on a route may be repeated.
type Kind int

//go:generate stringer -type=Kind -trimprefix=Kind

// Kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindNonIdempotent requests may run at most once.
	KindNonIdempotent
	// KindStream requests have a series of events as their response. They may
	// run at most once unless the route is resumable.
	KindStream
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route is a route of the configuration: the requests for a host and path prefix,
// and how they are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Targets share the requests by weight.
	Targets []Target
	// Timeout is the maximum time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which a response has its full value; for a
	// stream, the time to the first event.
	Objective time.Duration
	// MaxEventGap is the maximum gap between events of a response that is on time.
	MaxEventGap time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Attempts is the maximum number of endpoints that may run one request; at
	// least 1.
	Attempts int
	// KeepsHistory means that requests carry only new input. The earlier
	// messages are stored here for Retention after a turn ends.
	KeepsHistory bool
	Retention    time.Duration
	// Resumable streams may be continued at another endpoint after the last
	// event received.
	Resumable bool
	// Public routes accept callers without an organisation's key.
	Public bool
}

// Repeatable reports whether a request that may have run already may run again.
func (route *Route) Repeatable() bool {
	return route.Kind == KindIdempotent || route.Kind == KindStream && route.Resumable
}

// PickService returns the service for the next request, at random by weight.
func (route *Route) PickService() string {
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

// Service is a group of equivalent endpoints.
type Service struct {
	Name string
	// HealthPath is the path at which endpoints respond to health checks; empty if
	// unknown.
	HealthPath string
	// Model is set for services that run a language model.
	Model *Model
}

// Model describes the engines of a service.
type Model struct {
	// Slots is the number of requests that run in one batch.
	Slots int
	// Capacity is an engine's memory in tokens.
	Capacity int64
	// EventTokens is the number of tokens that one event of a response counts
	// for.
	EventTokens int64
}

// Limits bounds the requests of callers.
type Limits struct {
	// HeaderBytes and BodyBytes bound the header and the body of a request, in bytes; 0
	// if not configured.
	HeaderBytes, BodyBytes int64
}
