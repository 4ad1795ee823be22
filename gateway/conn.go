package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// notRun is the answer on a connection that a stop closes. A caller without a
// request takes it for the close that it announces.
const notRun = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// callerConn is a caller's connection that knows whether a request may be
// on its way. The server's own states do not tell: between the first byte
// of a request and its whole head a connection counts as idle, and closing
// it then loses a request that was taken.
type callerConn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// busy: a request is served, or bytes came since the last answer ended.
	// read: they came after the last write.
	busy, read, closed bool
	// since is when the connection was taken, its last answer ended, or it
	// was closed.
	since time.Time
	// late counts the bytes that came after the connection was closed.
	late int
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// notingBegin returns handler with the beginning of each request noted at its
// connection.
func notingBegin(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			conn.begin()
		}
		handler.ServeHTTP(w, r)
	})
}

// Read implements net.Conn. Once a stop has closed the connection, what comes
// is thrown away until the caller has closed it, too.
func (conn *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := conn.Conn.Read(p)
		if !conn.took(n) {
			return n, err
		}
		if err != nil {
			return 0, io.EOF
		}
	}
}

// took notes that n bytes came, and reports whether that was too late.
func (conn *callerConn) took(n int) (late bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if n == 0 || !conn.closed {
		conn.busy, conn.read = conn.busy || n > 0, conn.read || n > 0
		return conn.closed
	}
	conn.server.cameLate(conn, n, conn.late == 0, time.Since(conn.since))
	conn.late += n
	return true
}

// Write implements net.Conn.
func (conn *callerConn) Write(p []byte) (int, error) {
	conn.mu.Lock()
	conn.read = false
	conn.mu.Unlock()
	return conn.Conn.Write(p)
}

// Close implements net.Conn.
func (conn *callerConn) Close() error {
	conn.mu.Lock()
	unanswered := conn.read && !conn.closed
	conn.mu.Unlock()
	conn.server.ended(conn, unanswered)
	return conn.Conn.Close()
}

// CloseWrite ends the connection's own direction, so that an answer that
// ends a connection arrives whole.
func (conn *callerConn) CloseWrite() error {
	if half, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil // a pipe, which has no halves
}

// begin notes that a request is served. Its bytes may have come together with
// those of the request before, which the reads do not tell.
func (conn *callerConn) begin() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.busy = true
}

// rest notes that an answer ended.
func (conn *callerConn) rest() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.busy = conn.read
	conn.since = time.Now()
}

// SetReadDeadline implements net.Conn. That of a closed connection stays.
func (conn *callerConn) SetReadDeadline(t time.Time) error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed {
		return nil
	}
	return conn.Conn.SetReadDeadline(t)
}

// closeIfQuiet closes the connection unless a request may be on its way, or
// it was closed before.
func (conn *callerConn) closeIfQuiet() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.busy || conn.closed || time.Since(conn.since) < quietTime {
		return
	}
	conn.closed, conn.since = true, time.Now()
	conn.server.closedQuiet()
	conn.answerNotRun()
}

// answerNotRun closes the own direction with an answer that promises that
// whatever the caller has sent, or sends before it learns of the close, does
// not run. Without it the caller of a request that crosses the close cannot
// know that, and must not send one again that is not idempotent. Reading ends,
// and the connection with it, when the caller closes it, or after
// lingerTime: closed earlier, the connection would be reset by a request that
// comes late, and the answer could be lost with it.
func (conn *callerConn) answerNotRun() {
	_ = conn.Conn.SetReadDeadline(conn.since.Add(lingerTime))
	_ = conn.SetWriteDeadline(conn.since.Add(stopPoll))
	_, err := io.WriteString(conn.Conn, notRun)
	if err == nil {
		err = conn.CloseWrite()
	}
	if err != nil {
		_ = conn.Conn.Close() // the caller is gone
	}
}
