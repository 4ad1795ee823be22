package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
)

// countingConn adds the UDP payload bytes that a QUIC transport sends to sent.
type countingConn struct {
	net.PacketConn
	sent *atomic.Int64
}

func (c *countingConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.PacketConn.WriteTo(p, addr)
}

// BenchmarkIdleConnection measures the traffic of idle peer connections, which
// is keep-alives and their acknowledgements in both directions, in UDP payload
// bytes per second per connection. The IP and UDP headers add 28 bytes per
// packet. It keeps conns connections idle for a fixed window, whatever b.N is;
// run it with -benchtime=1x.
func BenchmarkIdleConnection(b *testing.B) {
	const window = 4 * time.Second
	for _, conns := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("conns=%d", conns), func(b *testing.B) {
			var sent atomic.Int64
			serverUDP, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			tlsConf, err := serverTLS()
			if err != nil {
				b.Fatal(err)
			}
			st := &quic.Transport{Conn: &countingConn{PacketConn: serverUDP, sent: &sent}}
			ln, err := st.Listen(tlsConf, quicConfig())
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() {
				for {
					if _, err := ln.Accept(ctx); err != nil {
						return
					}
				}
			}()
			clientUDP, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			ct := &quic.Transport{Conn: &countingConn{PacketConn: clientUDP, sent: &sent}}
			for range conns {
				if _, err := ct.Dial(ctx, serverUDP.LocalAddr(), clientTLS(), quicConfig()); err != nil {
					b.Fatal(err)
				}
			}
			time.Sleep(time.Second) // exclude the packets of the handshakes
			before := sent.Load()
			for b.Loop() {
			}
			time.Sleep(window)
			b.ReportMetric(float64(sent.Load()-before)/window.Seconds()/float64(conns), "bytes/s/conn")
			cancel()
			_ = ct.Close()
			_ = st.Close()
		})
	}
}
