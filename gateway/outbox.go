package gateway

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/eventstream"
)

const (
	// outboxShare of the time that a caller waits for an event, it is left
	// without one while there are events held back: the rest is for the way, and
	// for events that come late.
	outboxShare = 0.5
	// spareEvents are held back of a stream that goes on: with outboxShare they
	// keep its caller for two and a half times as long as it waits for one.
	spareEvents = 3
)

// outbox holds the events of a stream that the caller is not given yet, since it
// is not known that the answer can be handed out whole. A caller that gets
// nothing leaves; one that is given an event now and then stays until its
// deadline. Its zero value is not usable; call newOutbox.
type outbox struct {
	held  []eventstream.Event
	pause time.Duration
	// given is when the caller was last given an event, or sent the request.
	given time.Time
}

// newOutbox returns the outbox of a request that arrived then, whose caller waits
// for an event no longer than patience.
func newOutbox(arrived time.Time, patience time.Duration) *outbox {
	return &outbox{pause: time.Duration(outboxShare * float64(patience)), given: arrived}
}

// add takes in an event.
func (outbox *outbox) add(event eventstream.Event) { outbox.held = append(outbox.held, event) }

// isEmpty reports whether no event is held back.
func (outbox *outbox) isEmpty() bool { return len(outbox.held) == 0 }

// takeAll returns all events.
func (outbox *outbox) takeAll(now time.Time) []eventstream.Event {
	return outbox.take(len(outbox.held), now)
}

// takeDue returns the events to give while the stream goes on: none until its
// caller has waited for pause, then all but spareEvents, and one at least.
func (outbox *outbox) takeDue(now time.Time) []eventstream.Event {
	if outbox.untilDue(now) > 0 {
		return nil
	}
	return outbox.take(max(1, len(outbox.held)-spareEvents), now)
}

// takeOne returns the event that keeps the caller while nothing else comes, none
// if it has not waited for pause.
func (outbox *outbox) takeOne(now time.Time) []eventstream.Event {
	if outbox.untilDue(now) > 0 {
		return nil
	}
	return outbox.take(1, now)
}

// untilDue returns how long the caller may be left without an event from now on.
func (outbox *outbox) untilDue(now time.Time) time.Duration {
	return max(0, outbox.given.Add(outbox.pause).Sub(now))
}

func (outbox *outbox) take(count int, now time.Time) []eventstream.Event {
	count = min(count, len(outbox.held))
	if count == 0 {
		return nil
	}
	taken := outbox.held[:count:count]
	outbox.held = outbox.held[count:]
	outbox.given = now
	return taken
}
