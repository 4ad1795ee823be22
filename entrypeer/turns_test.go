package entrypeer_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/entrypeer"
)

// Guards against turns that are sent to many instances at once and take more memory than there is for these.
func TestTurnsAreSentWithinTheMemoryForInstances(t *testing.T) {
	for name, limit := range map[string]struct {
		memory int64
		status int
	}{"room": {memory: 4 * archive.CachedMemory}, "no room": {memory: archive.CachedMemory, status: http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			limiter := connlimit.New(connlimit.Config{Name: "peers", Memory: limit.memory, Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
			handler := &entrypeer.Server{Turns: &instance{}, Log: slog.New(slog.DiscardHandler)}
			server := connlimit.NewServer(handler.Handler(), slog.New(slog.DiscardHandler))
			go func() { _ = server.Serve(connlimit.NewListener(listener, limiter)) }()
			defer func() { _ = server.Close() }()
			directory := entrypeer.NewDirectory(entrypeer.Instance{Name: "a", Owner: "a-1"}, clock.Real{})
			directory.Observe(entrypeer.Instance{Name: "b", Owner: entrypeer.NewOwner("b", time.Now()), Address: listener.Addr().String()})
			turns, err := entrypeer.NewClient(directory, tally.NoopScope).Turns(context.Background(), "b", "t1")
			if limit.status == 0 {
				require.NoError(t, err)
				assert.Len(t, turns, 1)
				return
			}
			var status *entrypeer.StatusError
			require.ErrorAs(t, err, &status)
			assert.ErrorContains(t, err, "no memory")
		})
	}
}
