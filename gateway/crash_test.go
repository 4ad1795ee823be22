package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// crashPeers implements quarantine.Peers for an instance of a fixture.
type crashPeers struct {
	instance *instance
}

// PublishReports implements quarantine.Peers.
func (peers *crashPeers) PublishReports(_ context.Context, reports []quarantine.Report) (received, instances int) {
	b := peers.instance.fixture
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, guard := range b.guards {
		if guard != peers.instance.crashes {
			guard.Receive(reports)
			n++
		}
	}
	return n, n
}

// FetchReports implements quarantine.Peers.
func (peers *crashPeers) FetchReports(context.Context) []quarantine.Report { return nil }

// KnownFor implements quarantine.Peers.
func (peers *crashPeers) KnownFor() time.Duration { return time.Hour }

// addGuard adds what an instance knows of crashes.
func (b *fixture) addGuard(guard *quarantine.Guard) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.guards = append(b.guards, guard)
}

// removeGuard removes what an instance knows of crashes, as if it had been killed.
func (b *fixture) removeGuard(guard *quarantine.Guard) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.guards = slices.DeleteFunc(b.guards, func(other *quarantine.Guard) bool { return other == guard })
}

// crashFixture is a fixture with endpoints that crash under requests whose body or path
// holds "crash".
type crashFixture struct {
	*fixture

	endpoints []*platformtest.Endpoint

	mu sync.Mutex
	// crashed holds the endpoints that crashed, in order.
	crashed []string
	// sent is the number of crashing requests that endpoints received.
	sent int
}

// newCrashFixture returns a fixture with so many endpoints of each service.
func newCrashFixture(t *testing.T, endpoints int) *crashFixture {
	t.Helper()
	b := &crashFixture{fixture: newFixture(t)}
	b.model.Unregister(b.memory)
	b.tool.Unregister(b.memory)
	for n := range endpoints {
		b.add(fmt.Sprint("m-", n), "model")
		b.add(fmt.Sprint("t-", n), "tool")
	}
	return b
}

// add registers an endpoint.
func (b *crashFixture) add(id, service string) {
	endpoint := platformtest.NewEndpoint(id, service, service == "model")
	b.t.Cleanup(endpoint.Close)
	endpoint.Register(b.memory, "a", "ready")
	b.endpoints = append(b.endpoints, endpoint)
	endpoint.SetBehaviour(func(run *platformtest.ReceivedRequest) platformtest.Behaviour {
		if !strings.Contains(run.Body+run.Path, "crash") {
			return platformtest.Behaviour{}
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.sent++
		return platformtest.Behaviour{Crash: func() {
			endpoint.Crash()
			b.mu.Lock()
			defer b.mu.Unlock()
			b.crashed = append(b.crashed, id)
		}}
	})
}

// counts returns the number of endpoints that crashed and of crashing requests received.
func (b *crashFixture) counts() (crashed, sent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.crashed), b.sent
}

// crashingRequest returns an attempt at the crashing request of a program.
func crashingRequest(path, id, program string) callerRequest {
	request := callerRequest{path: path, id: id, body: "crash", header: map[string]string{"X-Program": program, "X-Session": program}}
	if strings.HasPrefix(path, "/look/") {
		request.path, request.body = path+"crash", ""
	}
	return request
}

// Guards against a request that ends one endpoint after the other because each attempt of its caller is taken for a new request.
func TestRequestEndsThreeEndpointsAtMost(t *testing.T) {
	for path, want := range map[string][]int{
		"/chat/x": {502, 502, 503, 503, 503, 503},
		"/keep/x": {502, 502, 502, 503, 503, 503},
		"/look/x": {502, 502, 503, 503, 503, 503},
	} {
		t.Run(path, func(t *testing.T) {
			b := newCrashFixture(t, 16)
			instances := []*instance{b.startInstance(), b.startInstance(), b.startInstance()}
			var statuses []int
			for n := range 6 {
				response, _ := instances[n%len(instances)].mustSend(crashingRequest(path, fmt.Sprint("r", n), "p"))
				statuses = append(statuses, response.StatusCode)
				assert.Equal(t, response.StatusCode == http.StatusServiceUnavailable, response.Header.Get("Retry-After") != "")
			}
			assert.Equal(t, want, statuses, "an attempt that has run is not told that it has not")
			crashed, sent := b.counts()
			assert.Equal(t, 3, crashed)
			assert.Equal(t, 3, sent)
			response, body := instances[0].mustSend(callerRequest{path: path, id: "other", body: "x"})
			assert.Equal(t, http.StatusOK, response.StatusCode, body)
		})
	}
}

// Guards against a count that only the instance holds which saw the endpoints crash.
func TestCrashesAreKnownAfterInstanceIsKilled(t *testing.T) {
	b := newCrashFixture(t, 16)
	for n := range 6 {
		i := b.startInstance()
		if n == 0 {
			b.startInstance()
		}
		for _, guard := range b.guards {
			if guard != i.crashes { // an instance that starts reads the table
				for _, report := range guard.Crashes(100) {
					i.crashes.Receive([]quarantine.Report{report})
				}
			}
		}
		i.mustSend(crashingRequest("/chat/x", fmt.Sprint("r", n), "p"))
		b.removeGuard(i.crashes)
		i.stop()
	}
	crashed, _ := b.counts()
	assert.Equal(t, 3, crashed)
}

// Guards against requests that share a count: of two programs, of two organisations, and of a program's other turns.
func TestCrashesOfOtherRequestsDoNotCount(t *testing.T) {
	b := newCrashFixture(t, 24)
	i := b.startInstance()
	for n := range 3 {
		i.mustSend(crashingRequest("/keep/x", fmt.Sprint("a", n), "p1"))
	}
	response, _ := i.mustSend(crashingRequest("/keep/x", "a3", "p1"))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	response, _ = i.mustSend(crashingRequest("/keep/x", "b0", "p2"))
	assert.Equal(t, http.StatusBadGateway, response.StatusCode, "another program")
	other := crashingRequest("/keep/x", "c0", "p1")
	other.body = "x"
	response, _ = i.mustSend(other)
	assert.Equal(t, http.StatusOK, response.StatusCode, "another turn of the program")
}

// Guards against requests whose connections are reset while their endpoints go on, and that are refused for it.
func TestResetConnectionsAreNoCrashes(t *testing.T) {
	b := newCrashFixture(t, 0)
	var resets atomic.Bool
	resets.Store(true)
	for n := range 12 {
		endpoint := platformtest.NewEndpoint(fmt.Sprint("m-", n), "model", true)
		t.Cleanup(endpoint.Close)
		endpoint.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
			return platformtest.Behaviour{DropResponse: resets.Load()}
		})
		endpoint.Register(b.memory, "a", "ready")
	}
	first, second := b.startInstance(), b.startInstance()
	for n := range 6 {
		response, _ := []*instance{first, second}[n%2].mustSend(crashingRequest("/keep/x", fmt.Sprint("r", n), "p"))
		assert.Equal(t, http.StatusBadGateway, response.StatusCode)
	}
	resets.Store(false)
	response, body := first.mustSend(crashingRequest("/keep/x", "last", "p"))
	assert.Equal(t, http.StatusOK, response.StatusCode, body)
}

// Guards against a refused request that waits for the store, or in a queue, before it is refused.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	b := newCrashFixture(t, 4)
	i := b.startInstance()
	for n := range 3 {
		i.mustSend(crashingRequest("/keep/x", fmt.Sprint("r", n), "p"))
	}
	b.memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	request := crashingRequest("/keep/x", "last", "p")
	request.header["X-Token-Budget"], request.header["X-Token-Count"] = "9000", "100,567"
	began := time.Now()
	response, body := i.mustSend(request)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, body, "Quarantined")
	assert.Less(t, time.Since(began), 500*time.Millisecond)
}

// Guards against bystanders at the endpoint at which a request is tried that has crashed others.
func TestRequestsAvoidEndpointsThatMayCrash(t *testing.T) {
	b := newCrashFixture(t, 8)
	i := b.startInstance()
	now := time.Now()
	key := quarantine.Key{1}
	for n, report := range []quarantine.Report{{Incarnation: "gone-1", State: quarantine.StateCrashed}, {Incarnation: "gone-2", State: quarantine.StateCrashed}, {Incarnation: "m-0", State: quarantine.StateTrying}} {
		report.Key, report.Attempt, report.SentAt, report.At = key, uint64(n), now, now
		i.crashes.Receive([]quarantine.Report{report})
	}
	for n := range 60 {
		response, _ := i.mustSend(callerRequest{path: "/chat/x", id: fmt.Sprint("r", n), body: "x"})
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	for _, endpoint := range b.endpoints {
		if endpoint.ID == "m-0" {
			assert.Empty(t, endpoint.ReceivedRequests())
		}
	}
}

// Guards against requests refused since endpoints were stopped that served them to the end, or
// since two endpoints broke off when they stopped; and against a fourth endpoint that stops
// under a request.
func TestRequestsOutlastPlannedStops(t *testing.T) {
	stop := func(b *crashFixture, endpoint *platformtest.Endpoint) {
		endpoint.Register(b.memory, "a", "draining")
		time.Sleep(100 * time.Millisecond)
		endpoint.Crash()
	}
	for name, test := range map[string]struct {
		// broken is the number of endpoints that stop before the response; others serve it.
		broken int
		want   []int
	}{
		"all serve it":     {0, []int{200, 200, 200, 200}},
		"two break off":    {2, []int{502, 502, 200, 200}},
		"all break it off": {4, []int{502, 502, 502, 503}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newCrashFixture(t, 0)
			i := b.startInstance()
			var statuses []int
			for n := range test.want {
				endpoint := platformtest.NewEndpoint(fmt.Sprint("stop-", n), "model", true)
				t.Cleanup(endpoint.Close)
				endpoint.EventDelay = 20 * time.Millisecond
				endpoint.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
					if n < test.broken {
						return platformtest.Behaviour{Crash: func() { stop(b, endpoint) }}
					}
					go stop(b, endpoint)
					return platformtest.Behaviour{}
				})
				endpoint.Register(b.memory, "a", "ready")
				require.Eventually(t, func() bool {
					listed := i.Endpoints.Service("model")
					return len(listed) == 1 && listed[0].ID == endpoint.ID
				}, 2*time.Second, 5*time.Millisecond)
				response, _ := i.mustSend(callerRequest{path: "/keep/x", id: fmt.Sprint("r", n), body: "x", header: map[string]string{"X-Program": "p", "X-Session": "p"}})
				statuses = append(statuses, response.StatusCode)
				endpoint.Register(b.memory, "a", "draining")
				require.Eventually(t, func() bool { return len(i.Endpoints.Service("model")) == 0 }, 2*time.Second, 5*time.Millisecond)
			}
			assert.Equal(t, test.want, statuses)
		})
	}
}
