package config_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/config"
)

// TestDeltasReproduceConfiguration changes a configuration at random 200 times
// and applies each delta to a replica: the replica's endpoints must equal the
// configuration's, and a delta must not apply twice.
func TestDeltasReproduceConfiguration(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	current, replica := &config.Config{}, &config.Config{}
	for step := range 200 {
		next := &config.Config{Version: current.Version + 1}
		for _, e := range current.Endpoints {
			switch rng.IntN(8) {
			case 0:
				continue
			case 1:
				e.Draining = !e.Draining
			}
			next.Endpoints = append(next.Endpoints, e)
		}
		next.Endpoints = append(next.Endpoints, config.Endpoint{Name: fmt.Sprint("e", step), Role: "tool", Tools: []string{"t"}, Sidecar: "127.0.0.1:1"})
		d := config.MakeDelta(current, next)
		var err error
		replica, err = replica.ApplyDelta(d)
		require.NoError(t, err)
		require.Equal(t, next.Endpoints, replica.Endpoints)
		_, err = replica.ApplyDelta(d)
		var derr *config.DeltaError
		require.ErrorAs(t, err, &derr, "the same delta must not apply twice")
		current = next
	}
}
