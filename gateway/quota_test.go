package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// Guards against requests that exceed their organisation's quota, and against
// refusing one organisation because of another's burst.
func TestQuotaRefusesExcessRequests(t *testing.T) {
	b := newFixture(t)
	logs := &lockedBuffer{}
	b.logs = logs
	b.configure(4, platformtest.Organisation{Name: "x", Keys: []string{"secret-x"}, Rate: 1, Burst: 3}, platformtest.Organisation{Name: "y", Keys: []string{"secret-y"}, Rate: 1, Burst: 3})
	i := b.startInstance()
	time.Sleep(3200 * time.Millisecond) // the buckets fill
	statuses := map[int]int{}
	for n := range 10 {
		response, _ := i.mustSend(callerRequest{path: "/post/x", id: fmt.Sprint("r", n), body: "b", header: withKey("secret-x", nil)})
		statuses[response.StatusCode]++
		if response.StatusCode == 429 {
			after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			require.NoError(t, err)
			assert.Greater(t, after, 0.2, "no credit is available earlier")
		}
	}
	assert.LessOrEqual(t, statuses[200], 5)
	assert.GreaterOrEqual(t, statuses[200], 3)
	assert.Equal(t, 10, statuses[200]+statuses[429])
	assert.Len(t, b.tool.ReceivedRequests(), statuses[200], "refused requests must not run")
	response, _ := i.mustSend(callerRequest{path: "/post/x", id: "y", body: "b", header: withKey("secret-y", nil)})
	assert.Equal(t, 200, response.StatusCode)
	assert.Contains(t, logs.String(), "rate 1/s, burst 3 of version 4")
}

// Guards against quota that stays charged for requests that no endpoint ran.
func TestRequestNotRunReturnsQuota(t *testing.T) {
	b := newFixture(t)
	b.configure(4, platformtest.Organisation{Name: "x", Keys: []string{"secret-x"}, Rate: 0.5, Burst: 2})
	b.tool.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
		return platformtest.Behaviour{RejectFull: true}
	})
	i := b.startInstance()
	time.Sleep(4200 * time.Millisecond)
	for n := range 12 {
		response, _ := i.mustSend(callerRequest{path: "/post/x", id: fmt.Sprint("full", n), body: "b", header: withKey("secret-x", nil)})
		require.Equal(t, 503, response.StatusCode)
	}
	b.tool.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour { return platformtest.Behaviour{} })
	response, _ := i.mustSend(callerRequest{path: "/post/x", id: "served", body: "b", header: withKey("secret-x", nil)})
	assert.Equal(t, 200, response.StatusCode)
}

// Guards against callers whose attempts are used up while an instance that has just started is not known to the others yet.
func TestRequestsWaitUntilTheInstanceIsListed(t *testing.T) {
	b := newFixture(t)
	b.configure(4, platformtest.Organisation{Name: "x", Keys: []string{"kx"}, Rate: 1000, Burst: 1000})
	i := b.startInstance()
	time.Sleep(100 * time.Millisecond) // credit accrues
	b.unlisted.Store(true)
	time.AfterFunc(200*time.Millisecond, func() { b.unlisted.Store(false) })
	response, body := i.mustSend(callerRequest{path: "/post/x", id: "waits", body: "x", header: map[string]string{"Api-Key": "kx"}})
	assert.Equal(t, http.StatusOK, response.StatusCode, body)
	b.unlisted.Store(true)
	began := time.Now()
	response, body = i.mustSend(callerRequest{path: "/post/x", id: "refused", body: "x", header: map[string]string{"Api-Key": "kx"}})
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, body, "QuotaUnknown")
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Less(t, time.Since(began), time.Second)
}
