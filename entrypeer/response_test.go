package entrypeer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/entrypeer"
	"github.com/wagtaildrum/wagtaildrum/upstream/upstreamtest"
)

// clientOf returns a client of one other instance, "other" at address.
func clientOf(address string) *entrypeer.Client {
	directory := entrypeer.NewDirectory(entrypeer.Instance{Name: "own", Owner: entrypeer.NewOwner("own", time.Now()), DataCentre: "a"}, clock.Real{})
	directory.Observe(entrypeer.Instance{Name: "other", Owner: entrypeer.NewOwner("other", time.Now()), Address: address, DataCentre: "a"})
	return entrypeer.NewClient(directory, tally.NoopScope)
}

// Guards against an invalid response of another instance that counts as the success of a call.
func TestInvalidResponsesOfInstancesFailCalls(t *testing.T) {
	body, err := codec.Marshal(struct{}{})
	require.NoError(t, err)
	valid := upstreamtest.Valid("", string(body))
	for name, raw := range upstreamtest.InvalidResponses("", string(body)) {
		var failure *entrypeer.TransportError
		client := clientOf(upstreamtest.Serve(t, raw))
		assert.ErrorAs(t, client.Repay(t.Context(), "other", nil), &failure, name)
		client = clientOf(upstreamtest.Serve(t, valid, raw))
		require.NoError(t, client.Repay(t.Context(), "other", nil), name)
		assert.ErrorAs(t, client.Repay(t.Context(), "other", nil), &failure, "%s, on a used connection", name)
	}
	for name, raw := range upstreamtest.ValidResponses("", string(body)) {
		client := clientOf(upstreamtest.Serve(t, valid, raw))
		require.NoError(t, client.Repay(t.Context(), "other", nil), name)
		assert.NoError(t, client.Repay(t.Context(), "other", nil), name)
	}
}
