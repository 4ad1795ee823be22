package admission

import (
	"container/heap"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

// Refusal says why the gate turned a call away. A refused call never
// reached the endpoint, so it may be sent again.
type Refusal int

//go:generate stringer -type=Refusal -trimprefix=Refusal

// Refusals.
const (
	// RefusalQueueFull: too many wait, all before this call.
	RefusalQueueFull Refusal = iota
	// RefusalDraining: the endpoint is leaving.
	RefusalDraining
	// RefusalGaveUp: the caller stopped waiting.
	RefusalGaveUp
	// RefusalDisplaced: the queue was full and a call before this one came.
	RefusalDisplaced
	// RefusalTooLate: the call would not be admitted before its deadline.
	RefusalTooLate
)

// Error is a refusal by the gate.
type Error struct {
	refusal    Refusal
	retryAfter time.Duration
}

// Refusal returns why the call was refused.
func (e *Error) Refusal() Refusal { return e.refusal }

// RetryAfter returns when the queue is expected to have room; 0: unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Error names the refusal.
func (e *Error) Error() string { return fmt.Sprintf("admission refused: %s", e.refusal) }

// Limits bounds a gate.
type Limits struct {
	// Running calls are let through at once; the last UrgentOnly of these
	// places go to urgent calls only, so that an urgent call need not wait
	// for one of a burst to end.
	Running, UrgentOnly int
	// Waiting calls are queued; further ones are refused at once.
	Waiting int
	// Urgent is the lowest class that counts as urgent.
	Urgent int
}

// serviceWeight is the weight of a new measurement in the mean time of a
// call.
const serviceWeight = 0.1

// Gate admits at most a fixed number of calls at once, by urgency and an
// Order. The zero value is not usable; call NewGate.
type Gate[O Order] struct {
	order  O
	limits Limits
	clock  clock.Clock

	mu       sync.Mutex
	running  int
	draining bool
	arrivals uint64
	queue    waiters
	idle     chan struct{}
	service  time.Duration
}

// NewGate returns a gate with the given order and limits.
func NewGate[O Order](order O, limits Limits, clk clock.Clock) *Gate[O] {
	return &Gate[O]{order: order, limits: limits, clock: clk}
}

type waiter struct {
	urgency int
	key     time.Duration
	arrival uint64
	// verdict is nil for admitted; it is sent once.
	verdict chan *Error
	index   int
}

// before reports whether w goes before v.
func (w *waiter) before(v *waiter) bool {
	switch {
	case w.urgency != v.urgency:
		return w.urgency > v.urgency
	case w.key != v.key:
		return w.key < v.key
	}
	return w.arrival < v.arrival
}

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

// Acquire waits for a place and returns the function that frees it. It
// returns an *Error at once if the gate drains, if its queue is full of
// calls that go before this one, or if the call's deadline would pass
// while it waits; and later if a call that goes before it displaces it
// from a full queue, or when ctx ends first.
func (g *Gate[O]) Acquire(ctx context.Context, t Ticket) (release func(), err error) {
	g.mu.Lock()
	w, refused := g.enter(&t)
	g.mu.Unlock()
	if refused != nil {
		return nil, refused
	}
	if w == nil {
		return g.releaser(), nil
	}
	select {
	case v := <-w.verdict:
		if v != nil {
			return nil, v
		}
		return g.releaser(), nil
	case <-ctx.Done():
		return nil, g.leave(w)
	}
}

// enter admits t, queues it (returning its waiter) or refuses it.
func (g *Gate[O]) enter(t *Ticket) (*waiter, *Error) {
	if g.draining {
		return nil, &Error{refusal: RefusalDraining}
	}
	t.Arrived = g.clock.Now()
	g.arrivals++
	w := &waiter{urgency: t.Urgency, key: g.order.Key(t), arrival: g.arrivals, verdict: make(chan *Error, 1)}
	if g.free(w.urgency) && (g.queue.Len() == 0 || w.before(g.queue[0])) {
		g.running++
		return nil, nil
	}
	ahead := g.ahead(w)
	if !t.Deadline.IsZero() && t.Arrived.Add(g.delay(ahead)).After(t.Deadline) {
		return nil, &Error{refusal: RefusalTooLate, retryAfter: g.delay(ahead)}
	}
	if g.queue.Len() >= g.limits.Waiting {
		last := g.last()
		if last == nil || !w.before(last) {
			return nil, &Error{refusal: RefusalQueueFull, retryAfter: g.delay(g.queue.Len())}
		}
		heap.Remove(&g.queue, last.index)
		last.verdict <- &Error{refusal: RefusalDisplaced, retryAfter: g.delay(g.queue.Len() + 1)}
	}
	heap.Push(&g.queue, w)
	return w, nil
}

// free reports whether a call of the class may run now.
func (g *Gate[O]) free(urgency int) bool {
	limit := g.limits.Running
	if urgency < g.limits.Urgent {
		limit -= g.limits.UrgentOnly
	}
	return g.running < limit
}

func (g *Gate[O]) ahead(w *waiter) int {
	n := 0
	for _, v := range g.queue {
		if v.before(w) {
			n++
		}
	}
	return n
}

func (g *Gate[O]) last() *waiter {
	var last *waiter
	for _, v := range g.queue {
		if last == nil || last.before(v) {
			last = v
		}
	}
	return last
}

// delay estimates how long until ahead waiting calls have been admitted.
func (g *Gate[O]) delay(ahead int) time.Duration {
	return time.Duration(float64(g.service) * float64(ahead) / float64(max(g.limits.Running, 1)))
}

// leave takes w out of the queue after its caller gave up.
func (g *Gate[O]) leave(w *waiter) *Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&g.queue, w.index)
	} else if <-w.verdict == nil {
		// Admitted while it gave up: hand the place on.
		g.freeOne()
	}
	return &Error{refusal: RefusalGaveUp}
}

func (g *Gate[O]) releaser() func() {
	start := g.clock.Now()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.service += time.Duration(serviceWeight * float64(g.clock.Now().Sub(start)-g.service))
		g.freeOne()
	}
}

func (g *Gate[O]) freeOne() {
	g.running--
	g.admit()
	if g.running == 0 && g.queue.Len() == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// admit lets calls through while there are places.
func (g *Gate[O]) admit() {
	for g.queue.Len() > 0 && g.free(g.queue[0].urgency) {
		w := heap.Pop(&g.queue).(*waiter)
		g.running++
		w.verdict <- nil
	}
}

// SetRunning changes how many calls are let through at once. Fewer take
// effect as calls end.
func (g *Gate[O]) SetRunning(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.Running = n
	g.admit()
}

// Drain refuses every new call from now on and returns a channel closed
// once no admitted call is left. Waiting calls still run.
func (g *Gate[O]) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	if g.idle != nil {
		return g.idle
	}
	ch := make(chan struct{})
	if g.running == 0 && g.queue.Len() == 0 {
		close(ch)
		return ch
	}
	g.idle = ch
	return ch
}

// Stats returns the calls running and waiting, and whether it drains.
func (g *Gate[O]) Stats() (running, waiting int, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.queue.Len(), g.draining
}

// Usual returns how long an admitted call takes in the mean; 0 if none ended
// yet.
func (g *Gate[O]) Usual() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.service
}

// Limits returns the gate's limits.
func (g *Gate[O]) Limits() Limits {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits
}
