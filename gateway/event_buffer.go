package gateway

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/eventstream"
)

const (
	// maxSilenceShare is the share of the caller's event timeout that passes
	// before a held-back event is sent. The remainder allows for network latency
	// and for events that are delayed.
	maxSilenceShare = 0.5
	// keepAliveEvents is the number of events held back from a stream that
	// continues. With maxSilenceShare they keep the caller for two and a half
	// times its event timeout.
	keepAliveEvents = 3
)

// eventBuffer holds events of a stream that are held back from the caller while
// it is unknown whether the response can be delivered completely. A caller that
// receives nothing disconnects after its event timeout; one that receives an
// event now and then stays until its deadline. The zero value is not usable;
// call newEventBuffer.
type eventBuffer struct {
	events     []eventstream.Event
	maxSilence time.Duration
	// lastSent is when events were last returned for sending, initially when
	// the request arrived.
	lastSent time.Time
}

// newEventBuffer returns the buffer for a request that arrived at the given
// time, whose caller waits at most maxWait for an event.
func newEventBuffer(arrived time.Time, maxWait time.Duration) *eventBuffer {
	return &eventBuffer{maxSilence: time.Duration(maxSilenceShare * float64(maxWait)), lastSent: arrived}
}

// add appends an event without its Data, which may be a copy.
func (eventBuffer *eventBuffer) add(event eventstream.Event) {
	event.Data = nil
	eventBuffer.events = append(eventBuffer.events, event)
}

// isEmpty reports whether the buffer holds no event.
func (eventBuffer *eventBuffer) isEmpty() bool { return len(eventBuffer.events) == 0 }

// takeAll removes and returns all events.
func (eventBuffer *eventBuffer) takeAll(now time.Time) []eventstream.Event {
	return eventBuffer.take(len(eventBuffer.events), now)
}

// takeDue removes and returns the events to send while the stream continues:
// none until maxSilence has passed, then all but keepAliveEvents, and at least
// one.
func (eventBuffer *eventBuffer) takeDue(now time.Time) []eventstream.Event {
	if eventBuffer.untilDue(now) > 0 {
		return nil
	}
	return eventBuffer.take(max(1, len(eventBuffer.events)-keepAliveEvents), now)
}

// takeOne removes and returns one event to keep the caller while no other event
// arrives; none until maxSilence has passed.
func (eventBuffer *eventBuffer) takeOne(now time.Time) []eventstream.Event {
	if eventBuffer.untilDue(now) > 0 {
		return nil
	}
	return eventBuffer.take(1, now)
}

// untilDue returns how long from now the caller may still go without an event.
func (eventBuffer *eventBuffer) untilDue(now time.Time) time.Duration {
	return max(0, eventBuffer.lastSent.Add(eventBuffer.maxSilence).Sub(now))
}

// take removes and returns up to count events, and records the time if there
// are any.
func (eventBuffer *eventBuffer) take(count int, now time.Time) []eventstream.Event {
	count = min(count, len(eventBuffer.events))
	if count == 0 {
		return nil
	}
	taken := eventBuffer.events[:count:count]
	// A slice of the same array would keep the events taken in memory.
	eventBuffer.events = append([]eventstream.Event(nil), eventBuffer.events[count:]...)
	eventBuffer.lastSent = now
	return taken
}
