package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
)

// stopShape is how an endpoint ends that works on a request: what its entry says, when it
// ends, and how patient the caller is.
type stopShape struct {
	name string
	// announce changes the entry, lead before the end; nil leaves it as it is.
	announce func(b *endFixture, endpoint *platformtest.Endpoint)
	lead     time.Duration
	// work is how long the endpoint works on the request before it ends. It does so
	// silently if isSilent is set: it responds to nobody meanwhile.
	work     time.Duration
	isSilent bool
	// restarts has the endpoint start again under its ID, at an address that refuses no
	// connection.
	restarts bool
	// deadline is that of each attempt, and patience the time after which the caller
	// leaves; 0 for never. interval is the pause between attempts.
	deadline, patience, interval time.Duration
	// path is that of the requests; empty for all kinds.
	path string
	// isShared is set for requests of no program, which several callers may send.
	isShared bool
}

// drains registers the endpoint as draining.
func drains(b *endFixture, endpoint *platformtest.Endpoint) {
	endpoint.Register(b.memory, "a", "draining")
}

// leaves removes the endpoint's entry.
func leaves(b *endFixture, endpoint *platformtest.Endpoint) { endpoint.Unregister(b.memory) }

var stopShapes = []stopShape{
	{name: "drains 5 ms before", announce: drains, lead: 5 * time.Millisecond, interval: retryInterval},
	{name: "drains 100 ms before", announce: drains, lead: 100 * time.Millisecond, interval: retryInterval},
	{name: "drains 1 s before", announce: drains, lead: time.Second, interval: retryInterval},
	{name: "leaves the list 100 ms before", announce: leaves, lead: 100 * time.Millisecond, interval: retryInterval},
	{name: "ends as the caller leaves", work: 600 * time.Millisecond, deadline: 1200 * time.Millisecond, interval: retryInterval, path: "/look/x"},
	{name: "ends after the caller left", work: 500 * time.Millisecond, patience: 400 * time.Millisecond, interval: 600 * time.Millisecond},
	{name: "hangs and ends", work: 7 * time.Second, isSilent: true, patience: 1500 * time.Millisecond},
	{name: "drains 100 ms before, no program", announce: drains, lead: 100 * time.Millisecond, interval: retryInterval, path: "/look/x", isShared: true},
	{name: "ends as the caller leaves, no program", work: 600 * time.Millisecond, deadline: 1200 * time.Millisecond, interval: retryInterval, path: "/look/x", isShared: true},
	{name: "ends after the caller left, no program", work: 500 * time.Millisecond, patience: 400 * time.Millisecond, interval: 600 * time.Millisecond, path: "/look/x", isShared: true},
	{name: "ends late after the caller left, no program", work: time.Second, patience: 400 * time.Millisecond, interval: 1200 * time.Millisecond, path: "/look/x", isShared: true},
	{name: "ends late after the caller left", work: time.Second, patience: 400 * time.Millisecond, interval: 1200 * time.Millisecond},
	{name: "hangs and ends, no program", work: 7 * time.Second, isSilent: true, patience: 1500 * time.Millisecond, path: "/look/x", isShared: true},
	{name: "restarts under its ID", restarts: true, interval: retryInterval},
	{name: "restarts under its ID late", restarts: true, interval: time.Second},
}

// newStopFixture returns a fixture with 14 endpoints of each service, which end under
// requests of the program "ending".
func newStopFixture(t *testing.T, shape stopShape) *endFixture {
	t.Helper()
	b := newEndFixture(t, 0, endShape{})
	for n := range 14 {
		for _, service := range []string{"model", "tool"} {
			endpoint := platformtest.NewEndpoint(fmt.Sprintf("%s-%d", service, n), service, service == "model")
			t.Cleanup(endpoint.Close)
			t.Cleanup(b.stops.Wait)
			if shape.restarts {
				endpoint.Born = time.Now().UnixMilli()
			}
			var once sync.Once
			endpoint.SetBehaviour(func(run *platformtest.ReceivedRequest) platformtest.Behaviour {
				if !strings.Contains(run.Body+run.Path, "crash") {
					return platformtest.Behaviour{}
				}
				if shape.restarts {
					return platformtest.Behaviour{Crash: func() { b.restart(endpoint) }}
				}
				b.mu.Lock()
				b.ended[endpoint.ID] = true // whatever happens to the request
				b.mu.Unlock()
				once.Do(func() { b.stops.Go(func() { b.stop(endpoint, shape) }) })
				return platformtest.Behaviour{Hang: true}
			})
			endpoint.Register(b.memory, "a", "ready")
		}
	}
	return b
}

// stop ends an endpoint that works on a request.
func (b *endFixture) stop(endpoint *platformtest.Endpoint, shape stopShape) {
	if shape.isSilent {
		endpoint.Silence(nil)
	}
	time.Sleep(shape.work)
	if shape.announce != nil {
		shape.announce(b, endpoint)
		time.Sleep(shape.lead)
	}
	b.end(endpoint, false)
}

// restart ends the incarnation of an endpoint and starts the next one, whose entry follows
// a moment later.
func (b *endFixture) restart(endpoint *platformtest.Endpoint) {
	b.mu.Lock()
	b.ended[fmt.Sprint(endpoint.ID, "@", endpoint.Born)] = true
	b.mu.Unlock()
	go func() {
		time.Sleep(50 * time.Millisecond)
		endpoint.Born = time.Now().UnixMilli()
		endpoint.Register(b.memory, "a", "ready")
	}()
}

// Guards against a request that ends more endpoints than allowed since an endpoint that is
// listed as leaving, or responds after its caller has left, or is silent, is taken for one
// that lives or stops for another reason.
func TestRequestEndsThreeEndpointsHoweverTheyStop(t *testing.T) {
	const attempts = 7
	for _, shape := range stopShapes {
		paths := []string{"/chat/x", "/keep/x", "/look/x"}
		if shape.path != "" {
			paths = []string{shape.path}
		}
		for _, path := range paths {
			t.Run(shape.name+path, func(t *testing.T) {
				t.Parallel()
				b := newStopFixture(t, shape)
				var logs lockedBuffer
				b.logs = &logs
				defer func() {
					if t.Failed() {
						t.Log(logs.String())
					}
				}()
				instances := []*instance{b.startInstance(), b.startInstance(), b.startInstance()}
				var statuses []int
				for n := range attempts {
					request := crashingRequest(path, fmt.Sprint("r", n), "p")
					if shape.isShared {
						delete(request.header, "X-Program")
						delete(request.header, "X-Session")
					}
					if shape.deadline > 0 {
						request.header["X-Deadline-Ms"] = fmt.Sprint(shape.deadline.Milliseconds())
					}
					ctx, cancel := context.Background(), func() {}
					if shape.patience > 0 {
						ctx, cancel = context.WithTimeout(ctx, shape.patience)
					}
					request.ctx = ctx
					began, status := time.Now(), 0
					if response, _, err := instances[n%len(instances)].send(request); err == nil {
						status = response.StatusCode
					}
					cancel()
					statuses = append(statuses, status)
					time.Sleep(max(shape.interval, shape.patience-time.Since(began)))
				}
				assert.LessOrEqual(t, b.endedCount(), maxEnded, "statuses %v", statuses)
				assert.NotZero(t, b.endedCount())
				response, body := instances[0].mustSend(callerRequest{path: path, id: "other", body: "x"})
				assert.Equal(t, http.StatusOK, response.StatusCode, body)
			})
		}
	}
}

// Guards against requests refused since their callers left three endpoints that are slow or
// were silent for a while, and that live.
func TestRequestsOfSlowEndpointsAreServed(t *testing.T) {
	const patience = 350 * time.Millisecond
	for name, isSilent := range map[string]bool{"slow": false, "silent for a while": true} {
		for _, path := range []string{"/chat/x", "/keep/x", "/look/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				b := newEndFixture(t, 0, endShape{})
				responsive := make(chan struct{})
				var mu sync.Mutex
				received := 0
				for n := range 8 {
					for _, service := range []string{"model", "tool"} {
						endpoint := platformtest.NewEndpoint(fmt.Sprintf("%s-%d", service, n), service, service == "model")
						t.Cleanup(endpoint.Close)
						endpoint.SetBehaviour(func(run *platformtest.ReceivedRequest) platformtest.Behaviour {
							mu.Lock()
							defer mu.Unlock()
							received++
							if received > maxEnded {
								return platformtest.Behaviour{}
							}
							if isSilent {
								go endpoint.Silence(responsive)
							}
							return platformtest.Behaviour{Hang: true}
						})
						endpoint.Register(b.memory, "a", "ready")
					}
				}
				instances := []*instance{b.startInstance(), b.startInstance(), b.startInstance()}
				for n := range maxEnded {
					request := crashingRequest(path, fmt.Sprint("r", n), "p")
					ctx, cancel := context.WithTimeout(context.Background(), patience)
					request.ctx = ctx
					_, _, err := instances[n].send(request)
					assert.Error(t, err)
					cancel()
					time.Sleep(2 * retryInterval) // the others learn of an endpoint that is silent
				}
				began := time.Now()
				response, body := instances[0].mustSend(crashingRequest(path, "again", "p"))
				if !isSilent {
					assert.Equal(t, http.StatusOK, response.StatusCode, body)
					assert.Less(t, time.Since(began), 2*time.Second)
					return
				}
				assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, body)
				assert.NotEmpty(t, response.Header.Get("Retry-After"))
				close(responsive)
				response, body = instances[1].mustSend(crashingRequest(path, "once more", "p"))
				assert.Equal(t, http.StatusOK, response.StatusCode, body)
			})
		}
	}
}

// Guards against a request that waits for the verdict on endpoints though its deadline passes
// before.
func TestRequestIsRefusedAtOnceIfItCannotAwaitTheVerdict(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	request := crashingRequest("/look/x", "r", "p")
	request.header["X-Deadline-Ms"] = "200"
	var key quarantine.Key
	b.tool.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
		return platformtest.Behaviour{Raw: "no response\r\n", CloseRaw: true}
	})
	i.mustSend(request)
	reports := i.crashes.Reports(1)
	require.Len(t, reports, 1)
	key = reports[0].Key
	now := time.Now()
	for n := range maxEnded - 1 {
		i.crashes.Receive([]quarantine.Report{{Key: key, Attempt: uint64(n), Incarnation: fmt.Sprint("e", n), State: quarantine.StateCrashed, SentAt: now, At: now}})
	}
	began := time.Now()
	request.id = "r1"
	response, _ := i.mustSend(request)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Less(t, time.Since(began), 100*time.Millisecond)
}

// Guards against a failed exchange that is forgotten since too many endpoints are watched, and
// against refusals that count for the same reason.
func TestFailedExchangeCountsIfItsEndpointIsNotWatched(t *testing.T) {
	for raw, want := range map[string]int{
		"HTTP/1.1 500 Internal Server Error\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n": 1,
		"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n":        0,
	} {
		b := newFixture(t)
		b.model.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour { return platformtest.Behaviour{Raw: raw} })
		i := b.startInstance()
		i.OccupyWatches()
		i.mustSend(crashingRequest("/keep/x", "r", "p"))
		assert.Equal(t, want, i.crashes.Len(), raw)
	}
}
