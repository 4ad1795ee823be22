package route

import (
	"crypto/sha256"
	"fmt"
)

// Key is the SHA-256 digest of an organisation's secret key. Only the digest is
// held, and the time of a lookup does not depend on how much of a presented key is
// right. The zero value represents no key.
type Key [sha256.Size]byte

// NewKey returns the digest of secret, the zero value if secret is empty.
func NewKey(secret string) Key {
	if secret == "" {
		return Key{}
	}
	return sha256.Sum256([]byte(secret))
}

// String returns a constant instead of the digest, which could be used to verify
// guesses of the key.
func (Key) String() string { return "key" }

// Organisation is a customer whose callers present its keys and share its quota.
type Organisation struct {
	Name string
	// Keys are the keys that callers may present.
	Keys []Key
	// Priority takes precedence over the priority of routes unless it is nil; 0
	// is the highest.
	Priority *int
	// Quota bounds its requests over all instances; nil means no limit.
	Quota *Quota
}

// Quota bounds the request rate of an organisation.
type Quota struct {
	// Rate is in requests a second. Burst is the number of requests allowed in
	// addition.
	Rate, Burst float64
}

// InvalidOrganisationError is returned by NewTable for a configuration with an
// invalid organisation. It never contains a key.
type InvalidOrganisationError struct {
	organisation string
	reason       string
}

// Error returns a message with the name of the invalid organisation and the
// reason.
func (e *InvalidOrganisationError) Error() string {
	return fmt.Sprintf("configuration invalid: organisation %q: %s", e.organisation, e.reason)
}

// organisations maps keys to organisations.
type organisations map[Key]*Organisation

// newOrganisations returns the organisations by key. It returns an
// *InvalidOrganisationError if an organisation is invalid, or if a key is empty
// or used twice.
func newOrganisations(list []*Organisation) (organisations, error) {
	byKey, names := organisations{}, map[string]bool{}
	for _, organisation := range list {
		invalid := func(reason string) error {
			return &InvalidOrganisationError{organisation: organisation.Name, reason: reason}
		}
		switch quota := organisation.Quota; {
		case organisation.Name == "":
			return nil, invalid("missing name")
		case names[organisation.Name]:
			return nil, invalid("duplicate name")
		case quota != nil && !(quota.Rate >= 0 && quota.Burst >= 0):
			return nil, invalid("quota is negative or not a number")
		case organisation.Priority != nil && *organisation.Priority < 0:
			return nil, invalid("negative priority")
		}
		names[organisation.Name] = true
		for _, key := range organisation.Keys {
			if key == (Key{}) {
				return nil, invalid("empty key")
			}
			if other := byKey[key]; other != nil {
				return nil, invalid(fmt.Sprintf("shares a key with %q", other.Name))
			}
			byKey[key] = organisation
		}
	}
	return byKey, nil
}

// maxPriority is the highest priority value that Rank distinguishes.
const maxPriority = 255

// Rank returns the position of a request on route: the lowest rank is first.
// organisation is nil for a request without one. The organisation's priority
// takes precedence; the route's priority orders requests of organisations with
// equal priority.
func Rank(organisation *Organisation, route *Route) int {
	level := route.Priority
	if organisation != nil && organisation.Priority != nil {
		level = *organisation.Priority
	}
	return min(max(level, 0), maxPriority)*(maxPriority+1) + min(max(route.Priority, 0), maxPriority)
}
