package admission

import (
	"fmt"
	"time"
)

// Ticket is a call asking to be admitted.
type Ticket struct {
	// Urgency is the program's class; a higher one always goes first.
	Urgency int
	// Arrived is when the call reached the gate; Acquire sets it.
	Arrived time.Time
	// Started is when the program began, and Attained the tokens that
	// engines have spent on it so far.
	Started  time.Time
	Attained int64
	// Finish is when the program should be finished; zero if unknown.
	Finish time.Time
	// New tells that no call of the program was served yet.
	New bool
	// Deadline is when nobody waits for the call any more; zero: never.
	Deadline time.Time
}

// Late reports whether the program should have been finished before.
func (t *Ticket) Late() bool { return !t.Finish.IsZero() && !t.Arrived.Before(t.Finish) }

// Order gives a ticket its place within its urgency class: the lowest key
// goes first. A key is fixed when the ticket arrives and lies a bounded
// time from its arrival, so calls that arrive later than that bound cannot
// pass it: no call starves.
type Order interface {
	Key(t *Ticket) time.Duration
}

// Names of the orders, as settings give them.
const (
	NameArrival       = "arrival"
	NameLeastAttained = "least_attained"
	NameOldestProgram = "oldest_program"
)

// OrderNames lists the names NewOrder knows.
var OrderNames = []string{NameArrival, NameLeastAttained, NameOldestProgram}

// OrderError says an order's name is not known.
type OrderError struct{ name string }

// Error quotes the name.
func (e *OrderError) Error() string { return fmt.Sprintf("no admission order %q", e.name) }

// NewOrder returns the order of a name.
func NewOrder(name string) (Order, error) {
	switch name {
	case NameArrival:
		return Arrival{}, nil
	case NameLeastAttained:
		return LeastAttained{PerToken: DefaultPerToken, Most: DefaultMost}, nil
	case NameOldestProgram:
		return OldestProgram{Most: DefaultMost}, nil
	}
	return nil, &OrderError{name: name}
}

// Bounds of the orders that prefer one program over another.
const (
	// DefaultPerToken is how long a call is held back for each token its
	// program has had.
	DefaultPerToken = 100 * time.Microsecond
	// DefaultMost is how far a call may be moved from its arrival. It is
	// the longest that calls arriving later can keep one waiting.
	DefaultMost = 5 * time.Second
)

// epoch is where keys count from.
var epoch = time.Unix(0, 0)

// Arrival is first come, first served. It is the baseline.
type Arrival struct{}

// Key implements Order.
func (Arrival) Key(t *Ticket) time.Duration { return t.Arrived.Sub(epoch) }

// LeastAttained prefers programs that have had little service: without
// knowing what a program still needs, those that have had least are the
// likeliest to be short. A call is held back by PerToken for each token its
// program has had, at most by Most.
type LeastAttained struct {
	PerToken, Most time.Duration
}

// Key implements Order.
func (l LeastAttained) Key(t *Ticket) time.Duration {
	return t.Arrived.Sub(epoch) + min(time.Duration(t.Attained)*l.PerToken, l.Most)
}

// OldestProgram prefers the program that began first, as if its call had
// come as early, at most Most before it did: programs near their end, and
// those already late, are not overtaken by new ones.
type OldestProgram struct {
	Most time.Duration
}

// Key implements Order.
func (o OldestProgram) Key(t *Ticket) time.Duration {
	age := t.Arrived.Sub(t.Started)
	if t.Started.IsZero() {
		age = 0
	}
	return t.Arrived.Sub(epoch) - min(max(age, 0), o.Most)
}

// Ranks of programs within a class, the highest first.
const (
	rankLate = iota
	rankNew
	rankStarted
	ranks
)

// InTime ends as many programs in time as it can when not all of them can
// be: those that have begun first, then new ones, the newest first, and last
// those that are late already. In order of arrival all would be late under a
// load that is a little too high: a new program's first turn takes its place
// from one that is about to end, and by the time that it begins itself it is
// late, too. A program that has begun is served before new ones, so that it
// ends in time; which new ones begin does not matter, and the newest has
// the most time left. Calls must have a deadline: old ones wait until it.
type InTime struct{}

// Class returns the class of a ticket of an urgency: a late program of an
// urgent class goes after one of a less urgent class that is in time.
func (InTime) Class(urgency int, t *Ticket) int {
	const urgencies = 1 << 16
	switch {
	case t.Late():
		return (urgency-urgencies)*ranks + rankLate
	case t.New:
		return urgency*ranks + rankNew
	}
	return urgency*ranks + rankStarted
}

// Key implements Order.
func (InTime) Key(t *Ticket) time.Duration {
	switch {
	case t.New && !t.Late():
		return -t.Arrived.Sub(epoch)
	case t.Finish.IsZero() || t.Late():
		return t.Arrived.Sub(epoch)
	}
	return t.Finish.Sub(epoch)
}
