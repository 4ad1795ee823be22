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
)

// callListener accepts the connections of one caller within the process.
type callListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (listener *callListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *callListener) Close() error {
	close(listener.closed)
	return nil
}

func (listener *callListener) Addr() net.Addr { return &net.IPAddr{} }

// callDuringStop has handler serve a call, ends the work once it is under way,
// and returns what was answered and how long the end took.
func callDuringStop(t *testing.T, handler http.HandlerFunc) (answer string, took time.Duration) {
	t.Helper()
	listener := &callListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		listener.conns <- far
		return near, nil
	}}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	asked, done := make(chan struct{}), make(chan error, 1)
	go serveUntil(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(asked)
		handler(w, r)
	}), slog.New(slog.DiscardHandler))(ctx, done)
	answers := make(chan string, 1)
	go func() {
		response, err := client.Get("http://home.example")
		if err != nil {
			answers <- err.Error()
			return
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			body = []byte(err.Error())
		}
		answers <- string(body)
	}()
	<-asked
	began := time.Now()
	cancel()
	require.ErrorIs(t, <-done, http.ErrServerClosed)
	return <-answers, time.Since(began)
}

// Guards against a call that is still worked on after the instance asked has given up what it holds.
func TestCallOfOtherInstanceOutlivesWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan struct{})
		answer, took := callDuringStop(t, func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			_, _ = io.WriteString(w, "lent")
			close(ended)
		})
		assert.Zero(t, took)
		assert.Contains(t, answer, "EOF")
		<-ended
	})
}

// Guards against a stop that a call of another instance holds up.
func TestCallOfOtherInstanceHoldsStopUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, took := callDuringStop(t, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
		assert.Zero(t, took)
		time.Sleep(time.Second) // the handler ends
	})
}

// Guards against requests cut off by a signal to stop that comes while an instance stops of itself.
func TestSignalEndsProcessThatStopsOfItself(t *testing.T) {
	t.Cleanup(func() { signal.Reset(syscall.SIGTERM, syscall.SIGINT) })
	ctx, stop := signalled()
	stop()
	<-ctx.Done()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	time.Sleep(50 * time.Millisecond) // the signal is handled, or ends this process
}
