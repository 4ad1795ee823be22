package routing

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/config"
)

const (
	// defaultLimit is the number of concurrent calls assumed for an endpoint
	// until its sidecar has reported its limit.
	defaultLimit = 12
	// defaultServiceTime is the service time assumed for a call until one has
	// been measured.
	defaultServiceTime = 50 * time.Millisecond
	// serviceWeight is the weight of a new measurement in the exponential
	// moving average of the service time.
	serviceWeight = 0.1
	// otherCallsHalfLife is the interval after which the load from other
	// entry instances, known only from the endpoint's last report, is halved.
	otherCallsHalfLife = 500 * time.Millisecond
)

// Endpoint holds the state that a router keeps for one endpoint. It is
// guarded by the router's lock.
type Endpoint struct {
	spec     config.Endpoint
	inFlight int
	// unread is the number of prompt tokens of calls in flight that the
	// endpoint is expected to prefill before their first output token.
	unread int
	limit  int
	// otherCalls is the number of calls of other entry instances at the time
	// otherCallsAt, serviceTime the mean time of a call, and lastReport the
	// sequence number of the latest report received.
	otherCalls   int
	otherCallsAt time.Time
	serviceTime  time.Duration
	lastReport   uint64
}

// newEndpoint returns an endpoint without calls, with the default limit and
// service time.
func newEndpoint(spec config.Endpoint) *Endpoint {
	return &Endpoint{spec: spec, limit: defaultLimit, serviceTime: defaultServiceTime}
}

// Spec returns the endpoint's configuration.
func (e *Endpoint) Spec() config.Endpoint { return e.spec }

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.spec.Name }

// Load returns the estimated number of calls at the endpoint: those in flight
// from this entry instance, plus those of other instances as last reported,
// decayed by the age of the report.
func (e *Endpoint) Load(now time.Time) float64 {
	otherCalls := float64(e.otherCalls)
	for age := now.Sub(e.otherCallsAt); age > otherCallsHalfLife && otherCalls > 0.5; age -= otherCallsHalfLife {
		otherCalls /= 2
	}
	return float64(e.inFlight) + otherCalls
}

// wait estimates how long a call sent at now waits for a slot.
func (e *Endpoint) wait(now time.Time) time.Duration {
	excess := e.Load(now) + 1 - float64(e.limit)
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / float64(e.limit) * float64(e.serviceTime))
}

// Report holds the state of an endpoint that its sidecar sends at the end of
// a call.
type Report struct {
	// Running and Waiting count the calls at the sidecar's admission gate,
	// and Limit is the number of calls that it admits at once.
	Running, Waiting, Limit int
	// Sequence is the number of the endpoint's latest report of removed
	// blocks.
	Sequence uint64
	// Removed lists the blocks evicted from the endpoint's prefix cache since
	// the report that the call named as the last one seen. Reset is set
	// instead if that report is too far back for a list or the sidecar has
	// restarted: every block recorded for the endpoint is then invalid.
	Removed []uint64
	Reset   bool
}

// observe updates the limit, the load of other instances and the report
// number from r, received at now. The caller handles the removed blocks.
func (e *Endpoint) observe(r *Report, now time.Time) {
	e.limit = max(r.Limit, 1)
	// Running and Waiting include the calls of this instance; the remainder
	// is the load of other instances.
	e.otherCalls = max(0, r.Running+r.Waiting-e.inFlight)
	e.otherCallsAt = now
	if r.Reset {
		// The sidecar may have restarted, which starts its numbering again.
		e.lastReport = r.Sequence
		return
	}
	e.lastReport = max(e.lastReport, r.Sequence)
}

// recordServiceTime adds the duration of a completed call to the mean service
// time.
func (e *Endpoint) recordServiceTime(elapsed time.Duration) {
	e.serviceTime += time.Duration(serviceWeight * float64(elapsed-e.serviceTime))
}
