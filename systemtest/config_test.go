package systemtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/entry"
	"github.com/wagtaildrum/wagtaildrum/operator"
	"github.com/wagtaildrum/wagtaildrum/platform"
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
	pc := platform.NewClient(b.platURL, time.Second)
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

func cloneConfig(c *config.Config) *config.Config {
	out := &config.Config{Version: c.Version}
	out.Endpoints = append(out.Endpoints, c.Endpoints...)
	return out
}
