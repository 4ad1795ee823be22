package config

import (
	"fmt"
	"slices"
)

// HeadKey is the table key of an empty record that is written with each
// version. The configuration lives in the table service as three kinds of
// record, written together in one transaction: the whole under Key, what a
// version changed under DeltaKey, and the head. The versions of the first
// and the last are the configuration's. Watchers read the head and the
// deltas they lack; the whole, a megabyte at 10,000 endpoints, only when
// they start or have missed too many.
const HeadKey = "config-head"

// keepDeltas is how many versions back deltas are kept.
const keepDeltas = 256

// DeltaKey returns the table key of the delta that led to version.
func DeltaKey(version uint64) string { return fmt.Sprintf("config-delta/%012d", version) }

// ExpiredDelta returns the key of the delta to delete when version is
// written, and whether there is one.
func ExpiredDelta(version uint64) (key string, ok bool) {
	if version <= keepDeltas {
		return "", false
	}
	return DeltaKey(version - keepDeltas), true
}

// Delta is what changed from one version to the next.
type Delta struct {
	Version uint64     `json:"version"`
	Set     []Endpoint `json:"set,omitempty"`
	Remove  []string   `json:"remove,omitempty"`
}

// MakeDelta returns the delta that turns current into desired.
func MakeDelta(current, desired *Config) *Delta {
	d := &Delta{Version: current.Version + 1}
	cur, want := byName(current), byName(desired)
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

func (e *Endpoint) equal(f *Endpoint) bool {
	return e.Name == f.Name && e.Role == f.Role && e.Model == f.Model && slices.Equal(e.Tools, f.Tools) &&
		e.Sidecar == f.Sidecar && e.DataCentre == f.DataCentre && e.Draining == f.Draining
}

// DeltaError says a delta does not follow the configuration held.
type DeltaError struct{ held, delta uint64 }

// Error names both versions.
func (e *DeltaError) Error() string {
	return fmt.Sprintf("delta to version %d does not follow version %d", e.delta, e.held)
}

// With returns c changed by d, or a *DeltaError if d was not made against
// c's version. Endpoints keep their order; new ones come last.
func (c *Config) With(d *Delta) (*Config, error) {
	if d.Version != c.Version+1 {
		return nil, &DeltaError{held: c.Version, delta: d.Version}
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
