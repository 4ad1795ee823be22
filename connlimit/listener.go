package connlimit

import (
	"net"
	"syscall"
	"time"
)

// Listener limits the connections of another listener.
type Listener struct {
	net.Listener
	limiter *Limiter
}

// NewListener returns a listener whose connections are of type *Conn and charged to limiter.
func NewListener(listener net.Listener, limiter *Limiter) *Listener {
	return &Listener{Listener: listener, limiter: limiter}
}

// Accept implements net.Listener. It refuses connections for which there is no room.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := newConn(raw, listener.limiter)
		if conn != nil {
			return conn, nil
		}
		(&Conn{Conn: raw}).refuse(busyResponse)
	}
}

// UnsupportedError is returned if the underlying listener lacks an operation.
type UnsupportedError struct{}

// Error implements error.
func (e *UnsupportedError) Error() string { return "not supported by the listener" }

// SetDeadline sets the deadline of Accept. It returns an *UnsupportedError if the underlying
// listener has none.
func (listener *Listener) SetDeadline(t time.Time) error {
	if limited, ok := listener.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return limited.SetDeadline(t)
	}
	return &UnsupportedError{}
}

// SyscallConn implements syscall.Conn. It returns an *UnsupportedError if the underlying listener
// does not.
func (listener *Listener) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := listener.Listener.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, &UnsupportedError{}
}
