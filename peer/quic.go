package peer

import (
	"time"

	"github.com/quic-go/quic-go"
)

// IdleTimeout is how long a connection may stay silent before it is
// dropped. Keep-alives go every KeepAlive, so only a connection that has
// lost its far end reaches it.
const (
	IdleTimeout = 3 * time.Second
	KeepAlive   = time.Second
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:         IdleTimeout,
		KeepAlivePeriod:        KeepAlive,
		MaxIncomingStreams:     10000,
		HandshakeIdleTimeout:   2 * time.Second,
		MaxStreamReceiveWindow: 4 << 20,
	}
}
