package tableservice_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/tableservice"
	"github.com/wagtaildrum/wagtaildrum/upstream/upstreamtest"
)

// Guards against an invalid response of the platform that tells that a write was applied, or
// what a record holds.
func TestInvalidResponsesTellNothing(t *testing.T) {
	const body = `{"version":7}`
	for name, raw := range upstreamtest.InvalidResponses("", body) {
		client := tableservice.NewClient("http://"+upstreamtest.Serve(t, raw), time.Second)
		_, err := client.Put(t.Context(), "k", 1, 0)
		assert.True(t, tableservice.IsFailure(err, tableservice.FailureUnavailable), "%s, put: %v", name, err)
		_, err = client.Get(t.Context(), "k")
		assert.True(t, tableservice.IsFailure(err, tableservice.FailureUnavailable), "%s, get: %v", name, err)
	}
	for name, raw := range upstreamtest.ValidResponses("", body) {
		client := tableservice.NewClient("http://"+upstreamtest.Serve(t, upstreamtest.Valid("", body), raw), time.Second)
		for range 2 {
			version, err := client.Put(t.Context(), "k", 1, 0)
			require.NoError(t, err, name)
			assert.EqualValues(t, 7, version, name)
		}
	}
}
