package peer_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/peer"
)

// serveLimited starts a server with limits and returns its address and limiter.
func serveLimited(t *testing.T, handler peer.Handler, memory int64, connections int, log *slog.Logger) (string, *connlimit.Limiter) {
	t.Helper()
	limiter := connlimit.New(connlimit.Config{Name: "peers", Memory: memory, Connections: connections, Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
	server, err := peer.Listen("127.0.0.1:0", handler, limiter, log)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return server.Addr(), limiter
}

// callOnce sends a call by a client of its own and returns the type of its last frame, FrameRefused
// if the server stopped reading the call.
func callOnce(t *testing.T, address string, body []byte) (peer.FrameType, error) {
	t.Helper()
	client := peer.NewClient(clock.Real{})
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var last peer.FrameType
	sent, err := client.Do(ctx, address, &peer.Call{Body: body}, func(f peer.Frame) error {
		last = f.Type
		return nil
	})
	var canceled *quic.StreamError
	if !sent && errors.As(err, &canceled) {
		return peer.FrameRefused, nil
	}
	return last, err
}

// open opens a connection and sends data on a stream that it does not end.
func open(t *testing.T, address string, data []byte) *quic.Conn {
	t.Helper()
	conn, err := quic.DialAddr(t.Context(), address, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{peer.ALPN}}, &quic.Config{KeepAlivePeriod: time.Second})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
	if len(data) > 0 {
		stream, err := conn.OpenStreamSync(t.Context())
		require.NoError(t, err)
		_, err = stream.Write(data)
		require.NoError(t, err)
	}
	return conn
}

// unended is the beginning of a call with a body of a megabyte, and 300 KB of that.
func unended() []byte {
	return append([]byte{0xa1, 0x61, 'b', 0x5a, 0x00, 0x10, 0x00, 0x00}, make([]byte, 300<<10)...)
}

// Guards against calls that are not ended, and whose memory keeps others out.
func TestUnendedCallsMakeRoom(t *testing.T) {
	address, limiter := serveLimited(t, echo, 2<<20, 0, slog.New(slog.DiscardHandler))
	open(t, address, unended())
	require.Eventually(t, func() bool { return limiter.Used() > 900<<10 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { // refused until the first has ended
		last, err := callOnce(t, address, make([]byte, 300<<10))
		return err == nil && last == peer.FrameEnd
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against a call that runs although there is no room for it: it is refused as not run.
func TestCallWithoutRoomIsRefused(t *testing.T) {
	var mu sync.Mutex
	ran := 0
	address, _ := serveLimited(t, func(ctx context.Context, call *peer.Call, send func(peer.Frame) error) {
		mu.Lock()
		ran++
		mu.Unlock()
		echo(ctx, call, send)
	}, 1<<20, 0, slog.New(slog.DiscardHandler))
	last, err := callOnce(t, address, make([]byte, 1<<20))
	require.NoError(t, err)
	assert.Equal(t, peer.FrameRefused, last)
	mu.Lock()
	assert.Zero(t, ran)
	mu.Unlock()
	last, err = callOnce(t, address, []byte("ahoy"))
	require.NoError(t, err)
	assert.Equal(t, peer.FrameEnd, last)
}

// Guards against connections without calls that keep others out, and against ones with a call in progress that are closed for others.
func TestConnectionsWithoutCallsMakeRoom(t *testing.T) {
	started, release := make(chan struct{}, 1), make(chan struct{})
	address, _ := serveLimited(t, func(ctx context.Context, call *peer.Call, send func(peer.Frame) error) {
		if string(call.Body) == "long" {
			started <- struct{}{}
			<-release
		}
		echo(ctx, call, send)
	}, 0, 2, slog.New(slog.DiscardHandler))
	type result struct {
		last peer.FrameType
		err  error
	}
	long := make(chan result, 1)
	go func() {
		last, err := callOnce(t, address, []byte("long"))
		long <- result{last, err}
	}()
	<-started
	idle := open(t, address, nil)
	for range 2 { // the second finds the connection of the first
		require.Eventually(t, func() bool { // refused while the other has not been opened, or its call not ended
			last, err := callOnce(t, address, []byte("ahoy"))
			return err == nil && last == peer.FrameEnd
		}, 10*time.Second, 10*time.Millisecond)
	}
	select {
	case <-idle.Context().Done():
	case <-time.After(5 * time.Second):
		t.Error("the idle connection stays open")
	}
	close(release)
	assert.Equal(t, result{last: peer.FrameEnd}, <-long)
}

// Guards against connections without a bound while all have a call in progress, and against ones that count after they have ended.
func TestConnectionsAreBounded(t *testing.T) {
	started, release := make(chan struct{}, 1), make(chan struct{})
	address, limiter := serveLimited(t, func(ctx context.Context, call *peer.Call, send func(peer.Frame) error) {
		started <- struct{}{}
		<-release
		echo(ctx, call, send)
	}, 0, 1, slog.New(slog.DiscardHandler))
	client := peer.NewClient(clock.Real{})
	ended := make(chan error, 1)
	go func() {
		_, err := client.Do(context.Background(), address, &peer.Call{}, func(peer.Frame) error { return nil })
		ended <- err
	}()
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := quic.DialAddr(ctx, address, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{peer.ALPN}}, nil)
	assert.Error(t, err)
	assert.NoError(t, ctx.Err(), "refused at once")
	close(release)
	assert.NoError(t, <-ended)
	client.Close()
	assert.Eventually(t, func() bool { return limiter.Used() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against callers that keep a call in progress, and its slot at an endpoint, by not reading the reply.
func TestUnreadRepliesEnd(t *testing.T) {
	t.Cleanup(peer.SetWriteTimeout(50 * time.Millisecond))
	ended := make(chan error, 1)
	address, _ := serveLimited(t, func(_ context.Context, _ *peer.Call, send func(peer.Frame) error) {
		for {
			if err := send(peer.Frame{Type: peer.FrameData, Data: make([]byte, 1<<20)}); err != nil {
				ended <- err
				return
			}
		}
	}, 0, 0, slog.New(slog.DiscardHandler))
	open(t, address, []byte{0xa0}) // an empty call
	select {
	case err := <-ended:
		assert.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Error("the call goes on")
	}
}

// Guards against a log line for each call that can't be decoded.
func TestLinesAboutInvalidCallsAreBounded(t *testing.T) {
	var mu sync.Mutex
	var out bytes.Buffer
	address, _ := serveLimited(t, echo, 0, 0, slog.New(slog.NewTextHandler(writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return out.Write(p)
	}), nil)))
	conn := open(t, address, nil)
	for range 200 {
		stream, err := conn.OpenStreamSync(t.Context())
		require.NoError(t, err)
		_, _ = stream.Write([]byte{0xff})
		_ = stream.Close()
		_, _ = stream.Read(make([]byte, 1)) // ends once the server has ended the stream
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Positive(t, out.Len())
	assert.LessOrEqual(t, strings.Count(out.String(), "\n"), 50)
}

// writerFunc is an io.Writer.
type writerFunc func(p []byte) (int, error)

func (write writerFunc) Write(p []byte) (int, error) { return write(p) }
