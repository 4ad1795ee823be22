package connlimit

import (
	"container/list"
	"context"
)

// reservation is a reservation of n bytes for a holder that waits for room.
type reservation struct {
	holder *Holder
	n      int64
	// decided is closed once the reservation has left the queue. isGranted is then set if the
	// bytes are charged, and not if the holder has ended.
	decided   chan struct{}
	isGranted bool
}

// ReserveInOrder is Reserve for a holder that may call Await if there is no room: it does not take
// the room for which others wait there.
func (holder *Holder) ReserveInOrder(n int64) bool {
	limiter := holder.limiter
	limiter.mu.Lock()
	ok, victims := limiter.reserveInOrder(holder, n)
	limiter.mu.Unlock()
	limiter.end(victims, false)
	return ok
}

// Await charges n bytes to the holder, which must not be evictable, once there is room for
// them. Reservations that wait are granted in order, except that those of the lowest class do not
// wait for larger ones. Await returns false, and charges nothing, if ctx ends first. It does so at
// once if there might never be room: if all other holders end but those that wait, too.
func (holder *Holder) Await(ctx context.Context, n int64) bool {
	limiter := holder.limiter
	limiter.mu.Lock()
	ok, victims := limiter.reserveInOrder(holder, n)
	var waiting *reservation
	var element *list.Element
	if !ok {
		waiting, element = limiter.enqueue(holder, n)
	}
	limiter.mu.Unlock()
	limiter.end(victims, !ok && waiting == nil)
	if waiting == nil {
		return ok
	}
	select {
	case <-waiting.decided:
		return waiting.isGranted
	case <-ctx.Done():
		return limiter.giveUp(element, waiting)
	}
}

// reserveInOrder charges n bytes to holder if there is room and nobody waits for it, and evicts
// holders for it, which it returns. The caller must hold mu.
func (limiter *Limiter) reserveInOrder(holder *Holder, n int64) (ok bool, victims []*Holder) {
	victims = limiter.makeRoom(n, holder.held, holder)
	isLarge := classOf(holder.held+n) > 0
	ok = !holder.ended && limiter.fits(n, holder.held) && (!isLarge || limiter.queue.Len() == 0)
	if ok {
		limiter.charge(holder, n)
	}
	return ok, victims
}

// enqueue adds a reservation to the queue, nil if it might never be granted there. The caller must
// hold mu.
func (limiter *Limiter) enqueue(holder *Holder, n int64) (*reservation, *list.Element) {
	waiting := &reservation{holder: holder, n: n, decided: make(chan struct{})}
	element := limiter.queue.PushBack(waiting)
	if holder.ended || !limiter.canGrantAll() {
		limiter.queue.Remove(element)
		return nil, nil
	}
	return waiting, element
}

// giveUp removes a reservation from the queue. It reports whether it was granted before.
func (limiter *Limiter) giveUp(element *list.Element, waiting *reservation) bool {
	limiter.mu.Lock()
	select {
	case <-waiting.decided:
		limiter.mu.Unlock()
		return waiting.isGranted
	default:
	}
	limiter.queue.Remove(element)
	limiter.grant() // the next one may be smaller
	limiter.mu.Unlock()
	limiter.end(nil, true)
	return false
}

// canGrantAll reports whether each reservation in the queue fits beside what the holders of all of
// them have. Otherwise they might wait for each other.
func (limiter *Limiter) canGrantAll() bool {
	held, allowed := int64(0), int64(-1)
	for element := limiter.queue.Front(); element != nil; element = element.Next() {
		waiting := element.Value.(*reservation)
		limit, _ := limiter.limits(classOf(waiting.holder.held + waiting.n))
		held += waiting.holder.held
		if room := limit - waiting.n; allowed < 0 || room < allowed {
			allowed = room
		}
	}
	return held <= allowed
}

// grant charges the reservations in the queue for which there is room.
func (limiter *Limiter) grant() {
	blocked := false
	for element := limiter.queue.Front(); element != nil; {
		waiting, next := element.Value.(*reservation), element.Next()
		isLarge := classOf(waiting.holder.held+waiting.n) > 0
		switch {
		case waiting.holder.ended:
			limiter.queue.Remove(element)
			close(waiting.decided)
		case isLarge && blocked:
		case limiter.fits(waiting.n, waiting.holder.held):
			limiter.queue.Remove(element)
			limiter.charge(waiting.holder, waiting.n)
			waiting.isGranted = true
			close(waiting.decided)
		case isLarge:
			blocked = true
		}
		element = next
	}
}
