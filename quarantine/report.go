package quarantine

import "time"

// State is what is known of an endpoint to which a request was sent.
type State int

//go:generate stringer -type=State -trimprefix=State

// States of an endpoint under a request.
const (
	// StateTrying means that the endpoint processes the request. It is reported only
	// for requests under which an endpoint failed before.
	StateTrying State = iota
	// StateConnected means the same as StateUnresolved. Only instances of earlier versions
	// report it.
	StateConnected
	// StateUnresolved means that the connection failed, or that the endpoint did not
	// respond, and that the endpoint may have crashed.
	StateUnresolved
	// StateCrashed means that the endpoint crashed. An incarnation crashes once, so
	// this state is final.
	StateCrashed
	// StateSurvived means that the endpoint did not crash.
	StateSurvived
	// StateServed means that the endpoint served the request. All that was known of
	// the request before is void.
	StateServed
)

// Source is where a report comes from.
type Source int

//go:generate stringer -type=Source -trimprefix=Source

// Sources of reports.
const (
	// SourceOwn means that this instance sent the request.
	SourceOwn Source = iota
	// SourcePeer means that another instance reported it.
	SourcePeer
	// SourceStore means that it was read from the store.
	SourceStore
)

// Report tells the state of an endpoint under a request.
type Report struct {
	Key Key
	// Attempt identifies the sending of the request, so that reports about it which
	// arrive in another order don't lead back to an earlier state.
	Attempt uint64
	// Incarnation names the incarnation of the endpoint.
	Incarnation string
	State       State
	// SentAt is when the request was sent to the endpoint, and At when the state was
	// observed, by the clock of this process.
	SentAt, At time.Time
}
