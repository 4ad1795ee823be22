package connlimit

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// headMargin is how much a request's head may exceed the limit, for its first line
	// and for what a buffer reads beyond it.
	headMargin = 8 << 10
	// refuseTimeout bounds writing the response to a connection that is closed.
	refuseTimeout = 20 * time.Millisecond
	// lingerTimeout is how long a connection is read whose request's head is too large.
	lingerTimeout = 200 * time.Millisecond
)

// Responses to connections that are closed. Both statuses promise that no request in transit
// has run or will run.
const (
	idleResponse     = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	busyResponse     = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	oversizeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// RefusedError is returned if there is no room for a request or a part of it.
type RefusedError struct{}

// Error implements error.
func (e *RefusedError) Error() string { return "no room for the request" }

// Conn is a connection whose memory is charged to a Limiter. Before Begin and after Done it waits
// for a request, whose head it counts, and may be evicted.
type Conn struct {
	net.Conn
	limiter *Limiter
	holder  *Holder

	mu sync.Mutex
	// head is the number of bytes of the request's head that were read.
	head int64
	// serving is set from Begin to Done.
	serving bool
}

// newConn returns the limited connection, nil if there is no room for it.
func newConn(raw net.Conn, limiter *Limiter) *Conn {
	conn := &Conn{Conn: raw, limiter: limiter}
	conn.holder = limiter.newConn(connCost, conn.abort, true)
	if conn.holder == nil {
		return nil
	}
	return conn
}

// Read implements net.Conn. It charges what it reads of a request's head before it returns it. If
// there is no room or the head is too large, it closes the connection and returns io.EOF, upon
// which net/http writes nothing more. A read of the body of a request whose connection was
// evicted fails with a *RefusedError.
func (conn *Conn) Read(p []byte) (int, error) {
	n, err := conn.Conn.Read(p)
	size, waiting := conn.countHead(n)
	switch {
	case conn.holder.IsEvicted() && !waiting:
		return 0, &RefusedError{}
	case conn.holder.IsEvicted():
		return 0, io.EOF
	case n == 0 || !waiting:
		return n, err
	case size > conn.maxHead()+headMargin:
		conn.limiter.metrics.oversized.Inc(1)
		conn.refuseHead()
		return 0, io.EOF
	case !conn.holder.Reserve(HeadCost(p[:n])):
		if conn.holder.Proceed() { // otherwise abort was called
			conn.refuse(busyResponse)
		}
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn.
func (conn *Conn) Write(p []byte) (int, error) {
	if timeout := conn.limiter.config.WriteTimeout; timeout > 0 {
		_ = conn.SetWriteDeadline(time.Now().Add(timeout)) // fails if the connection is closed
	}
	return conn.Conn.Write(p)
}

// refuseHead responds to a request whose head is too large. It reads on for a while, since closing
// a connection with unread bytes resets it, and the client might not receive the response.
func (conn *Conn) refuseHead() {
	_ = conn.SetDeadline(time.Now().Add(lingerTimeout))
	_, err := io.WriteString(conn.Conn, oversizeResponse)
	if err == nil && conn.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, conn.Conn) // ends at the deadline
	}
	_ = conn.Conn.Close()
}

// countHead adds n bytes to the request's head unless a request is being served. It returns the
// head's size, and whether no request is being served.
func (conn *Conn) countHead(n int) (size int64, waiting bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.serving {
		return 0, false
	}
	conn.head += int64(n)
	return conn.head, true
}

// maxHead returns the maximum size of a request's head.
func (conn *Conn) maxHead() int64 {
	if limit := conn.limiter.config.HeadBytes; limit != nil {
		if bytes := limit(); bytes > 0 {
			return bytes
		}
	}
	return DefaultHeadBytes
}

// Begin records that a request's head is complete and charges size bytes for serving it. It
// returns false if the connection was closed or there is no room; the request must not be
// processed then. The connection may be evicted until Proceed.
func (conn *Conn) Begin(size int64) bool {
	conn.mu.Lock()
	conn.serving, conn.head = true, 0
	conn.mu.Unlock()
	return conn.holder.Reserve(size)
}

// Proceed records that the request is whole, which keeps the connection from being evicted. It
// returns false if it was evicted before.
func (conn *Conn) Proceed() bool { return conn.holder.Proceed() }

// Reserve charges n bytes, up to Done. It returns false if there is no room or the connection was
// evicted.
func (conn *Conn) Reserve(n int64) bool { return conn.holder.Reserve(n) }

// ReserveInOrder is Reserve for a request that may call Await if there is no room.
func (conn *Conn) ReserveInOrder(n int64) bool { return conn.holder.ReserveInOrder(n) }

// Await is Reserve for a request that is whole, and waits for room as Holder.Await does.
func (conn *Conn) Await(ctx context.Context, n int64) bool { return conn.holder.Await(ctx, n) }

// Charge charges n bytes, which may be negative, up to Done, and reports whether there is room for
// them.
func (conn *Conn) Charge(n int64) bool { return conn.holder.Charge(n) }

// Linger is called after a request was answered that is not whole. It shuts down the write side, and
// discards what the client still sends until that closes the connection or ctx ends: closing a
// connection with unread bytes resets it, and the client might not receive the response. It frees
// what was charged for the request. If many connections linger, the oldest of them is closed.
func (conn *Conn) Linger(ctx context.Context) {
	conn.holder.ReleaseTo(connCost)
	defer conn.limiter.addLingering(conn)()
	_ = conn.Conn.SetReadDeadline(time.Time{}) // the calls of Conn fail if the connection is closed
	defer context.AfterFunc(ctx, func() { _ = conn.Conn.SetReadDeadline(time.Unix(1, 0)) })()
	if conn.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, conn.Conn)
	}
}

// IsEvicted reports whether the connection was closed to make room for others.
func (conn *Conn) IsEvicted() bool { return conn.holder.IsEvicted() }

// Done records that the response is complete, and frees what was charged for the request.
func (conn *Conn) Done() {
	conn.mu.Lock()
	conn.serving = false
	conn.mu.Unlock()
	conn.holder.ReleaseTo(connCost)
	conn.holder.Wait()
}

// abort ends the connection, which was evicted. A handler that reads the request's body gets an
// error and responds; otherwise the connection is closed.
func (conn *Conn) abort() {
	conn.mu.Lock()
	serving, head := conn.serving, conn.head
	conn.mu.Unlock()
	switch {
	case serving:
		_ = conn.Conn.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
	case head > 0:
		conn.refuse(busyResponse)
	default:
		conn.refuse(idleResponse)
	}
}

// refuse writes a response and closes the connection. net/http closes it once more when its
// Read has returned.
func (conn *Conn) refuse(response string) {
	_ = conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = io.WriteString(conn.Conn, response) // the client may be gone
	_ = conn.Conn.Close()
}

// SetReadDeadline implements net.Conn. It has no effect on a connection that was evicted.
func (conn *Conn) SetReadDeadline(t time.Time) error {
	if conn.holder.IsEvicted() {
		return nil
	}
	return conn.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (conn *Conn) Close() error {
	conn.holder.End()
	return conn.Conn.Close()
}

// SetLinger sets what Close of a TCP connection does, as net.TCPConn.SetLinger.
func (conn *Conn) SetLinger(seconds int) error { return SetLinger(conn.Conn, seconds) }

// SetLinger calls the method SetLinger of conn, if it has one.
func SetLinger(conn net.Conn, seconds int) error {
	if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil // a pipe has no reset
}

// CloseWrite shuts down the write side of a TCP connection.
func (conn *Conn) CloseWrite() error {
	if half, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil // a pipe has no half-close
}
