package upstream

import (
	"bufio"
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
	// settleTime is how long the connection has to stay open. A process that is being
	// terminated may still accept connections after it has reset others.
	settleTime = 10 * time.Millisecond
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

// probe is a probe in progress that several callers wait for.
type probe struct {
	done   chan struct{}
	result Liveness
}

// Probe opens a connection to address and returns what that tells about the endpoint.
// Concurrent probes of an address share one connection, which is kept for reuse if it
// stays open. It returns LivenessUnknown if ctx ends.
func (client *Client) Probe(ctx context.Context, address string) Liveness {
	client.mu.Lock()
	running, ok := client.probes[address]
	if !ok {
		running = &probe{done: make(chan struct{})}
		client.probes[address] = running
		go client.runProbe(context.WithoutCancel(ctx), address, running)
	}
	client.mu.Unlock()
	select {
	case <-running.done:
		return running.result
	case <-ctx.Done():
		return LivenessUnknown
	}
}

// runProbe probes address and closes running.done.
func (client *Client) runProbe(ctx context.Context, address string, running *probe) {
	result, isClosed := client.probeOnce(ctx, address)
	if isClosed {
		// The process may just be terminating.
		result, _ = client.probeOnce(ctx, address)
	}
	running.result = result
	client.mu.Lock()
	delete(client.probes, address)
	client.mu.Unlock()
	close(running.done)
}

// probeOnce opens one connection and waits settleTime. isClosed is set if the other end
// closed the connection.
func (client *Client) probeOnce(ctx context.Context, address string) (result Liveness, isClosed bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	raw, err := client.dialer.DialContext(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return LivenessRefused, false
	case err != nil:
		return LivenessUnknown, false
	}
	client.opened.Add(1)
	if !staysOpen(raw) {
		_ = raw.Close() // closed by the other end
		return LivenessUnknown, true
	}
	client.putIdle(&conn{Conn: raw, address: address, reader: bufio.NewReader(raw)}, maxIdleTime)
	return LivenessConnected, false
}

// staysOpen reports whether nothing arrives on a new connection for settleTime, not even
// its end.
func staysOpen(raw net.Conn) bool {
	if err := raw.SetReadDeadline(time.Now().Add(settleTime)); err != nil {
		return false
	}
	_, err := io.ReadFull(raw, make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded) && raw.SetReadDeadline(time.Time{}) == nil
}
