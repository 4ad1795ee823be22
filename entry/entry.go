package entry

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/journal"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/retry"
	"github.com/wagtaildrum/wagtaildrum/routing"
	"github.com/wagtaildrum/wagtaildrum/settings"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// Entry is one entry instance.
type Entry struct {
	id          string
	leaseTTL    time.Duration
	configPoll  time.Duration
	callTimeout time.Duration
	clock       clock.Clock
	platform    *tableservice.Client
	peers       *peer.Client
	log         *slog.Logger
	config      atomic.Pointer[config.Config]
	configMu    sync.Mutex
	avoid       *avoidList
	metrics     metrics
	router      *routing.Router[routing.Policy]
	retries     *retry.Budget
	blockTokens int
	peerAddress string
	handler     http.Handler
	holders     *holders
	// journal is this process's own; journals reads others'.
	journal  *journal.Writer
	journals *journal.Reader
	adopting keyLocks
	// ended are programs whose leases are yet to be marked.
	ended chan *owned

	mu       sync.Mutex
	programs map[program.ID]*owned
}

type metrics struct {
	calls    tally.Counter
	refused  tally.Counter
	failed   tally.Counter
	latency  tally.Timer
	programs tally.Gauge
}

// New returns an entry instance with the settings s, which must have been
// checked.
func New(s *settings.Entry, clk clock.Clock, log *slog.Logger, scope tally.Scope) *Entry {
	e := &Entry{
		id:          s.InstanceID,
		leaseTTL:    s.LeaseTTL,
		configPoll:  s.ConfigPoll,
		callTimeout: s.CallTimeout,
		clock:       clk,
		platform:    tableservice.NewClient(s.Platform, 2*time.Second),
		peers:       peer.NewClient(clk),
		log:         log,
		avoid:       newAvoidList(clk),
		programs:    map[program.ID]*owned{},
		peerAddress: s.PeerListen,
		holders:     newHolders(clk),
		ended:       make(chan *owned, endsQueued),
		metrics: metrics{
			calls:    scope.Counter("calls"),
			refused:  scope.Counter("refused"),
			failed:   scope.Counter("failed"),
			latency:  scope.Timer("call_latency"),
			programs: scope.Gauge("programs"),
		},
	}
	policy, err := routing.NewPolicy(s.Routing, float64(s.PrefillRate))
	if err != nil {
		policy = &routing.Affinity{TokensPerSecond: settings.DefaultPrefillRate}
	}
	e.journal = journal.NewWriter(journalName(s.InstanceID, clk), e.platform, s.JournalInterval, log)
	e.journals = journal.NewReader(e.platform, clk)
	e.router = routing.NewRouter(policy, clk)
	e.retries = retry.NewBudget(retryShare, retryReserve)
	e.blockTokens = max(s.BlockTokens, 1)
	e.config.Store(&config.Config{})
	e.handler = e.newHandler()
	return e
}

// journalName returns a journal name that no other process has: an instance
// that restarts writes a new journal.
func journalName(instance string, clk clock.Clock) string {
	return fmt.Sprintf("%s-%x-%08x", instance, clk.Now().UnixMilli(), rand.Uint32())
}

// WriteJournal makes staged turns durable until ctx ends, then reports on
// done. It must outlive the calls in flight.
func (e *Entry) WriteJournal(ctx context.Context, done chan<- error) { e.journal.Run(ctx, done) }

// Handler returns the callers' HTTP API.
func (e *Entry) Handler() http.Handler { return e.handler }

func (e *Entry) newHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/programs", e.createProgram)
	mux.HandleFunc("GET /v1/programs/{id}", e.withOwner(pathID, e.getProgram))
	mux.HandleFunc("DELETE /v1/programs/{id}", e.withOwner(pathID, e.endProgram))
	mux.HandleFunc("POST /v1/programs/{id}/calls", e.withOwner(pathID, e.programCall))
	chatOfProgram := e.withOwner(headerID, e.programChat)
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		if headerID(r) == "" {
			e.plainChat(w, r)
			return
		}
		chatOfProgram(w, r)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// Close closes the peer connections.
func (e *Entry) Close() { e.peers.Close() }

// State is the entry instance's state dump.
type State struct {
	ID            string            `json:"id"`
	ConfigVersion uint64            `json:"config_version"`
	Endpoints     []config.Endpoint `json:"endpoints"`
	Avoided       []string          `json:"avoided_endpoints"`
	Routing       routing.View      `json:"routing"`
	Peers         int               `json:"peer_connections"`
	Journal       journal.Stats     `json:"journal"`
	Programs      []ProgramDump     `json:"programs"`
}

// ProgramDump is one owned program in the state dump.
type ProgramDump struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Next     uint64 `json:"next_sequence"`
	Spent    int64  `json:"spent_tokens"`
	Budget   int64  `json:"budget_tokens"`
	Fence    uint64 `json:"fence"`
	InFlight bool   `json:"in_flight"`
}

// State returns a snapshot for the state dump.
func (e *Entry) State() any {
	cfg := e.config.Load()
	st := State{ID: e.id, ConfigVersion: cfg.Version, Endpoints: cfg.Endpoints, Avoided: e.avoid.names(), Routing: e.router.View(), Peers: e.peers.Len(), Journal: e.journal.Stats()}
	e.mu.Lock()
	all := make([]*owned, 0, len(e.programs))
	for _, o := range e.programs {
		all = append(all, o)
	}
	e.mu.Unlock()
	for _, o := range all {
		o.mu.Lock()
		p := o.prog
		st.Programs = append(st.Programs, ProgramDump{ID: string(p.ID()), State: p.State().String(), Next: p.NextSequence(),
			Spent: p.Spent(), Budget: p.Spec().BudgetTokens, Fence: p.Fence(), InFlight: p.Reserved() > 0})
		o.mu.Unlock()
	}
	return st
}
