package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/gateway"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// bodyBytes returns the memory that the instance holds for requests.
func (i *instance) bodyBytes() int64 { return i.State().(gateway.State).BodyBytes }

// sendWithoutReading sends a request for path and reads nothing of the response.
// The connection has a small receive buffer, as on a narrow link, and is closed
// when the test ends.
func (i *instance) sendWithoutReading(path, id string) net.Conn {
	t := i.fixture.t
	t.Helper()
	conn, err := net.Dial("tcp", i.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1200\r\n\r\n", path, id)
	require.NoError(t, err)
	return conn
}

// Guards against an instance that is killed for its memory because callers read
// slowly: responses read from endpoints were not counted, 1 MiB each.
func TestSlowCallersHoldBoundedMemory(t *testing.T) {
	const callers, size, limit = 12, 900_000, 2_000_000
	b := newFixture(t)
	i := b.startInstance()
	i.MaxBodyBytes = limit
	// The first response uses up the memory, so all requests are accepted before.
	accepted, allAccepted := 0, make(chan struct{})
	b.tool.SetBehaviour(func(run *platformtest.ReceivedRequest) platformtest.Behaviour {
		if strings.HasPrefix(run.ID, "slow") {
			if accepted++; accepted == callers {
				close(allAccepted)
			}
			return platformtest.Behaviour{ResponseSize: size, Until: allAccepted}
		}
		return platformtest.Behaviour{}
	})
	var conns []net.Conn
	for n := range callers {
		conns = append(conns, i.sendWithoutReading("/look/x", fmt.Sprint("slow", n)))
	}
	most := int64(0)
	require.Eventually(t, func() bool {
		most = max(most, i.bodyBytes())
		return len(b.tool.ReceivedRequests()) == callers && most > limit/2
	}, 2*time.Second, time.Millisecond)
	for began := time.Now(); time.Since(began) < 200*time.Millisecond; time.Sleep(time.Millisecond) {
		most = max(most, i.bodyBytes())
	}
	assert.LessOrEqual(t, most, int64(limit+callers*(64<<10)), "each request may exceed the limit by one read")
	began := time.Now()
	_, body := i.mustSend(callerRequest{path: "/look/x", id: "other"})
	assert.Equal(t, "answer to other", body)
	assert.Less(t, time.Since(began), 500*time.Millisecond, "slow callers delay nobody else")
	for _, conn := range conns {
		require.NoError(t, conn.Close())
	}
	assert.Eventually(t, func() bool { return i.bodyBytes() == 0 }, 3*time.Second, 5*time.Millisecond, "the memory of ended requests is released")
}

// Guards against an instance that is killed for its memory because callers do not read large
// events: an event was not counted once it was complete.
func TestUnreadEventsTakeMemory(t *testing.T) {
	const size, samples = 900 << 10, 100
	b := newFixture(t)
	i := b.startInstance()
	b.model.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
		return platformtest.Behaviour{Raw: responseHead + "\r\n", Endless: "data: " + strings.Repeat("x", size) + "\n\n"}
	})
	conn := i.sendWithoutReading("/chat/x", "slow")
	counted := 0 // in succession, since an event takes memory while it arrives
	assert.Eventually(t, func() bool {
		if counted++; i.bodyBytes() < size {
			counted = 0
		}
		return counted >= samples
	}, time.Second, time.Millisecond)
	require.NoError(t, conn.Close())
	assert.Eventually(t, func() bool { return i.bodyBytes() == 0 }, 3*time.Second, 5*time.Millisecond)
}

// Guards against a caller that keeps its request's memory for ever by reading
// nothing: the request ends a second after its deadline.
func TestCallerThatNeverReadsIsDisconnected(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	b.tool.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
		return platformtest.Behaviour{ResponseSize: 20_000_000}
	})
	i.sendWithoutReading("/look/x", "slow")
	require.Eventually(t, func() bool { return i.bodyBytes() > 0 }, time.Second, time.Millisecond)
	assert.Eventually(t, func() bool { return i.bodyBytes() == 0 && i.InFlight() == 0 }, 4*time.Second, 10*time.Millisecond)
}

// Guards against a partial response that looks complete: the endpoint cuts off
// a response, as it does with one that was not read for some seconds, after a
// part of it was sent to the caller.
func TestResponseCutByEndpointIsIncomplete(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	b.tool.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
		return platformtest.Behaviour{ResponseSize: 4 << 20, CutAfter: 2 << 20}
	})
	_, body, err := i.send(callerRequest{path: "/post/x", id: "r1", body: "x"})
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Less(t, len(body), 4<<20)
	assert.Len(t, b.tool.ReceivedRequests(), 1)
	assert.Eventually(t, func() bool { return i.bodyBytes() == 0 }, time.Second, time.Millisecond)
}

// Guards against one endpoint that reads slowly, or not at all, and thereby
// holds up requests to others. A request that was sent to it counts as possibly
// run, so it is not answered as "not run".
func TestEndpointThatDoesNotReadDelaysNoOther(t *testing.T) {
	b := newFixture(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	stuck := platformtest.NewEndpoint("i-stuck", "tool", false)
	t.Cleanup(stuck.Close)
	stuck.Public = listener.Addr().String() // accepts connections and never reads
	stuck.Register(b.memory, "a", "ready")
	i := b.startInstance()
	statuses := make(chan int, 12)
	for n := range cap(statuses) {
		go func() {
			response, _, err := i.send(callerRequest{path: "/post/x", id: fmt.Sprint("r", n), body: strings.Repeat("x", 60_000), header: map[string]string{"X-Deadline-Ms": "700"}})
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	count := map[int]int{}
	for range cap(statuses) {
		count[<-statuses]++
	}
	assert.Equal(t, len(b.tool.ReceivedRequests()), count[200], "%v", count)
	assert.Equal(t, cap(statuses)-count[200], count[504], "%v", count)
	assert.Positive(t, count[504])
	assert.Positive(t, count[200])
	assert.Zero(t, i.bodyBytes())
}
