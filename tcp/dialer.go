// Package tcp creates TCP connections that detect unreachable peers quickly, and that tell
// a stream that ended from one that broke off.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The keep-alive probes of a connection: an idle connection whose peer is
// unreachable is closed after keepAliveIdle and keepAliveCount times
// keepAliveInterval.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// Dialer opens connections. Use NewDialer or DefaultDialer.
type Dialer struct {
	dialer net.Dialer
}

// DefaultDialer returns a dialer with the time limits of http.DefaultTransport.
func DefaultDialer() *Dialer {
	return &Dialer{dialer: net.Dialer{Timeout: 30 * time.Second, KeepAlive: 30 * time.Second}}
}

// NewDialer returns a dialer whose connection attempts time out after
// connectTimeout, and whose connections fail when sent data stays
// unacknowledged for ackTimeout, as after a network partition or a power loss.
// Without ackTimeout, a write to an unreachable peer succeeds and its caller
// waits for a response.
func NewDialer(connectTimeout, ackTimeout time.Duration) *Dialer {
	return &Dialer{dialer: net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			}); controlErr != nil {
				return controlErr
			}
			return err
		},
	}}
}

// Dial opens a connection to address, a HOST:PORT. Errors are those of net.Dialer.
func (dialer *Dialer) Dial(ctx context.Context, address string) (*Conn, error) {
	conn, err := dialer.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return NewConn(conn.(*net.TCPConn)), nil
}
