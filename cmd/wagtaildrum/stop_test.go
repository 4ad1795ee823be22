package main

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
)

// pipeListener is a net.Listener that accepts the in-memory connections sent on
// conns.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
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
	close(listener.closed)
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return &net.IPAddr{} }

// requestDuringStop sends a request to a server with handler and stops the server
// once the request is in flight. It returns the response body, or the text of the
// error that the client received, and how long the stop took.
func requestDuringStop(t *testing.T, handler http.HandlerFunc) (result string, took time.Duration) {
	t.Helper()
	listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		listener.conns <- far
		return near, nil
	}}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	started, done := make(chan struct{}), make(chan error, 1)
	go serveUntil(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		handler(w, r)
	}), connlimit.New(connlimit.Config{Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope}), slog.New(slog.DiscardHandler))(ctx, done)
	results := make(chan string, 1)
	go func() {
		response, err := client.Get("http://home.example")
		if err != nil {
			results <- err.Error()
			return
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			body = []byte(err.Error())
		}
		results <- string(body)
	}()
	<-started
	stopStarted := time.Now()
	cancel()
	require.ErrorIs(t, <-done, http.ErrServerClosed)
	return <-results, time.Since(stopStarted)
}

// Guards against a request of another instance that is processed after this
// instance has released its state: the stop must close its connection.
func TestStopClosesConnectionOfOtherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan struct{})
		result, took := requestDuringStop(t, func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			_, _ = io.WriteString(w, "lent")
			close(ended)
		})
		assert.Zero(t, took)
		assert.Contains(t, result, "EOF")
		<-ended
	})
}

// Guards against a stop that waits for the handler of another instance's request.
func TestStopDoesNotWaitForHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, took := requestDuringStop(t, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
		assert.Zero(t, took)
		time.Sleep(time.Second) // the handler ends
	})
}

// Guards against requests interrupted by a SIGTERM that arrives while the
// instance is already stopping for another reason.
func TestSignalDuringStopIsHandled(t *testing.T) {
	t.Cleanup(func() { signal.Reset(syscall.SIGTERM, syscall.SIGINT) })
	ctx, stop := signalContext()
	stop()
	<-ctx.Done()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	time.Sleep(50 * time.Millisecond) // an unhandled signal would terminate the test process here
}
