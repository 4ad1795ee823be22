package peer_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/peer"
)

// echo is a Handler that replies with the body of the call.
func echo(_ context.Context, call *peer.Call, send func(peer.Frame) error) {
	_ = send(peer.Frame{Type: peer.FrameData, Data: call.Body})
	_ = send(peer.Frame{Type: peer.FrameEnd})
}

// listen starts an echo server and returns its address.
func listen(t *testing.T) string {
	srv, err := peer.Listen("127.0.0.1:0", echo, unlimited(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = srv.Serve(ctx) }()
	return srv.Addr()
}

// TestClientClosesUnusedConnections checks that a client closes connections to
// peers it no longer calls. Connections that are never closed would send
// keep-alives that exceed a node's other control traffic. The client calls three
// peers, then only the first for longer than UnusedTimeout.
func TestClientClosesUnusedConnections(t *testing.T) {
	clk := clock.NewFake(time.Unix(1_000_000_000, 0))
	client := peer.NewClient(clk)
	defer client.Close()
	addrs := []string{listen(t), listen(t), listen(t)}
	call := func(addr string) {
		var got []byte
		_, err := client.Do(context.Background(), addr, &peer.Call{Body: []byte(addr)}, func(f peer.Frame) error {
			got = append(got, f.Data...)
			return nil
		})
		require.NoError(t, err)
		require.Equal(t, addr, string(got))
	}
	for _, addr := range addrs {
		call(addr)
	}
	require.Equal(t, 3, client.Len())
	for range 5 {
		clk.Advance(peer.UnusedTimeout / 4)
		call(addrs[0])
	}
	require.Equal(t, 1, client.Len())
	call(addrs[1])
	require.Equal(t, 2, client.Len())
}

func ExampleClient() {
	srv, err := peer.Listen("127.0.0.1:0", echo, unlimited(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = srv.Serve(ctx) }()
	client := peer.NewClient(clock.Real{})
	defer client.Close()
	_, err = client.Do(ctx, srv.Addr(), &peer.Call{Body: []byte("ahoy")}, func(f peer.Frame) error {
		if f.Type == peer.FrameData {
			fmt.Println(string(f.Data))
		}
		return nil
	})
	fmt.Println(err)
	// Output:
	// ahoy
	// <nil>
}

// unlimited returns a limiter without limits.
func unlimited() *connlimit.Limiter {
	return connlimit.New(connlimit.Config{Name: "peers", Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
}
