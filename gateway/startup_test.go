package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/gateway"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/route"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// Guards against callers who use up their attempts on instances that have just
// started, as after a loss of power of all of them: a request waits until the
// instance has read the configuration and the endpoints, and is refused if that
// takes long.
func TestRequestWaitsForStartup(t *testing.T) {
	b := newFixture(t)
	running := b.startInstance()
	current, list := &route.Current{}, membership.NewList()
	starting := gateway.New(gateway.Config{DataCentre: "a", Dialect: platform.Dialect{}, Routes: current, Endpoints: list, Programs: running.Programs, Loads: running.Loads, Crashes: running.crashes, Picker: balance.NewPicker(clock.Real{}), Upstream: upstream.NewClient(),
		StoreStatus: running, Shutdown: running.shutdown, Clock: clock.Real{}, Log: running.Log, Metrics: tally.NoopScope})
	send := func() (int, time.Duration) {
		r := httptest.NewRequest(http.MethodGet, "/look/x", nil)
		r.Host = "desk.example"
		r.Header.Set("X-Request-Id", "r")
		w, began := httptest.NewRecorder(), time.Now()
		starting.ServeHTTP(w, r)
		return w.Code, time.Since(began)
	}
	status, took := send()
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Less(t, took, time.Second)
	table, err := platform.DecodeConfiguration(platformtest.Configuration(1))
	require.NoError(t, err)
	time.AfterFunc(50*time.Millisecond, func() { current.StoreIfNewer(table) })
	time.AfterFunc(150*time.Millisecond, func() {
		list.Replace([]*membership.Endpoint{{ID: b.tool.ID, Service: "tool", Address: b.tool.Address(), DataCentre: "a", Slots: 12}}, time.Now())
	})
	status, took = send()
	assert.Equal(t, http.StatusOK, status)
	assert.Greater(t, took, 100*time.Millisecond)
}
