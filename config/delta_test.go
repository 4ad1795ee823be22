package config_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/config"
)

// TestDeltasLeadToTheWhole changes a configuration at random 200 times and
// follows it by deltas alone: no plan must ever see a difference.
func TestDeltasLeadToTheWhole(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	whole, followed := &config.Config{}, &config.Config{}
	for step := range 200 {
		next := &config.Config{Version: whole.Version + 1}
		for _, e := range whole.Endpoints {
			switch rng.IntN(8) {
			case 0:
				continue
			case 1:
				e.Draining = !e.Draining
			}
			next.Endpoints = append(next.Endpoints, e)
		}
		next.Endpoints = append(next.Endpoints, config.Endpoint{Name: fmt.Sprint("e", step), Role: "tool", Tools: []string{"t"}, Sidecar: "127.0.0.1:1"})
		d := config.MakeDelta(whole, next)
		var err error
		followed, err = followed.With(d)
		require.NoError(t, err)
		require.Equal(t, next.Endpoints, followed.Endpoints)
		_, err = followed.With(d)
		var derr *config.DeltaError
		require.ErrorAs(t, err, &derr, "a delta is never applied twice")
		whole = next
	}
}
