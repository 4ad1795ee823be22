package gateway

import (
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/overload"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
	"github.com/wagtaildrum/wagtaildrum/quota"
	"github.com/wagtaildrum/wagtaildrum/resumption"
	"github.com/wagtaildrum/wagtaildrum/route"
	"github.com/wagtaildrum/wagtaildrum/shutdown"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// Config holds the dependencies and settings of a Gateway.
type Config struct {
	// Instance is this instance's name in the directory of instances.
	Instance    string
	DataCentre  string
	Dialect     Dialect
	Routes      *route.Current
	Endpoints   *membership.List
	Picker      *balance.Picker
	Upstream    *upstream.Client
	Accounts    *account.Manager
	Archive     *archive.Archive
	StoreStatus StoreStatus
	// Origins holds where streams began.
	Origins *resumption.Registry
	// Crashes decides which requests are no longer sent because endpoints crashed under
	// them.
	Crashes *quarantine.Guard
	// Quotas limits the request rate of each organisation.
	Quotas *quota.Limiter
	// Programs decides which programs begin while capacity is short, by the loads
	// that Loads observes.
	Programs *overload.Admitter
	Loads    *overload.Meter
	// MaxBodyBytes bounds the memory for the bodies and conversations of all requests in
	// flight, in bytes; 0 means no limit.
	MaxBodyBytes int64
	// Shutdown is the planned end of the process.
	Shutdown *shutdown.Shutdown
	Clock    clock.Clock
	Log      *slog.Logger
	Metrics  tally.Scope
}

// StoreStatus reports the state of the connection to the durable store.
type StoreStatus interface {
	// Unavailable reports whether the store is unavailable by every path.
	Unavailable() bool
	// Slow reports whether calls to the store take longer than usual or
	// currently get no response.
	Slow() bool
	// Isolated reports whether the other instances are unreachable too, in
	// which case they may still reach the store.
	Isolated() bool
}

// Gateway is an http.Handler that serves callers' requests. It is safe for
// concurrent use.
type Gateway struct {
	Config
	metrics       metrics
	serviceQueues *serviceQueues
	usage         *overload.Usage
	inFlight      atomic.Int64
	// bodyMemory is the number of bytes reserved for the bodies, conversations and
	// responses of the requests in flight.
	bodyMemory atomic.Int64
	// background holds an element for each endpoint that is being watched or checked
	// after an exchange.
	background chan struct{}
}

// metrics holds the metrics of a Gateway; refused is indexed by Reason.
type metrics struct {
	requests, served, failed, sends, resumed                              tally.Counter
	healthChecks, watchesSkipped                                          tally.Counter
	refused                                                               [ReasonShuttingDown + 1]tally.Counter
	latency, firstEvent, reserve, extend, storeTurn, queue, quota, memory tally.Histogram
}

// New returns a Gateway that uses the given parts.
func New(config Config) *Gateway {
	gateway := &Gateway{Config: config, serviceQueues: newServiceQueues(config.Clock), usage: overload.NewUsage(config.Clock), background: make(chan struct{}, maxBackground)}
	scope := config.Metrics
	buckets := tally.MustMakeExponentialDurationBuckets(minLatency, latencyFactor, latencyBuckets)
	gateway.metrics = metrics{
		requests: scope.Counter("requests"), served: scope.Counter("served"), failed: scope.Counter("failed"),
		sends: scope.Counter("sends"), resumed: scope.Counter("resumed"),
		healthChecks: scope.Counter("health_checks"), watchesSkipped: scope.Counter("endpoint_watches_skipped"),
		latency: scope.Histogram("request_seconds", buckets), firstEvent: scope.Histogram("first_event_seconds", buckets),
		reserve: scope.Histogram("budget_seconds", buckets), extend: scope.Histogram("budget_extend_seconds", buckets), storeTurn: scope.Histogram("keep_turn_seconds", buckets), queue: scope.Histogram("queue_seconds", buckets), quota: scope.Histogram("quota_seconds", buckets), memory: scope.Histogram("memory_wait_seconds", buckets),
	}
	for reason := range gateway.metrics.refused {
		gateway.metrics.refused[reason] = scope.Tagged(map[string]string{"reason": Reason(reason).String()}).Counter("refused")
	}
	return gateway
}

// Ready reports whether this instance should receive new callers. It returns
// false while the instance drains, before the configuration and the list of
// endpoints are loaded, and while the instance is partitioned.
func (gateway *Gateway) Ready() bool {
	return !gateway.Shutdown.HasBegun() && gateway.isLoaded() && !gateway.partitioned()
}

// isLoaded reports whether the configuration and the list of endpoints were read.
func (gateway *Gateway) isLoaded() bool {
	return gateway.Routes.Load() != nil && gateway.Endpoints.Loaded()
}

// partitioned reports whether neither the store nor any other instance is
// reachable. Other instances may still be able to serve what this one cannot.
func (gateway *Gateway) partitioned() bool {
	return gateway.StoreStatus.Unavailable() && gateway.StoreStatus.Isolated()
}

// Drain begins the shutdown: Ready returns false, and every further response closes
// its connection.
func (gateway *Gateway) Drain() { gateway.Shutdown.Begin() }

// InFlight returns the number of requests being served.
func (gateway *Gateway) InFlight() int64 { return gateway.inFlight.Load() }

// ReadyHandler returns a handler that responds 200 while the gateway is ready
// and 503 otherwise.
func (gateway *Gateway) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if gateway.Ready() {
			w.WriteHeader(http.StatusOK)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// maxCrashViews bounds the requests under which endpoints crashed in a state dump.
const maxCrashViews = 100

// State holds the gateway's section of a state dump.
type State struct {
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	Configuration uint64 `json:"configuration"`
	Routes        int    `json:"routes"`
	Endpoints     int    `json:"endpoints"`
	InFlight      int64  `json:"in_flight"`
	// BodyBytes is the memory held for bodies, conversations and responses.
	BodyBytes int64 `json:"body_bytes"`
	Programs  int   `json:"programs"`
	// Witnessed is the number of programs whose grants are recorded for other instances.
	Witnessed int            `json:"witnessed"`
	Load      []balance.View `json:"load"`
	Services  []ServiceState `json:"services"`
	// Utilisations lists the services whose load was observed within a second.
	Utilisations []overload.Utilisation `json:"utilisations"`
	// Crashes lists requests under which endpoints crashed.
	Crashes []quarantine.View `json:"crashes"`
}

// ServiceState describes the admission queue of one service in a state dump.
type ServiceState struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	// Window is the maximum number of requests running at once.
	Window int `json:"window"`
	// OthersWaiting is the share of the other instances' requests that wait in their
	// queues, 0 if unknown.
	OthersWaiting float64 `json:"others_waiting"`
}

// State returns the gateway's section of a state dump, of type State.
func (gateway *Gateway) State() any {
	state := State{Ready: gateway.Ready(), Draining: gateway.Shutdown.HasBegun(), Endpoints: gateway.Endpoints.Len(),
		InFlight: gateway.InFlight(), BodyBytes: gateway.bodyMemory.Load(), Programs: gateway.Accounts.Len(), Witnessed: gateway.Accounts.WitnessedPrograms(), Load: gateway.Picker.Views(), Services: gateway.serviceQueues.state(gateway.Loads), Utilisations: gateway.Loads.Utilisations(), Crashes: gateway.Crashes.Views(maxCrashViews)}
	if table := gateway.Routes.Load(); table != nil {
		state.Configuration, state.Routes = table.Version(), table.Routes()
	}
	return state
}
