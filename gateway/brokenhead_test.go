package gateway_test

import (
	"bufio"
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

	"github.com/wagtaildrum/wagtaildrum/store"
)

// rawHealth is the response of a rawEndpoint that lives to health checks.
const rawHealth = "HTTP/1.1 200 OK\r\nX-Instance: raw\r\nContent-Length: 0\r\n\r\n"

// rawEndpoint listens for an endpoint whose responses are bytes that a test chooses.
type rawEndpoint struct {
	listener net.Listener
	// health is the response to health checks.
	health string
	// respond handles a request on a connection. It returns false to close the connection.
	respond func(conn *net.TCPConn, r *http.Request) bool
}

// startRawEndpoint starts a tool endpoint, the only one of the fixture.
func (b *fixture) startRawEndpoint(respond func(conn *net.TCPConn, r *http.Request) bool) {
	b.t.Helper()
	b.startRawEndpointOfHealth(rawHealth, respond)
}

// startRawEndpointOfHealth is startRawEndpoint with a response to health checks.
func (b *fixture) startRawEndpointOfHealth(health string, respond func(conn *net.TCPConn, r *http.Request) bool) {
	b.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = listener.Close() })
	b.tool.Unregister(b.memory)
	b.putEntry("raw", entryWith(listener.Addr().String(), ""))
	endpoint := &rawEndpoint{listener: listener, health: health, respond: respond}
	go endpoint.serve()
}

// serve serves connections until the listener is closed.
func (endpoint *rawEndpoint) serve() {
	for {
		conn, err := endpoint.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/health" {
					_, _ = io.WriteString(conn, endpoint.health)
					continue
				}
				if !endpoint.respond(conn.(*net.TCPConn), r) {
					return
				}
			}
		}()
	}
}

// Guards against a response that breaks off, in its head or body, by a reset or in order, and
// that callers receive as a whole one.
func TestBrokenResponsesDoNotLookWhole(t *testing.T) {
	const body = "the whole body"
	for name, framing := range map[string]struct {
		raw string
		// endsWithConnection is set if a close in order ends the body.
		endsWithConnection bool
	}{
		"length":             {raw: "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 14\r\nX-A: b\r\n\r\n" + body},
		"length last":        {raw: "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-A: b\r\nContent-Length: 14\r\n\r\n" + body},
		"chunked":            {raw: "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nthe whole\r\n5\r\n body\r\n0\r\n\r\n"},
		"interim":            {raw: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 14\r\n\r\n" + body},
		"until it is closed": {raw: "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nConnection: close\r\n\r\n" + body, endsWithConnection: true},
	} {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%t", name, isReset), func(t *testing.T) {
				t.Parallel()
				b := newFixture(t)
				var cut atomic.Int64
				b.startRawEndpoint(func(conn *net.TCPConn, _ *http.Request) bool {
					_, _ = io.WriteString(conn, framing.raw[:cut.Load()])
					if isReset {
						time.Sleep(2 * time.Millisecond) // what was sent arrives before the reset
						_ = conn.SetLinger(0)
					}
					return false
				})
				i := b.startInstance()
				headEnd := strings.LastIndex(framing.raw, "\r\n\r\n"+body) + len("\r\n\r\n")
				for n := range len(framing.raw) {
					cut.Store(int64(n))
					response, received, err := i.send(callerRequest{path: "/post/x", id: fmt.Sprint("r", n), body: fmt.Sprint(n)})
					if err != nil || response.StatusCode != http.StatusOK {
						continue
					}
					isWhole := received == body
					mayEndHere := framing.endsWithConnection && !isReset && n >= headEnd && received == framing.raw[headEnd:n]
					assert.True(t, isWhole || mayEndHere, "after %d bytes: %q", n, received)
				}
			})
		}
	}
}

// Guards against bytes that follow a response on a kept connection, a part of a head or a whole
// response, and that the next caller receives.
func TestBytesAfterResponsesBelongToNoRequest(t *testing.T) {
	const extra = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nextra"
	for _, delay := range []time.Duration{0, 3 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			b := newFixture(t)
			var cut atomic.Int64
			b.startRawEndpoint(func(conn *net.TCPConn, r *http.Request) bool {
				own := "own " + r.Header.Get("X-Request-Id")
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Request-Id"), len(own), own)
				time.Sleep(delay)
				_, _ = io.WriteString(conn, extra[:cut.Load()])
				return true
			})
			i := b.startInstance()
			for n := range len(extra) + 1 {
				cut.Store(int64(n))
				id := fmt.Sprint("r", n)
				response, received, err := i.send(callerRequest{path: "/post/x", id: id, body: id})
				if err == nil && response.StatusCode == http.StatusOK {
					assert.Equal(t, "own "+id, received, "after %d bytes", n)
				}
				time.Sleep(delay / 2)
			}
		})
	}
}

// Guards against half a head, in response to a health check, that counts as a sign of life.
func TestHalfAHeadIsNoSignOfLife(t *testing.T) {
	b := newFixture(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = bufio.NewReader(conn).ReadString('\n')
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Instance: half\r\nX-Serv")
				_ = conn.Close()
			}()
		}
	}()
	b.tool.Unregister(b.memory)
	b.putEntry("half", entryWith(listener.Addr().String(), ""))
	i := b.startInstance()
	key := store.Key{Table: "servers", Name: "half"}
	for n := range maxEnded {
		response, _ := i.mustSend(callerRequest{path: "/look/x", id: fmt.Sprint("r", n), header: map[string]string{"X-Program": "p"}})
		assert.Equal(t, http.StatusBadGateway, response.StatusCode)
		time.Sleep(2 * retryInterval)
	}
	require.NoError(t, b.memory.Apply(store.Transaction{Deletes: []store.Key{key}}))
	assert.Eventually(t, func() bool { return len(i.crashes.Crashes(10)) == 0 && i.crashes.Len() == 1 }, time.Second, time.Millisecond)
	views := i.crashes.Views(1)
	require.Len(t, views, 1)
	assert.Equal(t, []string{"half Unresolved Own"}, views[0].Endpoints)
}
