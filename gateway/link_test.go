package gateway_test

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// packet is what is on its way on a link; no data is the end of a direction.
type packet struct {
	due  time.Time
	data []byte
}

// linkPackets may be on their way at once in one direction: more than any
// test sends.
const linkPackets = 64

// linkConn is one end of a connection over which everything takes a way, as
// between machines. Data that comes to an end that is closed resets the other.
type linkConn struct {
	net.Conn // what arrives here
	feed     net.Conn
	out      chan packet
	way      time.Duration
	peer     *linkConn
	ended    atomic.Bool
	reset    atomic.Bool
}

// newLink returns both ends.
func newLink(way time.Duration) (near, far *linkConn) {
	near, far = newLinkConn(way), newLinkConn(way)
	near.peer, far.peer = far, near
	go near.carry()
	go far.carry()
	return near, far
}

func newLinkConn(way time.Duration) *linkConn {
	here, feed := net.Pipe()
	return &linkConn{Conn: here, feed: feed, out: make(chan packet, linkPackets), way: way}
}

// carry brings what was written to the other end, until the end of the
// direction.
func (conn *linkConn) carry() {
	for p := range conn.out {
		time.Sleep(time.Until(p.due))
		if p.data == nil {
			_ = conn.peer.feed.Close()
			return
		}
		if _, err := conn.peer.feed.Write(p.data); err != nil {
			time.Sleep(conn.way)
			conn.reset.Store(true)
			_ = conn.Conn.Close()
		}
	}
}

// Read implements net.Conn.
func (conn *linkConn) Read(p []byte) (int, error) {
	n, err := conn.Conn.Read(p)
	if err != nil && conn.reset.Load() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

// Write implements net.Conn.
func (conn *linkConn) Write(p []byte) (int, error) {
	if conn.ended.Load() {
		return 0, io.ErrClosedPipe
	}
	conn.out <- packet{due: time.Now().Add(conn.way), data: bytes.Clone(p)}
	return len(p), nil
}

// CloseWrite ends the own direction.
func (conn *linkConn) CloseWrite() error {
	if !conn.ended.Swap(true) {
		conn.out <- packet{due: time.Now().Add(conn.way)}
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

// SetWriteDeadline implements net.Conn: writing never blocks.
func (conn *linkConn) SetWriteDeadline(time.Time) error { return nil }

// dialFar connects from a machine that is a way off.
func (listener *pipeListener) dialFar(way time.Duration) *linkConn {
	near, far := newLink(way)
	listener.conns <- far
	return near
}
