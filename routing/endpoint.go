package routing

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/config"
)

const (
	// defaultLimit is how many calls an endpoint is taken to run at once
	// until its sidecar has said.
	defaultLimit = 12
	// defaultService is the time of a call until one has been measured.
	defaultService = 50 * time.Millisecond
	// serviceWeight is the weight of a new measurement in the mean.
	serviceWeight = 0.1
	// othersHalfLife is how fast the load that other entry instances put on
	// an endpoint, known only from its last report, is forgotten.
	othersHalfLife = 500 * time.Millisecond
)

// Endpoint is what a router knows of one endpoint. It is guarded by the
// router's lock.
type Endpoint struct {
	spec     config.Endpoint
	inFlight int
	// unread are the prompt tokens of calls in flight that the endpoint is
	// expected to read before their first token.
	unread   int
	limit    int
	others   int
	othersAt time.Time
	service  time.Duration
	report   uint64
}

func newEndpoint(spec config.Endpoint) *Endpoint {
	return &Endpoint{spec: spec, limit: defaultLimit, service: defaultService}
}

// Spec returns the endpoint's configuration.
func (e *Endpoint) Spec() config.Endpoint { return e.spec }

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.spec.Name }

// Load returns the calls the endpoint is thought to have now: this
// instance's own, and others' as last reported, fading.
func (e *Endpoint) Load(now time.Time) float64 {
	others := float64(e.others)
	for age := now.Sub(e.othersAt); age > othersHalfLife && others > 0.5; age -= othersHalfLife {
		others /= 2
	}
	return float64(e.inFlight) + others
}

// wait estimates how long a call sent now waits for a slot.
func (e *Endpoint) wait(now time.Time) time.Duration {
	over := e.Load(now) + 1 - float64(e.limit)
	if over <= 0 {
		return 0
	}
	return time.Duration(over / float64(e.limit) * float64(e.service))
}

// Report is what a sidecar says of its endpoint at the end of a call.
type Report struct {
	// Running, Waiting and Limit describe the sidecar's admission gate.
	Running, Waiting, Limit int
	// Sequence numbers the endpoint's reports of removed blocks.
	Sequence uint64
	// Removed are blocks that left the endpoint's prefix cache since the
	// report this instance saw last; Reset: there are too many to list.
	Removed []uint64
	Reset   bool
}

func (e *Endpoint) observe(r *Report, now time.Time) {
	e.limit = max(r.Limit, 1)
	// The gate counts this instance's calls too; the rest are others'.
	e.others = max(0, r.Running+r.Waiting-e.inFlight)
	e.othersAt = now
	if r.Reset {
		// The sidecar may have restarted and count anew.
		e.report = r.Sequence
		return
	}
	e.report = max(e.report, r.Sequence)
}

func (e *Endpoint) served(took time.Duration) {
	e.service += time.Duration(serviceWeight * float64(took-e.service))
}
