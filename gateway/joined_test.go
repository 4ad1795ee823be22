package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// Guards against a response whose beginning was relayed and that goes on with the response of
// another endpoint after the first one broke off.
func TestRelayedResponseIsNotJoinedWithAnother(t *testing.T) {
	for name, test := range map[string]struct {
		size, cutAfter int
		memory         int64
	}{
		"large":           {size: 3 << 20, cutAfter: 2 << 20},
		"memory is short": {size: 200 << 10, cutAfter: 100 << 10, memory: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t)
			b.tool.Unregister(b.memory)
			var received atomic.Int64
			for n := range 3 {
				endpoint := platformtest.NewEndpoint(fmt.Sprint("t-", n), "tool", false)
				t.Cleanup(endpoint.Close)
				endpoint.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
					if received.Add(1) > 1 {
						return platformtest.Behaviour{ResponseSize: test.size}
					}
					return platformtest.Behaviour{ResponseSize: test.size, CutAfter: test.cutAfter}
				})
				endpoint.Register(b.memory, "a", "ready")
			}
			i := b.startInstance()
			i.MaxBodyBytes = test.memory
			response, body, err := i.send(callerRequest{path: "/look/x", id: "r"})
			assert.Error(t, err, "status %v, %d bytes", response, len(body))
			assert.LessOrEqual(t, len(body), test.cutAfter)
			assert.EqualValues(t, 1, received.Load())
			response, body, err = i.send(callerRequest{path: "/look/x", id: "r2"})
			assert.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode)
			assert.Len(t, body, test.size)
		})
	}
}
