package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/discovery"
	"github.com/wagtaildrum/wagtaildrum/gateway"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/overload"
	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
	"github.com/wagtaildrum/wagtaildrum/quota"
	"github.com/wagtaildrum/wagtaildrum/resumption"
	"github.com/wagtaildrum/wagtaildrum/route"
	"github.com/wagtaildrum/wagtaildrum/shutdown"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// fixture holds a store, a model endpoint and a tool endpoint for tests. It
// starts the entry instances that use them.
type fixture struct {
	t      *testing.T
	memory *storetest.Memory
	// store is the store that instances use: memory, or a wrapper around it.
	store store.Store
	model *platformtest.Endpoint
	tool  *platformtest.Endpoint
	// limiter, unless nil, is charged for the connections of callers.
	limiter *connlimit.Limiter
	// logs receives the log output of all instances.
	logs io.Writer
	// peers holds the origins of streams that instances record at each other.
	peers originPeers
	// followedFor is how long instances have followed the list of endpoints when
	// they start.
	followedFor time.Duration
	// grace is the grace period of a stop.
	grace time.Duration
	ids   atomic.Int64
	// unlisted is set while other instances do not know those of the fixture.
	unlisted atomic.Bool

	mu sync.Mutex
	// guards holds what instances know of crashes; a dead or cut instance is removed.
	guards []*quarantine.Guard
}

// instance is an entry instance of a fixture. It implements gateway.StoreStatus.
type instance struct {
	*gateway.Gateway
	fixture          *fixture
	client           *upstream.Client
	guard            *store.Guard
	accounts         *account.Manager
	crashes          *quarantine.Guard
	versions         *discovery.Versions
	shutdown         *shutdown.Shutdown
	address          string
	stop             context.CancelFunc
	done             chan error
	isolated         atomic.Bool
	storeUnavailable atomic.Bool
}

// Unavailable reports what the test has set.
func (i *instance) Unavailable() bool { return i.storeUnavailable.Load() }

// Slow reports the state of the instance's own connection to the store.
func (i *instance) Slow() bool { return i.guard.Slow() }

// Isolated reports what the test has set.
func (i *instance) Isolated() bool { return i.isolated.Load() }

// singleInstance implements the interfaces to other instances for a fleet
// without any.
type singleInstance struct{}

func (singleInstance) ReleaseUnused(context.Context, string, []string) []string { return nil }

func (singleInstance) Turns(context.Context, string, string) ([]archive.EncodedTurn, error) {
	return nil, nil
}

func (singleInstance) OwnerTerminated(string) bool { return false }

func (singleInstance) Home(string) string { return "" }

func (singleInstance) Members() (string, []string) { return "i", []string{"i"} }

func (singleInstance) Borrow(context.Context, string, string, account.Borrowing) (account.Loan, error) {
	return account.Loan{}, nil
}

func (singleInstance) Homes(string, bool) []string { return []string{"i"} }

func (singleInstance) Self() string { return "i" }

func (singleInstance) Listed() bool { return true }

func (singleInstance) JoinedAt(string) time.Time { return time.Time{} }

func (singleInstance) StableFor() time.Duration { return time.Hour }

func (singleInstance) RequestCredit(context.Context, string, quota.HomeRequest) (quota.CreditResponse, error) {
	return quota.CreditResponse{}, quota.ErrNotHome
}

func (singleInstance) TransferBuckets(context.Context, string, quota.Transfer) (quota.Transfer, error) {
	return quota.Transfer{}, quota.ErrNotHome
}

func (singleInstance) Repay(context.Context, string, []account.Repayment) error { return nil }

// quotaPeers implements quota.Peers for an instance of a fixture.
type quotaPeers struct {
	singleInstance
	fixture *fixture
}

func (peers quotaPeers) Listed() bool { return !peers.fixture.unlisted.Load() }

func (peers quotaPeers) Homes(organisation string, all bool) []string {
	if !peers.Listed() {
		return nil
	}
	return peers.singleInstance.Homes(organisation, all)
}

// newFixture returns a fixture with a configuration and both endpoints registered.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	b := &fixture{t: t, logs: io.Discard, grace: 8 * time.Second, memory: storetest.New(), model: platformtest.NewEndpoint("i-model", "model", true), tool: platformtest.NewEndpoint("i-tool", "tool", false)}
	t.Cleanup(b.model.Close)
	t.Cleanup(b.tool.Close)
	platformtest.PutConfiguration(b.memory, platformtest.Configuration(3))
	b.store = b.memory
	b.model.Register(b.memory, "a", "ready")
	b.tool.Register(b.memory, "a", "ready")
	return b
}

// startInstance starts an entry instance and waits until it is ready. The
// instance stops when the test ends.
func (b *fixture) startInstance() *instance {
	b.t.Helper()
	log := slog.New(slog.NewTextHandler(b.logs, nil))
	clk := clock.Real{}
	current, list := &route.Current{}, membership.NewList()
	for at := clk.Now().Add(-b.followedFor); at.Before(clk.Now()); at = at.Add(time.Second) {
		list.Confirm(at)
	}
	guard := store.NewGuard(b.store, func(string, bool, error) {})
	i := &instance{fixture: b, client: upstream.NewClient(), guard: guard, shutdown: shutdown.New(b.grace, clk), done: make(chan error, 5)}
	i.accounts = account.NewManager(guard, fmt.Sprintf("i%d", b.ids.Add(1)), singleInstance{}, singleInstance{}, clk, log, tally.NoopScope)
	endpoints := discovery.NewFollower(guard, discovery.Endpoints(platform.EndpointTable, platform.DecodeEndpoint, list, func(endpoint *membership.Endpoint) { i.client.CloseIdle(endpoint.Address) }, clk, log), clk, log, tally.NoopScope)
	i.versions = discovery.NewVersions(list, endpoints, guard, platform.DecodeEndpoint, clk, log)
	origins := resumption.NewRegistry(resumption.NewRecords(clk), &b.peers, i.versions, tally.NoopScope)
	b.peers.add(origins)
	i.crashes = quarantine.NewGuard(quarantine.NewRecords(clk), &crashPeers{instance: i}, list.Presence, clk, log, tally.NoopScope)
	i.crashes.Load(nil)
	b.addGuard(i.crashes)
	loads := overload.NewMeter(clk)
	programs := overload.NewAdmitter(overload.NewController(loads, singleInstance{}, i.accounts, clk, rand.Float64), loads, singleInstance{}, tally.NoopScope)
	i.Gateway = gateway.New(gateway.Config{DataCentre: "a", Programs: programs, Loads: loads, Dialect: platform.Dialect{}, Routes: current, Endpoints: list, Picker: balance.NewPicker(clk), Upstream: i.client,
		Accounts: i.accounts, Origins: origins, Crashes: i.crashes, Quotas: quota.NewLimiter(quotaPeers{fixture: b}, quota.Tolerance{Window: 5 * time.Second}, clk, log, tally.NoopScope), Archive: archive.New(guard, singleInstance{}, 64<<10, 1<<20, log, tally.NoopScope), StoreStatus: i, Shutdown: i.shutdown, Clock: clk, Log: log, Metrics: tally.NoopScope})
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	go guard.Run(ctx, i.done)
	go i.Quotas.Run(ctx, i.done)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b.t, err)
	i.address = listener.Addr().String()
	go discovery.NewFollower(guard, discovery.Configuration(platform.ConfigurationKey, platform.DecodeConfiguration, current, log), clk, log, tally.NoopScope).Run(ctx, i.done)
	go endpoints.Run(ctx, i.done)
	if b.limiter != nil {
		listener = connlimit.NewListener(listener, b.limiter)
	}
	go gateway.NewServer(i.Gateway, log).Serve(ctx, listener, i.shutdown, i.done)
	b.t.Cleanup(cancel)
	require.Eventually(b.t, i.Ready, 2*time.Second, 5*time.Millisecond)
	return i
}

// callerRequest describes an HTTP request that a test sends as a caller.
type callerRequest struct {
	path, id, body string
	header         map[string]string
	// client is the HTTP client to use; nil opens a new connection.
	client *http.Client
	ctx    context.Context
}

// send sends a request to the instance and returns the response and its body.
func (i *instance) send(a callerRequest) (*http.Response, string, error) {
	method := http.MethodPost
	if strings.HasPrefix(a.path, "/look/") {
		method = http.MethodGet
	}
	ctx := a.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	var body io.Reader
	if a.body != "" {
		body = strings.NewReader(a.body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+i.address+a.path, body)
	require.NoError(i.fixture.t, err)
	r.Host = "desk.example"
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", "3000")
	for name, value := range a.header {
		r.Header.Set(name, value)
	}
	client := a.client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// mustSend is like send, but fails the test on an error.
func (i *instance) mustSend(a callerRequest) (*http.Response, string) {
	i.fixture.t.Helper()
	response, body, err := i.send(a)
	require.NoError(i.fixture.t, err)
	return response, body
}

// turnHeaders returns the headers of a turn of the program, with a budget of 1701
// tokens and a maximum of 567 tokens, and extra headers that override these.
func turnHeaders(program string, extra map[string]string) map[string]string {
	header := map[string]string{"X-Program": program, "X-Session": "s", "X-Token-Budget": "1701", "X-Token-Count": "100,567"}
	for name, value := range extra {
		header[name] = value
	}
	return header
}

// streamText returns events from through to of a stream of the test endpoint.
func streamText(id string, from, to int) string {
	var text strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", n, platformtest.Data(id, n))
	}
	return text.String()
}

// Checks that an idempotent request, a non-idempotent one and a stream are
// served, and that malformed ones are refused before they reach an endpoint.
func TestServesEachRouteKind(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	response, body := i.mustSend(callerRequest{path: "/look/x?q=1", id: "r1"})
	assert.Equal(t, 200, response.StatusCode)
	assert.Equal(t, "answer to r1", body)
	assert.Equal(t, "stamp.r1", response.Header.Get("X-Server-Stamp"))
	_, body = i.mustSend(callerRequest{path: "/post/x", id: "r2", body: "charge"})
	assert.Equal(t, "answer to r2", body)
	_, body = i.mustSend(callerRequest{path: "/chat/x", id: "r3", body: "hello", header: turnHeaders("p", nil)})
	assert.Equal(t, streamText("r3", 1, 3), body)
	runs := b.tool.ReceivedRequests()
	require.Len(t, runs, 2)
	assert.Equal(t, "/look/x?q=1", runs[0].Path)
	assert.Equal(t, "charge", runs[1].Body)
	for path, status := range map[string]int{"/none/": 404, "/look": 404} {
		response, _ := i.mustSend(callerRequest{path: path, id: "r4"})
		assert.Equal(t, status, response.StatusCode, path)
	}
	response, _ = i.mustSend(callerRequest{path: "/look/x", id: "r5", header: map[string]string{"X-Deadline-Ms": "x"}})
	assert.Equal(t, 400, response.StatusCode)
	response, _ = i.mustSend(callerRequest{path: "/post/x", id: "r6", body: strings.Repeat("x", 70000)})
	assert.Equal(t, 413, response.StatusCode)
	assert.Len(t, b.tool.ReceivedRequests(), 2, "refused requests must not reach an endpoint")
}

// Checks that turns of a conversation sent through different instances, one of
// them newly started, reach the engine with the complete conversation, byte for
// byte.
func TestAnyInstanceRebuildsConversation(t *testing.T) {
	b := newFixture(t)
	first, second := b.startInstance(), b.startInstance()
	budget := map[string]string{"X-Token-Budget": "4712"}
	continuing := func(turn string) map[string]string {
		return map[string]string{"X-Token-Budget": "4712", "X-Previous-Turn": turn}
	}
	first.mustSend(callerRequest{path: "/keep/x", id: "t1", body: "one ", header: turnHeaders("p", budget)})
	second.mustSend(callerRequest{path: "/keep/x", id: "t2", body: "two ", header: turnHeaders("p", continuing("t1"))})
	third := b.startInstance()
	response, _ := third.mustSend(callerRequest{path: "/keep/x", id: "t3", body: "three", header: turnHeaders("p", continuing("t2"))})
	assert.Equal(t, 200, response.StatusCode)
	output := func(id string) string {
		return fmt.Sprintf("%s\n%s\n%s\n", platformtest.Data(id, 1), platformtest.Data(id, 2), platformtest.Data(id, 3))
	}
	runs := b.model.ReceivedRequests()
	assert.Equal(t, "one "+output("t1")+"two "+output("t2")+"three", runs[len(runs)-1].Body)
	response, _ = third.mustSend(callerRequest{path: "/keep/x", id: "t4", body: "x", header: turnHeaders("p", continuing("never"))})
	assert.Equal(t, 404, response.StatusCode)
}

// Guards against a caller that continues from a turn that no longer exists. If
// the store is unavailable when a turn ends, the end of the stream must not be
// sent before the turn is durable: all instances may lose power.
func TestStreamEndWaitsForDurableTurn(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	b.memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" && len(b.model.ReceivedRequests()) > 0 {
			return storetest.Refuse
		}
		return storetest.None
	})
	began := time.Now()
	time.AfterFunc(600*time.Millisecond, func() { b.memory.SetFault(func(string, string) storetest.Fault { return storetest.None }) })
	response, body := i.mustSend(callerRequest{path: "/keep/x", id: "t1", body: "one", header: turnHeaders("p", nil)})
	assert.Equal(t, 200, response.StatusCode)
	assert.Equal(t, streamText("t1", 1, 3), body)
	assert.Greater(t, time.Since(began), 500*time.Millisecond)
	b.memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" && len(b.model.ReceivedRequests()) > 1 {
			return storetest.Refuse
		}
		return storetest.None
	})
	_, body, err := i.send(callerRequest{path: "/keep/x", id: "t2", body: "two", header: turnHeaders("p", map[string]string{"X-Deadline-Ms": "500"})})
	require.Error(t, err, "a response whose turn is not durable must not look complete: %q", body)
}

// Guards against a looping program that exceeds its budget by sending turns
// through several instances, each of which counts only its own.
func TestBudgetRefusesTurnsAcrossInstances(t *testing.T) {
	b := newFixture(t)
	b.model.Events = 21 // of 27 tokens each: the maximum of the turn
	instances := []*instance{b.startInstance(), b.startInstance()}
	statuses := map[int]int{}
	for n := range 12 {
		response, _ := instances[n%2].mustSend(callerRequest{path: "/chat/x", id: fmt.Sprint("t", n), body: "x", header: turnHeaders("p", nil)})
		statuses[response.StatusCode]++
	}
	assert.LessOrEqual(t, statuses[200], 3)
	assert.GreaterOrEqual(t, statuses[200], 2)
	assert.Equal(t, statuses[200], len(b.model.ReceivedRequests()), "refused turns must not run")
}

// Guards against reading the conversation of a turn that its budget refuses. In
// one day 8,100 of 40,000 turns were refused for their budget, mostly those of
// looping programs that continued from the same turn through all instances;
// each first read its conversation with one call per turn.
func TestTurnOverBudgetDoesNotReadHistory(t *testing.T) {
	b := newFixture(t)
	b.model.Events = 21 // of 27 tokens each: the maximum of the turn
	first, second := b.startInstance(), b.startInstance()
	headers := map[string]string{"X-Token-Budget": "600"}
	first.mustSend(callerRequest{path: "/keep/x", id: "t1", body: "one ", header: turnHeaders("p", headers)})
	var reads atomic.Int64
	b.memory.SetFault(func(op, partition string) storetest.Fault {
		if op == "read" && strings.HasPrefix(partition, "turn-") {
			reads.Add(1)
		}
		return storetest.None
	})
	for n := range 5 {
		response, _ := second.mustSend(callerRequest{path: "/keep/x", id: fmt.Sprint("t2-", n), body: "two", header: turnHeaders("p", map[string]string{"X-Token-Budget": "600", "X-Previous-Turn": "t1"})})
		assert.Equal(t, 402, response.StatusCode)
	}
	assert.Zero(t, reads.Load())
}

// Guards against responses that break off at two fifths of their length. A turn
// starts with a partial grant from the instance's escrow, and the store is
// briefly unavailable when a long response uses it up. The remainder was not
// requested, or was requested only once.
func TestStreamContinuesAfterPartialGrant(t *testing.T) {
	b := newFixture(t)
	b.model.Events, b.model.EventDelay = 21, 10*time.Millisecond // of 27 tokens each: the maximum of the turn
	i := b.startInstance()
	require.NoError(t, i.accounts.AcquireOnce(context.Background(), singleInstance{}, false))
	_, body := i.mustSend(callerRequest{path: "/chat/x", id: "t1", body: "x", header: turnHeaders("p1", nil)})
	assert.Equal(t, 21, strings.Count(body, "data:"))
	b.memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.Refuse
		}
		return storetest.None
	})
	time.AfterFunc(400*time.Millisecond, func() {
		b.memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	})
	_, body = i.mustSend(callerRequest{path: "/chat/x", id: "t2", body: "x", header: turnHeaders("p2", nil)})
	assert.Equal(t, 21, strings.Count(body, "data:"))
}

// Guards against a program that exceeds its budget while the store is
// unavailable. A stream whose turn has a partial grant, and whose remainder is
// unobtainable for seconds, must end within the granted tokens and must not
// look complete.
func TestStreamStopsAtGrantedBudget(t *testing.T) {
	b := newFixture(t)
	b.model.Events = 21
	i := b.startInstance()
	require.NoError(t, i.accounts.AcquireOnce(context.Background(), singleInstance{}, false))
	b.memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	_, body, err := i.send(callerRequest{path: "/chat/x", id: "t1", body: "x", header: turnHeaders("p", nil)})
	require.Error(t, err)
	tokens := strings.Count(body, "data:") * 27
	assert.LessOrEqual(t, tokens, 1701*30/100)
	b.model.Events = 17 // 459 of the 510 tokens in the escrow; 227 were granted at first
	_, body = i.mustSend(callerRequest{path: "/chat/x", id: "t2", body: "x", header: turnHeaders("p2", nil)})
	assert.Equal(t, streamText("t2", 1, 17), body, "the stream continues with the remaining budget of the account")
}

// Guards against a stream that breaks off although the turn that holds the
// remaining budget ends while the caller still waits.
func TestStreamWaitsForBudgetHeldByOtherTurns(t *testing.T) {
	b := newFixture(t)
	b.model.Events, b.model.EventDelay = 21, 60*time.Millisecond // the escrow covers 18 events, 1.1 s of the stream
	i := b.startInstance()
	ctx := context.Background()
	require.NoError(t, i.accounts.AcquireOnce(ctx, singleInstance{}, false))
	other := account.NewManager(b.memory, "other", singleInstance{}, singleInstance{}, clock.Real{}, slog.New(slog.DiscardHandler), tally.NoopScope)
	b.memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.Refuse
		}
		return storetest.None
	})
	held := make(chan error, 1)
	time.AfterFunc(250*time.Millisecond, func() {
		b.memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
		var turns []*account.Reservation
		for range 2 {
			turn, err := other.Reserve(ctx, "p", 567, 1701)
			if err != nil {
				held <- err
				return
			}
			turns = append(turns, turn)
		}
		time.Sleep(1400 * time.Millisecond)
		for _, turn := range turns {
			turn.Settle(100)
		}
		held <- other.ReleaseUnused(ctx, "p")
	})
	_, body, err := i.send(callerRequest{path: "/chat/x", id: "t1", body: "x", header: turnHeaders("p", nil)})
	require.NoError(t, <-held)
	require.NoError(t, err)
	assert.Equal(t, 21, strings.Count(body, "data:"))
}

// Guards against retrying a non-idempotent request whose response was lost
// after a service had run it, which sent a van twice.
func TestNonIdempotentRequestWithLostResponseRunsOnce(t *testing.T) {
	b := newFixture(t)
	other := platformtest.NewEndpoint("i-tool-2", "tool", false)
	defer other.Close()
	other.Register(b.memory, "a", "ready")
	i := b.startInstance()
	for _, endpoint := range []*platformtest.Endpoint{b.tool, other} {
		endpoint.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
			return platformtest.Behaviour{DropResponse: true}
		})
	}
	response, _ := i.mustSend(callerRequest{path: "/post/x", id: "r1", body: "x"})
	assert.Equal(t, 502, response.StatusCode, "the request may have run")
	assert.Empty(t, response.Header.Get("Retry-After"))
	assert.Equal(t, 1, len(b.tool.ReceivedRequests())+len(other.ReceivedRequests()))
	response, _ = i.mustSend(callerRequest{path: "/look/x", id: "r2"})
	assert.Equal(t, 502, response.StatusCode)
	assert.Equal(t, 3, len(b.tool.ReceivedRequests())+len(other.ReceivedRequests()), "an idempotent request is tried at two endpoints")
}

// Guards against refusing a caller while an endpoint is free. A rejection by a
// full endpoint, which reports that it did not run the request, must not be
// relayed.
func TestRejectedRequestTriesAnotherEndpoint(t *testing.T) {
	b := newFixture(t)
	other := platformtest.NewEndpoint("i-tool-2", "tool", false)
	defer other.Close()
	other.Register(b.memory, "b", "ready")
	i := b.startInstance()
	b.tool.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
		return platformtest.Behaviour{RejectFull: true}
	})
	response, _ := i.mustSend(callerRequest{path: "/post/x", id: "r1", body: "x"})
	assert.Equal(t, 200, response.StatusCode)
	other.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
		return platformtest.Behaviour{RejectFull: true}
	})
	response, _ = i.mustSend(callerRequest{path: "/post/x", id: "r2", body: "x"})
	assert.Equal(t, 503, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Len(t, other.ReceivedRequests(), 1)
}

// Guards against a response assembled from pieces of two. When an engine fails
// in the middle of an event, the truncated event must not be relayed, because
// the stream resumes at another endpoint after the last complete event.
func TestBrokenStreamResumesAfterLastCompleteEvent(t *testing.T) {
	b := newFixture(t)
	other := platformtest.NewEndpoint("i-model-2", "model", true)
	defer other.Close()
	other.Register(b.memory, "b", "ready")
	i := b.startInstance()
	for _, endpoint := range []*platformtest.Endpoint{b.model, other} {
		endpoint.SetBehaviour(func(run *platformtest.ReceivedRequest) platformtest.Behaviour {
			if run.LastEventID == "" {
				return platformtest.Behaviour{ResetAfter: 1}
			}
			return platformtest.Behaviour{}
		})
	}
	response, body := i.mustSend(callerRequest{path: "/chat/x", id: "t1", body: "x", header: turnHeaders("p", nil)})
	assert.Equal(t, 200, response.StatusCode)
	assert.Equal(t, streamText("t1", 1, 3), body)
	// A stream that cannot be resumed breaks off visibly after a complete
	// event.
	_, body, err := i.send(callerRequest{path: "/keep/x", id: "t2", body: "x", header: turnHeaders("q", nil)})
	require.Error(t, err)
	assert.Equal(t, streamText("t2", 1, 1), body)
}

// Guards against engines that keep working for a caller that disconnected
// before its first event. The connection to the engine must be closed.
func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	b.model.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour { return platformtest.Behaviour{Hang: true} })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, _, err := i.send(callerRequest{path: "/chat/x", id: "t1", body: "x", header: turnHeaders("p", nil), ctx: ctx})
	require.Error(t, err)
	assert.Eventually(t, func() bool { runs := b.model.ReceivedRequests(); return len(runs) == 1 && runs[0].Completed }, 500*time.Millisecond, 5*time.Millisecond)
}

// Checks that a request without a response by its deadline is refused then, and
// that the endpoint receives the remaining time.
func TestDeadlineEndsRequest(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	b.tool.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour { return platformtest.Behaviour{Hang: true} })
	began := time.Now()
	response, _ := i.mustSend(callerRequest{path: "/look/x", id: "r1", header: map[string]string{"X-Deadline-Ms": "300"}})
	assert.Equal(t, 504, response.StatusCode)
	assert.Less(t, time.Since(began), 500*time.Millisecond)
	var remaining int
	_, err := fmt.Sscan(b.tool.ReceivedRequests()[0].Deadline, &remaining)
	require.NoError(t, err)
	assert.LessOrEqual(t, remaining, 300)
	assert.Greater(t, remaining, 200)
}

// Guards against relaying a response to another caller's request. An endpoint
// may send a second response to an earlier request first, so responses must not
// be matched by their order alone.
func TestResponseToOtherRequestIsDiscarded(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	b.tool.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
		return platformtest.Behaviour{StaleResponse: true}
	})
	response, body := i.mustSend(callerRequest{path: "/post/x", id: "r1", body: "x"})
	assert.Equal(t, 200, response.StatusCode)
	assert.Equal(t, "answer to r1", body)
}

// Guards against turns that fail as long as one instance is partitioned from
// the store and all other instances, while callers and engines still reach it.
// Turns run there could not be stored, and other instances could serve them.
func TestPartitionedInstanceRefusesTurns(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	b.memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	i.storeUnavailable.Store(true)
	i.isolated.Store(true)
	assert.False(t, i.Ready())
	began := time.Now()
	response, _ := i.mustSend(callerRequest{path: "/keep/x", id: "t1", body: "x", header: turnHeaders("p", nil)})
	assert.Equal(t, 503, response.StatusCode)
	assert.Less(t, time.Since(began), 200*time.Millisecond)
	assert.True(t, response.Close)
	var seconds float64
	_, err := fmt.Sscan(response.Header.Get("Retry-After"), &seconds)
	require.NoError(t, err)
	assert.Less(t, seconds, 0.1)
	assert.Empty(t, b.model.ReceivedRequests())
	// Requests that need no store are served.
	response, _ = i.mustSend(callerRequest{path: "/post/x", id: "r1", body: "x"})
	assert.Equal(t, 200, response.StatusCode)
}

// Checks that a turn waits one second for a store that is unavailable to all
// instances, and is then refused with a retry delay. If refused earlier, its
// caller would use up all its attempts.
func TestTurnWaitsForUnavailableStore(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	b.memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	began := time.Now()
	response, _ := i.mustSend(callerRequest{path: "/chat/x", id: "t1", body: "x", header: turnHeaders("p", nil)})
	assert.Equal(t, 503, response.StatusCode)
	assert.Greater(t, time.Since(began), 900*time.Millisecond)
	assert.Less(t, time.Since(began), 1500*time.Millisecond)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	time.AfterFunc(400*time.Millisecond, func() { b.memory.SetFault(func(string, string) storetest.Fault { return storetest.None }) })
	response, _ = i.mustSend(callerRequest{path: "/chat/x", id: "t2", body: "x", header: turnHeaders("p", nil)})
	assert.Equal(t, 200, response.StatusCode)
}

// hangingStore blocks commits until their context ends while hanging is set.
type hangingStore struct {
	store.Store
	hanging atomic.Bool
}

// Commit implements store.Store.
func (s *hangingStore) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	if !s.hanging.Load() {
		return s.Store.Commit(ctx, tx)
	}
	<-ctx.Done()
	return 0, store.NewError(store.FailureUnanswered, "commit", ctx.Err().Error())
}

// Guards against a caller that disconnects after two seconds without an event,
// and without a retry delay, because a store call that its turn needs gets no
// response.
func TestTurnRefusedBeforeCallerEventTimeout(t *testing.T) {
	b := newFixture(t)
	hanging := &hangingStore{Store: b.memory}
	b.store = hanging
	i := b.startInstance()
	hanging.hanging.Store(true)
	began := time.Now()
	response, body := i.mustSend(callerRequest{path: "/chat/x", id: "t1", body: "x", header: turnHeaders("p", nil)})
	assert.Less(t, time.Since(began), 1900*time.Millisecond)
	assert.Equal(t, 503, response.StatusCode)
	assert.Contains(t, body, "StoreAway")
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Empty(t, b.model.ReceivedRequests())
}

// Guards against requests that an instance breaks off when it stops while it
// responds, while callers keep connections open, and while new connections
// arrive. Connections were closed by their age, regardless of whether a request
// was in flight.
func TestGracefulStopCompletesRequests(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	b.tool.EventDelay = 100 * time.Millisecond
	balancer := platformtest.NewBalancer(i.Ready)
	var failed, served atomic.Int32
	done := make(chan struct{})
	for caller := range 8 {
		go func() {
			defer func() { done <- struct{}{} }()
			client := balancer.Caller()
			for n := range 200 {
				response, _, err := i.send(callerRequest{path: "/post/x", id: fmt.Sprintf("c%d-%d", caller, n), body: "x", client: client})
				var outOfRotation *platformtest.OutOfRotationError
				switch {
				case errors.As(err, &outOfRotation):
					return
				case err != nil || response.StatusCode != 200:
					t.Logf("c%d-%d: %v", caller, n, err)
					failed.Add(1)
				default:
					served.Add(1)
				}
			}
		}()
	}
	time.Sleep(400 * time.Millisecond)
	i.Drain()
	assert.False(t, i.Ready())
	i.stop()
	for range 8 {
		<-done
	}
	for range 4 {
		require.NoError(t, <-i.done)
	}
	assert.Zero(t, failed.Load())
	assert.Greater(t, served.Load(), int32(100), "connections are served until the balancer redirects callers")
}

// Checks that a running instance switches to a new configuration, and ignores a
// malformed one and one of an older version.
func TestConfigurationChangeTakesEffect(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	platformtest.PutConfiguration(b.memory, bytes.ReplaceAll(platformtest.Configuration(4), []byte("/look/"), []byte("/seek/")))
	require.Eventually(t, func() bool {
		response, _ := i.mustSend(callerRequest{path: "/seek/x", id: "r1"})
		return response.StatusCode == 200
	}, time.Second, 10*time.Millisecond)
	response, _ := i.mustSend(callerRequest{path: "/look/x", id: "r2"})
	assert.Equal(t, 404, response.StatusCode)
	platformtest.PutConfiguration(b.memory, []byte(`{"version":`))
	platformtest.PutConfiguration(b.memory, platformtest.Configuration(2))
	time.Sleep(100 * time.Millisecond)
	response, _ = i.mustSend(callerRequest{path: "/seek/x", id: "r3"})
	assert.Equal(t, 200, response.StatusCode, "neither a malformed nor an older configuration takes effect")
}

// Guards against an instance that is killed for exceeding its memory, with all
// its requests, because many callers send bodies of maximum size at once. The
// total size of the bodies in flight was unbounded.
func TestRequestBodyMemoryIsBounded(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	i.MaxBodyBytes = 100_000
	b.tool.EventDelay = 200 * time.Millisecond
	var served, refused atomic.Int32
	done := make(chan struct{})
	for n := range 6 {
		go func() {
			defer func() { done <- struct{}{} }()
			switch response, _, err := i.send(callerRequest{path: "/post/x", id: fmt.Sprint("r", n), body: strings.Repeat("x", 40_000)}); {
			case err == nil && response.StatusCode == 200:
				served.Add(1)
			case err == nil && response.StatusCode == 503 && response.Header.Get("Retry-After") != "":
				refused.Add(1)
			}
		}()
	}
	for range 6 {
		<-done
	}
	assert.EqualValues(t, 2, served.Load())
	assert.EqualValues(t, 4, refused.Load())
	response, _ := i.mustSend(callerRequest{path: "/post/x", id: "later", body: strings.Repeat("x", 40_000)})
	assert.Equal(t, 200, response.StatusCode, "completed requests hold no memory")
}

// panickingDialect is a dialect whose Prepare panics for one request ID.
type panickingDialect struct {
	platform.Dialect
	id string
}

// Prepare implements gateway.Dialect.
func (dialect panickingDialect) Prepare(header http.Header, send gateway.ForwardInfo) {
	if header.Get(dialect.IDHeader()) == dialect.id {
		panic("test")
	}
	dialect.Dialect.Prepare(header, send)
}

// Guards against body memory that stays reserved after a handler panicked,
// until the instance refuses all requests.
func TestPanicReleasesBodyMemory(t *testing.T) {
	b := newFixture(t)
	i := b.startInstance()
	i.MaxBodyBytes = 50_000
	i.Dialect = panickingDialect{id: "panics"}
	_, _, err := i.send(callerRequest{path: "/post/x", id: "panics", body: strings.Repeat("x", 40_000)})
	require.Error(t, err)
	response, _ := i.mustSend(callerRequest{path: "/post/x", id: "later", body: strings.Repeat("x", 40_000)})
	assert.Equal(t, 200, response.StatusCode)
}

// Checks that no request is sent to an endpoint that is registered as draining.
func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	b := newFixture(t)
	other := platformtest.NewEndpoint("i-tool-2", "tool", false)
	defer other.Close()
	other.Register(b.memory, "b", "ready")
	i := b.startInstance()
	b.tool.Register(b.memory, "a", "draining")
	time.Sleep(100 * time.Millisecond)
	before := len(b.tool.ReceivedRequests())
	for n := range 10 {
		response, _ := i.mustSend(callerRequest{path: "/post/x", id: fmt.Sprint("r", n), body: "x"})
		assert.Equal(t, 200, response.StatusCode)
	}
	assert.Len(t, b.tool.ReceivedRequests(), before)
}
