package debug

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// StateFunc returns a process's state as a JSON-encodable value.
type StateFunc func() any

// Metrics is a process's metrics scope and the reporter that serves it.
type Metrics struct {
	scope    tally.Scope
	reporter prometheus.Reporter
	closer   interface{ Close() error }
}

// NewMetrics returns a root scope named after the process role, reported
// every second.
func NewMetrics(role string) *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "wagtaildrum_" + role,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The cardinality metrics have dotted names, which the Prometheus
		// reporter refuses with a panic at start.
		OmitCardinalityMetrics: true,
	}, time.Second)
	return &Metrics{scope: scope, reporter: reporter, closer: closer}
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Close stops reporting.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Handler returns the debug HTTP API for state and metrics.
func Handler(state StateFunc, metrics *Metrics) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(state())
	})
	if metrics != nil {
		mux.Handle("GET /metrics", metrics.reporter.HTTPHandler())
	}
	return mux
}

// LogOnSignal writes the state dump to log on each SIGUSR1 until ctx ends,
// then reports on done.
func LogOnSignal(ctx context.Context, log *slog.Logger, state StateFunc, done chan<- error) {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGUSR1)
	defer signal.Stop(sig)
	for {
		select {
		case <-ctx.Done():
			done <- nil
			return
		case <-sig:
			b, err := json.Marshal(state())
			if err != nil {
				log.Error("state dump failed", "err", err)
				continue
			}
			log.Info("state dump", "state", string(b))
		}
	}
}
