// Package tcp makes connections that find out when their peer is gone.
package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes: a connection that went silent is closed after
// probeIdle and probeCount times probeInterval.
const (
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// NewDialer returns a dialer that gives up connecting after connect, and
// whose connections fail once what was sent is not acknowledged for
// unacked, as after a cut or a loss of power: without that a write to a
// silent peer succeeds and its answer is waited for.
func NewDialer(connect, unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if cerr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
			}); cerr != nil {
				return cerr
			}
			return err
		},
	}
}
