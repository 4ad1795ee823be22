package archive

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
)

// Result is how the search for a turn ended if the turn was not found.
type Result int

//go:generate stringer -type=Result -trimprefix=Result

// The results of a search that did not find its turn.
const (
	// ResultNotStored means that both partitions of the turn were read and
	// neither has its rows.
	ResultNotStored Result = iota
	// ResultOtherOrganisation means that the turn belongs to another
	// organisation than the one that asked for it.
	ResultOtherOrganisation
	// ResultUnread means that a partition of the turn could not be read and the
	// other one doesn't have its rows.
	ResultUnread
	// ResultInvalid means that the rows of the turn cannot be decoded.
	ResultInvalid
)

// Lookup describes the search for a turn that was not found. It implements
// slog.LogValuer. It must not be sent to a caller, because it tells whether
// another organisation has the turn.
type Lookup struct {
	turn string
	// descendant is the requested turn if turn is one of its ancestors, else empty.
	descendant string
	result     Result
	reads      []partitionRead
	peer       peerFetch
}

// partitionRead is the outcome of reading the rows of a turn from one partition.
type partitionRead struct {
	partition string
	rows      int
	err       error
}

// String returns "PARTITION: N rows" or "PARTITION: ERROR".
func (read partitionRead) String() string {
	if read.err != nil {
		return read.partition + ": " + read.err.Error()
	}
	return fmt.Sprintf("%s: %d rows", read.partition, read.rows)
}

// peerFetch is the outcome of a request for turns to another instance, which is
// empty if none was asked.
type peerFetch struct {
	instance string
	turns    int
	err      error
}

// Turn returns the ID of the turn that was not found.
func (lookup *Lookup) Turn() string { return lookup.turn }

// Result returns how the search ended.
func (lookup *Lookup) Result() Result { return lookup.result }

// LogValue implements slog.LogValuer.
func (lookup *Lookup) LogValue() slog.Value {
	partitions := make([]string, len(lookup.reads))
	for i, read := range lookup.reads {
		partitions[i] = read.String()
	}
	attrs := []slog.Attr{slog.String("turn", lookup.turn), slog.String("result", lookup.result.String()), slog.String("partitions", strings.Join(partitions, "; "))}
	if lookup.descendant != "" {
		attrs = append(attrs, slog.String("ancestor_of", lookup.descendant))
	}
	if lookup.peer.instance != "" {
		attrs = append(attrs, slog.String("peer", lookup.peer.instance), slog.Int("peer_turns", lookup.peer.turns))
	}
	if lookup.peer.err != nil {
		attrs = append(attrs, slog.Any("peer_err", lookup.peer.err))
	}
	return slog.GroupValue(attrs...)
}

// FailedLookup returns the Lookup of an error of Archive.Chain, or nil if err has
// none.
func FailedLookup(err error) *Lookup {
	var unknown *UnknownTurnError
	var unread *ReadError
	switch {
	case errors.As(err, &unknown):
		return unknown.lookup
	case errors.As(err, &unread):
		return unread.lookup
	}
	return nil
}

// UnknownTurnError is returned for a turn that the store doesn't hold, or that
// belongs to another organisation.
type UnknownTurnError struct {
	lookup *Lookup
}

// Error returns a message with the ID of the turn. It is the same for a turn of
// another organisation.
func (e *UnknownTurnError) Error() string { return "no turn " + e.lookup.turn }

// ReadError is returned for a turn that may exist and could not be read.
type ReadError struct {
	lookup *Lookup
	cause  error
}

// Error returns the message of the cause.
func (e *ReadError) Error() string { return e.cause.Error() }

// Unwrap returns the cause, a *store.Error.
func (e *ReadError) Unwrap() error { return e.cause }

// SaveError is returned for a turn that was not stored, or of which it is not
// known whether it was.
type SaveError struct {
	id string
	// attempts is the number of attempts; each may write to both partitions.
	attempts           int
	primary, secondary string
	cause              error
}

// Error returns a message with the ID of the turn, the partitions tried, the
// number of attempts, and the cause.
func (e *SaveError) Error() string {
	return fmt.Sprintf("turn %s not stored in %s or %s, attempts: %d, last failure: %v", e.id, e.primary, e.secondary, e.attempts, e.cause)
}

// Unwrap returns the failure of the last attempt.
func (e *SaveError) Unwrap() error { return e.cause }
