package upstream_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// silentAddress returns an address that does not respond to new connections: its queue of
// them is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	bound, err := unix.Getsockname(fd)
	require.NoError(t, err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
	for {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// Guards against an endpoint that lives and is taken for crashed, or the other way round.
func TestProbeTellsWhatTheAddressDoes(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	ending := func(delay time.Duration) string { // a process that ends: it accepts one more connection
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			conn, err := listener.Accept()
			_ = listener.Close()
			if err == nil {
				time.Sleep(delay)
				_ = conn.Close()
			}
		}()
		return listener.Addr().String()
	}
	short, long := upstream.ShortSettleTime, upstream.LongSettleTime
	for name, test := range map[string]struct {
		address string
		settle  time.Duration
		want    upstream.Liveness
	}{
		"nobody listens":   {closed.Addr().String(), short, upstream.LivenessRefused},
		"ending":           {ending(2 * time.Millisecond), short, upstream.LivenessRefused},
		"ending late":      {ending(40 * time.Millisecond), long, upstream.LivenessRefused},
		"accepts":          {serve(t, func(_ int, _ net.Conn, reader *bufio.Reader) { _, _ = reader.ReadByte() }), short, upstream.LivenessConnected},
		"closes each":      {serve(t, func(int, net.Conn, *bufio.Reader) {}), short, upstream.LivenessUnknown},
		"does not respond": {silentAddress(t), long, upstream.LivenessUnknown},
	} {
		began := time.Now()
		assert.Equal(t, test.want, upstream.NewClient().Probe(context.Background(), test.address, test.settle), name)
		assert.Less(t, time.Since(began), time.Second, name)
	}
}

// Guards against a connection for each request of an endpoint that fails, and against probes whose connections are not used.
func TestProbesShareAConnectionThatIsReused(t *testing.T) {
	var accepted atomic.Int32
	address := serve(t, func(n int, conn net.Conn, reader *bufio.Reader) {
		accepted.Add(1)
		for {
			if _, err := reader.ReadString('\n'); err != nil {
				return
			}
			_, _ = reader.Discard(reader.Buffered())
			respond(conn, "a", "", "ok")
		}
	})
	client := upstream.NewClient()
	var probes sync.WaitGroup
	for range 20 {
		probes.Go(func() {
			assert.Equal(t, upstream.LivenessConnected, client.Probe(context.Background(), address, upstream.ShortSettleTime))
		})
	}
	probes.Wait()
	body, response, err := do(t, client, request(address, "a", ""))
	require.NoError(t, err)
	assert.Equal(t, "ok", body)
	response.Close()
	assert.LessOrEqual(t, accepted.Load(), int32(2))
}

// Guards against an endpoint whose end is not seen, and against a watch that keeps a connection that the endpoint is about to close.
func TestWatchTellsWhetherTheConnectionStaysOpen(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	waits := func(_ int, _ net.Conn, reader *bufio.Reader) { _, _ = reader.ReadByte() }
	for name, test := range map[string]struct {
		address string
		want    upstream.Liveness
	}{
		"nobody listens": {closed.Addr().String(), upstream.LivenessRefused},
		"stays open":     {serve(t, waits), upstream.LivenessConnected},
		"closes":         {serve(t, func(int, net.Conn, *bufio.Reader) { time.Sleep(20 * time.Millisecond) }), upstream.LivenessUnknown},
		"sends": {serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			_, _ = conn.Write([]byte("x"))
			_, _ = reader.ReadByte()
		}), upstream.LivenessUnknown},
	} {
		client := upstream.NewClient()
		assert.Equal(t, test.want, client.Watch(context.Background(), test.address, 60*time.Millisecond), name)
		isKept := test.want == upstream.LivenessConnected
		assert.Eventually(t, func() bool { return client.HasIdleConn(test.address) == isKept }, time.Second, time.Millisecond, name)
	}
	client, address := upstream.NewClient(), serve(t, waits)
	for range 2 {
		require.Equal(t, upstream.LivenessConnected, client.Watch(context.Background(), address, time.Millisecond))
		require.Eventually(t, func() bool { return client.HasIdleConn(address) }, time.Second, time.Millisecond)
	}
	assert.EqualValues(t, 1, client.ConnectionsOpened(), "an idle connection is watched")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	began := time.Now()
	assert.Equal(t, upstream.LivenessUnknown, client.Watch(ctx, address, 10*time.Second))
	assert.Less(t, time.Since(began), 5*time.Second)
}

// Guards against a watched connection that is kept for longer than the endpoint announced.
func TestWatchKeepsTheIdleTimeout(t *testing.T) {
	client := upstream.NewClient()
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		respond(conn, "1", "Keep-Alive: timeout=1\r\n", "")
		_, _ = reader.ReadByte()
	})
	_, _, err := do(t, client, request(address, "1", ""))
	require.NoError(t, err)
	require.Equal(t, upstream.LivenessConnected, client.Watch(context.Background(), address, time.Millisecond))
	assert.Eventually(t, func() bool { return !client.HasIdleConn(address) }, time.Second, 10*time.Millisecond, "idle for half a second at most")
}

// Guards against a connection opened for each of several watches of an endpoint.
func TestWatchesShareAConnection(t *testing.T) {
	client := upstream.NewClient()
	address := serve(t, func(_ int, _ net.Conn, reader *bufio.Reader) { _, _ = reader.ReadByte() })
	var watches sync.WaitGroup
	for n := range 10 {
		watches.Go(func() {
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			began := time.Now()
			assert.Equal(t, upstream.LivenessConnected, client.Watch(context.Background(), address, 300*time.Millisecond))
			assert.GreaterOrEqual(t, time.Since(began), 290*time.Millisecond)
		})
	}
	watches.Wait()
	assert.EqualValues(t, 1, client.ConnectionsOpened())
}
