package admission

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// minDelayLimit plus delayLimitFactor times the service time is the wait in
	// endpoints' queues above which the service counts as overloaded. Calls of
	// 20 ms are distributed by load reports that are older than the calls take,
	// which requires a queue of one or two for each slot at full utilisation.
	// With a lower limit requests wait longer at instances that have more
	// callers than others, while slots are free: at 80 ms for turns of half a
	// second, fleets of eight instances lost a tenth of their worth in a burst.
	minDelayLimit    = 40 * time.Millisecond
	delayLimitFactor = 0.35
	// meanDelayWeight is the weight of one response in the mean wait. It is low
	// because queues of single endpoints are short-lived.
	meanDelayWeight = 0.1
	// shrinkFactor multiplies a window while the wait is too long. growStep is
	// added for each response while the wait is short and requests wait here. A
	// burst of three times the endpoints' capacity is reduced to its third by
	// seven reductions, in a second. An instance that suddenly receives the
	// callers of another one has twice its share after as many responses as it
	// had requests in flight.
	shrinkFactor = 0.85
	growStep     = 1
	// minShrinkInterval is the minimum time between two reductions. Requests
	// sent before the first reduction do not reflect it, and a turn of a model
	// and the mean of ten responses take about this long.
	minShrinkInterval = 150 * time.Millisecond
	// minWindow is the minimum size, which keeps an instance's share of the
	// slots in use: 37 instances share 66 slots for calls without a prompt on
	// the larger fleets.
	minWindow = 2
	// maxWindow is the initial and maximum size. It exceeds the requests that
	// one instance has in flight at a service without a queue there: the
	// endpoints of a fleet have 400 slots.
	maxWindow = 400
)

// Window bounds the requests that an instance has in flight at a service. All
// instances share the endpoints' slots without communication: each reduces its
// window while endpoints report queues, and enlarges it when they report none.
// Requests therefore wait at the instance, in order of urgency, and not in the
// queues of endpoints, which have no notion of urgency. A Window is not safe for
// concurrent use.
type Window struct {
	clock    clock.Clock
	size     float64
	delay    time.Duration
	shrunkAt time.Time
}

// NewWindow returns a window of the maximum size.
func NewWindow(clk clock.Clock) *Window { return &Window{clock: clk, size: maxWindow} }

// Size returns the maximum number of requests in flight.
func (window *Window) Size() int { return max(int(window.size), minWindow) }

// ObserveQueue adjusts the window to an endpoint's report of its queue and slots.
// running and waiting are this instance's requests in flight at the service and
// waiting here, and serviceTime is the mean duration of a request.
func (window *Window) ObserveQueue(queue, slots, running, waiting int, serviceTime time.Duration) {
	delay := serviceTime * time.Duration(queue) / time.Duration(max(slots, 1))
	window.delay += time.Duration(meanDelayWeight * float64(delay-window.delay))
	limit := minDelayLimit + time.Duration(delayLimitFactor*float64(serviceTime))
	switch {
	case window.delay > limit:
		window.shrinkBelow(running)
	case waiting > 0 && window.delay < limit/2:
		window.size = min(window.size+growStep, maxWindow)
	case waiting == 0:
		// An unused window grows slowly, so that the next burst finds it near
		// its previous size.
		window.size = min(window.size+growStep/window.size, maxWindow)
	}
}

// shrinkBelow reduces the window to a size below the number of running requests,
// unless it was reduced within minShrinkInterval.
func (window *Window) shrinkBelow(running int) {
	now := window.clock.Now()
	if now.Sub(window.shrunkAt) < minShrinkInterval {
		return
	}
	window.shrunkAt = now
	window.size = max(shrinkFactor*min(window.size, float64(running)), minWindow)
}
