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
	"github.com/wagtaildrum/wagtaildrum/quota"
	"github.com/wagtaildrum/wagtaildrum/route"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// Parts are what a gateway works with.
type Parts struct {
	// Instance is the name that other instances know this one by.
	Instance   string
	DataCentre string
	Dialect    Dialect
	Routes     *route.Current
	Endpoints  *membership.List
	Picker     *balance.Picker
	Upstream   *upstream.Client
	Accounts   *account.Keeper
	Archive    *archive.Archive
	Durability Durability
	// Quotas bounds the requests of organisations.
	Quotas *quota.Limiter
	// BodyBytes is the memory for the bodies of all requests under way; 0
	// is no limit.
	BodyBytes int64
	Clock     clock.Clock
	Log       *slog.Logger
	Metrics   tally.Scope
}

// Durability tells how the durable store can be reached.
type Durability interface {
	// Away reports whether the store cannot be reached in any way.
	Away() bool
	// Slow reports whether the store serves calls later than usual, or not at
	// all for the moment.
	Slow() bool
	// Isolated reports whether other instances cannot be reached either:
	// then they may well reach the store.
	Isolated() bool
}

// Gateway serves callers. It implements http.Handler.
type Gateway struct {
	Parts
	metrics   metrics
	entrances *entrances
	draining  atomic.Bool
	inFlight  atomic.Int64
	// bodies is the memory that bodies take, in bytes.
	bodies atomic.Int64
}

type metrics struct {
	requests, served, failed, sends, resumed                 tally.Counter
	refused                                                  [ReasonNoMemory + 1]tally.Counter
	latency, firstEvent, reserve, extend, keep, queue, quota tally.Histogram
}

// New returns a gateway of parts.
func New(parts Parts) *Gateway {
	gateway := &Gateway{Parts: parts, entrances: newEntrances(parts.Clock)}
	scope := parts.Metrics
	buckets := tally.MustMakeExponentialDurationBuckets(latencyLowest, latencyFactor, latencyBuckets)
	gateway.metrics = metrics{
		requests: scope.Counter("requests"), served: scope.Counter("served"), failed: scope.Counter("failed"),
		sends: scope.Counter("sends"), resumed: scope.Counter("resumed"),
		latency: scope.Histogram("request_seconds", buckets), firstEvent: scope.Histogram("first_event_seconds", buckets),
		reserve: scope.Histogram("budget_seconds", buckets), extend: scope.Histogram("budget_extend_seconds", buckets), keep: scope.Histogram("keep_turn_seconds", buckets), queue: scope.Histogram("queue_seconds", buckets), quota: scope.Histogram("quota_seconds", buckets),
	}
	for reason := range gateway.metrics.refused {
		gateway.metrics.refused[reason] = scope.Tagged(map[string]string{"reason": Reason(reason).String()}).Counter("refused")
	}
	return gateway
}

// Ready reports whether new callers should come here. An instance that is
// cut off from the store and from the other instances sends them elsewhere.
func (gateway *Gateway) Ready() bool {
	return !gateway.draining.Load() && gateway.Routes.Load() != nil && gateway.Endpoints.Known() && !gateway.cutOff()
}

// cutOff reports whether other instances can do what this one cannot.
func (gateway *Gateway) cutOff() bool {
	return gateway.Durability.Away() && gateway.Durability.Isolated()
}

// Drain makes the gateway not ready, and has each answer end its
// connection.
func (gateway *Gateway) Drain() { gateway.draining.Store(true) }

// InFlight returns how many requests are being served.
func (gateway *Gateway) InFlight() int64 { return gateway.inFlight.Load() }

// ReadyHandler answers 200 while the gateway is ready and 503 otherwise.
func (gateway *Gateway) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if gateway.Ready() {
			w.WriteHeader(http.StatusOK)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// State is the gateway's part of a state dump.
type State struct {
	Ready         bool           `json:"ready"`
	Draining      bool           `json:"draining"`
	Configuration uint64         `json:"configuration"`
	Routes        int            `json:"routes"`
	Endpoints     int            `json:"endpoints"`
	InFlight      int64          `json:"in_flight"`
	Programs      int            `json:"programs"`
	Load          []balance.View `json:"load"`
	Services      []ServiceState `json:"services"`
}

// ServiceState is what a state dump tells of the way to one service.
type ServiceState struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	// Window is how many requests may run at once.
	Window int `json:"window"`
}

// State returns the state dump.
func (gateway *Gateway) State() any {
	state := State{Ready: gateway.Ready(), Draining: gateway.draining.Load(), Endpoints: gateway.Endpoints.Len(),
		InFlight: gateway.InFlight(), Programs: gateway.Accounts.Len(), Load: gateway.Picker.Views(), Services: gateway.entrances.state()}
	if table := gateway.Routes.Load(); table != nil {
		state.Configuration, state.Routes = table.Version(), table.Routes()
	}
	return state
}
