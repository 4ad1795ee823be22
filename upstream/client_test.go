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

// serve answers each connection with handle and returns the address.
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

func request(address, id string, body string) *upstream.Request {
	return &upstream.Request{Address: address, Method: "POST", Target: "/a?b=c%20d", Host: "desk.example", Header: http.Header{"X-Id": {id}}, Body: []byte(body), HasBody: true, IDHeader: "X-Id"}
}

func answer(conn net.Conn, id, extra, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

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

func stage(t *testing.T, err error) upstream.Stage {
	t.Helper()
	var ue *upstream.Error
	require.ErrorAs(t, err, &ue)
	return ue.Stage()
}

// read reads one request and returns its ID and body.
func read(reader *bufio.Reader) (id, target, body string, err error) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return "", "", "", err
	}
	data, err := io.ReadAll(r.Body)
	return r.Header.Get("X-Id"), r.RequestURI, string(data), err
}

func TestConnectionIsUsedAgain(t *testing.T) {
	address := serve(t, func(n int, conn net.Conn, reader *bufio.Reader) {
		for {
			id, target, body, err := read(reader)
			if err != nil {
				return
			}
			answer(conn, id, "", fmt.Sprintf("%d %s %s", n, target, body))
		}
	})
	client := upstream.NewClient()
	for range 3 {
		body, _, err := do(t, client, request(address, "r", "x"))
		require.NoError(t, err)
		assert.Equal(t, "1 /a?b=c%20d x", body, "the first connection")
		assert.EqualValues(t, 1, client.Opened())
	}
}

// Symptom: a caller gets the answer to another's request. Events: an
// endpoint sends a second answer late; it arrives just as the next request
// goes out on the connection. Cause: answers were matched by order alone.
func TestLateExtraAnswerIsPassedOver(t *testing.T) {
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			id, _, _, err := read(reader)
			if err != nil {
				return
			}
			answer(conn, "earlier", "", "not yours")
			answer(conn, id, "", "yours")
		}
	})
	body, _, err := do(t, upstream.NewClient(), request(address, "r", "x"))
	require.NoError(t, err)
	assert.Equal(t, "yours", body)
}

// Symptom: as above, but the extra answer comes while nobody waits. Cause: a
// connection with bytes that nobody asked for was used again.
func TestConnectionWithExtraBytesIsNotUsedAgain(t *testing.T) {
	address := serve(t, func(n int, conn net.Conn, reader *bufio.Reader) {
		id, _, _, err := read(reader)
		if err != nil {
			return
		}
		answer(conn, id, "", fmt.Sprint(n))
		time.Sleep(20 * time.Millisecond)
		answer(conn, id, "", "extra")
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

// Symptom: an endpoint runs a request that nobody sent. Events: it answers
// before it has read a long body, and reads on later; the connection was
// used for the next request, whose bytes it takes for the rest. Cause: a
// connection was kept though the request on it was not sent whole.
func TestEarlyAnswerEndsConnection(t *testing.T) {
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

// Symptom: a non-idempotent call runs twice. Events: an endpoint takes a
// request on a kept connection, and closes it without an answer. Cause: the
// HTTP library sent it again by itself.
func TestNothingIsSentTwice(t *testing.T) {
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
			answer(conn, id, "", "ok")
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

func TestStages(t *testing.T) {
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

// An answer without a length ends with its connection: a proper end is
// whole, a reset is not.
func TestAnswerWithoutLength(t *testing.T) {
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

// Symptom: engines work on for callers that left. Events: a caller leaves
// while its answer is made. Cause: the connection to the engine stayed open.
func TestEndOfContextClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(_ int, _ net.Conn, reader *bufio.Reader) {
		_, _, _, _ = read(reader)
		_, _ = reader.ReadByte() // until the client closes
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := upstream.NewClient().Do(ctx, request(address, "r", "x"))
	assert.True(t, errors.Is(err, context.Canceled))
	select {
	case <-closed:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the endpoint was not told")
	}
}

// Symptom: requests to an endpoint that started again wait for answers on
// connections to the start before. Events: it crashes behind a cut, so that
// nobody is told; it starts again at its address. Cause: the connections that
// were kept unused were taken for its own.
func TestDroppedConnectionsAreNotUsedAgain(t *testing.T) {
	address := serve(t, func(n int, conn net.Conn, reader *bufio.Reader) {
		id, _, _, err := read(reader)
		if err != nil {
			return
		}
		answer(conn, id, "", fmt.Sprint(n))
		_, _, _, _ = read(reader) // silent from now on
	})
	client := upstream.NewClient()
	_, _, err := do(t, client, request(address, "r", "x"))
	require.NoError(t, err)
	client.Drop(address)
	body, _, err := do(t, client, request(address, "r", "x"))
	require.NoError(t, err)
	assert.Equal(t, "2", body, "a new connection")
}
