package gateway_test

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// packet is data in transit on a link; nil data closes the direction.
type packet struct {
	due  time.Time
	data []byte
}

// maxPacketsInTransit bounds the packets in transit in one direction. It
// exceeds what any test sends.
const maxPacketsInTransit = 64

// linkConn is one end of a simulated network connection with latency. Data that
// arrives at a closed end resets the connection.
type linkConn struct {
	net.Conn    // the read side
	inbound     net.Conn
	out         chan packet
	latency     time.Duration
	peer        *linkConn
	writeClosed atomic.Bool
	reset       atomic.Bool
}

// newLink returns both ends of a new connection.
func newLink(latency time.Duration) (near, far *linkConn) {
	near, far = newLinkConn(latency), newLinkConn(latency)
	near.peer, far.peer = far, near
	go near.deliver()
	go far.deliver()
	return near, far
}

// newLinkConn returns one end, without a peer yet.
func newLinkConn(latency time.Duration) *linkConn {
	here, inbound := net.Pipe()
	return &linkConn{Conn: here, inbound: inbound, out: make(chan packet, maxPacketsInTransit), latency: latency}
}

// deliver passes written packets to the other end, each after its latency,
// until this end's write side is closed.
func (conn *linkConn) deliver() {
	for p := range conn.out {
		time.Sleep(time.Until(p.due))
		if p.data == nil {
			_ = conn.peer.inbound.Close()
			return
		}
		if _, err := conn.peer.inbound.Write(p.data); err != nil {
			time.Sleep(conn.latency)
			conn.reset.Store(true)
			_ = conn.Conn.Close()
		}
	}
}

// Read implements net.Conn. It returns ECONNRESET once the connection was
// reset.
func (conn *linkConn) Read(p []byte) (int, error) {
	n, err := conn.Conn.Read(p)
	if err != nil && conn.reset.Load() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

// Write implements net.Conn.
func (conn *linkConn) Write(p []byte) (int, error) {
	if conn.writeClosed.Load() {
		return 0, io.ErrClosedPipe
	}
	conn.out <- packet{due: time.Now().Add(conn.latency), data: bytes.Clone(p)}
	return len(p), nil
}

// CloseWrite closes the write side.
func (conn *linkConn) CloseWrite() error {
	if !conn.writeClosed.Swap(true) {
		conn.out <- packet{due: time.Now().Add(conn.latency)}
	}
	return nil
}

// Close implements net.Conn.
func (conn *linkConn) Close() error {
	_ = conn.CloseWrite()
	return conn.Conn.Close()
}

// SetDeadline implements net.Conn.
func (conn *linkConn) SetDeadline(t time.Time) error { return conn.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. It does nothing, because writes never
// block.
func (conn *linkConn) SetWriteDeadline(time.Time) error { return nil }

// dialWithLatency connects to the listener over a link with the given latency.
func (listener *pipeListener) dialWithLatency(latency time.Duration) *linkConn {
	near, far := newLink(latency)
	listener.conns <- far
	return near
}
