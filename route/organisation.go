package route

import (
	"crypto/sha256"
	"fmt"
)

// Key is the digest of an organisation's key. Keys are secrets: the digest is
// all that is held of them, and looking one up takes the same time however much
// of it is right. The zero value stands for no key.
type Key [sha256.Size]byte

// NewKey returns the digest of a key; the zero value if it is empty.
func NewKey(secret string) Key {
	if secret == "" {
		return Key{}
	}
	return sha256.Sum256([]byte(secret))
}

// String hides the digest: it would let a guessed key be checked.
func (Key) String() string { return "key" }

// Organisation is a customer whose callers show its keys and share its quota.
type Organisation struct {
	Name string
	// Keys are what its callers show.
	Keys []Key
	// Priority goes before that of routes unless it is nil; 0 is the highest.
	Priority *int
	// Quota bounds its requests over all instances; nil is no limit.
	Quota *Quota
}

// Quota bounds the requests of an organisation.
type Quota struct {
	// Rate is in requests a second, Burst in requests on top.
	Rate, Burst float64
}

// InvalidOrganisationError is a configuration that cannot be put in force for
// one of its organisations. It never holds a key.
type InvalidOrganisationError struct {
	organisation string
	reason       string
}

// Error names the organisation at fault and what is wrong with it.
func (e *InvalidOrganisationError) Error() string {
	return fmt.Sprintf("configuration invalid: organisation %q: %s", e.organisation, e.reason)
}

// organisations finds organisations by their keys.
type organisations map[Key]*Organisation

// newOrganisations returns an *InvalidOrganisationError unless each key leads
// to one organisation.
func newOrganisations(list []*Organisation) (organisations, error) {
	byKey, names := organisations{}, map[string]bool{}
	for _, organisation := range list {
		invalid := func(reason string) error {
			return &InvalidOrganisationError{organisation: organisation.Name, reason: reason}
		}
		switch quota := organisation.Quota; {
		case organisation.Name == "":
			return nil, invalid("no name")
		case names[organisation.Name]:
			return nil, invalid("the name stands twice")
		case quota != nil && !(quota.Rate >= 0 && quota.Burst >= 0):
			return nil, invalid("negative quota")
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

// mostPriority bounds a priority within a rank.
const mostPriority = 255

// Rank returns the place of a request of the organisation, nil for none, on
// route: the lowest goes first. The organisation's priority goes before the
// route's, which orders requests of equal organisations.
func Rank(organisation *Organisation, route *Route) int {
	level := route.Priority
	if organisation != nil && organisation.Priority != nil {
		level = *organisation.Priority
	}
	return min(max(level, 0), mostPriority)*(mostPriority+1) + min(max(route.Priority, 0), mostPriority)
}
