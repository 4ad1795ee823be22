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

// Flow control of connections that a server accepts: they bound the data received and not
// yet read. The connections between processes have latencies of some milliseconds.
const (
	initialStreamWindow = 64 << 10
	maxStreamWindow     = 384 << 10
	initialConnWindow   = 96 << 10
	maxConnWindow       = 512 << 10
)

// serverConfig returns the QUIC configuration of servers.
func serverConfig() *quic.Config {
	config := quicConfig()
	config.InitialStreamReceiveWindow, config.MaxStreamReceiveWindow = initialStreamWindow, maxStreamWindow
	config.InitialConnectionReceiveWindow, config.MaxConnectionReceiveWindow = initialConnWindow, maxConnWindow
	return config
}

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
