package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// serve accepts connections on a local port, runs handle for each with its
// number, counted from 1, and returns the address.
func serve(t *testing.T, handle func(n int, conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// request returns a POST request with the given ID in its X-Id header.
func request(address, id string, body string) *upstream.Request {
	return &upstream.Request{Address: address, Method: "POST", Target: "/a?b=c%20d", Host: "desk.example", Header: http.Header{"X-Id": {id}}, Body: []byte(body), HasBody: true, IDHeader: "X-Id"}
}

// respond writes a response with the given ID, extra header lines and body.
func respond(conn net.Conn, id, extra, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

// do sends r and returns the body of the response, bounded by 3 s.
func do(t *testing.T, client *upstream.Client, r *upstream.Request) (string, *upstream.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	response, err := client.Do(ctx, r)
	if err != nil {
		return "", nil, err
	}
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), response, err
}

// stage returns the stage of err, which must be an *upstream.Error.
func stage(t *testing.T, err error) upstream.Stage {
	t.Helper()
	var ue *upstream.Error
	require.ErrorAs(t, err, &ue)
	return ue.Stage()
}

// read reads one request and returns its ID, target and body.
func read(reader *bufio.Reader) (id, target, body string, err error) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return "", "", "", err
	}
	data, err := io.ReadAll(r.Body)
	return r.Header.Get("X-Id"), r.RequestURI, string(data), err
}

func TestConnectionReused(t *testing.T) {
	address := serve(t, func(n int, conn net.Conn, reader *bufio.Reader) {
		for {
			id, target, body, err := read(reader)
			if err != nil {
				return
			}
			respond(conn, id, "", fmt.Sprintf("%d %s %s", n, target, body))
		}
	})
	client := upstream.NewClient()
	for range 3 {
		body, _, err := do(t, client, request(address, "r", "x"))
		require.NoError(t, err)
		assert.Equal(t, "1 /a?b=c%20d x", body, "the first connection is reused")
		assert.EqualValues(t, 1, client.ConnectionsOpened())
	}
}

// Guards against a caller receiving the response to another caller's request.
// An endpoint sends a second response late, which arrives just as the next
// request is sent on the connection; the order alone does not tell which
// request a response belongs to.
func TestResponseToEarlierRequestSkipped(t *testing.T) {
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			id, _, _, err := read(reader)
			if err != nil {
				return
			}
			respond(conn, "earlier", "", "not yours")
			respond(conn, id, "", "yours")
		}
	})
	body, _, err := do(t, upstream.NewClient(), request(address, "r", "x"))
	require.NoError(t, err)
	assert.Equal(t, "yours", body)
}

// Guards against the same failure when the extra response arrives while the
// connection is idle: a connection with unread data must not be reused.
func TestConnectionWithUnreadBytesNotReused(t *testing.T) {
	address := serve(t, func(n int, conn net.Conn, reader *bufio.Reader) {
		id, _, _, err := read(reader)
		if err != nil {
			return
		}
		respond(conn, id, "", fmt.Sprint(n))
		time.Sleep(20 * time.Millisecond)
		respond(conn, id, "", "extra")
		time.Sleep(time.Second)
	})
	client := upstream.NewClient()
	for i := range 2 {
		body, _, err := do(t, client, request(address, "r", "x"))
		require.NoError(t, err)
		assert.Equal(t, fmt.Sprint(i+1), body)
		time.Sleep(60 * time.Millisecond)
	}
}

// Guards against an endpoint executing a request that was never sent. It
// responds before it has read a long body and reads the remainder later. If the
// connection is reused, the bytes of the next request are taken for that
// remainder.
func TestEarlyResponseClosesConnection(t *testing.T) {
	var connections atomic.Int32
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		connections.Add(1)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
		time.Sleep(200 * time.Millisecond)
	})
	client := upstream.NewClient()
	for range 2 {
		_, response, err := do(t, client, request(address, "r", strings.Repeat("x", 8<<20)))
		require.NoError(t, err)
		assert.Equal(t, 503, response.Status)
	}
	assert.EqualValues(t, 2, connections.Load())
}

// Guards against a non-idempotent request executed twice. An endpoint receives
// a request on a reused connection and closes it without a response; net/http's
// Transport would then retry the request.
func TestRequestNotRetried(t *testing.T) {
	var requests atomic.Int32
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			id, _, _, err := read(reader)
			if err != nil {
				return
			}
			if requests.Add(1) > 1 {
				return
			}
			respond(conn, id, "", "ok")
		}
	})
	client := upstream.NewClient()
	get := &upstream.Request{Address: address, Method: "GET", Target: "/", Host: "h", Header: http.Header{"X-Id": {"r"}}, IDHeader: "X-Id"}
	_, _, err := do(t, client, get)
	require.NoError(t, err)
	_, _, err = do(t, client, get)
	assert.Equal(t, upstream.StageSend, stage(t, err))
	time.Sleep(50 * time.Millisecond)
	assert.EqualValues(t, 2, requests.Load())
}

func TestErrorStages(t *testing.T) {
	closed := serve(t, func(int, net.Conn, *bufio.Reader) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unused := listener.Addr().String()
	require.NoError(t, listener.Close())
	garbage := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _, _ = read(reader)
		_, _ = io.WriteString(conn, "not an answer\r\n\r\n")
	})
	short := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		id, _, _, _ := read(reader)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 10\r\n\r\nfive.", id)
	})
	for name, test := range map[string]struct {
		address string
		stage   upstream.Stage
	}{
		"no listener": {unused, upstream.StageConnect},
		"closed":      {closed, upstream.StageSend},
		"garbage":     {garbage, upstream.StageHead},
		"short body":  {short, upstream.StageBody},
	} {
		_, _, err := do(t, upstream.NewClient(), request(test.address, "r", "x"))
		assert.Equal(t, test.stage, stage(t, err), name)
	}
}

// A response without a Content-Length ends with its connection: it is complete
// if the connection is closed regularly and incomplete after a reset.
func TestResponseWithoutContentLength(t *testing.T) {
	var reset atomic.Bool
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		id, _, _, _ := read(reader)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nall of it", id)
		if reset.Load() {
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	body, _, err := do(t, upstream.NewClient(), request(address, "r", "x"))
	require.NoError(t, err)
	assert.Equal(t, "all of it", body)
	reset.Store(true)
	_, _, err = do(t, upstream.NewClient(), request(address, "r", "x"))
	assert.Equal(t, upstream.StageBody, stage(t, err))
}

// Guards against engines that continue to work for callers that have left: when
// a caller leaves during its response, the connection to the engine must be
// closed.
func TestContextEndClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(_ int, _ net.Conn, reader *bufio.Reader) {
		_, _, _, _ = read(reader)
		_, _ = reader.ReadByte() // returns once the client has closed the connection
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := upstream.NewClient().Do(ctx, request(address, "r", "x"))
	assert.True(t, errors.Is(err, context.Canceled))
	select {
	case <-closed:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the connection to the endpoint was not closed")
	}
}

// Guards against requests to a restarted endpoint that wait for a response on a
// connection to its previous incarnation. The endpoint crashes while
// partitioned, so no instance receives a reset, and restarts at the same
// address; the idle connections must then be dropped.
func TestDroppedConnectionsNotReused(t *testing.T) {
	address := serve(t, func(n int, conn net.Conn, reader *bufio.Reader) {
		id, _, _, err := read(reader)
		if err != nil {
			return
		}
		respond(conn, id, "", fmt.Sprint(n))
		_, _, _, _ = read(reader) // sends no response on this connection any more
	})
	client := upstream.NewClient()
	_, _, err := do(t, client, request(address, "r", "x"))
	require.NoError(t, err)
	client.CloseIdle(address)
	body, _, err := do(t, client, request(address, "r", "x"))
	require.NoError(t, err)
	assert.Equal(t, "2", body, "a new connection is used")
}

// Guards against a connection that counts as idle while a request uses it, after it
// has expired, or after its endpoint was dropped: a caller that prefers endpoints
// with an idle connection would choose one to which a connection must be opened.
func TestHasIdleConn(t *testing.T) {
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			id, _, _, err := read(reader)
			if err != nil {
				return
			}
			respond(conn, id, "Keep-Alive: timeout=1\r\n", "x")
		}
	})
	client := upstream.NewClient()
	assert.False(t, client.HasIdleConn(address))
	response, err := client.Do(context.Background(), request(address, "r", "x"))
	require.NoError(t, err)
	assert.False(t, client.HasIdleConn(address), "in use")
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	response.Close()
	assert.True(t, client.HasIdleConn(address))
	assert.False(t, client.HasIdleConn("127.0.0.1:1"))
	client.CloseIdle(address)
	assert.False(t, client.HasIdleConn(address), "dropped")
	_, _, err = do(t, client, request(address, "r", "x"))
	require.NoError(t, err)
	assert.True(t, client.HasIdleConn(address))
	assert.Eventually(t, func() bool { return !client.HasIdleConn(address) }, 3*time.Second, 10*time.Millisecond, "expired")
}

func BenchmarkHasIdleConn(b *testing.B) {
	client := upstream.NewClient()
	for b.Loop() {
		client.HasIdleConn("127.0.0.1:1")
	}
}

// Guards against an endpoint that sends bytes without end before its response, which are all
// read and partly held in memory.
func TestHeadIsBounded(t *testing.T) {
	const large = 70 << 10
	for name, test := range map[string]struct {
		sent string
		// isRead is set if the response is within the bound.
		isRead bool
	}{
		"no line":                  {sent: strings.Repeat("x", large)},
		"header field":             {sent: "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", large)},
		"interim responses":        {sent: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", large/28)},
		"large header":             {sent: "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", 50<<10) + "\r\nContent-Length: 1\r\n\r\na", isRead: true},
		"short header fields":      {sent: "HTTP/1.1 200 OK\r\n" + strings.Repeat("A:\r\n", 10000)},
		"header fields":            {sent: "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: "+strings.Repeat("x", 50)+"\r\n", 200) + "Content-Length: 1\r\n\r\na", isRead: true},
		"lines of another":         {sent: "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("\n", 200000) + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", isRead: true},
		"short fields after":       {sent: "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("\n", 200000) + "HTTP/1.1 200 OK\r\n" + strings.Repeat("A:\r\n", 10000)},
		"lines of a body":          {sent: "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("\n", 200000), isRead: true},
		"large body":               {sent: "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200000), isRead: true},
		"large body of another":    {sent: "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 2000000\r\n\r\n"},
		"medium body of another":   {sent: "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200000) + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", isRead: true},
		"long head after a medium": {sent: "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200000) + strings.Repeat("x", large)},
	} {
		closed := make(chan struct{})
		address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, test.sent)
			_, _ = reader.ReadByte() // until the client closes the connection
			close(closed)
		})
		client := upstream.NewClient()
		_, _, err := do(t, client, request(address, "1", ""))
		if test.isRead {
			assert.NoError(t, err, name)
			continue
		}
		var failure *upstream.Error
		require.ErrorAs(t, err, &failure, name)
		assert.Equal(t, upstream.StageHead, failure.Stage(), name)
		select {
		case <-closed:
		case <-time.After(time.Second):
			t.Errorf("%s: the connection stays open", name)
		}
	}
}

// Guards against a connection that is kept twice, and given to two requests.
func TestCloseKeepsTheConnectionOnce(t *testing.T) {
	client := upstream.NewClient()
	release := make(chan struct{})
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if r.Header.Get("X-Id") != "first" {
				<-release
			}
			respond(conn, r.Header.Get("X-Id"), "", "")
		}
	})
	_, response, err := do(t, client, request(address, "first", ""))
	require.NoError(t, err)
	response.Close()
	response.Close()
	done := make(chan error, 2)
	for _, id := range []string{"second", "third"} {
		go func() {
			_, err := client.Do(context.Background(), request(address, id, ""))
			done <- err
		}()
	}
	require.Eventually(t, func() bool { return client.ConnectionsOpened() == 2 }, time.Second, time.Millisecond)
	close(release)
	require.NoError(t, <-done)
	require.NoError(t, <-done)
}

// Guards against parts of a body that are sent in another order, not at all, or not counted.
func TestPrefixPrecedesTheBody(t *testing.T) {
	for _, size := range []int{1, 1000, 300_000} {
		address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			for {
				id, _, body, err := read(reader)
				if err != nil {
					return
				}
				respond(conn, id, "", fmt.Sprintf("%d %s", len(body), strings.Trim(body, "x")))
			}
		})
		client := upstream.NewClient()
		r := request(address, "r", "c")
		r.Prefix = [][]byte{[]byte("a" + strings.Repeat("x", size)), nil, []byte("b")}
		for range 2 {
			body, _, err := do(t, client, r)
			require.NoError(t, err)
			assert.Equal(t, fmt.Sprintf("%d a%sbc", size+3, strings.Repeat("x", size)), body)
		}
	}
}
