package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/gateway"
	"github.com/wagtaildrum/wagtaildrum/shutdown"
)

const (
	request         = "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"
	pastHeadTimeout = 21 * time.Second
)

// logOfConnection returns the log of a server with handler, whose only caller is run with
// its connection. The server is stopped afterwards.
func logOfConnection(t *testing.T, handler http.HandlerFunc, caller func(conn net.Conn)) string {
	t.Helper()
	var out bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(handler, slog.New(slog.NewTextHandler(&out, nil))).Serve(ctx, listener, shutdown.New(8*time.Second, clock.Real{}), done)
		conn := listener.dial()
		caller(conn)
		cancel()
		require.NoError(t, <-done)
		_ = conn.Close()
		time.Sleep(time.Minute) // handlers that outlast the stop end
	})
	return out.String()
}

// send writes text on conn and waits until the server has closed it.
func send(conn net.Conn, text string) {
	go func() { _, _ = io.WriteString(conn, text) }()
	_, _ = io.Copy(io.Discard, conn)
}

// Guards against a response that the exit of the process cuts in the middle without a line.
func TestPartlyWrittenResponseAtExitIsLogged(t *testing.T) {
	log := logOfConnection(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Second)
	}, func(conn net.Conn) {
		go func() { _, _ = io.WriteString(conn, request) }()
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		time.Sleep(time.Second)
	})
	assert.Contains(t, log, "reason=Exit")
	assert.Contains(t, log, "unanswered=1")
}

// Guards against a connection that ends without a complete response, at any time, and
// without a log line that tells the reason.
func TestConnectionWithoutResponseIsLogged(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	respond := func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(w, "whole")
	}
	ignoreAbort := func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Second) }
	for reason, test := range map[string]struct {
		handler http.HandlerFunc
		caller  func(conn net.Conn)
	}{
		"Aborted":        {abort, func(conn net.Conn) { send(conn, request) }},
		"HeadIncomplete": {respond, func(conn net.Conn) { send(conn, request[:len(request)-2]) }},
		"WriteFailed": {respond, func(conn net.Conn) {
			_, _ = io.WriteString(conn, request)
			time.Sleep(2 * time.Second)
		}},
		"Exit": {ignoreAbort, func(conn net.Conn) { _, _ = io.WriteString(conn, request) }},
	} {
		assert.Regexp(t, `msg="connection ended without an answer" .*reason=`+reason+` total=1\n`, logOfConnection(t, test.handler, test.caller), reason)
	}
}

// Guards against a log line for each connection whose caller leaves, which is ordinary, or
// whose requests were all answered.
func TestOrdinaryEndOfConnectionIsNotLogged(t *testing.T) {
	wait := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	respond := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
	assert.NotContains(t, logOfConnection(t, wait, func(conn net.Conn) {
		_, _ = io.WriteString(conn, request)
		time.Sleep(time.Second)
		_ = conn.Close()
		time.Sleep(time.Second)
	}), "WARN")
	assert.NotContains(t, logOfConnection(t, respond, func(conn net.Conn) {
		go func() { _, _ = io.WriteString(conn, request) }()
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		_ = conn.Close()
		time.Sleep(pastHeadTimeout)
	}), "WARN")
}

// Guards against requests that net/http rejects before the gateway sees them, without a log
// line.
func TestMalformedRequestIsLogged(t *testing.T) {
	log := logOfConnection(t, func(http.ResponseWriter, *http.Request) {}, func(conn net.Conn) { send(conn, "GET / HTTP/1.1\r\n\r\n") })
	assert.Contains(t, log, `msg="malformed request rejected" caller=pipe status="HTTP/1.1 400 Bad Request: missing required Host header" total=1`)
}

// Guards against a log filled by a caller whose requests are malformed, or whose connections
// end, one after another.
func TestLinesAboutConnectionsAreBounded(t *testing.T) {
	var out bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(http.NotFoundHandler(), slog.New(slog.NewTextHandler(&out, nil))).Serve(ctx, listener, shutdown.New(8*time.Second, clock.Real{}), done)
		for range 100 {
			send(listener.dial(), "GET / HTTP/1.1\r\n\r\n")
		}
		time.Sleep(time.Second)
		send(listener.dial(), "GET / HTTP/1.1\r\n\r\n")
		cancel()
		require.NoError(t, <-done)
	})
	assert.Equal(t, 21, bytes.Count(out.Bytes(), []byte("malformed request rejected")))
	assert.Contains(t, out.String(), "total=101")
}
