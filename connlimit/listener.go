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

// minWait is how long a connection may wait for a request before it makes room for a new one. It
// covers a network latency of 50 ms each way and the same again for busy machines.
const minWait = 200 * time.Millisecond

// Accept implements net.Listener. While the connections that could make room are new, it waits: a
// client's request arrives meanwhile, and is served at once. It refuses connections for which there
// is no room.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		time.Sleep(listener.limiter.untilRoom(time.Now()))
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
