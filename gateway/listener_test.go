package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/gateway"
)

// pipeListener accepts connections within the process.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	close  func()
}

func newPipeListener() *pipeListener {
	closed := make(chan struct{})
	return &pipeListener{conns: make(chan net.Conn), closed: closed, close: sync.OnceFunc(func() { close(closed) })}
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	listener.close()
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return &net.IPAddr{} }

func (listener *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	listener.conns <- far
	return near
}

// askOn sends a request on conn and returns the status of its answer.
func askOn(conn net.Conn) (int, error) { return askHost(conn, "desk.example") }

func askHost(conn net.Conn, host string) (int, error) {
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

// Symptom: a request to an instance that stops ends with its connection, and
// the caller cannot tell whether it ran. Events: the instance stops; three
// seconds later it closes the connections without a request; on one of them,
// just taken, or kept by a caller that has just got an answer, a request is
// under way. Cause: a connection counted as quiet until the first byte of a
// request was read. The ways of 10 and 100 ms are those of a caller nearby
// and of one far away or on a busy machine.
func TestStoppingServerAnswersRequestsUnderWay(t *testing.T) {
	for _, way := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond} {
		for _, kept := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
				listener, done := newPipeListener(), make(chan error, 1)
				ctx, cancel := context.WithCancel(t.Context())
				go gateway.NewServer(handler, slog.New(slog.DiscardHandler)).Serve(ctx, listener, 8*time.Second, done)
				idle := listener.dial()
				cancel()
				time.Sleep(3*time.Second - 5*time.Millisecond)
				conn := listener.dial()
				if kept {
					status, err := askOn(conn)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, status)
				}
				time.Sleep(way)
				status, err := askOn(conn)
				require.NoError(t, err, "kept=%v way=%v", kept, way)
				assert.Equal(t, http.StatusOK, status)
				began := time.Now()
				require.NoError(t, <-done)
				assert.Less(t, time.Since(began), time.Second, "connections without a request do not hold the stop up")
				_, err = idle.Read(make([]byte, 1))
				assert.ErrorIs(t, err, io.EOF)
			})
		}
	}
}

// closeTime after the stop connections without a request are closed.
const closeTime = 3 * time.Second

// Guards against a request that a stopping instance closes its connection on, and no line that says so.
func TestRequestLostToCloseGoesUnlogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(handler, slog.New(slog.NewTextHandler(&out, nil))).Serve(ctx, listener, 8*time.Second, done)
		idle, busy := listener.dialFar(20*time.Millisecond), listener.dialFar(20*time.Millisecond)
		cancel()
		time.Sleep(closeTime - 10*time.Millisecond)
		_, _ = askOn(busy) // crosses the close
		_ = busy.Close()
		require.NoError(t, <-done)
		_, _ = io.Copy(io.Discard, idle)
		_ = idle.Close()
		time.Sleep(time.Second) // what is on its way arrives
		assert.Regexp(t, `msg="request came after its connection was closed" caller=pipe bytes=[1-9]\d* after=10ms`, out.String())
		assert.Regexp(t, `msg="serving ended" took=3\S* connections=2 closed_quiet=2 late=1 late_bytes=[1-9]\d* left=0`, out.String())
	})
}

// Guards against connections that a stop cuts and no line tells of: those that new
// callers open while the listener closes, and those that end with a request unanswered.
func TestStopTellsWhatItCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(handler, slog.New(slog.NewTextHandler(&out, nil))).Serve(ctx, listener, 8*time.Second, done)
		cancel()
		time.Sleep(closeTime - 1100*time.Millisecond)
		early := listener.dial()
		time.Sleep(200 * time.Millisecond)
		late := listener.dial()
		_, err := askOn(late)
		require.Error(t, err)
		_ = early.Close()
		require.NoError(t, <-done)
		assert.Contains(t, out.String(), `msg="connection ended without an answer"`)
		assert.Regexp(t, `msg="serving ended" .* left=0 accepted_last=1 unanswered=1`, out.String())
	})
}

// Guards against a request that ends with its connection, so that its caller cannot know whether it ran: it crossed the close of a stopping instance.
func TestRequestThatCrossesCloseGetsNoPromise(t *testing.T) {
	for _, way := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond} {
		for _, before := range []time.Duration{way - time.Millisecond, 0, -(way - time.Millisecond)} {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int32
				handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { ran.Add(1); w.WriteHeader(http.StatusOK) })
				listener, done := newPipeListener(), make(chan error, 1)
				ctx, cancel := context.WithCancel(t.Context())
				go gateway.NewServer(handler, slog.New(slog.DiscardHandler)).Serve(ctx, listener, 8*time.Second, done)
				kept := listener.dialFar(way)
				status, err := askOn(kept)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				time.Sleep(time.Second)
				cancel()
				time.Sleep(closeTime - before)
				status, err = askOn(kept)
				require.NoError(t, err, "way=%v before=%v", way, before)
				assert.Equal(t, http.StatusRequestTimeout, status)
				_, err = kept.Read(make([]byte, 1))
				assert.ErrorIs(t, err, io.EOF)
				require.NoError(t, kept.Close())
				require.NoError(t, <-done)
				time.Sleep(time.Second) // what is on its way arrives
				assert.EqualValues(t, 1, ran.Load(), "what was promised not to run ran")
			})
		}
	}
}

// Guards against a stop that takes as long as callers leave a closed connection open.
func TestCallerThatKeepsClosedConnectionHoldsStopUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(http.NotFoundHandler(), slog.New(slog.DiscardHandler)).Serve(ctx, listener, 8*time.Second, done)
		idle := listener.dialFar(20 * time.Millisecond)
		cancel()
		began := time.Now()
		require.NoError(t, <-done)
		assert.LessOrEqual(t, time.Since(began), 3300*time.Millisecond)
		_, err := http.ReadResponse(bufio.NewReader(idle), nil)
		assert.NoError(t, err)
		_ = idle.Close()
		time.Sleep(time.Second) // what is on its way arrives
	})
}

// Guards against an answer that a stopping instance breaks with the close of its connection: its request came together with the one before.
func TestCloseBreaksAnswerToSecondRequestOfPacket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(400 * time.Millisecond)
			w.WriteHeader(http.StatusOK)
		})
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(handler, slog.New(slog.DiscardHandler)).Serve(ctx, listener, 8*time.Second, done)
		conn := listener.dialFar(time.Millisecond)
		cancel()
		time.Sleep(closeTime - 100*time.Millisecond)
		_, err := io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n", 2))
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		for n := range 2 {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode, "answer %d", n)
		}
		_ = conn.Close()
		require.NoError(t, <-done)
		time.Sleep(time.Second) // what is on its way arrives
	})
}
