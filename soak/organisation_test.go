package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// Organisations of a site: one without a quota, one that asks for much more than
// its quota, and one whose key changes.
const (
	organisationFree    = "free"
	organisationBounded = "bounded"
	organisationRotated = "rotated"
)

var organisationNames = []string{organisationFree, organisationBounded, organisationRotated}

const (
	// unknownKey is one that no configuration ever held.
	unknownKey = "never held"
	// usualQuota and lowQuota are a rate, in requests a second, and a burst.
	usualQuota = 15
	lowQuota   = 5
	// The tolerance of the instances' settings.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// applyTime is until a new configuration is in force everywhere.
	applyTime = 2 * time.Second
	// hotTime is how long an organisation asks for much more than its lowered quota.
	hotTime = 3 * time.Second
)

// organisationFaults are all faults, and changes of organisations as often as two
// of them.
var organisationFaults = append(slices.Clone(allFaults),
	fault{name: "key replaced", planned: true, inject: func(s *site, _ *front, _ uint64, _ time.Duration) { s.rotate() }},
	fault{name: "quota changed", planned: true, inject: func(s *site, _ *front, draw uint64, _ time.Duration) {
		s.setQuota([]float64{usualQuota, usualQuota / 2, lowQuota}[draw%3])
	}},
)

// Guards against requests that run without a key that is held or for another
// organisation, and against quotas that are exceeded, or revoked keys that go on, amid
// faults of all kinds.
func TestSoakOfOrganisations(t *testing.T) {
	for n := range max(1, *seeds/2) {
		seed := *first + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			soakSite(t, newSiteOf(t, seed, siteOptions{organisations: true}), seed, *span, organisationFaults)
		})
	}
}

// organisationsLocked returns the organisations of the configuration. The caller
// holds mu.
func (s *site) organisationsLocked() []platformtest.Organisation {
	return []platformtest.Organisation{
		{Name: organisationFree, Keys: []string{"key of " + organisationFree}},
		{Name: organisationBounded, Keys: []string{"key of " + organisationBounded}, Rate: s.quota, Burst: s.quota},
		{Name: organisationRotated, Keys: []string{rotatedKey(s.rotation)}},
	}
}

func rotatedKey(rotation int) string {
	return fmt.Sprintf("key %d of %s", rotation, organisationRotated)
}

// keyOf returns the key that an attempt shows.
func (s *site) keyOf(a *attempt) string {
	if a.key != "" {
		return a.key
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, organisation := range s.organisationsLocked() {
		if organisation.Name == a.organisation {
			return organisation.Keys[0]
		}
	}
	return ""
}

// rotate gives an organisation another key in the place of the one that it had.
func (s *site) rotate() (revoked string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotation++
	s.configureLocked()
	return rotatedKey(s.rotation - 1)
}

// setQuota changes the quota of the organisation that has one.
func (s *site) setQuota(quota float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota = quota
	s.configureLocked()
}

// showUnknownKey sends a call with a key that nobody holds.
func (caller *caller) showUnknownKey(ctx context.Context) {
	caller.send(ctx, &attempt{kind: kindPost, key: unknownKey, body: "x", prompt: "x"})
}

// checkOrganisations checks that a revoked key ends everywhere, that its successor is
// served, and that no window saw more than its quota, also not after it was lowered.
func (s *site) checkOrganisations(b *book, seed uint64) {
	revoked := s.rotate()
	s.setQuota(lowQuota)
	time.Sleep(applyTime)
	lowered := time.Now()
	c := newCaller(s, b, seed, callerCount)
	for _, f := range s.fronts {
		c.front = f
		old := &attempt{kind: kindPost, organisation: organisationRotated, key: revoked, body: "x", prompt: "x"}
		c.send(context.Background(), old)
		assert.Equal(s.t, http.StatusUnauthorized, old.status, "a revoked key at %s", f.Name)
		present := &attempt{kind: kindPost, organisation: organisationRotated, body: "x", prompt: "x"}
		c.send(context.Background(), present)
		assert.Equal(s.t, http.StatusOK, present.status, "%s: %s", f.Name, present.answer)
	}
	hot, end := context.WithTimeout(context.Background(), hotTime)
	defer end()
	var callers sync.WaitGroup
	for n := range callerCount {
		c := newCaller(s, b, seed, uint64(2*callerCount+n))
		c.organisation = organisationBounded
		callers.Go(func() {
			for hot.Err() == nil {
				c.call(hot, "", kindPost)
			}
		})
	}
	callers.Wait()
	var all, late []time.Time
	for _, runs := range s.runsByID() {
		for _, r := range runs {
			if r.Organisation != organisationBounded {
				continue
			}
			all = append(all, r.At)
			if r.At.After(lowered) {
				late = append(late, r.At)
			}
		}
	}
	assert.NotEmpty(s.t, late, "what is within the quota is served")
	assert.LessOrEqual(s.t, busiestWindow(all), quotaBound(usualQuota), "requests of an organisation in %s", quotaWindow)
	assert.LessOrEqual(s.t, busiestWindow(late), quotaBound(lowQuota), "the same after its quota was lowered")
}

// quotaBound returns how many requests of an organisation may run in a window.
func quotaBound(quota float64) int {
	return int((quota*quotaWindow.Seconds()+quota)*(1+quotaOverage) + quotaSlack)
}

// busiestWindow returns the most of times that lie within any window.
func busiestWindow(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
