package tcp

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClosed is the state of a connection that was reset or given up (TCP_CLOSE).
const stateClosed = 7

// Conn is a TCP connection whose Read returns io.EOF only if the peer has ended its stream
// in order. The kernel reports a reset to one system call. If that is a write, a read that
// follows sees the end of the stream, which would end a response that has no length.
type Conn struct {
	net.Conn // not *net.TCPConn, whose WriteTo bypasses Read
	tcp      *net.TCPConn

	// mu is held during writes and guards writeErr, the error of the first write that failed.
	mu       sync.Mutex
	writeErr error
}

// NewConn returns conn as a Conn.
func NewConn(conn *net.TCPConn) *Conn { return &Conn{Conn: conn, tcp: conn} }

// SyscallConn implements syscall.Conn.
func (conn *Conn) SyscallConn() (syscall.RawConn, error) { return conn.tcp.SyscallConn() }

// Write implements net.Conn.
func (conn *Conn) Write(p []byte) (int, error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	n, err := conn.tcp.Write(p)
	conn.recordWrite(err)
	return n, err
}

// WriteBuffers writes the content of buffers.
func (conn *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	n, err := buffers.WriteTo(conn.tcp)
	conn.recordWrite(err)
	return n, err
}

// recordWrite records the result of a write. The caller must hold conn.mu.
func (conn *Conn) recordWrite(err error) {
	if conn.writeErr == nil {
		conn.writeErr = err
	}
}

// Read implements net.Conn. It returns ECONNRESET in a *net.OpError in place of io.EOF if the
// connection broke before the peer ended its stream.
func (conn *Conn) Read(p []byte) (int, error) {
	n, err := conn.tcp.Read(p)
	if err == io.EOF && !conn.endedInOrder() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// endedInOrder reports whether the end of the stream, which has been read, is that of the peer's
// data and not that of a broken connection. The connection may have broken afterwards.
func (conn *Conn) endedInOrder() bool {
	raw, err := conn.tcp.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr, cause error
	if err := raw.Control(func(fd uintptr) {
		if info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil && info.State == stateClosed {
			cause = pendingError(int(fd))
		}
	}); err != nil || infoErr != nil {
		return false
	}
	if info.State != stateClosed {
		return true
	}
	if cause == nil {
		conn.mu.Lock() // a write in progress fails at once
		defer conn.mu.Unlock()
		cause = conn.writeErr
	}
	// A reset is reported as EPIPE if the peer had closed its side before, and otherwise as
	// ECONNRESET.
	return errors.Is(cause, syscall.EPIPE)
}

// pendingError returns the error of the connection that no system call has returned yet.
func pendingError(fd int) error {
	errno, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || errno == 0 {
		return err
	}
	return syscall.Errno(errno)
}
