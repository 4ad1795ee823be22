package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
)

// writeTimeout bounds sending a frame to a caller that may not read.
var writeTimeout = 20 * time.Second

const (
	// connCost is the memory of a connection: its state, and the data received out of
	// order, up to the initial window.
	connCost = 160 << 10
	// callCost is the memory of a call besides its data: two goroutines' stacks and
	// the state of a stream.
	callCost = 32 << 10
	// decodeFactor is the memory for each byte of a call, as received and decoded.
	decodeFactor = 3
	// logInterval and logBurst bound the log lines about invalid calls.
	logInterval = time.Second
	logBurst    = 20
	// busyRetryAfter is the retry delay of calls for which there is no room.
	busyRetryAfter = 500 * time.Millisecond
)

// NoRoomError is returned by ConnContext for a connection for which there is no room.
type NoRoomError struct{}

// Error implements error.
func (e *NoRoomError) Error() string { return "no room for the connection" }

// limitKey is the context key of a connection's *limitedConn.
type limitKey struct{}

// limitedConn is a connection whose memory is charged. It may be evicted while no call is served on
// it.
type limitedConn struct {
	holder *connlimit.Holder

	mu    sync.Mutex
	conn  *quic.Conn
	calls int // being served
}

// admitConn charges a new connection until it is closed. It returns a *NoRoomError if there is no
// room.
func (s *Server) admitConn(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	limited := &limitedConn{}
	limited.holder = s.limiter.NewConn(connCost, limited.abort)
	if limited.holder == nil {
		return nil, &NoRoomError{}
	}
	context.AfterFunc(ctx, limited.holder.End)
	return context.WithValue(ctx, limitKey{}, limited), nil
}

// limitOf returns the limits of a connection.
func limitOf(conn *quic.Conn) *limitedConn {
	limited, _ := conn.Context().Value(limitKey{}).(*limitedConn)
	return limited
}

// opened records that the handshake is complete.
func (limited *limitedConn) opened(conn *quic.Conn) {
	limited.mu.Lock()
	limited.conn = conn
	limited.mu.Unlock()
	limited.holder.Wait()
}

// abort closes the connection, which was evicted.
func (limited *limitedConn) abort() {
	limited.mu.Lock()
	defer limited.mu.Unlock()
	_ = limited.conn.CloseWithError(0, "closed to make room for others")
}

// callBegan keeps the connection from being evicted.
func (limited *limitedConn) callBegan() {
	limited.mu.Lock()
	defer limited.mu.Unlock()
	limited.calls++
	limited.holder.Proceed() // if it was evicted, the call's context is cancelled
}

// callEnded allows the connection to be evicted once no call is served.
func (limited *limitedConn) callEnded() {
	limited.mu.Lock()
	defer limited.mu.Unlock()
	limited.calls--
	if limited.calls == 0 {
		limited.holder.Wait()
	}
}

// refuseCall replies that a call was not run.
func refuseCall(send func(Frame) error) {
	_ = send(Frame{Type: FrameRefused, Reason: "no_room", Message: "no room for the call", RetryAfter: busyRetryAfter.Milliseconds()}) // the caller may be gone
}

// callReader charges a call to its holder while it is read.
type callReader struct {
	reader io.Reader
	holder *connlimit.Holder
}

// Read implements io.Reader. It returns a *connlimit.RefusedError if there is no room.
func (reader *callReader) Read(p []byte) (int, error) {
	n, err := reader.reader.Read(p)
	if n > 0 && !reader.holder.Reserve(decodeFactor*int64(n)) {
		return 0, &connlimit.RefusedError{}
	}
	return n, err
}
