package admission

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// leastDelay and delayShare of the usual time of a request are the wait
	// in endpoints' queues above which work comes faster than it is done.
	// Calls of 20 ms are spread by news that is older than they last, which
	// takes a queue of one or two for each slot at full use. Requests held
	// back sooner wait longer at instances that have more callers than
	// others, while slots are free: at 80 ms for turns of half a second
	// fleets of eight instances lost a tenth of their worth in a burst.
	leastDelay = 40 * time.Millisecond
	delayShare = 0.35
	// delayWeight is the weight of one answer in the mean wait: queues of
	// single endpoints come and go.
	delayWeight = 0.1
	// shrink is the factor of a window while the wait is too long, grow what
	// an answer adds while it is short and requests wait here. A burst of
	// three times what the endpoints can do is cut to its third by seven
	// reductions, in a second; an instance that suddenly has the callers of
	// another takes twice its part after as many answers as it had requests
	// under way.
	shrink = 0.85
	grow   = 1
	// shrinkPause is the least time between two reductions: what was sent
	// before the first says nothing of it, and a turn of a model and the
	// mean of ten answers take that long.
	shrinkPause = 150 * time.Millisecond
	// leastWindow keeps an instance's part of the slots in use: 37
	// instances share 66 slots of plain calls on the larger fleets.
	leastWindow = 2
	// firstWindow is above what one instance has under way at a service
	// without a queue there: the endpoints of a fleet have 400 slots.
	firstWindow = 400
)

// Window is how many requests an instance has at a service at once. All
// instances share the endpoints' slots without knowing of each other: each
// takes fewer while endpoints tell of queues, and more again when they tell
// of none. So requests wait here, in order of urgency, and not in the queues
// of endpoints, which know none. It is not safe for concurrent use.
type Window struct {
	clock  clock.Clock
	size   float64
	delay  time.Duration
	shrunk time.Time
}

// NewWindow returns a window that lets everything through at first.
func NewWindow(clk clock.Clock) *Window { return &Window{clock: clk, size: firstWindow} }

// Size returns the size.
func (window *Window) Size() int { return max(int(window.size), leastWindow) }

// Told takes in what an endpoint told of its queue and slots, while this
// instance had running requests at the service and waiting ones here. A
// request takes usual there.
func (window *Window) Told(queue, slots, running, waiting int, usual time.Duration) {
	delay := usual * time.Duration(queue) / time.Duration(max(slots, 1))
	window.delay += time.Duration(delayWeight * float64(delay-window.delay))
	most := leastDelay + time.Duration(delayShare*float64(usual))
	switch {
	case window.delay > most:
		window.shrinkTo(running)
	case waiting > 0 && window.delay < most/2:
		window.size = min(window.size+grow, firstWindow)
	case waiting == 0:
		// Not needed, it opens slowly, so that the next burst finds it near
		// to what it was.
		window.size = min(window.size+grow/window.size, firstWindow)
	}
}

// shrinkTo makes the window smaller than what is running.
func (window *Window) shrinkTo(running int) {
	now := window.clock.Now()
	if now.Sub(window.shrunk) < shrinkPause {
		return
	}
	window.shrunk = now
	window.size = max(shrink*min(window.size, float64(running)), leastWindow)
}
