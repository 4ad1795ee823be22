package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
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

// lateConn is a connection of a busy machine: what came is read a while later.
type lateConn struct {
	net.Conn
	late time.Duration
}

func (conn *lateConn) Read(p []byte) (int, error) {
	n, err := conn.Conn.Read(p)
	time.Sleep(conn.late)
	return n, err
}

// dialLate is dial to a machine that is so busy.
func (listener *pipeListener) dialLate(late time.Duration) net.Conn {
	near, far := net.Pipe()
	listener.conns <- &lateConn{Conn: far, late: late}
	return near
}

// Guards against a request that a stopping instance closes its connection on, and no line that says so.
func TestRequestLostToCloseGoesUnlogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(handler, slog.New(slog.NewTextHandler(&out, nil))).Serve(ctx, listener, 8*time.Second, done)
		idle, busy := listener.dial(), listener.dialLate(100*time.Millisecond)
		cancel()
		time.Sleep(3*time.Second - 50*time.Millisecond)
		go func() { _, _ = askOn(busy) }() // crosses the close
		require.NoError(t, <-done)
		_, err := idle.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Regexp(t, `msg="request came after its connection was closed" caller=pipe bytes=[1-9]`, out.String())
		assert.Regexp(t, `msg="serving ended" took=3\S+ connections=2 closed_quiet=2`, out.String())
	})
}
