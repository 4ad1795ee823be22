package admission

import (
	"fmt"
	"time"
)

// Ticket describes a call that waits to be admitted.
type Ticket struct {
	// Urgency is the program's class; a higher class precedes all lower ones.
	Urgency int
	// Arrived is when the call reached the gate; Acquire sets it.
	Arrived time.Time
	// Started is when the program started. Attained is the number of tokens
	// that engines have processed for it.
	Started  time.Time
	Attained int64
	// Finish is when the program should be finished; zero if unknown.
	Finish time.Time
	// FirstCall reports whether no call of the program has been served yet.
	FirstCall bool
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

// Late reports whether the program should have finished by the call's arrival.
func (t *Ticket) Late() bool { return !t.Finish.IsZero() && !t.Arrived.Before(t.Finish) }

// Order determines the position of a ticket within its urgency class: the ticket
// with the lowest key is first. A key is fixed at the ticket's arrival and
// differs from its arrival time by a bounded amount. Calls that arrive later than
// this bound cannot precede the ticket, so no call starves.
type Order interface {
	Key(t *Ticket) time.Duration
}

// Names of the orders in settings.
const (
	NameArrival       = "arrival"
	NameLeastAttained = "least_attained"
	NameOldestProgram = "oldest_program"
)

// OrderNames lists the names accepted by NewOrder.
var OrderNames = []string{NameArrival, NameLeastAttained, NameOldestProgram}

// OrderError is returned by NewOrder for an unknown name.
type OrderError struct{ name string }

// Error returns a message that quotes the name.
func (e *OrderError) Error() string { return fmt.Sprintf("unknown admission order %q", e.name) }

// NewOrder returns the order with the given name, or an *OrderError if the name
// is unknown.
func NewOrder(name string) (Order, error) {
	switch name {
	case NameArrival:
		return Arrival{}, nil
	case NameLeastAttained:
		return LeastAttained{PerToken: DefaultPerToken, MaxShift: DefaultMaxShift}, nil
	case NameOldestProgram:
		return OldestProgram{MaxShift: DefaultMaxShift}, nil
	}
	return nil, &OrderError{name: name}
}

// Default bounds of the orders that prefer some programs.
const (
	// DefaultPerToken is the delay of a call for each token its program has
	// used.
	DefaultPerToken = 100 * time.Microsecond
	// DefaultMaxShift is the maximum shift of a call's key from its arrival time.
	// It is also the longest that calls arriving later can precede a call.
	DefaultMaxShift = 5 * time.Second
)

// epoch is the time that keys are relative to.
var epoch = time.Unix(0, 0)

// Arrival admits calls in order of arrival. It is the baseline.
type Arrival struct{}

// Key returns the ticket's arrival time.
func (Arrival) Key(t *Ticket) time.Duration { return t.Arrived.Sub(epoch) }

// LeastAttained prefers programs that have used few tokens. The remaining demand
// of a program is unknown, and a program that has used few tokens is the most
// likely to be short. A call is delayed by PerToken for each token its program
// has used, at most by MaxShift.
type LeastAttained struct {
	PerToken, MaxShift time.Duration
}

// Key returns the ticket's arrival time plus the delay for the tokens used.
func (l LeastAttained) Key(t *Ticket) time.Duration {
	return t.Arrived.Sub(epoch) + min(time.Duration(t.Attained)*l.PerToken, l.MaxShift)
}

// OldestProgram prefers programs that started early. A call counts as having
// arrived when its program started, at most MaxShift before its actual arrival, so
// that new programs do not overtake those near their end or already late.
type OldestProgram struct {
	MaxShift time.Duration
}

// Key returns the ticket's arrival time minus the age of its program.
func (o OldestProgram) Key(t *Ticket) time.Duration {
	age := t.Arrived.Sub(t.Started)
	if t.Started.IsZero() {
		age = 0
	}
	return t.Arrived.Sub(epoch) - min(max(age, 0), o.MaxShift)
}

// Ranks of programs within a class, the lowest first.
const (
	rankLate = iota
	rankNew
	rankStarted
	ranks
)

// EarliestFinish maximises the number of programs that finish on time when not all can:
// started programs go first, then new ones, the newest first, and late ones last.
// In order of arrival all programs would be late under a slight overload: the
// first turn of a new program takes the slot of a program that is about to
// finish, and the new program is late itself when its turn is served. Started
// programs precede new ones so that they finish on time. Which of the new
// programs start does not matter, and the newest has the most time remaining.
// Keys are not bounded as Order describes, so calls must have a deadline: old
// ones may wait until it.
type EarliestFinish struct{}

// Class returns the class of a ticket with the given urgency. A late program of
// an urgent class goes after a program of a less urgent class that is on time.
func (EarliestFinish) Class(urgency int, t *Ticket) int {
	const urgencies = 1 << 16
	switch {
	case t.Late():
		return (urgency-urgencies)*ranks + rankLate
	case t.FirstCall:
		return urgency*ranks + rankNew
	}
	return urgency*ranks + rankStarted
}

// Key returns the ticket's finish time if its program has started and is on time,
// and its arrival time if it is late or has no finish time. For a new program it
// is the negated arrival time, so that the newest is first.
func (EarliestFinish) Key(t *Ticket) time.Duration {
	switch {
	case t.FirstCall && !t.Late():
		return -t.Arrived.Sub(epoch)
	case t.Finish.IsZero() || t.Late():
		return t.Arrived.Sub(epoch)
	}
	return t.Finish.Sub(epoch)
}
