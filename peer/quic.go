package peer

import (
	"time"

	"github.com/quic-go/quic-go"
)

// IdleTimeout is the time without packets from the remote end after which a
// connection is closed. Since keep-alives are sent every KeepAliveInterval, only
// a connection whose remote end is unreachable or stopped reaches it.
const (
	IdleTimeout       = 3 * time.Second
	KeepAliveInterval = time.Second
)

// quicConfig returns the QUIC configuration of servers and clients.
func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:         IdleTimeout,
		KeepAlivePeriod:        KeepAliveInterval,
		MaxIncomingStreams:     10000,
		HandshakeIdleTimeout:   2 * time.Second,
		MaxStreamReceiveWindow: 4 << 20,
	}
}
