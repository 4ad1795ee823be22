package peer

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/codec"
)

// TruncatedError is returned by Client.Do if a reply ended without a final
// frame, for example because the connection was lost during the call. Whether
// the call took effect is unknown.
type TruncatedError struct {
	addr  string
	cause error
}

// Error returns the address of the peer and the cause.
func (e *TruncatedError) Error() string {
	return "peer reply from " + e.addr + " truncated: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.cause }

// UnusedTimeout is the time without calls after which a client closes a
// connection. The keep-alives of one connection cost about 110 bytes a second:
// an entry instance that kept a connection to every sidecar it ever called
// would send more bytes in keep-alives than in all other control traffic.
const UnusedTimeout = 30 * time.Second

// Client sends calls to sidecars and entry instances. It keeps one connection
// per address and closes those without calls for UnusedTimeout. It is safe for
// concurrent use.
type Client struct {
	clock clock.Clock
	mu    sync.Mutex
	conns map[string]*clientConn
	// nextSweep is the earliest time of the next search for unused connections.
	nextSweep time.Time
}

// clientConn is a connection with its number of calls in progress and the time
// at which the last completed call ended.
type clientConn struct {
	conn     *quic.Conn
	calls    int
	lastUsed time.Time
}

// NewClient returns a Client without connections.
func NewClient(clk clock.Clock) *Client {
	return &Client{clock: clk, conns: make(map[string]*clientConn)}
}

// conn returns a connection to addr, dialling one if there is none, and a
// function to call at the end of the call that uses it. It returns an error if
// the dial fails. If several calls dial at the same time, the last connection is
// kept for later calls; an earlier one is closed here only if it is unused.
func (c *Client) conn(ctx context.Context, addr string) (*quic.Conn, func(), error) {
	if cc := c.acquireOpen(addr); cc != nil {
		return cc.conn, func() { c.release(cc) }, nil
	}
	conn, err := quic.DialAddr(ctx, addr, clientTLS(), quicConfig())
	if err != nil {
		return nil, nil, eris.Wrapf(err, "dial peer %s", addr)
	}
	cc := &clientConn{conn: conn, calls: 1}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[addr]; ok && other.conn.Context().Err() == nil && other.calls == 0 {
		_ = other.conn.CloseWithError(0, "replaced")
	}
	c.conns[addr] = cc
	return conn, func() { c.release(cc) }, nil
}

// acquireOpen returns the open connection to addr and counts a call on it, or
// returns nil if there is none. The context of a connection that was closed,
// for example by its idle timeout, is done; such a connection is not returned,
// and conn dials its replacement.
func (c *Client) acquireOpen(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeUnused()
	cc, ok := c.conns[addr]
	if !ok || cc.conn.Context().Err() != nil {
		return nil
	}
	cc.calls++
	return cc
}

// release counts the end of a call on cc.
func (c *Client) release(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.calls--
	cc.lastUsed = c.clock.Now()
}

// closeUnused closes connections without calls for UnusedTimeout. It searches
// for them at most once per tenth of UnusedTimeout. The caller must hold c.mu.
func (c *Client) closeUnused() {
	now := c.clock.Now()
	if now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = now.Add(UnusedTimeout / 10)
	for addr, cc := range c.conns {
		if cc.calls == 0 && now.Sub(cc.lastUsed) > UnusedTimeout {
			_ = cc.conn.CloseWithError(0, "unused")
			delete(c.conns, addr)
		}
	}
}

// Len returns the number of connections.
func (c *Client) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Do sends call to the peer at addr and passes each frame of the reply to recv,
// up to and including the final frame. sent is false if the call could not be
// sent and was not run. If sent is true, err is a *TruncatedError if the reply
// is incomplete, which leaves the outcome unknown, or the error of recv.
func (c *Client) Do(ctx context.Context, addr string, call *Call, recv func(Frame) error) (sent bool, err error) {
	conn, release, err := c.conn(ctx, addr)
	if err != nil {
		return false, err
	}
	defer release()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return false, eris.Wrapf(err, "open stream to %s", addr)
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(2); stream.CancelWrite(2) })
	defer stop()
	if err := codec.NewEncoder(stream).Encode(call); err != nil {
		return false, eris.Wrapf(err, "send call to %s", addr)
	}
	dec := codec.NewDecoder(stream)
	for {
		var f Frame
		if err := dec.Decode(&f); err != nil {
			return true, &TruncatedError{addr: addr, cause: err}
		}
		if err := recv(f); err != nil {
			return true, err
		}
		if f.Type.IsFinal() {
			return true, nil
		}
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, cc := range c.conns {
		_ = cc.conn.CloseWithError(0, "closing")
		delete(c.conns, addr)
	}
}
