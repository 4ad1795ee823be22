package systemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/entry"
	"github.com/wagtaildrum/wagtaildrum/operator"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// TestRacingOperators: an accepted configuration is in force everywhere
// within seconds and never reverts.
//
// Symptom: an operator's change silently undone by another's, or an
// instance running an older configuration than one already accepted.
// Sequence: operators A and B both plan against the same version; A
// confirms; B confirms; the platform is down during a third change.
// Cause: last-writer-wins writes, and watchers that take any version they
// read.
func TestRacingOperators(t *testing.T) {
	b := newBed(t, defaultEngines, 2)
	pc := tableservice.NewClient(b.platURL, time.Second)
	base, err := operator.Current(b.ctx, pc)
	require.NoError(t, err)

	a := cloneConfig(base)
	a.Endpoints[0].Draining = true
	bb := cloneConfig(base)
	bb.Endpoints = bb.Endpoints[1:]
	planA, planB := config.MakePlan(base, a), config.MakePlan(base, bb)

	verA, err := operator.Apply(b.ctx, pc, planA, a)
	require.NoError(t, err)
	_, err = operator.Apply(b.ctx, pc, planB, bb)
	var stale *operator.StaleError
	require.ErrorAs(t, err, &stale, "B planned against an old version and must plan again")

	for _, e := range b.entries {
		require.Eventually(t, func() bool { return e.State().(entry.State).ConfigVersion == verA }, 2*time.Second, 10*time.Millisecond)
	}

	b.platform.SetOutage(true)
	c := cloneConfig(a)
	c.Endpoints[1].Draining = true
	_, err = operator.Apply(b.ctx, pc, config.MakePlan(&config.Config{Version: verA}, c), c)
	require.Error(t, err, "nothing is accepted while the platform is down")
	time.Sleep(200 * time.Millisecond)
	b.platform.SetOutage(false)
	for _, e := range b.entries {
		st := e.State().(entry.State)
		require.Equal(t, verA, st.ConfigVersion, "entries keep the accepted version through the outage")
		require.True(t, st.Endpoints[0].Draining)
	}
}

// TestWatchersFollowDeltas: a change reaches every instance by its delta
// alone, and by the whole where deltas do not lead there.
//
// Symptom: instances serve from different endpoint lists after a change.
// Sequence: a hundred endpoints; thirty changes one after another; then a
// delta is missing, and another is of some other version.
// Cause: a delta applied to a version it was not made against.
func TestWatchersFollowDeltas(t *testing.T) {
	b := newBed(t, oneEngine, 2)
	pc := tableservice.NewClient(b.platURL, time.Second)
	change := func(edit func(*config.Config)) *config.Config {
		cur, err := operator.Current(b.ctx, pc)
		require.NoError(t, err)
		next := cloneConfig(cur)
		edit(next)
		_, err = operator.Apply(b.ctx, pc, config.MakePlan(cur, next), next)
		require.NoError(t, err)
		return next
	}
	inForce := func(want *config.Config) {
		for _, e := range b.entries {
			require.Eventually(t, func() bool {
				return len(config.MakePlan(&config.Config{Endpoints: e.State().(entry.State).Endpoints}, want).Changes()) == 0
			}, 2*time.Second, 5*time.Millisecond)
		}
	}
	inForce(change(func(c *config.Config) {
		for i := range 100 {
			c.Endpoints = append(c.Endpoints, config.Endpoint{Name: fmt.Sprint("extra-", i), Role: "engine", Model: "other", Sidecar: "127.0.0.1:1"})
		}
	}))
	for i := range 30 {
		inForce(change(func(c *config.Config) { c.Endpoints[i+2].Draining = true }))
	}
	cur, err := operator.Current(b.ctx, pc)
	require.NoError(t, err)
	for _, e := range b.entries {
		require.Equal(t, cur.Version, e.State().(entry.State).ConfigVersion)
	}
	// The next two changes land between two polls, the first delta gone and
	// the second of another version.
	b.platform.SetOutage(true)
	time.Sleep(100 * time.Millisecond)
	b.platform.SetOutage(false)
	change(func(c *config.Config) { c.Endpoints = c.Endpoints[:60] })
	require.NoError(t, pc.Delete(b.ctx, config.DeltaKey(cur.Version+1)))
	last := change(func(c *config.Config) { c.Endpoints[0].Draining = true })
	inForce(last)
}

func cloneConfig(c *config.Config) *config.Config {
	out := &config.Config{Version: c.Version}
	out.Endpoints = append(out.Endpoints, c.Endpoints...)
	return out
}
