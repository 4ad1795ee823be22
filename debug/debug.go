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

// StateFunc returns the state of a process as a value that encodes to JSON.
type StateFunc func() any

// Metrics holds the root metrics scope of a process and the reporter that
// serves it.
type Metrics struct {
	scope    tally.Scope
	reporter prometheus.Reporter
	closer   interface{ Close() error }
}

// NewMetrics returns the Metrics of a process. All metric names start with
// "wagtaildrum_" and the role of the process. Values are reported every second.
func NewMetrics(role string) *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "wagtaildrum_" + role,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The names of the cardinality metrics contain dots, which make the
		// Prometheus reporter panic at startup.
		OmitCardinalityMetrics: true,
	}, time.Second)
	return &Metrics{scope: scope, reporter: reporter, closer: closer}
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Close stops reporting metrics.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Handler returns the handler of the debug API, which serves state and, unless
// metrics is nil, the metrics.
func Handler(state StateFunc, metrics *Metrics) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(state())
	})
	if metrics != nil {
		mux.Handle("GET /metrics", metrics.reporter.HTTPHandler())
	}
	return mux
}

// LogOnSignal writes the state dump to log at each SIGUSR1 until ctx ends, then
// sends nil to done.
func LogOnSignal(ctx context.Context, log *slog.Logger, state StateFunc, done chan<- error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			done <- nil
			return
		case <-signals:
			data, err := json.Marshal(state())
			if err != nil {
				log.Error("state dump failed: state cannot be encoded as JSON", "err", err)
				continue
			}
			log.Info("state dump", "state", string(data))
		}
	}
}
