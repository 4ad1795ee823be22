package peer

import (
	"context"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// TruncatedError is returned by Client.Do when a reply ended without a
// closing frame: the connection was lost mid-call, so whether the call took
// effect is unknown.
type TruncatedError struct {
	addr  string
	cause error
}

// Error names the sidecar and the cause.
func (e *TruncatedError) Error() string {
	return "peer reply from " + e.addr + " truncated: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.cause }

// Client sends calls to sidecars, keeping one connection per address.
type Client struct {
	mu    sync.Mutex
	conns map[string]*quic.Conn
}

// NewClient returns a Client with no connections yet.
func NewClient() *Client { return &Client{conns: make(map[string]*quic.Conn)} }

func (c *Client) conn(ctx context.Context, addr string) (*quic.Conn, error) {
	c.mu.Lock()
	conn, ok := c.conns[addr]
	c.mu.Unlock()
	// A connection closed by its idle timeout (its far end went silent)
	// has a done context; it is dropped and redialled here.
	if ok && conn.Context().Err() == nil {
		return conn, nil
	}
	conn, err := quic.DialAddr(ctx, addr, clientTLS(), quicConfig())
	if err != nil {
		return nil, eris.Wrapf(err, "dial peer %s", addr)
	}
	c.mu.Lock()
	c.conns[addr] = conn
	c.mu.Unlock()
	return conn, nil
}

// Do sends call to the sidecar at addr and passes each frame of the reply
// to recv, ending after the closing frame. It returns an error if the call
// could not be sent (it was then not run) or the reply was cut short
// (*TruncatedError: the outcome is unknown).
func (c *Client) Do(ctx context.Context, addr string, call *Call, recv func(Frame) error) (sent bool, err error) {
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return false, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return false, eris.Wrapf(err, "open stream to %s", addr)
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(2); stream.CancelWrite(2) })
	defer stop()
	if err := msgpack.NewEncoder(stream).Encode(call); err != nil {
		return false, eris.Wrapf(err, "send call to %s", addr)
	}
	dec := msgpack.NewDecoder(stream)
	for {
		var f Frame
		if err := dec.Decode(&f); err != nil {
			return true, &TruncatedError{addr: addr, cause: err}
		}
		if err := recv(f); err != nil {
			return true, err
		}
		if f.Type.Ends() {
			return true, nil
		}
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		_ = conn.CloseWithError(0, "closing")
		delete(c.conns, addr)
	}
}
