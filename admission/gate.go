package admission

import (
	"container/heap"
	"context"
	"fmt"
	"sync"
)

// Refusal says why the gate turned a call away. A refused call never
// reached the endpoint, so it may be sent again.
type Refusal int

//go:generate stringer -type=Refusal -trimprefix=Refusal

// Refusals.
const (
	RefusalQueueFull Refusal = iota
	RefusalDraining
	RefusalGaveUp
)

// Error is a refusal by the gate.
type Error struct{ refusal Refusal }

// Refusal returns why the call was refused.
func (e *Error) Refusal() Refusal { return e.refusal }

// Error names the refusal.
func (e *Error) Error() string { return fmt.Sprintf("admission refused: %s", e.refusal) }

// Gate admits at most a fixed number of calls at once. The zero value is
// not usable; call NewGate.
type Gate struct {
	mu        sync.Mutex
	limit     int
	maxQueued int
	running   int
	draining  bool
	order     uint64
	queue     waiters
	idle      chan struct{}
}

// NewGate returns a gate that runs limit calls at once and lets at most
// maxQueued wait.
func NewGate(limit, maxQueued int) *Gate {
	return &Gate{limit: limit, maxQueued: maxQueued}
}

type waiter struct {
	urgency int
	order   uint64
	ready   chan struct{}
	index   int
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].urgency != w[j].urgency {
		return w[i].urgency > w[j].urgency
	}
	return w[i].order < w[j].order
}
func (w waiters) Swap(i, j int) { w[i], w[j] = w[j], w[i]; w[i].index = i; w[j].index = j }
func (w *waiters) Push(x any)   { it := x.(*waiter); it.index = len(*w); *w = append(*w, it) }
func (w *waiters) Pop() any {
	old := *w
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	it.index = -1
	return it
}

// Acquire waits for a slot, most urgent first, and returns the function
// that frees it. It returns an *Error at once if the gate drains or its
// queue is full, and when ctx ends before a slot is free.
func (g *Gate) Acquire(ctx context.Context, urgency int) (release func(), err error) {
	g.mu.Lock()
	if g.draining {
		g.mu.Unlock()
		return nil, &Error{refusal: RefusalDraining}
	}
	if g.running < g.limit && g.queue.Len() == 0 {
		g.running++
		g.mu.Unlock()
		return g.release, nil
	}
	if g.queue.Len() >= g.maxQueued {
		g.mu.Unlock()
		return nil, &Error{refusal: RefusalQueueFull}
	}
	g.order++
	w := &waiter{urgency: urgency, order: g.order, ready: make(chan struct{})}
	heap.Push(&g.queue, w)
	g.mu.Unlock()
	select {
	case <-w.ready:
		return g.release, nil
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		if w.index < 0 {
			// Granted while we gave up: hand the slot on.
			g.releaseLocked()
		} else {
			heap.Remove(&g.queue, w.index)
		}
		return nil, &Error{refusal: RefusalGaveUp}
	}
}

func (g *Gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseLocked()
}

func (g *Gate) releaseLocked() {
	if g.queue.Len() > 0 {
		w := heap.Pop(&g.queue).(*waiter)
		close(w.ready)
		return
	}
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Drain refuses every new call from now on and returns a channel closed
// once no admitted call is left. Waiting calls still run.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	ch := make(chan struct{})
	if g.running == 0 && g.queue.Len() == 0 {
		close(ch)
		return ch
	}
	g.idle = ch
	return ch
}

// Stats returns the calls running and waiting, and whether it drains.
func (g *Gate) Stats() (running, waiting int, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.queue.Len(), g.draining
}
