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
	// meanWeight is the weight of one response in the mean wait, and in the mean
	// numbers of requests here. It is low because queues of single endpoints are
	// short-lived.
	meanWeight = 0.1
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
	// minImbalance is the difference from the waiting share of other instances from
	// which on a window takes it into account.
	minImbalance = 0.02
	// maxOthersShare is the waiting share above which this instance yields to no
	// other. Under 1.6 times the capacity 0.65 of the requests wait. If the share of
	// the others is 1 by a fault, this instance still serves half of what others do.
	maxOthersShare = 0.75
	// keepGain, shiftGain and growGain weigh the imbalance in reductions, between
	// reduction and growth, and in growth. A fleet under lasting overload stays
	// between reduction and growth, so shiftGain determines how closely windows
	// follow demand: in a model of 35 instances with callers in the ratio 1:4,
	// refusals differ by a factor of up to 1.3 with 0.3, and of 1.7 with 0.1.
	keepGain  = 0.6
	shiftGain = 0.3
	growGain  = 3
	// minShrinkFactor bounds a reduction, minGrowStep and maxGrowStep the growth
	// for a response. An instance that yields to others in a burst has its
	// window again in twice the usual time.
	minShrinkFactor = 0.5
	minGrowStep     = 0.5
	maxGrowStep     = 2
	// longDelayFactor times the limit is the wait in endpoints' queues above which
	// no instance keeps its window.
	longDelayFactor = 2
	// minWindow is the minimum size, which keeps an instance's share of the
	// slots in use: 37 instances share 66 slots for calls without a prompt on
	// the larger fleets.
	minWindow = 2
	// maxWindow is the initial and maximum size. It exceeds the requests that
	// one instance has in flight at a service without a queue there: the
	// endpoints of a fleet have 400 slots.
	maxWindow = 400
)

// WaitingShare is the share of the other instances' requests of a service that
// wait in their queues. The zero value stands for an unknown share.
type WaitingShare struct {
	Value float64
	Known bool
}

// valid reports whether the share is known and can be a share.
func (share WaitingShare) valid() bool { return share.Known && share.Value >= 0 && share.Value <= 1 }

// Window bounds the requests that an instance has in flight at a service. All
// instances share the endpoints' slots: each reduces its window while endpoints
// report queues, and enlarges it when they report none. Requests therefore wait at
// the instance, in order of urgency, and not in the queues of endpoints, which
// have no notion of urgency.
//
// This rule keeps the windows' ratio, whatever the demand of each instance is. If
// the waiting share of the other instances is known, windows follow demand: an
// instance of which a larger share of requests waits reduces its window less and
// enlarges it more, and one of which a smaller share waits does the opposite. The
// change is proportional to the difference, and the differences of all requests
// from their mean add up to zero, so the fleet as a whole reduces its windows as if
// the share was unknown.
//
// A Window is not safe for concurrent use.
type Window struct {
	clock clock.Clock
	size  float64
	delay time.Duration
	// running and waiting are the mean numbers of requests in flight and waiting.
	running, waiting    float64
	shrunkAt, shiftedAt time.Time
}

// NewWindow returns a window of the maximum size.
func NewWindow(clk clock.Clock) *Window { return &Window{clock: clk, size: maxWindow} }

// Size returns the maximum number of requests in flight.
func (window *Window) Size() int { return max(int(window.size), minWindow) }

// ObserveQueue adjusts the window to an endpoint's report of its queue and slots.
// running and waiting are this instance's requests in flight at the service and
// waiting here, serviceTime is the mean duration of a request, and others is the
// share of the other instances' requests that wait. A share that is unknown or not
// in [0, 1] is ignored.
func (window *Window) ObserveQueue(queue, slots, running, waiting int, serviceTime time.Duration, others WaitingShare) {
	delay := serviceTime * time.Duration(queue) / time.Duration(max(slots, 1))
	window.delay += time.Duration(meanWeight * float64(delay-window.delay))
	window.running += meanWeight * (float64(running) - window.running)
	window.waiting += meanWeight * (float64(waiting) - window.waiting)
	imbalance := 0.0
	if others.valid() {
		imbalance = window.imbalance(running, waiting, others.Value)
	}
	limit := minDelayLimit + time.Duration(delayLimitFactor*float64(serviceTime))
	switch {
	case window.delay > limit:
		maxFactor := 1.0
		if window.delay > longDelayFactor*limit {
			maxFactor = shrinkFactor
		}
		window.shrinkBelow(running, min(max(shrinkFactor+keepGain*imbalance, minShrinkFactor), maxFactor))
	case waiting > 0 && window.delay < limit/2:
		window.size = min(window.size+min(max(growStep+growGain*imbalance, minGrowStep), maxGrowStep), maxWindow)
	case imbalance != 0 && window.delay >= limit/2:
		window.shift(running, imbalance)
	case waiting == 0:
		// An unused window grows slowly, so that the next burst finds it near
		// its previous size.
		window.size = min(window.size+growStep/window.size, maxWindow)
	}
}

// imbalance returns by how much the share of requests that wait here exceeds that of
// the other instances, negative if it is lower, and 0 if the difference is small or
// if the present share and the mean disagree on it. A mean alone follows a window
// that was reduced too late, and the present share alone varies by chance.
func (window *Window) imbalance(running, waiting int, others float64) float64 {
	present := waitingShare(float64(running), float64(waiting))
	mean := waitingShare(window.running, window.waiting)
	if excess := min(present, mean) - others - minImbalance; excess > 0 {
		return excess
	}
	if deficit := max(present, mean) - min(others, maxOthersShare); deficit < -minImbalance {
		return deficit
	}
	return 0
}

// waitingShare returns the share of requests that wait, 0 if there are none.
func waitingShare(running, waiting float64) float64 {
	if waiting <= 0 {
		return 0
	}
	return waiting / (running + waiting)
}

// shrinkBelow multiplies the window, or the number of running requests if that is
// lower, by factor, unless it was reduced within minShrinkInterval.
func (window *Window) shrinkBelow(running int, factor float64) {
	now := window.clock.Now()
	if now.Sub(window.shrunkAt) < minShrinkInterval {
		return
	}
	window.shrunkAt = now
	window.size = max(factor*min(window.size, float64(running)), minWindow)
}

// shift enlarges or reduces the window in proportion to the imbalance, unless it did
// so within minShrinkInterval. The unused part of a window is given up first, down to
// the mean of the running requests: their present number is lower at times, and
// small windows would lose a part of their share.
func (window *Window) shift(running int, imbalance float64) {
	now := window.clock.Now()
	if now.Sub(window.shiftedAt) < minShrinkInterval {
		return
	}
	window.shiftedAt = now
	if imbalance < 0 {
		window.size = min(window.size, max(window.running, float64(running))+1)
	}
	window.size = min(max(window.size*(1+shiftGain*imbalance), minWindow), maxWindow)
}
