package systemtest

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/admission"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/entry"
	"github.com/wagtaildrum/wagtaildrum/operator"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/routing"
	"github.com/wagtaildrum/wagtaildrum/settings"
	"github.com/wagtaildrum/wagtaildrum/sidecar"
	"github.com/wagtaildrum/wagtaildrum/standin"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// bed is a whole deployment in one test: the platform, engine and tool
// stand-ins, a sidecar per endpoint, and entry instances.
type bed struct {
	t        *testing.T
	ctx      context.Context
	platform *standin.Platform
	platURL  string
	engines  map[string]*standin.Engine
	tool     *standin.Tool
	sidecars map[string]*sidecar.Sidecar
	cfg      config.Config
	entries  []*entry.Entry
	entryURL []string
	// stopEntry ends entry i's goroutines and listeners; alive[i] is false
	// once it was killed.
	stopEntry []context.CancelFunc
	alive     []*atomic.Bool
	// leaseTTL is the lease TTL of entries added from now on.
	leaseTTL time.Duration
	// callTimeout bounds calls of entries added from now on.
	callTimeout time.Duration
}

type engineSpec struct{ name, model string }

var defaultEngines = []engineSpec{
	{"workshop-1", "workshop"}, {"workshop-2", "workshop"}, {"notification-1", "notification"},
	{"fleetdesk-1", "fleetdesk"}, {"fleetdesk-2", "fleetdesk"},
}

var allTools = []string{"parts_lookup", "dispatch_van", "reserve_loan_chair", "ledger_usage", "billing_charge", "slow_tool"}

// engineOf describes the engine that tests stand in for.
func engineOf(model string) standin.EngineSpec {
	return standin.EngineSpec{Model: model, Step: time.Millisecond, MaxBatch: 64, CacheBlocks: 2048, BlockTokens: 16}
}

func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// serve serves h on a fresh loopback port until the test ends.
func serve(t *testing.T, h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return "http://" + ln.Addr().String()
}

func newBed(t *testing.T, engines []engineSpec, entries int) *bed {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	b := &bed{t: t, ctx: ctx, engines: map[string]*standin.Engine{}, sidecars: map[string]*sidecar.Sidecar{}, leaseTTL: 10 * time.Second, callTimeout: 5 * time.Second}
	b.platform = standin.NewPlatform(time.Second, time.Now)
	b.platURL = serve(t, b.platform.Handler())
	for _, es := range engines {
		eng := standin.NewEngine(engineOf(es.model))
		done := make(chan error, 1)
		go eng.Run(ctx, done)
		b.engines[es.name] = eng
		b.addSidecar(es.name, "engine", serve(t, eng.Handler()), config.Endpoint{Name: es.name, Role: "engine", Model: es.model, DataCentre: "riga-a"})
	}
	b.tool = standin.NewTool([]string{"slow_tool"}, 0)
	b.addSidecar("tools-1", "tool", serve(t, b.tool.Handler()), config.Endpoint{Name: "tools-1", Role: "tool", Tools: allTools, DataCentre: "riga-c"})
	b.applyConfig()
	for i := range entries {
		b.addEntry(i)
	}
	return b
}

func (b *bed) addSidecar(name, role, endpointURL string, ep config.Endpoint) {
	s := &settings.Sidecar{Common: settings.Common{InstanceID: name}, Endpoint: endpointURL, Role: role,
		Platform: b.platURL, MaxConcurrent: 16, MaxQueued: 256, DrainTimeout: time.Second, Order: admission.NameOldestProgram}
	sc := sidecar.New(s, clock.Real{}, quietLog(), tally.NoopScope)
	go sc.Run(b.ctx, make(chan error, 1))
	srv, err := peer.Listen("127.0.0.1:0", sc.Handle, unlimited(), quietLog())
	require.NoError(b.t, err)
	go func() { _ = srv.Serve(b.ctx) }()
	b.sidecars[name] = sc
	ep.Sidecar = srv.Addr()
	b.cfg.Endpoints = append(b.cfg.Endpoints, ep)
}

func (b *bed) applyConfig() {
	pc := tableservice.NewClient(b.platURL, 2*time.Second)
	cur, err := operator.Current(b.ctx, pc)
	require.NoError(b.t, err)
	_, err = operator.Apply(b.ctx, pc, config.MakePlan(cur, &b.cfg), &b.cfg)
	require.NoError(b.t, err)
}

func (b *bed) addEntry(i int) {
	// A killed entry neither hears nor says anything: its callers' side and
	// its way to the platform go through switches.
	alive := &atomic.Bool{}
	alive.Store(true)
	b.alive = append(b.alive, alive)
	s := &settings.Entry{Common: settings.Common{InstanceID: "entry-" + string(rune('1'+i))}, Platform: serve(b.t, whileAlive(alive, b.platform.Handler())), PeerListen: freeUDP(b.t),
		LeaseTTL: b.leaseTTL, ConfigPoll: 50 * time.Millisecond, CallTimeout: b.callTimeout, DrainTimeout: time.Second,
		JournalInterval: 2 * time.Millisecond, Routing: routing.NameAffinity, PrefillRate: settings.DefaultPrefillRate, BlockTokens: settings.DefaultBlockTokens}
	e := entry.New(s, clock.Real{}, quietLog(), tally.NoopScope)
	ctx, stop := context.WithCancel(b.ctx)
	b.stopEntry = append(b.stopEntry, stop)
	go e.WatchConfig(ctx, make(chan error, 1))
	go e.RunMaintenance(ctx, make(chan error, 1))
	go e.RunEndedLeases(ctx, make(chan error, 1))
	go e.WriteJournal(ctx, make(chan error, 1))
	srv, err := peer.Listen(s.PeerListen, e.HandlePeer, unlimited(), quietLog())
	require.NoError(b.t, err)
	go func() { _ = srv.Serve(ctx) }()
	b.t.Cleanup(e.Close)
	b.entries = append(b.entries, e)
	b.entryURL = append(b.entryURL, serve(b.t, whileAlive(alive, e.Handler())))
	require.Eventually(b.t, func() bool {
		return e.State().(entry.State).ConfigVersion > 0
	}, 5*time.Second, 10*time.Millisecond, "entry never read the configuration")
}

// whileAlive serves h until alive turns false, then cuts every connection
// that asks.
func whileAlive(alive *atomic.Bool, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !alive.Load() {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
		if !alive.Load() {
			panic(http.ErrAbortHandler)
		}
	})
}

// freeUDP returns a loopback address with a UDP port that was free a
// moment ago.
func freeUDP(t *testing.T) string {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

// gateStats returns the calls running and waiting at a sidecar's gate.
func (b *bed) gateStats(name string) (running, waiting int) {
	st := b.sidecars[name].State().(sidecar.State)
	return st.Running, st.Waiting
}

// unlimited returns a limiter without limits.
func unlimited() *connlimit.Limiter {
	return connlimit.New(connlimit.Config{Name: "peers", Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
}
