package entry

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/settings"
)

// TestStaleConfigNeverApplied guards against an endpoint that is put out of
// service and then returns to routing. The current configuration is version
// 5, and a delayed or stale read returns version 3. The fault is a watcher
// that installs whatever it has read last.
func TestStaleConfigNeverApplied(t *testing.T) {
	s := &settings.Entry{Common: settings.Common{InstanceID: "entry-1"}, Platform: "http://127.0.0.1:1",
		LeaseTTL: time.Second, ConfigPoll: time.Second, CallTimeout: time.Second}
	e := New(s, clock.Real{}, slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope)
	newer := &config.Config{Version: 5, Endpoints: []config.Endpoint{{Name: "workshop-1", Draining: true}}}
	older := &config.Config{Version: 3, Endpoints: []config.Endpoint{{Name: "workshop-1"}}}
	require.True(t, e.applyConfig(newer))
	require.False(t, e.applyConfig(older))
	require.False(t, e.applyConfig(&config.Config{Version: 5}))
	require.EqualValues(t, 5, e.config.Load().Version)
	require.True(t, e.config.Load().Endpoints[0].Draining)
}
