package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// probeTimeout bounds the wait for a connection that tells whether an endpoint
	// lives. A running one accepts within a few milliseconds.
	probeTimeout = 100 * time.Millisecond
)

// The time for which the connection of a probe has to stay open. A process that is being
// terminated may still accept connections after it has reset others.
const (
	// ShortSettleTime is for probes that many requests wait for.
	ShortSettleTime = 10 * time.Millisecond
	// LongSettleTime is for those where a mistake costs more than the wait.
	LongSettleTime = 100 * time.Millisecond
)

// Liveness is what a probe found out about an endpoint.
type Liveness int

//go:generate stringer -type=Liveness -trimprefix=Liveness

// Results of a probe.
const (
	// LivenessUnknown means that the address does not respond, or closes connections.
	LivenessUnknown Liveness = iota
	// LivenessRefused means that nobody listens at the address.
	LivenessRefused
	// LivenessConnected means that the address accepts connections.
	LivenessConnected
)

// probeKey identifies probes that share a connection.
type probeKey struct {
	address string
	settle  time.Duration
}

// probe is a probe in progress that several callers wait for.
type probe struct {
	done   chan struct{}
	result Liveness
}

// Probe opens a connection to address, which has to stay open for settle, and returns what
// that tells about the endpoint. Concurrent probes of an address share one connection,
// which is kept for reuse if it stays open. It returns LivenessUnknown if ctx ends.
func (client *Client) Probe(ctx context.Context, address string, settle time.Duration) Liveness {
	key := probeKey{address: address, settle: settle}
	client.mu.Lock()
	running, ok := client.probes[key]
	if !ok {
		running = &probe{done: make(chan struct{})}
		client.probes[key] = running
		go client.runProbe(context.WithoutCancel(ctx), key, running)
	}
	client.mu.Unlock()
	select {
	case <-running.done:
		return running.result
	case <-ctx.Done():
		return LivenessUnknown
	}
}

// runProbe probes the address and closes running.done.
func (client *Client) runProbe(ctx context.Context, key probeKey, running *probe) {
	result, isClosed := client.probeOnce(ctx, key)
	if isClosed {
		// The process may just be terminating.
		result, _ = client.probeOnce(ctx, key)
	}
	running.result = result
	client.mu.Lock()
	delete(client.probes, key)
	client.mu.Unlock()
	close(running.done)
}

// probeOnce opens one connection and waits for the settle time. isClosed is set if the
// other end closed the connection.
func (client *Client) probeOnce(ctx context.Context, key probeKey) (result Liveness, isClosed bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	raw, err := client.dialer.DialContext(ctx, "tcp", key.address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return LivenessRefused, false
	case err != nil:
		return LivenessUnknown, false
	}
	client.opened.Add(1)
	if !staysOpen(raw, key.settle) {
		_ = raw.Close() // closed by the other end
		return LivenessUnknown, true
	}
	client.putIdle(newConn(raw, key.address), maxIdleTime)
	return LivenessConnected, false
}

// staysOpen reports whether nothing arrives on a new connection for the settle time, not
// even its end.
func staysOpen(raw net.Conn, settle time.Duration) bool {
	if err := raw.SetReadDeadline(time.Now().Add(settle)); err != nil {
		return false
	}
	_, err := io.ReadFull(raw, make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded) && raw.SetReadDeadline(time.Time{}) == nil
}

// Watch keeps a connection to address open for d, or until ctx ends. It returns
// LivenessConnected if the connection stays open, LivenessRefused if nobody listens at the
// address, and otherwise LivenessUnknown: the other end closed it, sent something, or does
// not respond. The connection is taken from the idle ones or opened.
func (client *Client) Watch(ctx context.Context, address string, d time.Duration) Liveness {
	until := time.Now().Add(d)
	c := client.takeIdle(address)
	if c == nil {
		dialCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		raw, err := client.dialer.DialContext(dialCtx, "tcp", address)
		cancel()
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return LivenessRefused
		case err != nil:
			return LivenessUnknown
		}
		client.opened.Add(1)
		c = newConn(raw, address)
		c.expires = time.Now().Add(maxIdleTime)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // ends the read
	isOpen := staysOpen(c.Conn, time.Until(until))
	if !stop() || !isOpen {
		_ = c.Close() // not reusable
		return LivenessUnknown
	}
	client.putIdle(c, time.Until(c.expires))
	return LivenessConnected
}
