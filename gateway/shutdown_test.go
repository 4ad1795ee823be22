package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// graceFor returns the grace period of which responses may take the given time.
func graceFor(responses time.Duration) time.Duration { return responses * 6 / 5 }

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

// Guards against a request that a stopping instance accepts though it exits before the
// request's deadline, and then cuts off.
func TestStoppingInstanceRefusesRequestsThatOutlastIt(t *testing.T) {
	b := newFixture(t)
	b.grace = graceFor(800 * time.Millisecond)
	i := b.startInstance()
	i.Drain()
	for _, path := range []string{"/post/x", "/look/x", "/chat/x"} {
		response, body := i.mustSend(callerRequest{path: path, id: "late", body: "x", header: map[string]string{"X-Deadline-Ms": "1100"}})
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, path)
		assert.Contains(t, body, "ShuttingDown")
		assert.True(t, response.Close)
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
		response, _ = i.mustSend(callerRequest{path: path, id: "fits", body: "x", header: map[string]string{"X-Deadline-Ms": "500"}})
		assert.Equal(t, http.StatusOK, response.StatusCode, path)
	}
	for _, endpoint := range []*platformtest.Endpoint{b.tool, b.model} {
		for _, run := range endpoint.ReceivedRequests() {
			assert.Equal(t, "fits", run.ID)
		}
	}
}

// Guards against callers who use up their attempts within some 50 ms at stopping instances,
// since none that takes callers is left.
func TestRefusalOfCallerNotRedirectedDelaysRetry(t *testing.T) {
	b := newFixture(t)
	b.grace = 2 * time.Second
	i := b.startInstance()
	i.Drain()
	retryAfter := func() float64 {
		response, _ := i.mustSend(callerRequest{path: "/post/x", id: "late", body: "x"})
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		return seconds
	}
	assert.Less(t, retryAfter(), 0.05)
	time.Sleep(time.Until(i.shutdown.AcceptUntil()) + 10*time.Millisecond)
	assert.GreaterOrEqual(t, retryAfter(), 0.15)
}

// Guards against a line about a connection without an answer that cannot be related to a
// request.
func TestLineAboutConnectionNamesRequest(t *testing.T) {
	b := newFixture(t)
	logs := &lockedBuffer{}
	b.logs = logs
	i := b.startInstance()
	b.tool.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour { return platformtest.Behaviour{Hang: true} })
	i.stop()
	ctx, leave := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer leave()
	_, _, err := i.send(callerRequest{path: "/post/x", id: "left", body: "x", ctx: ctx})
	require.Error(t, err)
	require.Eventually(t, func() bool { return strings.Contains(logs.String(), "connection ended without an answer") }, 2*time.Second, 10*time.Millisecond)
	assert.Regexp(t, `msg="connection ended without an answer" .*request=left .*reason=CallerLeft`, logs.String())
}

// Guards against a request that waits for its admission as a stop begins and is sent to
// an endpoint although the instance exits before its deadline.
func TestWaitingRequestIsRefusedAsStopBegins(t *testing.T) {
	b := newFixture(t)
	b.grace = 3 * time.Second
	hanging := &hangingStore{Store: b.memory}
	b.store = hanging
	i := b.startInstance()
	hanging.hanging.Store(true)
	time.AfterFunc(200*time.Millisecond, i.Drain)
	began := time.Now()
	response, body := i.mustSend(callerRequest{path: "/chat/x", id: "r", body: "x", header: turnHeaders("p", nil)})
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, body, "ShuttingDown")
	assert.Less(t, time.Since(began), time.Second)
	assert.Empty(t, b.model.ReceivedRequests())
}

// Guards against a second attempt at an endpoint that a stopping instance begins and
// cannot complete before it exits.
func TestStoppingInstanceDoesNotRetryRequestsThatOutlastIt(t *testing.T) {
	b := newFixture(t)
	b.grace = graceFor(800 * time.Millisecond)
	other := platformtest.NewEndpoint("i-other", "tool", false)
	t.Cleanup(other.Close)
	other.Register(b.memory, "a", "ready")
	i := b.startInstance()
	for _, endpoint := range []*platformtest.Endpoint{b.tool, other} {
		endpoint.EventDelay = 200 * time.Millisecond
		endpoint.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
			return platformtest.Behaviour{ResponseSize: 100, CutAfter: 10}
		})
	}
	time.AfterFunc(100*time.Millisecond, i.Drain)
	response, body := i.mustSend(callerRequest{path: "/look/x", id: "r"})
	assert.Equal(t, http.StatusBadGateway, response.StatusCode)
	assert.Contains(t, body, "ShuttingDown")
	assert.Len(t, append(b.tool.ReceivedRequests(), other.ReceivedRequests()...), 1)
}

// Guards against a body that a stopping instance waits for beyond its last moment to
// answer, and against one that is awaited beyond the request's deadline.
func TestIncompleteBodyIsRefusedInTime(t *testing.T) {
	for _, stops := range []bool{true, false} {
		b := newFixture(t)
		b.grace = graceFor(800 * time.Millisecond)
		i := b.startInstance()
		if stops {
			time.AfterFunc(100*time.Millisecond, i.Drain)
		}
		began := time.Now()
		response, body := sendHalfBody(t, i, "/post/x", "1500")
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		assert.Equal(t, stops, strings.Contains(body, "ShuttingDown"), body)
		assert.Less(t, time.Since(began), 3*time.Second)
		if stops {
			assert.Less(t, time.Since(began), 1400*time.Millisecond, "before the request's deadline")
		}
		assert.Empty(t, b.tool.ReceivedRequests())
	}
}

// Guards against a stop that ends a request which was sent to an endpoint before the signal
// and whose response comes in time, though its deadline is later.
func TestStopLetsSentRequestEnd(t *testing.T) {
	b := newFixture(t)
	b.grace = graceFor(1800 * time.Millisecond)
	i := b.startInstance()
	b.tool.EventDelay = 600 * time.Millisecond
	time.AfterFunc(100*time.Millisecond, i.Drain)
	response, _ := i.mustSend(callerRequest{path: "/post/x", id: "r", body: "x"})
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

// deadlineRecorder is a response writer that records the deadlines for reading.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (recorder *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	recorder.deadlines = append(recorder.deadlines, deadline)
	return nil
}

// Guards against a response that is lost because the time limit of reading the body
// remains in force after the body has arrived, and ends the connection.
func TestTimeLimitOfBodyEndsWithIt(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	r := httptest.NewRequest(http.MethodPost, "/post/x", strings.NewReader("x"))
	r.Host = "desk.example"
	r.Header.Set("X-Request-Id", "r")
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	i.ServeHTTP(w, r)
	assert.Equal(t, http.StatusOK, w.Code)
	require.Len(t, w.deadlines, 2)
	assert.False(t, w.deadlines[0].IsZero())
	assert.True(t, w.deadlines[1].IsZero())
}

// Guards against a stopping instance that waits for the body of a request that it can't
// serve in time.
func TestStoppingInstanceRefusesBeforeBody(t *testing.T) {
	b := newFixture(t)
	b.grace = graceFor(2800 * time.Millisecond)
	i := b.startInstance()
	i.Drain()
	began := time.Now()
	response, _ := sendHalfBody(t, i, "/chat/x", "3000")
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Less(t, time.Since(began), 2*time.Second)
}

// Guards against a stream that a stopping instance breaks off although another endpoint
// can go on with it.
func TestStoppingInstanceGoesOnWithBrokenStream(t *testing.T) {
	b := newFixture(t)
	b.grace = 2 * time.Second
	other := platformtest.NewEndpoint("i-other", "model", true)
	t.Cleanup(other.Close)
	other.Register(b.memory, "a", "ready")
	i := b.startInstance()
	for _, endpoint := range []*platformtest.Endpoint{b.model, other} {
		endpoint.EventDelay = 150 * time.Millisecond
		endpoint.SetBehaviour(func(run *platformtest.ReceivedRequest) platformtest.Behaviour {
			if run.LastEventID == "" {
				return platformtest.Behaviour{ResetAfter: 1}
			}
			return platformtest.Behaviour{}
		})
	}
	time.AfterFunc(220*time.Millisecond, i.Drain)
	response, body := i.mustSend(callerRequest{path: "/chat/x", id: "r", body: "x"})
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, streamText("r", 1, 3), body)
}

// sendHalfBody sends a request with an incomplete body and returns the response and its
// body.
func sendHalfBody(t *testing.T, i *instance, path, deadlineMs string) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp", i.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r\r\nX-Deadline-Ms: "+deadlineMs+"\r\nContent-Length: 9\r\n\r\nhalf")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}
