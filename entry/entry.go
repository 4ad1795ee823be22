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

// Entry is an entry instance. It is safe for concurrent use.
type Entry struct {
	id          string
	leaseTTL    time.Duration
	configPoll  time.Duration
	callTimeout time.Duration
	clock       clock.Clock
	platform    *tableservice.Client
	peers       *peer.Client
	log         *slog.Logger
	// config is the current configuration; configMu serialises its
	// replacement.
	config   atomic.Pointer[config.Config]
	configMu sync.Mutex
	// avoid holds the endpoints and entry instances left out of routing for a
	// time.
	avoid       *avoidList
	metrics     metrics
	router      *routing.Router[routing.Policy]
	retries     *retry.Budget
	blockTokens int
	peerAddress string
	handler     http.Handler
	// holderCache holds the addresses of the owners of programs that other
	// instances own.
	holderCache *holderCache
	// journal writes the journal of this process; journals reads those of
	// other processes as well.
	journal  *journal.Writer
	journals *journal.Reader
	// programLocks serialises the creation and adoption of each program.
	programLocks keyLocks
	// ended queues programs that have ended and whose leases are not yet
	// marked as ended.
	ended chan *ownedProgram

	mu sync.Mutex
	// programs holds the programs owned by this instance, guarded by mu.
	programs map[program.ID]*ownedProgram
}

// metrics holds the instruments of an entry instance.
type metrics struct {
	calls    tally.Counter
	refused  tally.Counter
	failed   tally.Counter
	latency  tally.Timer
	programs tally.Gauge
}

// New returns an entry instance with the settings s, which must have been
// validated. An unknown routing policy is replaced by Affinity.
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
		programs:    map[program.ID]*ownedProgram{},
		peerAddress: s.PeerListen,
		holderCache: newHolderCache(clk),
		ended:       make(chan *ownedProgram, endedQueueSize),
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

// journalName returns a name that is unique to this process: a restarted
// instance writes a new journal.
func journalName(instance string, clk clock.Clock) string {
	return fmt.Sprintf("%s-%x-%08x", instance, clk.Now().UnixMilli(), rand.Uint32())
}

// WriteJournal writes staged turns to the store until ctx ends, then sends
// its result on done. It must keep running until the last call in flight has
// ended.
func (e *Entry) WriteJournal(ctx context.Context, done chan<- error) { e.journal.Run(ctx, done) }

// Handler returns the handler of the HTTP API for callers.
func (e *Entry) Handler() http.Handler { return e.handler }

// newHandler returns the handler of all routes of the HTTP API.
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

// State holds the state dump of an entry instance.
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

// ProgramDump holds the state of one owned program in the state dump.
type ProgramDump struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Next     uint64 `json:"next_sequence"`
	Spent    int64  `json:"spent_tokens"`
	Budget   int64  `json:"budget_tokens"`
	Fence    uint64 `json:"fence"`
	InFlight bool   `json:"in_flight"`
}

// State returns a snapshot of the instance for the state dump, as a State.
func (e *Entry) State() any {
	cfg := e.config.Load()
	st := State{ID: e.id, ConfigVersion: cfg.Version, Endpoints: cfg.Endpoints, Avoided: e.avoid.names(), Routing: e.router.View(), Peers: e.peers.Len(), Journal: e.journal.Stats()}
	e.mu.Lock()
	all := make([]*ownedProgram, 0, len(e.programs))
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
