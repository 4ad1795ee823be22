package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// Guards against a request that the end of its instance leaves without an answer and
// without a log line.
func TestStopEndsRequestsThatOutlastIt(t *testing.T) {
	b := newFixture(t)
	logs := &lockedBuffer{}
	b.logs = logs
	b.grace = 2 * time.Second
	i := b.startInstance()
	b.tool.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour { return platformtest.Behaviour{Hang: true} })
	time.AfterFunc(100*time.Millisecond, i.stop)
	began := time.Now()
	response, body := i.mustSend(callerRequest{path: "/post/x", id: "r", body: "x"})
	assert.Equal(t, http.StatusBadGateway, response.StatusCode)
	assert.Contains(t, body, "ShuttingDown")
	assert.True(t, response.Close)
	assert.Less(t, time.Since(began), b.grace)
	assert.Regexp(t, `msg=request .*reason=ShuttingDown .*request=r .*runs=1`, logs.String())
}
