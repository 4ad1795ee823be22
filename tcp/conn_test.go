package tcp_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/tcp"
)

const (
	// connectTimeout and ackTimeout are those of connections under test.
	connectTimeout = time.Second
	ackTimeout     = 300 * time.Millisecond
	// uploadSize is more than the kernel takes for a connection that is not read.
	uploadSize = 12 << 20
)

// connect returns a connection and its peer's end, whose receive buffer is small. Both are
// closed when the test ends.
func connect(t *testing.T) (conn *tcp.Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err = tcp.NewDialer(connectTimeout, ackTimeout).Dial(t.Context(), listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	for peer == nil || peer.RemoteAddr().String() != conn.LocalAddr().String() { // others may use the port of an earlier listener
		accepted, err := listener.Accept()
		require.NoError(t, err)
		peer = accepted.(*net.TCPConn)
		t.Cleanup(func() { _ = accepted.Close() })
	}
	require.NoError(t, peer.SetReadBuffer(8<<10))
	return conn, peer
}

// reset closes the peer's end by a reset.
func reset(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
}

// Guards against a stream that broke off and is read as one that ended: a write takes the error
// of the connection, and the reads that follow see the end of the stream.
func TestStreamEndsOnlyIfPeerClosedIt(t *testing.T) {
	const sent = "a part or all"
	for name, test := range map[string]struct {
		// uploads is set if data is written until the connection breaks.
		uploads bool
		end     func(t *testing.T, peer *net.TCPConn)
		isWhole bool
	}{
		"closed":             {end: func(t *testing.T, peer *net.TCPConn) { require.NoError(t, peer.Close()) }, isWhole: true},
		"closed on one side": {end: func(t *testing.T, peer *net.TCPConn) { require.NoError(t, peer.CloseWrite()) }, isWhole: true},
		"reset":              {end: reset},
		"reset in a write":   {uploads: true, end: reset},
		"data unread": {uploads: true, end: func(t *testing.T, peer *net.TCPConn) {
			_, err := io.ReadFull(peer, make([]byte, 1))
			require.NoError(t, err, "more of the write has arrived")
			require.NoError(t, peer.Close())
		}},
		"silent":                 {uploads: true, end: func(*testing.T, *net.TCPConn) {}},
		"closed, then reset":     {end: func(t *testing.T, peer *net.TCPConn) { require.NoError(t, peer.CloseWrite()); reset(t, peer) }, isWhole: true},
		"closed, reset in write": {uploads: true, end: func(t *testing.T, peer *net.TCPConn) { require.NoError(t, peer.CloseWrite()); reset(t, peer) }, isWhole: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, peer := connect(t)
			_, err := io.WriteString(peer, sent)
			require.NoError(t, err)
			written := make(chan error, 1)
			if test.uploads {
				go func() {
					_, err := conn.Write(make([]byte, uploadSize))
					_, _ = conn.Write([]byte("x")) // its error tells nothing of the first one
					written <- err
				}()
				time.Sleep(20 * time.Millisecond) // the write blocks
			}
			test.end(t, peer)
			if test.uploads {
				require.Error(t, <-written)
			}
			time.Sleep(20 * time.Millisecond) // what the peer sent has arrived
			data, err := io.ReadAll(conn)
			assert.Equal(t, sent, string(data))
			if test.isWhole {
				assert.NoError(t, err)
				return
			}
			assert.ErrorIs(t, err, syscall.ECONNRESET)
			var netErr net.Error
			assert.ErrorAs(t, err, &netErr)
		})
	}
}

// Guards against a connection that breaks in a write while its end is being read.
func TestStreamIsReadDuringWrite(t *testing.T) {
	for range 20 {
		conn, peer := connect(t)
		written := make(chan error, 1)
		go func() {
			_, err := conn.WriteBuffers(net.Buffers{[]byte("head"), make([]byte, uploadSize)})
			written <- err
		}()
		_, err := io.WriteString(peer, "a part")
		require.NoError(t, err)
		ended := make(chan error, 1)
		go func() {
			_, err := io.ReadAll(conn)
			ended <- err
		}()
		time.Sleep(5 * time.Millisecond)
		reset(t, peer)
		assert.ErrorIs(t, <-ended, syscall.ECONNRESET)
		assert.Error(t, <-written)
	}
}
