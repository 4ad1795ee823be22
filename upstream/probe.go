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

// probe is a probe or a watch in progress that several callers wait for.
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
	raw, err := client.dialer.Dial(ctx, key.address)
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

// maxWatch bounds how long a connection is taken from the idle ones to be watched.
const maxWatch = 250 * time.Millisecond

// Watch reports whether a connection to address stays open for d. It returns
// LivenessConnected if it does, LivenessRefused if nobody listens at the address, and
// otherwise LivenessUnknown: the other end closed it, sent something, or does not respond,
// or ctx ended. The connection is taken from the idle ones or opened; concurrent watches of
// an address share one.
func (client *Client) Watch(ctx context.Context, address string, d time.Duration) Liveness {
	until := time.Now().Add(d)
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		client.mu.Lock()
		running, ok := client.watches[address]
		if !ok {
			running = &probe{done: make(chan struct{})}
			client.watches[address] = running
			go client.runWatch(context.WithoutCancel(ctx), address, min(d, maxWatch), running)
		}
		client.mu.Unlock()
		select {
		case <-running.done:
		case <-timer.C:
			return LivenessConnected
		case <-ctx.Done():
			return LivenessUnknown
		}
		if d = time.Until(until); running.result != LivenessConnected || d <= 0 {
			return running.result
		}
	}
}

// runWatch watches a connection to address and closes running.done.
func (client *Client) runWatch(ctx context.Context, address string, d time.Duration, running *probe) {
	running.result = client.watchOnce(ctx, address, d)
	client.mu.Lock()
	delete(client.watches, address)
	client.mu.Unlock()
	close(running.done)
}

// watchOnce is Watch without sharing.
func (client *Client) watchOnce(ctx context.Context, address string, d time.Duration) Liveness {
	until := time.Now().Add(d)
	c := client.takeIdle(address)
	if c == nil {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		raw, err := client.dialer.Dial(ctx, address)
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
	if !staysOpen(c.Conn, time.Until(until)) {
		_ = c.Close() // closed by the other end
		return LivenessUnknown
	}
	client.putIdle(c, time.Until(c.expires))
	return LivenessConnected
}
