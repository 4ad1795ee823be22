package gateway_test

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// incompressible returns a body of the given size that cannot be compressed.
func incompressible(size int) string {
	rng, body := rand.New(rand.NewPCG(uint64(size), 1)), make([]byte, size)
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	return string(body)
}

// Guards against a turn that runs and then breaks off because the store doesn't take
// it: one larger than a transaction is stored, and one too large for the store is
// refused before an endpoint runs it.
func TestLargeTurnIsStoredOrRefusedAtOnce(t *testing.T) {
	b := newFixture(t)
	platformtest.PutConfiguration(b.memory, []byte(strings.Replace(string(platformtest.Configuration(4)), `"max-body-bytes":65536`, `"max-body-bytes":8388608`, 1)))
	first, second := b.startInstance(), b.startInstance()
	large := incompressible(1_600_000)
	response, body := first.mustSend(callerRequest{path: "/keep/x", id: "t1", body: large, header: turnHeaders("p", nil)})
	require.Equal(t, 200, response.StatusCode, body)
	require.Equal(t, streamText("t1", 1, 3), body)
	response, body = second.mustSend(callerRequest{path: "/keep/x", id: "t2", body: "two", header: turnHeaders("p", map[string]string{"X-Previous-Turn": "t1"})})
	require.Equal(t, 200, response.StatusCode, body)
	runs := b.model.ReceivedRequests()
	require.Len(t, runs, 2)
	assert.True(t, strings.HasPrefix(runs[1].Body, large) && strings.HasSuffix(runs[1].Body, "\ntwo"))
	response, body = first.mustSend(callerRequest{path: "/keep/x", id: "t3", body: incompressible(6_000_000), header: turnHeaders("p2", nil)})
	assert.Equal(t, 413, response.StatusCode)
	assert.Contains(t, body, "turn t3 is too large")
	assert.Len(t, b.model.ReceivedRequests(), 2)
}
