package gateway

import (
	"log/slog"

	"github.com/wagtaildrum/wagtaildrum/quarantine"
)

// identify returns the identity that the request shares with the caller's other
// attempts at it.
func (e *exchange) identify() *quarantine.Identity {
	identity := &quarantine.Identity{
		Organisation: e.organisationName(), Program: e.call.Program, Session: e.call.Session, Previous: e.call.Previous,
		Method: e.r.Method, Host: e.r.Host, Target: e.r.RequestURI, Body: e.body,
	}
	for _, segment := range e.call.Segments {
		identity.Segments = append(identity.Segments, segment.ID)
	}
	return identity
}

// key returns the key of the request's identity. It is computed on first use, since
// few requests need it.
func (e *exchange) key() quarantine.Key {
	if e.identityKey == nil {
		key := e.identify().Key()
		e.identityKey = &key
	}
	return *e.identityKey
}

// isShared reports whether several callers may send the same request independently of
// each other, since it belongs to no program.
func (e *exchange) isShared() bool { return e.call.Program == "" }

// identityAttrs returns the attributes of a log line by which attempts at the same
// request are recognised, none unless an endpoint failed under one of them.
func (e *exchange) identityAttrs() []slog.Attr {
	if e.lastError == nil && e.identityKey == nil {
		return nil
	}
	crashes := e.Crashes.Describe(e.key())
	switch {
	case len(crashes) > 0:
		return []slog.Attr{slog.String("identity", e.key().String()), slog.Any("crashes", crashes)}
	case e.lastError != nil:
		return []slog.Attr{slog.String("identity", e.key().String())}
	}
	return nil
}
