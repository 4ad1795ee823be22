package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/gateway"
	"github.com/wagtaildrum/wagtaildrum/shutdown"
)

// pipeListener accepts in-process connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	close  func()
}

// newPipeListener returns an open pipeListener.
func newPipeListener() *pipeListener {
	closed := make(chan struct{})
	return &pipeListener{conns: make(chan net.Conn), closed: closed, close: sync.OnceFunc(func() { close(closed) })}
}

// Accept implements net.Listener.
func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (listener *pipeListener) Close() error {
	listener.close()
	return nil
}

// Addr implements net.Listener.
func (listener *pipeListener) Addr() net.Addr { return &net.IPAddr{} }

// dial connects to the listener without latency, once it is accepted.
func (listener *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	listener.conns <- far
	return near
}

// dialOpen is like dial, and returns nil if the listener is closed.
func (listener *pipeListener) dialOpen() net.Conn {
	near, far := net.Pipe()
	select {
	case listener.conns <- far:
		return near
	case <-listener.closed:
		return nil
	}
}

// roundTrip sends a request on conn and returns the status of its response.
func roundTrip(conn net.Conn) (int, error) { return roundTripHost(conn, "desk.example") }

// roundTripHost is like roundTrip, with a given Host header.
func roundTripHost(conn net.Conn, host string) (int, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+host+"/", nil)
	if err != nil {
		return 0, err
	}
	if err := r.Write(conn); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Guards against a request in transit that a stopping instance answers only by
// closing its connection, so that the caller cannot tell whether it ran. Three
// seconds after the stop began, the instance closes connections without a
// request; it counted a connection as idle until the first byte of a request
// was read. The connection is either new or kept by a caller that has just
// received a response. The latencies of 10 and 100 ms are those of a nearby
// caller and of a distant one or a busy machine.
func TestStopAnswersRequestsInTransit(t *testing.T) {
	for _, latency := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond} {
		for _, kept := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
				listener, done := newPipeListener(), make(chan error, 1)
				ctx, cancel := context.WithCancel(t.Context())
				go gateway.NewServer(handler, slog.New(slog.DiscardHandler)).Serve(ctx, listener, shutdown.New(8*time.Second, clock.Real{}), done)
				idle := listener.dial()
				cancel()
				time.Sleep(3*time.Second - 5*time.Millisecond)
				conn := listener.dial()
				if kept {
					status, err := roundTrip(conn)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, status)
				}
				time.Sleep(latency)
				status, err := roundTrip(conn)
				require.NoError(t, err, "kept=%v latency=%v", kept, latency)
				assert.Equal(t, http.StatusOK, status)
				began := time.Now()
				require.NoError(t, <-done)
				assert.Less(t, time.Since(began), time.Second, "connections without a request must not delay the stop")
				_, err = idle.Read(make([]byte, 1))
				assert.ErrorIs(t, err, io.EOF)
			})
		}
	}
}

// idleCloseDelay is the time from a stop to the closing of idle connections.
const idleCloseDelay = 3 * time.Second

// Guards against a request that reaches a stopping instance after its
// connection was closed, without a log line about it.
func TestStopLogsRequestAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(handler, slog.New(slog.NewTextHandler(&out, nil))).Serve(ctx, listener, shutdown.New(8*time.Second, clock.Real{}), done)
		idle, busy := listener.dialWithLatency(20*time.Millisecond), listener.dialWithLatency(20*time.Millisecond)
		cancel()
		time.Sleep(idleCloseDelay - 10*time.Millisecond)
		_, _ = roundTrip(busy) // crosses the close
		_ = busy.Close()
		require.NoError(t, <-done)
		_, _ = io.Copy(io.Discard, idle)
		_ = idle.Close()
		time.Sleep(time.Second) // packets in transit arrive
		assert.Regexp(t, `msg="request came after its connection was closed" caller=pipe bytes=[1-9]\d* after=10ms`, out.String())
		assert.Regexp(t, `msg="serving ended" took=3\S* connections=2 closed_quiet=2 late=1 late_bytes=[1-9]\d* left=0`, out.String())
	})
}

// Guards against callers that find no connection while a stopping instance has responses to
// complete, since no other instance of the data centre takes callers, and against a stop
// that callers who go on connecting prolong.
func TestStopServesNewConnectionsWhileResponsesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Host == "slow.example" {
				time.Sleep(2 * time.Second)
			}
			time.Sleep(100 * time.Millisecond)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusOK)
		})
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(handler, slog.New(slog.DiscardHandler)).Serve(ctx, listener, shutdown.New(8*time.Second, clock.Real{}), done)
		cancel()
		time.Sleep(idleCloseDelay - 100*time.Millisecond)
		slow := make(chan int, 1)
		conn := listener.dial()
		go func() {
			status, _ := roundTripHost(conn, "slow.example")
			slow <- status
		}()
		began, served := time.Now(), 0
		for {
			conn := listener.dialOpen()
			if conn == nil {
				break
			}
			status, err := roundTrip(conn)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			served++
		}
		assert.Equal(t, http.StatusOK, <-slow)
		assert.InDelta(t, 22, served, 1, "requests of 0.1 s while the response of 2.1 s lasts, and 0.1 s after it")
		require.NoError(t, <-done)
		assert.Less(t, time.Since(began), 2500*time.Millisecond)
	})
}

// Guards against connections lost during a stop without a log line: those that
// new callers open just before the listener closes, and those that close with a
// request unanswered.
func TestStopLogsUnansweredConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(handler, slog.New(slog.NewTextHandler(&out, nil))).Serve(ctx, listener, shutdown.New(8*time.Second, clock.Real{}), done)
		cancel()
		time.Sleep(idleCloseDelay - 1100*time.Millisecond)
		early := listener.dial()
		time.Sleep(200 * time.Millisecond)
		late := listener.dial()
		_, err := roundTrip(late)
		require.Error(t, err)
		_ = early.Close()
		require.NoError(t, <-done)
		assert.Contains(t, out.String(), `msg="connection ended without an answer"`)
		assert.Regexp(t, `msg="serving ended" .* left=0 accepted_last=1 unanswered=1`, out.String())
	})
}

// Guards against a request that crosses the close of its connection by a
// stopping instance and gets no response, so that the caller cannot tell
// whether it ran.
func TestRequestCrossingCloseGetsNotRunResponse(t *testing.T) {
	for _, latency := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond} {
		for _, before := range []time.Duration{latency - time.Millisecond, 0, -(latency - time.Millisecond)} {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int32
				handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { ran.Add(1); w.WriteHeader(http.StatusOK) })
				listener, done := newPipeListener(), make(chan error, 1)
				ctx, cancel := context.WithCancel(t.Context())
				go gateway.NewServer(handler, slog.New(slog.DiscardHandler)).Serve(ctx, listener, shutdown.New(8*time.Second, clock.Real{}), done)
				kept := listener.dialWithLatency(latency)
				status, err := roundTrip(kept)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				time.Sleep(time.Second)
				cancel()
				time.Sleep(idleCloseDelay - before)
				status, err = roundTrip(kept)
				require.NoError(t, err, "latency=%v before=%v", latency, before)
				assert.Equal(t, http.StatusRequestTimeout, status)
				_, err = kept.Read(make([]byte, 1))
				assert.ErrorIs(t, err, io.EOF)
				require.NoError(t, kept.Close())
				require.NoError(t, <-done)
				time.Sleep(time.Second) // packets in transit arrive
				assert.EqualValues(t, 1, ran.Load(), "a request answered as not run must not run")
			})
		}
	}
}

// Guards against a stop that takes as long as callers keep a closed connection
// open.
func TestCallerKeepingClosedConnectionDoesNotDelayStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(http.NotFoundHandler(), slog.New(slog.DiscardHandler)).Serve(ctx, listener, shutdown.New(8*time.Second, clock.Real{}), done)
		idle := listener.dialWithLatency(20 * time.Millisecond)
		cancel()
		began := time.Now()
		require.NoError(t, <-done)
		assert.LessOrEqual(t, time.Since(began), 3300*time.Millisecond)
		_, err := http.ReadResponse(bufio.NewReader(idle), nil)
		assert.NoError(t, err)
		_ = idle.Close()
		time.Sleep(time.Second) // packets in transit arrive
	})
}

// Guards against a stopping instance that closes a connection during the
// response to a pipelined request, which arrived in the same packet as the
// previous one.
func TestStopAnswersPipelinedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(400 * time.Millisecond)
			w.WriteHeader(http.StatusOK)
		})
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(handler, slog.New(slog.DiscardHandler)).Serve(ctx, listener, shutdown.New(8*time.Second, clock.Real{}), done)
		conn := listener.dialWithLatency(time.Millisecond)
		cancel()
		time.Sleep(idleCloseDelay - 100*time.Millisecond)
		_, err := io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n", 2))
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		for n := range 2 {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode, "response %d", n)
		}
		_ = conn.Close()
		require.NoError(t, <-done)
		time.Sleep(time.Second) // packets in transit arrive
	})
}

// Guards against a listener that is closed as a caller who has received the last response
// opens a connection for its next request, since a response during a stop
// closes its connection.
func TestStopAcceptsConnectionAfterLastResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(500 * time.Millisecond)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusOK)
		})
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(handler, slog.New(slog.DiscardHandler)).Serve(ctx, listener, shutdown.New(8*time.Second, clock.Real{}), done)
		cancel()
		time.Sleep(idleCloseDelay - 100*time.Millisecond)
		_, err := roundTrip(listener.dial())
		require.NoError(t, err)
		time.Sleep(80 * time.Millisecond)
		conn := listener.dialOpen()
		require.NotNil(t, conn)
		status, err := roundTrip(conn)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, status)
		require.NoError(t, <-done)
	})
}

// slowListener takes acceptTime for each connection, like a process that is short of
// processor time.
type slowListener struct{ *net.TCPListener }

// acceptTime is longer than the time between two connections of the test's callers.
const acceptTime = 20 * time.Millisecond

// Accept implements net.Listener.
func (listener *slowListener) Accept() (net.Conn, error) {
	conn, err := listener.TCPListener.Accept()
	if err == nil {
		time.Sleep(acceptTime)
	}
	return conn, err
}

// Guards against connections that the kernel resets without an answer, since they wait to
// be accepted as a stopping instance closes its listener. A caller may find the port closed
// instead.
func TestStopAnswersConnectionsNotYetAccepted(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusOK)
	})
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	stop := shutdown.New(3500*time.Millisecond, clock.Real{})
	go gateway.NewServer(handler, slog.New(slog.DiscardHandler)).Serve(ctx, &slowListener{tcpListener.(*net.TCPListener)}, stop, done)
	cancel()
	<-stop.Begun().Done()
	time.Sleep(time.Until(stop.AcceptUntil()) - 2*acceptTime)
	results := make(chan error, 1)
	callers := 0
	for range 6 {
		conn, err := net.Dial("tcp", tcpListener.Addr().String())
		if err != nil {
			break
		}
		callers++
		go func() {
			_, err := roundTrip(conn)
			_ = conn.Close()
			results <- err
		}()
	}
	for range callers {
		assert.NoError(t, <-results)
	}
	assert.Equal(t, 6, callers)
	require.NoError(t, <-done)
}

// stuckListener has a connection waiting that Accept never returns.
type stuckListener struct {
	*net.TCPListener
	limited chan struct{}
	limit   func()
}

// SetDeadline makes Accept return.
func (listener *stuckListener) SetDeadline(time.Time) error {
	listener.limit()
	return nil
}

// Accept implements net.Listener.
func (listener *stuckListener) Accept() (net.Conn, error) {
	<-listener.limited
	return nil, os.ErrDeadlineExceeded
}

// Guards against a stop that lasts as long as connections wait to be accepted.
func TestStopDoesNotWaitForConnectionsThatCannotBeAccepted(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conn, err := net.Dial("tcp", tcpListener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	limited, done := make(chan struct{}), make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	listener := &stuckListener{TCPListener: tcpListener.(*net.TCPListener), limited: limited, limit: sync.OnceFunc(func() { close(limited) })}
	go gateway.NewServer(http.NotFoundHandler(), slog.New(slog.DiscardHandler)).Serve(ctx, listener, shutdown.New(2*time.Second, clock.Real{}), done)
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(2 * time.Second):
		t.Fatal("the stop outlasts its grace period")
	}
}
