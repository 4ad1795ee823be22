package gateway

import (
	"io"
	"net"
	"sync"
	"time"
)

// callerConn is a caller's connection that knows whether a request may be
// on its way. The server's own states do not tell: between the first byte
// of a request and its whole head a connection counts as idle, and closing
// it then loses a request that was taken.
type callerConn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// busy: bytes came since the last answer ended. read: they came after
	// the last write.
	busy, read, closed bool
	// since is when the connection was taken, its last answer ended, or it
	// was closed.
	since time.Time
	// late counts the bytes that came after the connection was closed.
	late int
}

// Read implements net.Conn.
func (conn *callerConn) Read(p []byte) (int, error) {
	n, err := conn.Conn.Read(p)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed {
		if n > 0 {
			conn.server.cameLate(conn, n, conn.late == 0, time.Since(conn.since))
			conn.late += n
		}
		return 0, io.EOF
	}
	if n > 0 {
		conn.busy, conn.read = true, true
	}
	return n, err
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
	conn.server.mu.Lock()
	delete(conn.server.conns, conn)
	conn.server.mu.Unlock()
	return conn.Conn.Close()
}

// CloseWrite ends the connection's own direction, so that an answer that
// ends a connection arrives whole.
func (conn *callerConn) CloseWrite() error {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// rest notes that an answer ended.
func (conn *callerConn) rest() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.busy = conn.read
	conn.since = time.Now()
}

// closeIfQuiet closes the connection unless a request may be on its way.
func (conn *callerConn) closeIfQuiet() {
	conn.mu.Lock()
	quiet := !conn.busy && time.Since(conn.since) >= quietTime
	if quiet {
		conn.closed, conn.since = true, time.Now()
	}
	conn.mu.Unlock()
	if quiet {
		conn.server.mu.Lock()
		conn.server.closed++
		conn.server.mu.Unlock()
		_ = conn.Close() // nothing was asked on it
	}
}
