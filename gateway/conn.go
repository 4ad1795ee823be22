package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
)

// notRunResponse is sent on a connection that a stopping server closes. A
// caller with no request outstanding reads it as a plain announcement of the
// close.
const notRunResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// connEnd identifies why a connection ended without a complete response.
type connEnd int

//go:generate stringer -type=connEnd -trimprefix=connEnd

// Reasons, as they appear in logs.
const (
	// connEndNone means that all bytes received were answered.
	connEndNone connEnd = iota
	// connEndCallerLeft means that the caller closed or reset the connection first.
	connEndCallerLeft
	// connEndWriteFailed means that a part of a response could not be written.
	connEndWriteFailed
	// connEndHeadIncomplete means that the head of a request was not complete in time.
	connEndHeadIncomplete
	// connEndAborted means that the handler aborted its response before a part of it
	// was written.
	connEndAborted
	// connEndExit means that the process exits with the request unanswered.
	connEndExit
)

// callerConn is a caller's connection that tracks whether a request may be in
// transit. http.ConnState is not sufficient: from a request's first byte until
// its head is complete, http.Server counts the connection as idle, and closing
// it then loses a request whose bytes were read.
type callerConn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// busy is set while a request is served, or if bytes arrived since the last
	// response ended. readSinceWrite is set if bytes arrived since the last
	// write. closed is set once closeIfIdle closed the connection.
	busy, readSinceWrite, closed bool
	// handling is set from the call of the handler to the end of its response, and
	// request is the ID of its request, if known. callerLeft is set once reading
	// ended because the caller closed the connection, and writeErr is the first error
	// of a write.
	handling, callerLeft bool
	request              string
	writeErr             error
	// since is when the connection was accepted, its last response ended, or
	// closeIfIdle closed it.
	since time.Time
	// late counts the bytes that arrived after closeIfIdle closed the
	// connection.
	late int
}

// connKey is the context key of a request's *callerConn.
type connKey struct{}

// withConn returns a context that carries a request's connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerConnOf returns the connection of a request, or nil if it was not accepted by a
// Server.
func callerConnOf(r *http.Request) *callerConn {
	conn, _ := r.Context().Value(connKey{}).(*callerConn)
	return conn
}

// limitedConn returns the connection of a request to which memory is charged, or nil if it has no
// limits.
func limitedConn(r *http.Request) *connlimit.Conn {
	if conn := callerConnOf(r); conn != nil {
		return conn.limited()
	}
	return nil
}

// limited returns the connection to which memory is charged, or nil if it has no limits.
func (conn *callerConn) limited() *connlimit.Conn {
	limited, _ := conn.Conn.(*connlimit.Conn)
	return limited
}

// trackRequests returns a handler that marks a request's connection as busy
// before calling handler.
func trackRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := callerConnOf(r); conn != nil {
			conn.requestStarted()
			defer connlimit.ResetAborted(r, conn)
		}
		handler.ServeHTTP(w, r)
	})
}

// Read implements net.Conn. After closeIfIdle closed the connection, Read
// discards data until the caller closes it too.
func (conn *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := conn.Conn.Read(p)
		if !conn.recordRead(n, err) {
			return n, err
		}
		if err != nil {
			return 0, io.EOF
		}
	}
}

// recordRead records the result of a read, and reports whether closeIfIdle had
// closed the connection before.
func (conn *callerConn) recordRead(n int, err error) (late bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	// net/http interrupts its reads by a deadline, and closes the connection itself.
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		conn.callerLeft = true
	}
	if n == 0 || !conn.closed {
		conn.busy, conn.readSinceWrite = conn.busy || n > 0, conn.readSinceWrite || n > 0
		return conn.closed
	}
	conn.server.recordLateBytes(conn, n, conn.late == 0, time.Since(conn.since))
	conn.late += n
	return true
}

// Write implements net.Conn.
func (conn *callerConn) Write(p []byte) (int, error) {
	conn.mu.Lock()
	conn.readSinceWrite = false
	handling := conn.handling
	conn.mu.Unlock()
	if !handling {
		status, _, _ := bytes.Cut(p, []byte("\r\n"))
		conn.server.recordMalformed(conn, string(status))
	}
	n, err := conn.Conn.Write(p)
	if err != nil {
		conn.recordWriteError(err)
	}
	return n, err
}

// recordWriteError records that a write failed: the caller does not read, or has closed
// the connection.
func (conn *callerConn) recordWriteError(err error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.writeErr = cmp.Or(conn.writeErr, err)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		conn.callerLeft = true
	}
}

// Close implements net.Conn.
func (conn *callerConn) Close() error {
	conn.server.connClosed(conn, conn.end())
	return conn.Conn.Close()
}

// end returns why the connection, which is about to be closed, ends without a complete
// response, or connEndNone.
func (conn *callerConn) end() connEnd {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	switch {
	case conn.closed || !conn.readSinceWrite && conn.writeErr == nil:
		return connEndNone
	case conn.callerLeft:
		return connEndCallerLeft
	case conn.writeErr != nil:
		return connEndWriteFailed
	case conn.handling:
		return connEndAborted
	}
	return connEndHeadIncomplete
}

// logAttrs returns what a log line tells of the connection.
func (conn *callerConn) logAttrs() []any {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return []any{"caller", conn.RemoteAddr(), "since", conn.since, "request", conn.request, "err", conn.writeErr}
}

// setRequest sets the ID of the request that is being served.
func (conn *callerConn) setRequest(id string) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.request = id
}

// SetLinger sets what Close does, as net.TCPConn.SetLinger.
func (conn *callerConn) SetLinger(seconds int) error { return connlimit.SetLinger(conn.Conn, seconds) }

// CloseWrite shuts down the write side. net/http calls it before closing a
// connection, so that the caller receives the complete response.
func (conn *callerConn) CloseWrite() error {
	if half, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil // net.Pipe connections have no half-close
}

// requestStarted marks the connection as busy. A pipelined request may have
// arrived in the same read as the previous one, so counting reads is not
// sufficient.
func (conn *callerConn) requestStarted() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.busy, conn.handling, conn.request = true, true, ""
}

// responseEnded records the end of a response. The connection stays busy if
// bytes arrived since the last write.
func (conn *callerConn) responseEnded() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.busy, conn.handling = conn.readSinceWrite, false
	conn.since = time.Now()
	if limited := conn.limited(); limited != nil {
		limited.Done()
	}
}

// SetReadDeadline implements net.Conn. It does nothing once closeIfIdle has
// closed the connection, which keeps lingerTimeout in force.
func (conn *callerConn) SetReadDeadline(t time.Time) error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed {
		return nil
	}
	return conn.Conn.SetReadDeadline(t)
}

// closeIfIdle closes the connection unless a request may be in transit or it
// was closed before.
func (conn *callerConn) closeIfIdle() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.busy || conn.closed || time.Since(conn.since) < minIdleTime {
		return
	}
	conn.closed, conn.since = true, time.Now()
	conn.server.recordIdleClose()
	conn.writeNotRun()
}

// isServing reports whether a handler is serving a request, whose response may have been
// written in part.
func (conn *callerConn) isServing() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.handling
}

// isClosed reports whether closeIfIdle has closed the connection, which may still be read.
func (conn *callerConn) isClosed() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.closed
}

// writeNotRun sends notRunResponse and shuts down the write side. The response
// guarantees that no request in transit will run; without it, a caller whose
// request crosses the close could not tell, and must not retry a request that
// is not idempotent. Reading continues until the caller closes the connection,
// or for lingerTimeout: closing earlier would let a late request reset the
// connection, and the response could be lost.
func (conn *callerConn) writeNotRun() {
	_ = conn.Conn.SetReadDeadline(conn.since.Add(lingerTimeout))
	_ = conn.SetWriteDeadline(conn.since.Add(stopPoll))
	_, err := io.WriteString(conn.Conn, notRunResponse)
	if err == nil {
		err = conn.CloseWrite()
	}
	if err != nil {
		_ = conn.Conn.Close() // the caller is gone
	}
}
