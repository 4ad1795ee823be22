package config

import (
	"fmt"
	"slices"
)

// HeadKey is the table key of the head, an empty record whose version is that
// of the configuration.
//
// The table service stores the configuration as three kinds of records, which
// are written together in one transaction: the full configuration under Key,
// the delta of each version under its DeltaKey, and the head. The record
// versions of the full configuration and of the head equal the configuration's
// version. Watchers poll the head and read the deltas they lack. They read the
// full configuration, about a megabyte for 10,000 endpoints, only when they
// start, have missed too many versions, or can't apply a delta.
const HeadKey = "config-head"

// retainedDeltas is the number of latest versions whose deltas are retained. A
// watcher further behind reads the full configuration.
const retainedDeltas = 256

// DeltaKey returns the table key of the delta from the preceding version to
// version.
func DeltaKey(version uint64) string { return fmt.Sprintf("config-delta/%012d", version) }

// ExpiredDeltaKey returns the key of the delta that expires when version is
// written and is to be deleted with it, and whether there is such a delta.
func ExpiredDeltaKey(version uint64) (key string, ok bool) {
	if version <= retainedDeltas {
		return "", false
	}
	return DeltaKey(version - retainedDeltas), true
}

// Delta holds the changes from one version of the configuration to the next:
// the endpoints added or modified in Set, the names of those removed in Remove.
// Version is the version after the change.
type Delta struct {
	Version uint64     `json:"version"`
	Set     []Endpoint `json:"set,omitempty"`
	Remove  []string   `json:"remove,omitempty"`
}

// MakeDelta returns the delta that turns current into desired and increments its
// version.
func MakeDelta(current, desired *Config) *Delta {
	d := &Delta{Version: current.Version + 1}
	cur, want := endpointsByName(current), endpointsByName(desired)
	for _, e := range desired.Endpoints {
		if c, ok := cur[e.Name]; !ok || !c.equal(&e) {
			d.Set = append(d.Set, e)
		}
	}
	for _, e := range current.Endpoints {
		if _, ok := want[e.Name]; !ok {
			d.Remove = append(d.Remove, e.Name)
		}
	}
	return d
}

// equal reports whether all fields of e and f are equal.
func (e *Endpoint) equal(f *Endpoint) bool {
	return e.Name == f.Name && e.Role == f.Role && e.Model == f.Model && slices.Equal(e.Tools, f.Tools) &&
		e.Sidecar == f.Sidecar && e.DataCentre == f.DataCentre && e.Draining == f.Draining
}

// DeltaError is returned by Config.ApplyDelta for a delta whose version is not the one
// after the configuration's.
type DeltaError struct{ current, delta uint64 }

// Error returns the versions of the delta and of the configuration.
func (e *DeltaError) Error() string {
	return fmt.Sprintf("delta to version %d can't be applied to configuration version %d", e.delta, e.current)
}

// ApplyDelta returns a copy of c with d applied, or a *DeltaError if d does not lead
// from c's version to the next. Endpoints keep their order; added ones are
// appended.
func (c *Config) ApplyDelta(d *Delta) (*Config, error) {
	if d.Version != c.Version+1 {
		return nil, &DeltaError{current: c.Version, delta: d.Version}
	}
	set := make(map[string]Endpoint, len(d.Set))
	for _, e := range d.Set {
		set[e.Name] = e
	}
	out := &Config{Version: d.Version, Endpoints: make([]Endpoint, 0, len(c.Endpoints)+len(d.Set))}
	for _, e := range c.Endpoints {
		if slices.Contains(d.Remove, e.Name) {
			continue
		}
		if changed, ok := set[e.Name]; ok {
			e = changed
			delete(set, e.Name)
		}
		out.Endpoints = append(out.Endpoints, e)
	}
	for _, e := range d.Set {
		if _, ok := set[e.Name]; ok {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	return out, nil
}
