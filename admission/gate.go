package admission

import (
	"container/heap"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

// Refusal is the reason for which a gate refused a call. A refused call never
// reached the endpoint, so it may be sent again.
type Refusal int

//go:generate stringer -type=Refusal -trimprefix=Refusal

// Reasons for a refusal.
const (
	// RefusalQueueFull means that the queue is full of calls that precede this
	// call.
	RefusalQueueFull Refusal = iota
	// RefusalDraining means that the gate is draining.
	RefusalDraining
	// RefusalGaveUp means that the caller stopped waiting.
	RefusalGaveUp
	// RefusalDisplaced means that a call that precedes this one arrived while
	// the queue was full.
	RefusalDisplaced
	// RefusalTooLate means that the call would not be admitted before its
	// deadline.
	RefusalTooLate
)

// Error is returned by Acquire for a refused call.
type Error struct {
	refusal    Refusal
	retryAfter time.Duration
}

// Refusal returns the reason for which the call was refused.
func (e *Error) Refusal() Refusal { return e.refusal }

// RetryAfter returns the time until the queue is expected to have room, 0 if
// unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Error returns a message with the reason.
func (e *Error) Error() string { return fmt.Sprintf("admission refused: %s", e.refusal) }

// Limits bounds the calls running and waiting at a gate.
type Limits struct {
	// Running is the maximum number of admitted calls. The last UrgentOnly of
	// these slots are reserved for urgent calls, so that during a burst an
	// urgent call need not wait for another call to end.
	Running, UrgentOnly int
	// Waiting is the maximum number of queued calls; beyond it calls are
	// refused immediately.
	Waiting int
	// Urgent is the lowest class that counts as urgent.
	Urgent int
}

// serviceTimeWeight is the weight of a new measurement in the exponentially
// weighted mean duration of admitted calls.
const serviceTimeWeight = 0.1

// Gate admits a bounded number of concurrent calls by urgency and an Order. It is
// safe for concurrent use. The zero value is not usable; call NewGate.
type Gate[O Order] struct {
	order  O
	limits Limits
	clock  clock.Clock

	mu              sync.Mutex
	running         int
	draining        bool
	arrivals        uint64
	queue           waiters
	drained         chan struct{}
	meanServiceTime time.Duration
}

// NewGate returns a gate with the given order and limits.
func NewGate[O Order](order O, limits Limits, clk clock.Clock) *Gate[O] {
	return &Gate[O]{order: order, limits: limits, clock: clk}
}

// waiter is a queued call.
type waiter struct {
	urgency int
	key     time.Duration
	arrival uint64
	// decision receives exactly one value: nil if the call is admitted.
	decision chan *Error
	index    int
}

// before reports whether w precedes v.
func (w *waiter) before(v *waiter) bool {
	switch {
	case w.urgency != v.urgency:
		return w.urgency > v.urgency
	case w.key != v.key:
		return w.key < v.key
	}
	return w.arrival < v.arrival
}

// waiters implements heap.Interface.
type waiters []*waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].before(w[j]) }
func (w waiters) Swap(i, j int)      { w[i], w[j] = w[j], w[i]; w[i].index = i; w[j].index = j }
func (w *waiters) Push(x any)        { it := x.(*waiter); it.index = len(*w); *w = append(*w, it) }
func (w *waiters) Pop() any {
	old := *w
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	it.index = -1
	return it
}

// Acquire waits for a slot and returns the function that frees it. It returns
// an *Error immediately if the gate is draining, if its queue is full of calls
// that precede this one, or if the call's deadline would pass while it waits. It
// returns an *Error later if a preceding call displaces it from the full queue,
// or if ctx ends first.
func (g *Gate[O]) Acquire(ctx context.Context, t Ticket) (release func(), err error) {
	g.mu.Lock()
	w, refused := g.submit(&t)
	g.mu.Unlock()
	if refused != nil {
		return nil, refused
	}
	if w == nil {
		return g.newRelease(), nil
	}
	select {
	case refusal := <-w.decision:
		if refusal != nil {
			return nil, refusal
		}
		return g.newRelease(), nil
	case <-ctx.Done():
		return nil, g.cancel(w)
	}
}

// submit admits t and returns nil, queues it and returns its waiter, or returns
// the refusal.
func (g *Gate[O]) submit(t *Ticket) (*waiter, *Error) {
	if g.draining {
		return nil, &Error{refusal: RefusalDraining}
	}
	t.Arrived = g.clock.Now()
	g.arrivals++
	w := &waiter{urgency: t.Urgency, key: g.order.Key(t), arrival: g.arrivals, decision: make(chan *Error, 1)}
	if g.hasSlot(w.urgency) && (g.queue.Len() == 0 || w.before(g.queue[0])) {
		g.running++
		return nil, nil
	}
	ahead := g.ahead(w)
	if !t.Deadline.IsZero() && t.Arrived.Add(g.expectedWait(ahead)).After(t.Deadline) {
		return nil, &Error{refusal: RefusalTooLate, retryAfter: g.expectedWait(ahead)}
	}
	if g.queue.Len() >= g.limits.Waiting {
		last := g.last()
		if last == nil || !w.before(last) {
			return nil, &Error{refusal: RefusalQueueFull, retryAfter: g.expectedWait(g.queue.Len())}
		}
		heap.Remove(&g.queue, last.index)
		last.decision <- &Error{refusal: RefusalDisplaced, retryAfter: g.expectedWait(g.queue.Len() + 1)}
	}
	heap.Push(&g.queue, w)
	return w, nil
}

// hasSlot reports whether a call of the class may run now.
func (g *Gate[O]) hasSlot(urgency int) bool {
	limit := g.limits.Running
	if urgency < g.limits.Urgent {
		limit -= g.limits.UrgentOnly
	}
	return g.running < limit
}

// ahead returns the number of queued calls that precede w.
func (g *Gate[O]) ahead(w *waiter) int {
	n := 0
	for _, v := range g.queue {
		if v.before(w) {
			n++
		}
	}
	return n
}

// last returns the queued call that all others precede, nil if none is queued.
func (g *Gate[O]) last() *waiter {
	var last *waiter
	for _, v := range g.queue {
		if last == nil || last.before(v) {
			last = v
		}
	}
	return last
}

// expectedWait estimates the time until the given number of queued calls have
// been admitted.
func (g *Gate[O]) expectedWait(ahead int) time.Duration {
	return time.Duration(float64(g.meanServiceTime) * float64(ahead) / float64(max(g.limits.Running, 1)))
}

// cancel removes w from the queue after its caller stopped waiting.
func (g *Gate[O]) cancel(w *waiter) *Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&g.queue, w.index)
	} else if <-w.decision == nil {
		// The call was admitted concurrently: release its slot.
		g.releaseSlot()
	}
	return &Error{refusal: RefusalGaveUp}
}

// newRelease returns the function that frees a slot acquired now and records how
// long it was held.
func (g *Gate[O]) newRelease() func() {
	start := g.clock.Now()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.meanServiceTime += time.Duration(serviceTimeWeight * float64(g.clock.Now().Sub(start)-g.meanServiceTime))
		g.releaseSlot()
	}
}

// Abandon frees a slot in place of the function that Acquire returned, without recording how long
// it was held: the call made no use of it.
func (g *Gate[O]) Abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseSlot()
}

// releaseSlot frees a slot, admits queued calls to it and closes drained once the
// gate is empty.
func (g *Gate[O]) releaseSlot() {
	g.running--
	g.admitWaiting()
	if g.running == 0 && g.queue.Len() == 0 && g.drained != nil {
		close(g.drained)
		g.drained = nil
	}
}

// admitWaiting admits queued calls while there are free slots.
func (g *Gate[O]) admitWaiting() {
	for g.queue.Len() > 0 && g.hasSlot(g.queue[0].urgency) {
		w := heap.Pop(&g.queue).(*waiter)
		g.running++
		w.decision <- nil
	}
}

// SetRunning sets the maximum number of admitted calls. A reduction takes effect
// as running calls end.
func (g *Gate[O]) SetRunning(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.Running = n
	g.admitWaiting()
}

// Drain makes the gate refuse all new calls and returns a channel that is closed
// once no call is running or queued. Calls already queued still run.
func (g *Gate[O]) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	if g.drained != nil {
		return g.drained
	}
	ch := make(chan struct{})
	if g.running == 0 && g.queue.Len() == 0 {
		close(ch)
		return ch
	}
	g.drained = ch
	return ch
}

// Stats returns the number of running and of waiting calls, and whether the gate
// is draining.
func (g *Gate[O]) Stats() (running, waiting int, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.queue.Len(), g.draining
}

// MeanServiceTime returns the mean duration of an admitted call, 0 if none has ended yet.
func (g *Gate[O]) MeanServiceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.meanServiceTime
}

// Limits returns the gate's current limits.
func (g *Gate[O]) Limits() Limits {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits
}
