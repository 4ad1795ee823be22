package systemtest

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/peer"
)

// Sizes of the crowds at processes without the settings of the platform, which use the default
// limit on memory.
const (
	ownCrowdClients  = 60
	ownCrowdMemoryMB = 256
)

// callOrdinarily creates a program and has the engine serve a call of it.
func (f *fleet) callOrdinarily() error {
	create := caller.CreateProgramRequest{ID: "ordinary", BudgetTokens: 1 << 30}
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return requestOrdinarily(func(int) (int, error) {
		resp, err := api(f.entryURL[0]).Client(client).Post("v1/programs").BodyJSON(create).Receive(nil, nil) //nolint:bodyclose // closed by sling
		if err != nil {
			return 0, err
		}
		if resp.StatusCode >= http.StatusMultipleChoices && resp.StatusCode != http.StatusConflict {
			return resp.StatusCode, nil
		}
		r, err := tryCall(f.entryURL[0], "ordinary", modelCall(1, "fleetdesk", "reconcile voyage 2611", 5))
		return r.status, err
	})
}

// Guards against a process of the product's own interface that runs out of memory or
// descriptors, or serves nobody else, under clients that send or hold more than it has room for.
func TestCrowdAtOwnInterface(t *testing.T) {
	lines := shortLines(1000 << 10)
	body := strings.Repeat("x", 7<<20)
	heads := crowd{isBeside: true, head: func(n, round int) string { return requestHead("GET", "/v1/programs", n, round) + lines }}
	bodies := crowd{isBeside: true, head: func(n, round int) string {
		return requestHead("POST", "/v1/programs", n, round) + "Content-Length: 8000000\r\n\r\n{\"id\":\"" + body
	}}
	idle := crowd{isBeside: true, isLimited: true, head: func(n, round int) string { return requestHead("GET", "/none", n, round) + "\r\n" }}
	listen := func(f *fleet) string { return strings.TrimPrefix(f.entryURL[0], "http://") }
	debug := func(name string) func(f *fleet) string { return func(f *fleet) string { return f.debug[name] } }
	for _, test := range []struct {
		name      string
		crowd     crowd
		process   string
		addressOf func(f *fleet) string
	}{
		{"heads of short lines at the callers' address", heads, "entry-1", listen},
		{"heads of short lines at the debug address", heads, "entry-1", debug("entry-1")},
		{"heads of short lines at a sidecar's debug address", heads, "fleetdesk-1", debug("fleetdesk-1")},
		{"bodies not ended", bodies, "entry-1", listen},
		{"idle connections at the callers' address", idle, "entry-1", listen},
		{"idle connections at the debug address", idle, "entry-1", debug("entry-1")},
	} {
		t.Run(test.name, func(t *testing.T) {
			clients, descriptors := ownCrowdClients, 0
			if test.crowd.isLimited {
				clients, descriptors = *crowdClients, *crowdDescriptors
			}
			f := newLimitedFleet(t, time.Minute, descriptors)
			pid := f.procs[test.process].Process.Pid
			var answered error
			test.crowd.play(test.addressOf(f), clients, pid, func() { answered = f.callOrdinarily() })
			peak := peakMemory(t, pid)
			t.Logf("%d MB, ordinary request: %v", peak>>20, answered)
			assert.NoError(t, answered)
			assert.LessOrEqual(t, peak, int64(ownCrowdMemoryMB<<20))
		})
	}
}

// sendUnendedCalls opens a connection and sends the beginnings of four calls, each up to the
// flow control's limit, until ctx ends or the server closes the connection.
func sendUnendedCalls(ctx context.Context, address string) error {
	conn, err := quic.DialAddr(ctx, address, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{peer.ALPN}}, &quic.Config{KeepAlivePeriod: time.Second})
	if err != nil {
		return err
	}
	defer func() { _ = conn.CloseWithError(0, "") }()
	// A map of one pair, whose value is declared to have 8,000,000 bytes.
	unended := append([]byte{0xa1, 0x61, 'b', 0x5a, 0x00, 0x7a, 0x12, 0x00}, make([]byte, 7<<20)...)
	for range 4 {
		stream, err := conn.OpenStreamSync(ctx)
		if err != nil {
			return err
		}
		go func() { _, _ = stream.Write(unended) }() // ends with the connection
	}
	select {
	case <-ctx.Done():
	case <-conn.Context().Done():
	}
	return fmt.Errorf("connection ended: %w", context.Cause(conn.Context()))
}

// Guards against a sidecar or entry instance that runs out of memory, or serves nobody else,
// under peers that do not end their calls.
func TestCrowdOfPeers(t *testing.T) {
	for _, test := range []struct {
		process   string
		addressOf func(f *fleet) string
	}{
		{"fleetdesk-1", func(f *fleet) string { return f.sidecars[0] }},
		{"entry-1", func(f *fleet) string { return f.peers[0] }},
	} {
		t.Run(test.process, func(t *testing.T) {
			f := newFleet(t, time.Minute)
			pid := f.procs[test.process].Process.Pid
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var joined sync.WaitGroup
			for range ownCrowdClients {
				joined.Go(func() {
					for ctx.Err() == nil {
						_ = sendUnendedCalls(ctx, test.addressOf(f)) // tried again until the test ends
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			time.Sleep(*crowdTime)
			answered := f.callOrdinarily()
			cancel()
			joined.Wait()
			peak := peakMemory(t, pid)
			t.Logf("%d MB, ordinary request: %v", peak>>20, answered)
			require.NoError(t, answered)
			assert.LessOrEqual(t, peak, int64(ownCrowdMemoryMB<<20))
		})
	}
}
