package entrypeer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/discovery"
	"github.com/wagtaildrum/wagtaildrum/entrypeer"
	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/quota"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// instance is an entry instance reduced to its calls with others. It implements
// the interfaces of entrypeer.Server itself.
type instance struct {
	owner            string
	door             *platformtest.StoreServer
	directory        *entrypeer.Directory
	client           *entrypeer.Client
	relay            *entrypeer.Relay
	server           *httptest.Server
	releaseRequested atomic.Pointer[string]
	repaidTokens     atomic.Int64
	repaidLoans      atomic.Int64
	quotas           *quota.Limiter
}

func (i *instance) ReleaseUnused(_ context.Context, program string) error {
	i.releaseRequested.Store(&program)
	return nil
}

// Lend grants the same loan for every turn that the budget covers. The program
// names "held", "stopped" and "unknown" return the error of that name, and
// "slow" delays the grant.
func (i *instance) Lend(_ context.Context, program string, borrowing account.Borrowing) (account.Loan, error) {
	switch {
	case program == "held":
		return account.Loan{}, account.NewHeldError(program, "")
	case program == "stopped":
		return account.Loan{}, &account.StoppedError{}
	case program == "slow":
		time.Sleep(100 * time.Millisecond)
	case program == "unknown":
		return account.Loan{}, store.NewError(store.FailureRefused, "commit", "test")
	case borrowing.Turn.Most > borrowing.Total:
		return account.Loan{}, account.NewSpentError(program, borrowing.Total, "holders")
	}
	return account.Loan{ID: 7, Places: []account.Place{{Part: borrowing.Parts[0], Endpoint: "e1", Tokens: 5000}}}, nil
}

// Cached returns the turn "t1". The ID "slow" delays the response, as a frozen
// machine would.
func (i *instance) Cached(id string) []archive.EncodedTurn {
	if id == "slow" {
		time.Sleep(200 * time.Millisecond)
	}
	if id != "t1" {
		return nil
	}
	return []archive.EncodedTurn{{ID: "t1", Rows: [][]byte{[]byte("row 0"), []byte("row 1")}}}
}

func (i *instance) SettleLoans(repayments []account.Repayment) {
	for _, repayment := range repayments {
		i.repaidTokens.Add(repayment.Spent)
		i.repaidLoans.Add(1)
	}
}

// start runs an instance called name with its own connection to memory until
// the test ends.
func start(t *testing.T, memory *storetest.Memory, name string) *instance {
	t.Helper()
	i := &instance{owner: name + "-1", door: platformtest.NewStoreServer(memory)}
	t.Cleanup(i.door.Close)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	clk := clock.Real{}
	direct := store.NewGuard(store.NewRetrying(store.NewHedged(platform.NewStore(i.door.Address(), tally.NoopScope), clk), clk), func(string, bool, error) {})
	handler := &entrypeer.Server{Store: direct, Log: log, Lender: i, Turns: i}
	i.server = httptest.NewUnstartedServer(nil)
	t.Cleanup(i.server.Close)
	i.directory = entrypeer.NewDirectory(entrypeer.Instance{Name: name, Owner: i.owner, Address: i.server.Listener.Addr().String(), DataCentre: "a"}, clk)
	i.client = entrypeer.NewClient(i.directory, tally.NoopScope)
	i.quotas = quota.NewLimiter(i.client, quota.Tolerance{Window: 5 * time.Second}, clk, log, tally.NoopScope)
	handler.Directory, handler.Quotas = i.directory, i.quotas
	i.server.Config.Handler = handler.Handler()
	i.server.Start()
	i.relay = entrypeer.NewRelay(direct, i.client)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	done := make(chan error, 4)
	go i.quotas.Run(ctx, done)
	go i.directory.Join(direct, direct, log)(ctx, done)
	go discovery.NewFollower(i.relay, i.directory.Source(log), clk, log, tally.NoopScope).Run(ctx, done)
	go direct.Run(ctx, done)
	return i
}

var key = store.Key{Table: "t", Partition: "p", Name: "a"}

// put commits a row with the instance's owner through its relay.
func (i *instance) put(t *testing.T) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := i.relay.Commit(ctx, store.Transaction{Puts: []store.Put{{Key: key, Value: []byte(i.owner)}}})
	return err
}

// Guards against refused turns at machines that the store rejects while others
// are served. The store refuses, resets or ignores the calls of one instance,
// which must then use another instance's connection.
func TestStoreCallsRelayedWhenDirectConnectionFails(t *testing.T) {
	memory := storetest.New()
	shut, open := start(t, memory, "shut"), start(t, memory, "open")
	time.Sleep(50 * time.Millisecond) // lets the instances find each other
	for _, mode := range []platformtest.StoreMode{platformtest.ServiceUnavailable, platformtest.TooManyRequests, platformtest.ResetConnections, platformtest.IgnoreRequests} {
		shut.door.SetMode(mode)
		for range 5 {
			require.NoError(t, shut.put(t), "%v", mode)
		}
		row, err := store.Get(context.Background(), shut.relay, key)
		require.NoError(t, err)
		assert.Equal(t, shut.owner, string(row.Value))
		_, err = shut.relay.Commit(context.Background(), store.Transaction{Conditions: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte("v")}}})
		require.True(t, store.Is(err, store.FailureConflict), "%v: %v", mode, err)
		page, err := shut.relay.Watch(context.Background(), key.Table, row.Version-1, 100*time.Millisecond)
		require.NoError(t, err)
		assert.Len(t, page.Rows, 1)
		shut.door.SetMode(platformtest.Serving)
		calls := shut.door.RequestCount()
		require.Eventually(t, func() bool { _ = shut.put(t); return shut.door.RequestCount() > calls+1 }, 2*time.Second, 20*time.Millisecond, "the direct connection is used again")
	}
	assert.False(t, shut.directory.Isolated())
	open.door.SetMode(platformtest.ServiceUnavailable)
	shut.door.SetMode(platformtest.ServiceUnavailable)
	err := shut.put(t)
	assert.True(t, store.Unserved(err), "%v", err)
	assert.False(t, shut.directory.Isolated(), "others respond, so the store is unavailable to all")
	open.server.CloseClientConnections()
	open.server.Close()
	assert.True(t, store.Unserved(shut.put(t)))
	assert.True(t, shut.directory.Isolated())
}

// Guards against a call that fails though another instance reaches the store: the
// store fell silent for this instance just after it had answered another call,
// and was therefore taken for one that serves it.
func TestCallIsRelayedWhenStoreFellSilent(t *testing.T) {
	memory := storetest.New()
	shut, open := start(t, memory, "shut"), start(t, memory, "open")
	require.Eventually(t, func() bool { _, all := shut.directory.Members(); return len(all) == 2 }, 2*time.Second, 5*time.Millisecond)
	require.NoError(t, open.put(t))
	shut.door.SetModeForPartitions(platformtest.IgnoreRequests, func(partition string) bool { return partition != "served" })
	result := make(chan error, 1)
	go func() { result <- shut.put(t) }()
	time.Sleep(50 * time.Millisecond)
	_, err := shut.relay.Read(context.Background(), store.Range{Table: "t", Partition: "served"})
	require.NoError(t, err)
	require.NoError(t, <-result)
}

// Guards against naming a terminated process as the home of a quota: if all
// candidates have terminated, no instance is left to ask.
func TestTerminatedInstanceIsNotQuotaHome(t *testing.T) {
	memory := storetest.New()
	own, ended := start(t, memory, "own"), start(t, memory, "ended")
	require.Eventually(t, func() bool { _, all := own.directory.Members(); return len(all) == 2 }, 2*time.Second, 5*time.Millisecond)
	require.Contains(t, own.client.Homes("x", false), "ended")
	ended.server.CloseClientConnections()
	ended.server.Close()
	_, err := own.client.RequestCredit(context.Background(), "ended", quota.HomeRequest{Organisation: "x", Limit: quota.Limit{Rate: 1, Burst: 1}})
	require.ErrorIs(t, err, quota.ErrNotRunning)
	assert.NotContains(t, own.client.Homes("x", false), "ended")
}

// Guards against turns refused though other instances reach the store: an
// instance relayed through the same few peers again and again, which the store
// rejected as well.
func TestRelayFindsInstanceThatReachesStore(t *testing.T) {
	memory := storetest.New()
	own := start(t, memory, "own")
	start(t, memory, "open")
	doors := []*platformtest.StoreServer{own.door}
	for n := range 6 {
		doors = append(doors, start(t, memory, fmt.Sprint("shut", n)).door)
	}
	require.Eventually(t, func() bool { _, all := own.directory.Members(); return len(all) == 8 }, 2*time.Second, 5*time.Millisecond)
	for _, door := range doors {
		door.SetMode(platformtest.ServiceUnavailable)
	}
	failed := 0
	for range 30 {
		if own.put(t) != nil {
			failed++
		}
	}
	assert.LessOrEqual(t, failed, 3, "each call tries two others")
}

// Guards against an instance that considers itself partitioned, and rejects its
// callers, because a single other instance has terminated or is itself waiting
// for an unavailable store.
func TestOneUnresponsiveInstanceDoesNotIsolate(t *testing.T) {
	memory := storetest.New()
	own, ended, living := start(t, memory, "own"), start(t, memory, "ended"), start(t, memory, "living")
	require.Eventually(t, func() bool { _, all := own.directory.Members(); return len(all) == 3 }, 2*time.Second, 5*time.Millisecond)
	borrow := func(name, program string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := own.client.Borrow(ctx, name, program, account.Borrowing{Turn: budget.FullTurn(1), Total: 10, Parts: []string{"p"}})
		return err
	}
	require.NoError(t, borrow("living", "p"))
	ended.server.CloseClientConnections()
	ended.server.Close()
	require.Error(t, borrow("ended", "p"))
	assert.False(t, own.directory.Isolated(), "one has terminated")
	require.Error(t, borrow("living", "slow"))
	assert.False(t, own.directory.Isolated(), "the other only timed out")
	living.server.CloseClientConnections()
	living.server.Close()
	require.Eventually(t, func() bool { _ = borrow("living", "p"); return own.directory.Isolated() }, 3*time.Second, 20*time.Millisecond)
}

// Guards against budget tokens that are never released: a row was written
// through another instance, the response was lost, and the write was treated as
// rejected.
func TestRelayedWriteWithoutResponseIsUnanswered(t *testing.T) {
	memory := storetest.New()
	shut, mute := start(t, memory, "shut"), start(t, memory, "mute")
	time.Sleep(50 * time.Millisecond) // lets the instances find each other
	shut.door.SetMode(platformtest.ServiceUnavailable)
	mute.door.SetMode(platformtest.DropResponses)
	err := shut.put(t)
	assert.True(t, store.Is(err, store.FailureUnanswered), "%v", err)
	row, rowErr := store.Get(context.Background(), memory, key)
	require.NoError(t, rowErr)
	assert.Equal(t, shut.owner, string(row.Value), "the write is applied")
}

// Guards against turns refused as held while the holder is running. An instance
// restarts, and a write of its previous incarnation, whose response was lost,
// is applied after the restart: the row then names an owner that no longer
// exists.
func TestInstanceRejoinsWhenEntryOverwritten(t *testing.T) {
	memory := storetest.New()
	asker, holder := start(t, memory, "asker"), start(t, memory, "holder")
	time.Sleep(50 * time.Millisecond)
	key := store.Key{Table: "entries", Name: "holder"}
	row, err := store.Get(context.Background(), memory, key)
	require.NoError(t, err)
	stale := bytes.Replace(row.Value, []byte("holder-1"), []byte("holder-0"), 1)
	_, err = memory.Commit(context.Background(), store.Transaction{Puts: []store.Put{{Key: key, Value: stale}}})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		asker.client.ReleaseUnused(context.Background(), "p", []string{"holder-1.1"})
		return holder.releaseRequested.Load() != nil
	}, 2*time.Second, 20*time.Millisecond)
}

func TestGiveBackCallsAccountOwner(t *testing.T) {
	memory := storetest.New()
	asker, holder, other := start(t, memory, "asker"), start(t, memory, "holder"), start(t, memory, "other")
	time.Sleep(50 * time.Millisecond)
	assert.ElementsMatch(t, []string{"gone-1.2", "odd"}, asker.client.ReleaseUnused(context.Background(), "p", []string{"holder-1.7", "gone-1.2", "odd"}))
	require.NotNil(t, holder.releaseRequested.Load())
	assert.Equal(t, "p", *holder.releaseRequested.Load())
	assert.Nil(t, other.releaseRequested.Load())
	require.NoError(t, holder.directory.Leave(context.Background(), memory))
	holder.releaseRequested.Store(nil)
	require.Eventually(t, func() bool {
		holder.releaseRequested.Store(nil)
		asker.client.ReleaseUnused(context.Background(), "p", []string{"holder-1.7"})
		return holder.releaseRequested.Load() == nil
	}, time.Second, 10*time.Millisecond, "an instance that left is not called")
}

// Guards against programs that have accounts at many instances while one
// instance is slow. The timeout of requests for turns is short; an instance
// that exceeded it was treated as unreachable and was no program's home for a
// second.
func TestTurnsTimeoutDoesNotExcludeHome(t *testing.T) {
	memory := storetest.New()
	a, _ := start(t, memory, "a"), start(t, memory, "b")
	program := ""
	require.Eventually(t, func() bool {
		for n := range 100 {
			if id := fmt.Sprint("p", n); a.client.Home(id) == "b" {
				program = id
			}
		}
		return program != ""
	}, time.Second, 5*time.Millisecond)
	held, err := a.client.Turns(context.Background(), "b", "t1")
	require.NoError(t, err)
	assert.Equal(t, []archive.EncodedTurn{{ID: "t1", Rows: [][]byte{[]byte("row 0"), []byte("row 1")}}}, held)
	held, err = a.client.Turns(context.Background(), "b", "t2")
	require.NoError(t, err)
	assert.Empty(t, held)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	var unreached *entrypeer.TransportError
	_, err = a.client.Turns(ctx, "b", "slow")
	require.ErrorAs(t, err, &unreached)
	assert.Equal(t, "b", a.client.Home(program))
	var absent *entrypeer.UnavailableError
	_, err = a.client.Turns(context.Background(), "nobody", "t1")
	require.ErrorAs(t, err, &absent)
}

// All instances agree on the home of a program, and programs are spread over
// all of them. The home grants a loan or reports why not, and is repaid. An
// unreachable instance is no program's home for a second.
func TestHomeGrantsLoans(t *testing.T) {
	memory := storetest.New()
	a, b := start(t, memory, "a"), start(t, memory, "b")
	ctx := context.Background()
	program, parts := "", []string{"conversation"}
	require.Eventually(t, func() bool {
		for n := range 100 {
			if id := fmt.Sprint("p", n); a.client.Home(id) == "b" {
				program = id
			}
		}
		return program != "" && b.client.Home(program) == ""
	}, time.Second, 5*time.Millisecond)
	loan, err := a.client.Borrow(ctx, "b", program, account.Borrowing{Turn: budget.InitialPart(567), Total: 9900, Parts: parts})
	require.NoError(t, err)
	assert.Equal(t, []account.Place{{Part: "conversation", Endpoint: "e1", Tokens: 5000}}, loan.Places)
	require.NoError(t, a.client.Repay(ctx, "b", []account.Repayment{{Loan: loan.ID, Spent: 300}}))
	assert.Equal(t, int64(300), b.repaidTokens.Load())
	var spent *account.SpentError
	_, err = a.client.Borrow(ctx, "b", program, account.Borrowing{Turn: budget.InitialPart(567), Total: 100, Parts: parts})
	require.ErrorAs(t, err, &spent)
	var held *account.HeldError
	_, err = a.client.Borrow(ctx, "b", "held", account.Borrowing{Turn: budget.InitialPart(567), Total: 9900, Parts: parts})
	require.ErrorAs(t, err, &held)
	var lend *entrypeer.BorrowError
	_, err = a.client.Borrow(ctx, "b", "unknown", account.Borrowing{Turn: budget.InitialPart(567), Total: 9900, Parts: parts})
	require.ErrorAs(t, err, &lend)
	_, err = a.client.Borrow(ctx, "nobody", program, account.Borrowing{Turn: budget.InitialPart(567), Total: 9900, Parts: parts})
	require.ErrorAs(t, err, &lend)
	assert.Equal(t, "b", a.client.Home(program))
	_, err = a.client.Borrow(ctx, "b", "stopped", account.Borrowing{Turn: budget.InitialPart(567), Total: 9900, Parts: parts})
	require.ErrorAs(t, err, &lend)
	require.NoError(t, a.client.Repay(ctx, "b", []account.Repayment{{Loan: loan.ID}}))
	assert.Empty(t, a.client.Home(program), "the home responds but grants no loans, so all instances pick another")
	b.server.Close()
	_, err = a.client.Borrow(ctx, "b", program, account.Borrowing{Turn: budget.InitialPart(567), Total: 9900, Parts: parts})
	require.Error(t, err)
	assert.Empty(t, a.client.Home(program))
}

// Guards against programs refused as spent or held while the store is slow,
// though they have used a third of their budget. A home grants a loan after the
// borrower has given up waiting; the loan is never repaid and counted as spent.
func TestLoanRepaidWhenBorrowerGaveUp(t *testing.T) {
	memory := storetest.New()
	a, b := start(t, memory, "a"), start(t, memory, "b")
	known := false
	require.Eventually(t, func() bool {
		for n := range 100 {
			known = known || a.client.Home(fmt.Sprint("p", n)) == "b"
		}
		return known
	}, time.Second, 5*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := a.client.Borrow(ctx, "b", "slow", account.Borrowing{Turn: budget.InitialPart(567), Total: 9900, Parts: []string{"conversation"}})
	require.Error(t, err)
	assert.Eventually(t, func() bool { return b.repaidLoans.Load() == 1 }, time.Second, 5*time.Millisecond)
	assert.Zero(t, b.repaidTokens.Load())
}

// Guards against a program that waits for tokens of a crashed instance. The
// instance restarts under a new owner name, which must mark the previous
// incarnation as gone. An incarnation later than the recorded one, and one of
// an unknown instance, may still be running.
func TestReplacedIncarnationIsGone(t *testing.T) {
	memory := storetest.New()
	began := time.UnixMilli(1_764_720_000_000)
	older, known, newer := entrypeer.NewOwner("m-1", began), entrypeer.NewOwner("m-1", began.Add(time.Second)), entrypeer.NewOwner("m-1", began.Add(2*time.Second))
	a := start(t, memory, "a")
	value, err := codec.Marshal(&entrypeer.Instance{Owner: known, Address: "127.0.0.1:1", DataCentre: "a"})
	require.NoError(t, err)
	_, err = memory.Commit(context.Background(), store.Transaction{Puts: []store.Put{{Key: store.Key{Table: "entries", Name: store.Name("m-1")}, Value: value}}})
	require.NoError(t, err)
	assert.Eventually(t, func() bool { return a.client.OwnerTerminated(older + ".1") }, time.Second, 5*time.Millisecond)
	for _, running := range []string{known, newer, entrypeer.NewOwner("m-2", began), "m-1", ""} {
		assert.False(t, a.client.OwnerTerminated(running+".1"), running)
	}
}

// Guards against a program of one turn refused as spent for eight seconds after
// a store outage, though it has spent nothing. One instance grants the turn but
// cannot rebuild the conversation; the program moves to another instance, to
// whose calls the first had repeatedly responded late while both waited for the
// store. For up to 16 seconds an instance that was late was not asked to
// release its tokens.
func TestGiveBackCallsInstanceAfterTimeouts(t *testing.T) {
	memory := storetest.New()
	a, b := start(t, memory, "a"), start(t, memory, "b")
	require.Eventually(t, func() bool {
		_, all := a.directory.Members()
		return len(all) == 2
	}, time.Second, 5*time.Millisecond)
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_, err := a.client.Borrow(ctx, "b", "slow", account.Borrowing{Turn: budget.FullTurn(567), Total: 9900, Parts: []string{"conversation"}})
		cancel()
		require.Error(t, err)
	}
	a.client.ReleaseUnused(context.Background(), "p", []string{b.owner + ".1"})
	if releaseRequested := b.releaseRequested.Load(); assert.NotNil(t, releaseRequested) {
		assert.Equal(t, "p", *releaseRequested)
	}
	time.Sleep(1100 * time.Millisecond) // excluded as a home for one second, no longer
	homes := map[string]bool{}
	for n := range 100 {
		homes[a.client.Home(fmt.Sprint("p", n))] = true
	}
	assert.True(t, homes["b"])
}

// Guards against load added to an overloaded partition: a call waiting in it
// was repeated through two other instances although the direct connection
// served other calls.
func TestBusyPartitionIsNotRelayed(t *testing.T) {
	memory := storetest.New()
	own, other := start(t, memory, "own"), start(t, memory, "other")
	time.Sleep(50 * time.Millisecond) // lets the instances find each other
	own.door.SetModeForPartitions(platformtest.IgnoreRequests, func(partition string) bool { return partition == "busy" })
	ctx, cancel := context.WithCancel(context.Background())
	answered := make(chan error, 1)
	go func() {
		defer func() { answered <- nil }()
		for ctx.Err() == nil {
			_, _ = own.relay.Read(ctx, store.Range{Table: "t", Partition: "p"}) // fails once ctx has ended
			time.Sleep(20 * time.Millisecond)
		}
	}()
	calls := other.door.RequestCount()
	_, err := own.relay.Commit(context.Background(), store.Transaction{Puts: []store.Put{{Key: store.Key{Table: "t", Partition: "busy", Name: "a"}, Value: []byte("v")}}})
	cancel()
	require.NoError(t, <-answered)
	assert.True(t, store.Is(err, store.FailureUnanswered), "%v", err)
	assert.LessOrEqual(t, other.door.RequestCount()-calls, int64(1), "no call but its own watch")
}
