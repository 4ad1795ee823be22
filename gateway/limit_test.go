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
