package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// startLimitedInstance starts an instance whose callers may make it hold so many bytes.
func startLimitedInstance(t *testing.T, memory int64) *instance {
	b := newFixture(t)
	b.limiter = connlimit.New(connlimit.Config{Name: "callers", Memory: memory, Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
	return b.startInstance()
}

// Guards against callers that announce bodies and do not send them, for which others are refused.
func TestUnsentBodiesMakeRoom(t *testing.T) {
	i := startLimitedInstance(t, 250<<10)
	conn, err := net.Dial("tcp", i.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /post/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: unsent\r\nX-Deadline-Ms: 3000\r\nContent-Length: 60000\r\n\r\nx")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return i.fixture.limiter.Used() > 110<<10 }, 5*time.Second, time.Millisecond)
	body := strings.Repeat("x", 60000)
	require.Eventually(t, func() bool { // told to come back until the first has ended
		response, _ := i.mustSend(callerRequest{path: "/post/x", id: "sent", body: body})
		return response.StatusCode == http.StatusOK
	}, 5*time.Second, 10*time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	for _, run := range i.fixture.tool.ReceivedRequests() {
		assert.Equal(t, "sent", run.ID)
	}
}

// Guards against requests in flight without a bound: one for which there is no room is told that it has not run.
func TestRequestsInFlightAreBounded(t *testing.T) {
	i := startLimitedInstance(t, 250<<10)
	i.fixture.tool.EventDelay = 200 * time.Millisecond
	statuses := make(chan int, 10)
	for n := range cap(statuses) {
		go func() {
			response, _, err := i.send(callerRequest{path: "/post/x", id: fmt.Sprint("r", n), body: "x"})
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	counts := map[int]int{}
	for range cap(statuses) {
		counts[<-statuses]++
	}
	t.Log(counts)
	assert.Positive(t, counts[http.StatusOK])
	assert.Positive(t, counts[http.StatusServiceUnavailable])
	assert.Len(t, i.fixture.tool.ReceivedRequests(), counts[http.StatusOK], "a refused request has not run")
	require.Eventually(t, func() bool { return i.fixture.limiter.Used() == 0 }, 5*time.Second, time.Millisecond)
	response, _ := i.mustSend(callerRequest{path: "/post/x", id: "later", body: "x"})
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a request that is inside the limits and is refused for the number of its header lines.
func TestRequestOfShortLinesIsServedInCalm(t *testing.T) {
	i := startLimitedInstance(t, 36<<20)
	var lines strings.Builder
	for n := 0; lines.Len() < 15<<10; n++ {
		fmt.Fprintf(&lines, "%c:\r\n", 'a'+n%26)
	}
	conn, err := net.Dial("tcp", i.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /look/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r\r\n"+lines.String()+"\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against memory of requests that stays charged to a connection that is kept.
func TestKeptConnectionHoldsNoRequest(t *testing.T) {
	i := startLimitedInstance(t, 4<<20)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := range 3 {
		response, _ := i.mustSend(callerRequest{path: "/post/x", id: fmt.Sprint("r", n), body: strings.Repeat("x", 40000), client: client})
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	assert.Eventually(t, func() bool { used := i.fixture.limiter.Used(); return used > 0 && used < 40000 }, 5*time.Second, time.Millisecond)
}

// Guards against responses that are held without being charged.
func TestResponsesAreCharged(t *testing.T) {
	i := startLimitedInstance(t, 4<<20)
	i.fixture.tool.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
		return platformtest.Behaviour{Raw: "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 500000\r\n\r\n" + strings.Repeat("x", 300000)}
	})
	go func() { _, _, _ = i.send(callerRequest{path: "/look/x", id: "r"}) }()
	assert.Eventually(t, func() bool { return i.fixture.limiter.Used() > 300000 }, time.Second, time.Millisecond)
}

// Guards against a line about a connection without an answer for each one that was answered and closed to make room.
func TestConnectionsThatMakeRoomHaveNoLineOfTheirOwn(t *testing.T) {
	var out lockedBuffer
	b := newFixture(t)
	b.logs = &out
	b.limiter = connlimit.New(connlimit.Config{Name: "callers", Connections: 1, Log: slog.New(slog.NewTextHandler(&out, nil)), Metrics: tally.NoopScope})
	i := b.startInstance()
	slow, err := net.Dial("tcp", i.address)
	require.NoError(t, err)
	defer func() { _ = slow.Close() }()
	_, err = io.WriteString(slow, "GET /look/x HTTP/1.1\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.limiter.Used() > 20<<10 }, 5*time.Second, time.Millisecond)
	response, _ := i.mustSend(callerRequest{path: "/look/x", id: strings.Repeat("r", 1000)})
	require.Equal(t, http.StatusOK, response.StatusCode)
	assert.Eventually(t, func() bool { return strings.Contains(out.String(), "request=sha256-") }, 5*time.Second, time.Millisecond, "long identifiers are shortened")
	assert.Contains(t, out.String(), "no room for clients")
	assert.NotContains(t, out.String(), "connection ended without an answer")
}

// Guards against responses and log lines as long as a value that a caller sent.
func TestInvalidValuesAreAbbreviated(t *testing.T) {
	i := newFixture(t).startInstance()
	response, body := i.mustSend(callerRequest{path: "/look/x", id: "r", header: map[string]string{"X-Deadline-Ms": strings.Repeat("x", 10000)}})
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	assert.Less(t, len(body), 1000)
}

// Guards against turns of new programs that fail for good while there are many: they are told to come back.
func TestTooManyProgramsAreToldToComeBack(t *testing.T) {
	i := newFixture(t).startInstance()
	i.Accounts.LimitPrograms(1)
	for n, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, body := i.mustSend(callerRequest{path: "/chat/x", id: fmt.Sprint("r", n), body: "x", header: turnHeaders(fmt.Sprint("p", n), nil)})
		assert.Equal(t, status, response.StatusCode)
		if status != http.StatusOK {
			assert.Contains(t, body, "NoMemory")
			assert.NotEmpty(t, response.Header.Get("Retry-After"))
		}
	}
}
