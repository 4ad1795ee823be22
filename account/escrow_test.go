package account_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// instance is one incarnation of an entry instance. Its peers are the
// instances that it lists as members; it can reach those that are up.
type instance struct {
	*account.Manager
	name  string
	owner string
	up    bool
	peers []string
	// isFrozen is set while the instance neither runs nor responds.
	isFrozen bool
	// callFails returns whether a call between instances fails. It is called
	// before the call is executed and again before its response is returned.
	callFails func() bool
	cluster   *testCluster
}

// testCluster holds the instances of a test over one store.
type testCluster struct {
	store        store.Store
	clock        clock.Clock
	all          []*instance
	incarnations int
	// detectsReplacement is whether instances detect which incarnations were
	// replaced by later ones.
	detectsReplacement bool
	// hasWitnesses is whether escrows have witnesses.
	hasWitnesses bool
	// interfere, unless nil, is called between the record of a grant and the grant. late
	// holds calls that are delivered later.
	interfere func()
	late      []func()
}

// deliverLate delivers some of the late calls.
func (cluster *testCluster) deliverLate(rng *rand.Rand) {
	for len(cluster.late) > 0 && rng.IntN(4) == 0 {
		cluster.late[0]()
		cluster.late = cluster.late[1:]
	}
}

// shardKey returns the key of a shard's row.
func shardKey(shard int) store.Key {
	return store.Key{Table: "escrows", Partition: fmt.Sprintf("program-%02d", shard%48), Name: fmt.Sprintf("shard-%03d", shard)}
}

// readEscrow returns the row of a shard and the escrow in it.
func readEscrow(ctx context.Context, s store.Store, shard int) (store.Row, budget.Escrow, error) {
	row, err := store.Get(ctx, s, shardKey(shard))
	if err != nil {
		return row, budget.Escrow{}, err
	}
	escrow, err := budget.DecodeEscrow(row.Value)
	return row, escrow, err
}

// takeOverHeld has this instance release the escrow of a shard if it is the witness.
func (m *instance) takeOverHeld(ctx context.Context, s store.Store, shard int) error {
	_, escrow, err := readEscrow(ctx, s, shard)
	if err != nil {
		return err
	}
	return m.Manager.TakeOver(ctx, escrow.Witness, escrow.Account, []int{shard})
}

// afterDepartureGrace exceeds the time for which an instance that left still
// counts as a home.
const afterDepartureGrace = 31 * time.Second

var errUnreachable = errors.New("instance is unreachable")

func (cluster *testCluster) start(name string, peers ...string) *instance {
	cluster.incarnations++
	m := &instance{name: name, owner: fmt.Sprintf("%s-%d", name, cluster.incarnations), up: true, peers: peers, cluster: cluster, callFails: neverFails}
	m.Manager = cluster.newManager(m, m)
	if cluster.hasWitnesses {
		m.UseWitnesses(m)
	}
	cluster.all = append(cluster.all, m)
	return m
}

// newManager returns a Manager of an instance that reaches the homes of programs by lenders.
func (cluster *testCluster) newManager(m *instance, lenders account.Lenders) *account.Manager {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return account.NewManager(cluster.store, m.owner, m, lenders, cluster.clock, log, tally.NoopScope)
}

// running returns the incarnation of a name that is up, or nil.
func (cluster *testCluster) running(name string) *instance {
	for _, m := range cluster.all {
		if m.up && m.name == name {
			return m
		}
	}
	return nil
}

func (m *instance) Members() (string, []string) { return m.name, append(slices.Clone(m.peers), m.name) }

func (m *instance) Home(program string) string {
	if home := budget.Home(program, append(slices.Clone(m.peers), m.name)); home != m.name {
		return home
	}
	return ""
}

// OwnerTerminated reports whether a later incarnation of the account's owner is up, if
// cluster.detectsReplacement is set.
func (m *instance) OwnerTerminated(account string) bool {
	if !m.cluster.detectsReplacement {
		return false
	}
	for _, other := range m.cluster.all {
		if strings.HasPrefix(account, other.owner+".") {
			now := m.cluster.running(other.name)
			return now != nil && now != other
		}
	}
	return false
}

func (m *instance) ReleaseUnused(ctx context.Context, program string, accounts []string) (unanswered []string) {
	for _, account := range accounts {
		other := m.cluster.incarnation(account[:strings.LastIndexByte(account, '.')])
		if other == m {
			continue
		}
		if other == nil || m.callFails() {
			unanswered = append(unanswered, account)
			continue
		}
		_ = other.Manager.ReleaseUnused(ctx, program) // the row shows what was not released
	}
	return unanswered
}

// incarnation returns the incarnation of the given owner name if it responds, or nil.
func (cluster *testCluster) incarnation(owner string) *instance {
	for _, m := range cluster.all {
		if m.up && !m.isFrozen && m.owner == owner {
			return m
		}
	}
	return nil
}

// Witness implements account.Witnesses. The witness is the present incarnation of the
// first other instance by rendezvous hashing.
func (m *instance) Witness(avoid func(owner string) bool) string {
	owner, best := "", uint64(0)
	for _, name := range m.peers {
		other := m.cluster.running(name)
		if score := budget.Score(budget.Shard(m.name), name); other != nil && other != m && !avoid(other.owner) && score > best {
			owner, best = other.owner, score
		}
	}
	return owner
}

func (m *instance) IsCurrent(owner string) bool {
	for _, name := range m.peers {
		if other := m.cluster.running(name); other != nil && other.owner == owner {
			return true
		}
	}
	return false
}

func (m *instance) RecordGrant(_ context.Context, witness string, grant account.WitnessedGrant) error {
	other := m.cluster.incarnation(witness)
	if other == nil || m.callFails() {
		m.cluster.late = append(m.cluster.late, func() {
			for _, other := range m.cluster.all {
				if other.up && !other.isFrozen {
					_ = other.Manager.RecordGrant(witness, grant)
				}
			}
		})
		return errUnreachable
	}
	err := other.Manager.RecordGrant(witness, grant)
	if m.cluster.interfere != nil {
		m.cluster.interfere()
	}
	if m.callFails() {
		return errUnreachable
	}
	return err
}

func (m *instance) Announce(_ context.Context, witness, holder string, shards []account.WitnessedShard) error {
	other := m.cluster.incarnation(witness)
	if other == nil || m.callFails() {
		return errUnreachable
	}
	return other.Manager.Announce(witness, holder, shards)
}

func (m *instance) DropGrants(_ context.Context, witness string, grants []account.WitnessedGrant) error {
	other := m.cluster.incarnation(witness)
	if other == nil || m.callFails() {
		return errUnreachable
	}
	return other.Manager.DropGrants(witness, grants)
}

func (m *instance) TakeOver(ctx context.Context, witness, holder string, shards []int) error {
	other := m.cluster.incarnation(witness)
	if other == nil || m.callFails() {
		return errUnreachable
	}
	err := other.Manager.TakeOver(ctx, witness, holder, shards)
	if m.callFails() {
		return errUnreachable
	}
	return err
}

func (m *instance) Borrow(ctx context.Context, name, program string, borrowing account.Borrowing) (account.Loan, error) {
	home := m.cluster.running(name)
	if home == nil || home.isFrozen || m.callFails() {
		return account.Loan{}, errUnreachable
	}
	loan, err := home.Lend(ctx, program, borrowing)
	if m.callFails() {
		return account.Loan{}, errUnreachable
	}
	return loan, err
}

func (m *instance) Repay(_ context.Context, name string, repayments []account.Repayment) error {
	home := m.cluster.running(name)
	if home == nil || m.callFails() {
		return errUnreachable
	}
	home.SettleLoans(repayments)
	return nil
}

func (m *instance) acquire(t *testing.T) {
	t.Helper()
	require.NoError(t, m.AcquireOnce(context.Background(), m, false))
}

// programWithHome returns a program whose home among names is name; offset
// selects different programs.
func programWithHome(offset int, name string, names ...string) string {
	for n := offset * 1000; ; n++ {
		if program := fmt.Sprint("p", n); budget.Home(program, names) == name {
			return program
		}
	}
}

func storeRefuses(string, string) storetest.Fault { return storetest.Refuse }

func storeServes(string, string) storetest.Fault { return storetest.None }

// Guards against programs that cannot start while the store is unavailable
// because their first turn needs a write. In a day with three outages, 781 of
// 938 refusals were such programs.
func TestProgramsStartDuringStoreOutage(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	a, b := cluster.start("a", "b"), cluster.start("b", "a")
	for _, m := range cluster.all {
		m.acquire(t)
		go m.Manager.Repay(ctx, make(chan error, 1))
	}
	before := memory.Commits()
	memory.SetFault(storeRefuses)
	// Three turns of at most 567 tokens that each spend a third, under a
	// budget of 1.6 times their total maximum.
	for turn, through := range []*instance{a, b, a} {
		for n := range 50 {
			reservation, err := through.Reserve(ctx, fmt.Sprint("p", n), 567, 2720)
			require.NoError(t, err, "program %d, turn %d", n, turn)
			reservation.Settle(189)
		}
		time.Sleep(100 * time.Millisecond) // until the loans are repaid
	}
	memory.SetFault(storeServes)
	assert.Equal(t, before, memory.Commits(), "programs need no write of their own")
}

// Guards against a program that spends the same tokens twice. Its home granted
// tokens by escrow and crashed, so the store has no record of the program, and
// another instance or the home's next incarnation did not count what the
// escrow may have granted.
func TestEscrowOfCrashedHomeCountsAsSpent(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	a, b := cluster.start("a", "b"), cluster.start("b", "a")
	a.acquire(t)
	b.acquire(t)
	program := programWithHome(0, "a", "a", "b")
	reservation, err := reserveInFull(ctx, a.Manager, program, 300, 1000)
	require.NoError(t, err)
	reservation.Settle(300)
	a.up = false
	_, err = reserveInFull(ctx, b.Manager, program, 701, 1000)
	var held *account.HeldError
	require.ErrorAs(t, err, &held, "a third of the budget may be spent")
	_, err = reserveInFull(ctx, b.Manager, program, 700, 1000)
	require.NoError(t, err, "a program with a single turn")
	restarted := cluster.start("a", "b")
	var noEscrow *account.NoEscrowError
	require.ErrorAs(t, restarted.AcquireOnce(ctx, restarted, false), &noEscrow)
	_, err = reserveInFull(ctx, restarted.Manager, programWithHome(1, "a", "a", "b"), 700, 1000)
	require.NoError(t, err, "two thirds remain, granted by a row")
	_, err = reserveInFull(ctx, restarted.Manager, programWithHome(2, "a", "a", "b"), 701, 1000)
	require.ErrorAs(t, err, &held)
}

// Guards against callers that are told to wait for tokens that nobody can
// release: the home granted them and then crashed. Once a later incarnation of
// the home is detected, its grant is lost; before that, the home may only be
// partitioned. After a power loss, 38 programs that loop sent 3,100 such turns
// in 20 s, each with a read or two.
func TestGrantOfReplacedIncarnationIsLost(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}, detectsReplacement: true}
	a, b := cluster.start("a", "b"), cluster.start("b", "a")
	a.acquire(t)
	b.acquire(t)
	program := programWithHome(0, "a", "a", "b")
	first, err := reserveInFull(ctx, a.Manager, program, 100, 1000)
	require.NoError(t, err)
	first.Settle(100)
	a.up = false
	_, err = reserveInFull(ctx, b.Manager, program, 701, 1000)
	var held *account.HeldError
	require.ErrorAs(t, err, &held, "a may only be partitioned")
	restarted := cluster.start("a", "b")
	second, err := reserveInFull(ctx, restarted.Manager, program, 600, 1000)
	require.NoError(t, err)
	second.Settle(600)
	var reads atomic.Int64
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "read" {
			reads.Add(1)
		}
		return storetest.None
	})
	for range 10 {
		_, err = reserveInFull(ctx, b.Manager, program, 401, 1000)
		var spent *account.SpentError
		require.ErrorAs(t, err, &spent)
	}
	assert.LessOrEqual(t, reads.Load(), int64(1))
	_, err = reserveInFull(ctx, b.Manager, program, 400, 1000)
	require.NoError(t, err, "the remaining tokens and a's lost grant, which is less than one turn")
	_, err = reserveInFull(ctx, b.Manager, program, 1, 1000)
	require.Error(t, err)
}

// Guards against callers that are told to wait for tokens that only a replaced
// incarnation holds, because a running instance also holds tokens, all of them
// in use.
func TestReplacedIncarnationIsLostBesideRunningHolder(t *testing.T) {
	ctx := context.Background()
	cluster := &testCluster{store: storetest.New(), clock: clock.Real{}, detectsReplacement: true}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		cluster.start(name, names...).acquire(t)
	}
	a, b, c := cluster.running("a"), cluster.running("b"), cluster.running("c")
	program := programWithHome(0, "a", names...)
	first, err := reserveInFull(ctx, a.Manager, program, 100, 1000)
	require.NoError(t, err)
	first.Settle(100)
	a.up = false
	cluster.start("a", names...)
	b.callFails = func() bool { return true } // b grants from its local account
	second, err := reserveInFull(ctx, b.Manager, program, 400, 1000)
	require.NoError(t, err)
	b.callFails = neverFails
	_, err = reserveInFull(ctx, c.Manager, program, 601, 1000)
	var spent *account.SpentError
	require.ErrorAs(t, err, &spent, "b uses 400, and a's lost 300 may exceed the budget by no more than they are")
	second.Settle(50)
	third, err := reserveInFull(ctx, c.Manager, program, 350, 1000)
	require.NoError(t, err, "b releases what its turn did not use")
	third.Settle(350)
}

// Guards against a rolling restart that halves the budgets of programs and
// lets none start without a write. Stopped instances had written all that they
// granted, but their escrows stayed in the store.
func TestPlannedStopReleasesEscrow(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		cluster.start(name, names...).acquire(t)
	}
	known := programWithHome(0, "a", names...)
	reservation, err := reserveInFull(ctx, cluster.running("a").Manager, known, 300, 1000)
	require.NoError(t, err)
	reservation.Settle(300)
	for range 3 {
		for _, name := range names {
			old := cluster.running(name)
			require.NoError(t, old.Stop(ctx))
			old.up = false
			cluster.start(name).acquire(t)
		}
	}
	before := memory.Commits()
	memory.SetFault(storeRefuses)
	_, err = reserveInFull(ctx, cluster.running("a").Manager, programWithHome(1, "a", names...), 300, 1000)
	require.NoError(t, err, "the new escrow grants as much again")
	_, err = reserveInFull(ctx, cluster.running("a").Manager, known, 300, 1000)
	require.Error(t, err, "its row cannot be read")
	memory.SetFault(storeServes)
	_, err = reserveInFull(ctx, cluster.running("a").Manager, known, 700, 1000)
	require.NoError(t, err)
	_, err = reserveInFull(ctx, cluster.running("a").Manager, known, 1, 1000)
	var spent *account.SpentError
	require.ErrorAs(t, err, &spent)
	assert.LessOrEqual(t, memory.Commits(), before+2, "only the row of that program")
}

// Guards against a program that spends the same tokens twice after a planned
// stop of its home. The store rejected some of the home's writes during the
// stop, and the escrow was released although a program that it had granted
// tokens had no row yet.
func TestStopKeepsEscrowUntilAllRowsAreWritten(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	m := cluster.start("a")
	m.acquire(t)
	for n := range 60 {
		turn, err := reserveInFull(ctx, m.Manager, fmt.Sprint("p", n), 300, 1000)
		require.NoError(t, err)
		turn.Settle(300)
	}
	writes := 0
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			writes++
			if writes > 1 {
				return storetest.Refuse
			}
		}
		return storetest.None
	})
	var left *account.UnreleasedBudgetError
	require.ErrorAs(t, m.Stop(ctx), &left)
	_, err := reserveInFull(ctx, m.Manager, "another", 500, 1000)
	require.Error(t, err, "a stopped instance grants nothing by escrow")
	m.up = false
	memory.SetFault(storeServes)
	restarted := cluster.start("a")
	var noEscrow *account.NoEscrowError
	require.ErrorAs(t, restarted.AcquireOnce(ctx, restarted, false), &noEscrow, "the earlier escrow is still in the store")
	for n := range 60 {
		_, err := reserveInFull(ctx, restarted.Manager, fmt.Sprint("p", n), 701, 1000)
		assert.Error(t, err, "program %d", n)
	}
}

// Guards against a program that spends the same tokens twice. An instance
// transfers a shard to a new home and then crashes, and the new home acquired
// the shard as if nothing had been granted.
func TestShardTransferPreservesUsage(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	a := cluster.start("a")
	a.acquire(t)
	program := programWithHome(0, "b", "a", "b")
	turn, err := reserveInFull(ctx, a.Manager, program, 300, 1000)
	require.NoError(t, err)
	turn.Settle(300)
	b := cluster.start("b", "a")
	var noEscrow *account.NoEscrowError
	require.ErrorAs(t, b.AcquireOnce(ctx, b, false), &noEscrow, "the shards are not transferred yet")
	a.peers = []string{"b"}
	a.acquire(t)
	a.up = false
	b.peers = []string{"a", "c"} // a membership change triggers another attempt
	b.acquire(t)
	_, err = reserveInFull(ctx, b.Manager, program, 701, 1000)
	var spent *account.SpentError
	require.ErrorAs(t, err, &spent)
	_, err = reserveInFull(ctx, b.Manager, program, 700, 1000)
	require.NoError(t, err)
	memory.SetFault(storeRefuses)
	_, err = reserveInFull(ctx, b.Manager, programWithHome(1, "b", "a", "b", "c"), 300, 1000)
	require.NoError(t, err, "new programs start at their new home")
}

// Guards against a shard transfer that releases the escrow although the store
// rejected the rows of some of its programs, which could then spend the same
// tokens twice.
func TestShardTransferWaitsForAllRows(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	a := cluster.start("a")
	a.acquire(t)
	for n := range 60 {
		turn, err := reserveInFull(ctx, a.Manager, programWithHome(n, "b", "a", "b"), 300, 1000)
		require.NoError(t, err)
		turn.Settle(300)
	}
	var writes atomic.Int64
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" && writes.Add(1) > 1 {
			return storetest.Refuse
		}
		return storetest.None
	})
	a.peers = []string{"b"}
	var left *account.UnreleasedBudgetError
	require.ErrorAs(t, a.AcquireOnce(ctx, a, false), &left)
	a.up = false
	memory.SetFault(storeServes)
	b := cluster.start("b", "a")
	var noEscrow *account.NoEscrowError
	require.ErrorAs(t, b.AcquireOnce(ctx, b, false), &noEscrow)
	for n := range 60 {
		_, err := reserveInFull(ctx, b.Manager, programWithHome(n, "b", "a", "b"), 701, 1000)
		assert.Error(t, err, "program %d", n)
	}
}

// Guards against concurrent starts that block each other and the programs'
// writes. When all 84 instances acquired by a transaction over all partitions
// on the condition of one shared row, the first start took seven seconds, and
// programs waited 1.1 s for their first event for a second after a power loss.
// Each instance now writes only its own shards, so that the transactions grow
// with the instances and not with their square.
func TestConcurrentStartsUseOneTransactionEach(t *testing.T) {
	for _, instances := range []int{30, 84, 300} {
		memory := storetest.New()
		var calls atomic.Int64
		memory.SetFault(func(op, _ string) storetest.Fault {
			if op == "commit" {
				calls.Add(1)
			}
			return storetest.None
		})
		cluster := &testCluster{store: memory, clock: clock.Real{}}
		var names []string
		for n := range instances {
			names = append(names, fmt.Sprint("i", n))
		}
		var starts sync.WaitGroup
		for _, name := range names {
			m := cluster.start(name, names...)
			starts.Go(func() {
				_ = m.AcquireOnce(context.Background(), m, false) // with 300 instances, some are the home of no shard
			})
		}
		starts.Wait()
		assert.LessOrEqual(t, calls.Load(), int64(instances), "one transaction per instance")
		memory.SetFault(storeRefuses)
		for n := range 100 {
			program := fmt.Sprint("p", n)
			_, err := reserveInFull(context.Background(), cluster.running(budget.Home(program, names)).Manager, program, 300, 1000)
			assert.NoError(t, err)
		}
	}
}

// Guards against restarted instances that keep reading shards of their own
// terminated incarnations, which never release them. After a power loss, a
// tenth of all store calls were such reads, after 2, 4, 8 seconds and so on.
// Shards of an incarnation that may still run are read again.
func TestEscrowsOfTerminatedIncarnationsAreNotPolled(t *testing.T) {
	for _, ended := range []bool{true, false} {
		memory, clk := storetest.New(), clock.NewFake(time.Unix(1e9, 0))
		cluster := &testCluster{store: memory, clock: clk, detectsReplacement: ended}
		first := cluster.start("a")
		first.acquire(t)
		first.up = false
		next := cluster.start("a")
		var reads atomic.Int32
		memory.SetFault(func(op, _ string) storetest.Fault {
			if op == "read" {
				reads.Add(1)
			}
			return storetest.None
		})
		for range 20 {
			var noEscrow *account.NoEscrowError
			if err := next.AcquireOnce(context.Background(), next, false); err != nil {
				require.ErrorAs(t, err, &noEscrow)
			}
			clk.Advance(10 * time.Second)
		}
		assert.Equal(t, ended, reads.Load() == 0, "%d reads", reads.Load())
	}
}

// Guards against a rolling restart that moves the shards of each restarting
// instance to other homes and back, during which programs cannot start without
// a write. An instance that is absent for a moment must keep its shards.
func TestShardsStayWithRestartingInstance(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	clk := clock.NewFake(time.Unix(1000, 0))
	cluster := &testCluster{store: memory, clock: clk}
	a, b := cluster.start("a", "b"), cluster.start("b", "a")
	a.acquire(t)
	b.acquire(t)
	program := programWithHome(0, "a", "a", "b")
	require.NoError(t, a.Stop(ctx))
	a.up = false
	b.peers = nil
	clk.Advance(10 * time.Second)
	b.acquire(t)
	restarted := cluster.start("a", "b")
	restarted.acquire(t)
	memory.SetFault(storeRefuses)
	_, err := reserveInFull(ctx, restarted.Manager, program, 300, 1000)
	require.NoError(t, err)
	memory.SetFault(storeServes)
	require.NoError(t, restarted.Stop(ctx))
	restarted.up = false
	clk.Advance(afterDepartureGrace)
	b.acquire(t)
	memory.SetFault(storeRefuses)
	_, err = reserveInFull(ctx, b.Manager, programWithHome(1, "a", "a", "b"), 300, 1000)
	require.NoError(t, err, "an instance that stays absent has left")
}

// Guards against a stream that breaks off at two fifths when its program's
// home is stopped, although the budget is sufficient. The home lends a partial
// grant, stops and writes the program's row, and another account has to grant
// the remainder. The remainder was counted twice, in the row of the stopped
// home and at the account that granted it.
func TestStreamContinuesAfterPlannedStopOfHome(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	names := []string{"a", "b"}
	for _, name := range names {
		cluster.start(name, names...).acquire(t)
	}
	a, b := cluster.running("a"), cluster.running("b")
	program := programWithHome(0, "a", names...)
	first, err := reserveInFull(ctx, a.Manager, program, 60, 960)
	require.NoError(t, err)
	first.Settle(60)
	memory.SetFault(storeRefuses) // the turn begins with a partial grant
	turn, err := b.Reserve(ctx, program, 567, 960)
	require.NoError(t, err)
	require.Less(t, turn.GrantedTokens(), int64(567))
	memory.SetFault(storeServes)
	require.Equal(t, "a", turn.Home())
	require.NoError(t, a.Stop(ctx))
	a.up = false
	require.NoError(t, turn.Extend(ctx))
	assert.EqualValues(t, 567, turn.GrantedTokens())
}

// Guards against a stream that breaks off because its program's home stopped
// and its remainder was granted to another turn.
func TestStoppedHomeReservesRemainderForStreams(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		cluster.start(name, names...).acquire(t)
	}
	a, b, c := cluster.running("a"), cluster.running("b"), cluster.running("c")
	const maxTokens, total = 567, 1500
	program := programWithHome(0, "a", names...)
	turn := beginPartially(t, memory, b, program, maxTokens, total)
	require.NoError(t, a.Stop(ctx))
	a.up = false

	second, err := reserveInFull(ctx, c.Manager, program, maxTokens, total)
	require.NoError(t, err)
	var spent *account.SpentError
	_, err = reserveInFull(ctx, c.Manager, program, maxTokens, total)
	require.ErrorAs(t, err, &spent, "the budget is too small for a third turn beside the two in flight")

	require.NoError(t, turn.Extend(ctx))
	require.EqualValues(t, maxTokens, turn.GrantedTokens())
	turn.Settle(maxTokens)
	second.Settle(maxTokens)
	last, err := reserveInFull(ctx, c.Manager, program, total-2*maxTokens, total)
	require.NoError(t, err, "the remainder granted to the stream is not counted twice")
	last.Settle(total - 2*maxTokens)
}

// Guards against a broken stream when a program that loops sends many turns at
// the end of its budget. Its home read the program's row for each turn in
// sequence, 20 ms each, so borrowing instances timed out after 400 ms and
// granted by rows of their own what the turn in flight still needed. Turns
// that already wait must use the recorded result, too.
func TestConcurrentTurnsOfSpentProgramReadRowOnce(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	m := cluster.start("a")
	m.acquire(t)
	first, err := reserveInFull(ctx, m.Manager, "p", 600, 1000)
	require.NoError(t, err)
	defer first.Settle(600)
	var reads atomic.Int64
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "read" {
			reads.Add(1)
		}
		return storetest.None
	})
	var turns sync.WaitGroup
	for range 30 {
		turns.Go(func() {
			_, err := m.Reserve(ctx, "p", 500, 1000)
			var spent *account.SpentError
			assert.ErrorAs(t, err, &spent)
		})
	}
	turns.Wait()
	assert.LessOrEqual(t, reads.Load(), int64(2))
}

// Guards against streams that break off at two fifths although the store is
// available. The home began a turn with a partial grant of its escrow, and an
// instance that could not reach the home granted the remainder to another turn
// by a row. While the store responds, a turn is granted in full or not begun.
func TestTurnGrantedInFullWhileStoreAvailable(t *testing.T) {
	ctx := context.Background()
	cluster := &testCluster{store: storetest.New(), clock: clock.Real{}}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		cluster.start(name, names...).acquire(t)
	}
	program := programWithHome(0, "a", names...)
	for _, name := range names {
		cluster.running(name).callFails = func() bool { return name == "c" }
	}
	first, err := cluster.running("b").Reserve(ctx, program, 500, 1000)
	require.NoError(t, err)
	require.Equal(t, "a", first.Home())
	assert.EqualValues(t, 500, first.GrantedTokens())
	_, err = cluster.running("c").Reserve(ctx, program, 600, 1000)
	var held *account.HeldError
	require.ErrorAs(t, err, &held, "the turn is not begun; a, which does not respond, may have used less")
	require.NoError(t, first.Extend(ctx))
}

// unansweringStore is a store that does not respond to writes.
type unansweringStore struct{ store.Store }

func (s unansweringStore) Commit(ctx context.Context, _ store.Transaction) (uint64, error) {
	<-ctx.Done()
	return 0, store.NewError(store.FailureUnanswered, "commit", "test")
}

// Guards against callers that wait for a second for their first event while
// the store does not respond, and callers close to their deadline that wait
// until it. A turn that exceeds what the escrow grants waited for a row as
// long as a store call may take.
func TestTurnBeginsPartiallyWhileStoreDoesNotRespond(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	m, current := startWithSwitchableStore(t, memory)
	current.Store = unansweringStore{Store: memory}
	began := time.Now()
	turn, err := m.Reserve(ctx, "p", 567, 960)
	require.NoError(t, err)
	assert.Less(t, turn.GrantedTokens(), int64(567))
	assert.Less(t, time.Since(began), 300*time.Millisecond, "borrowing instances time out after 400 ms")
}

// slowStore is a store whose writes complete after delay even if the caller
// has stopped waiting.
type slowStore struct {
	store.Store
	delay  time.Duration
	writes *atomic.Int64
}

func (s slowStore) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	s.writes.Add(1)
	type answer struct {
		version uint64
		err     error
	}
	answered := make(chan answer, 1)
	go func() {
		time.Sleep(s.delay)
		version, err := s.Store.Commit(context.WithoutCancel(ctx), tx)
		answered <- answer{version, err}
	}()
	select {
	case got := <-answered:
		return got.version, got.err
	case <-ctx.Done():
		return 0, store.NewError(store.FailureUnanswered, "commit", "test")
	}
}

// Guards against streams that break off while the store is slow. The turn
// stopped waiting for the row that grants its remainder, and the row was
// written a second time when the stream requested the remainder.
func TestRemainderGrantedByPendingWrite(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	m, current := startWithSwitchableStore(t, memory)
	writes := &atomic.Int64{}
	current.Store = slowStore{Store: memory, delay: 500 * time.Millisecond, writes: writes}
	turn, err := m.Reserve(ctx, "p", 567, 960)
	require.NoError(t, err)
	require.Less(t, turn.GrantedTokens(), int64(567))
	limited, cancel := context.WithTimeout(ctx, 450*time.Millisecond)
	defer cancel()
	require.NoError(t, turn.Extend(limited))
	assert.Equal(t, int64(567), turn.GrantedTokens())
	assert.EqualValues(t, 1, writes.Load())
	turn.Settle(567)
	_, sum := programRow(t, memory, "p")
	assert.LessOrEqual(t, sum.Granted, int64(960))
}

// switchableStore is a store that a test can replace.
type switchableStore struct{ store.Store }

// startWithSwitchableStore returns an instance that has acquired its escrows,
// and the store that it uses.
func startWithSwitchableStore(t *testing.T, s store.Store) (*instance, *switchableStore) {
	t.Helper()
	current := &switchableStore{Store: s}
	m := (&testCluster{store: current, clock: clock.Real{}}).start("a")
	m.acquire(t)
	return m, current
}

// Guards against a program that is refused for 0.4 s although its account
// grants the next turn. The home and an instance that could not reach it both
// granted tokens, so a turn in flight was refused its remainder. This refusal
// was recorded as that of a turn of no tokens.
func TestRefusedRemainderDoesNotRefuseNextTurn(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		cluster.start(name, names...).acquire(t)
	}
	b, c := cluster.running("b"), cluster.running("c")
	program := programWithHome(0, "a", names...)
	memory.SetFault(storeRefuses) // the turn begins with a partial grant
	turn, err := b.Reserve(ctx, program, 500, 1000)
	require.NoError(t, err)
	memory.SetFault(storeServes)
	require.Equal(t, "a", turn.Home())
	c.callFails = func() bool { return true }
	_, err = reserveInFull(ctx, c.Manager, program, 600, 1000)
	require.NoError(t, err)
	_ = turn.Extend(ctx) // a part of the remainder is available
	assert.Less(t, turn.GrantedTokens(), int64(500))
	assert.False(t, b.RecentlySpent(program, 100, 1000))
}

// Guards against concurrent starts that leave most instances without an
// escrow. Eight instances start within a second, each before it has discovered
// all others. Each acquired shards among the instances that it knew, and those
// with a fuller list found the shards taken.
func TestConcurrentStartsAllAcquireShards(t *testing.T) {
	memory := storetest.New()
	cluster := &testCluster{store: memory, clock: clock.Real{}}
	var names []string
	for n := range 8 {
		names = append(names, fmt.Sprint("i", n))
		m := cluster.start(names[n], names[:n]...)
		_ = m.AcquireOnce(context.Background(), m, false) // later ones may find their shards taken
	}
	for range 3 {
		for _, m := range cluster.all {
			m.peers = names
			_ = m.AcquireOnce(context.Background(), m, false)
		}
	}
	memory.SetFault(storeRefuses)
	for n, name := range names {
		_, err := reserveInFull(context.Background(), cluster.running(name).Manager, programWithHome(n, name, names...), 300, 1000)
		assert.NoError(t, err, name)
	}
	var noEscrow *account.NoEscrowError
	memory.SetFault(storeServes)
	fresh := &testCluster{store: storetest.New(), clock: clock.Real{}}
	early := fresh.start("i0")
	require.ErrorAs(t, early.AcquireOnce(context.Background(), early, true), &noEscrow)
}

// TestEscrowsNeverExceedBudget runs turns of a few programs through instances
// that are killed, stopped, restarted and added and have different member
// lists. The store rejects calls, loses responses and applies writes late.
// After each step it checks that the tokens spent, plus those granted to turns
// in flight, stay within each budget and, since instances are lost, one turn's maximum.
func TestEscrowsNeverExceedBudget(t *testing.T) {
	seeds := uint64(400)
	if testing.Short() {
		seeds = 50
	}
	for seed := range seeds {
		runEscrowSchedule(t, seed, false, false)
	}
}

// TestWitnessedEscrowsNeverExceedBudget is like TestEscrowsNeverExceedBudget for escrows
// with witnesses. Instances are also frozen and wake, or are replaced by ones of other
// names; grants reach their witness late, and takeovers happen between the record of a
// grant and the grant.
func TestWitnessedEscrowsNeverExceedBudget(t *testing.T) {
	seeds := uint64(150)
	if testing.Short() {
		seeds = 50
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runEscrowSchedule(t, seed, true, false)
		})
	}
}

// TestSettledRowsNeverExceedBudget is like both for instances that settle rows all the time.
func TestSettledRowsNeverExceedBudget(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runEscrowSchedule(t, seed, seed%2 == 0, true)
		})
	}
}

// lockedSource is a rand.Source that is safe for concurrent use: an instance calls several
// others at a time.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

// Uint64 implements rand.Source.
func (locked *lockedSource) Uint64() uint64 {
	locked.mu.Lock()
	defer locked.mu.Unlock()
	return locked.source.Uint64()
}

// programsOfShards returns n programs of the first shards.
func programsOfShards(shards, n int) []string {
	var programs []string
	for i := 0; len(programs) < n; i++ {
		if program := fmt.Sprint("p", i); budget.Shard(program) < shards {
			programs = append(programs, program)
		}
	}
	return programs
}

type inFlightTurn struct {
	turn     *account.Reservation
	instance *instance
	program  int
}

func runEscrowSchedule(t *testing.T, seed uint64, hasWitnesses, settles bool) {
	ctx := context.Background()
	rng := rand.New(&lockedSource{source: rand.NewPCG(seed, 7)})
	memory := storetest.New()
	clk := clock.NewFake(time.Unix(1000, 0))
	cluster := &testCluster{store: memory, clock: clk, hasWitnesses: hasWitnesses, detectsReplacement: hasWitnesses && rng.IntN(2) == 0}
	names := []string{"a", "b", "c"}
	const steps = 400
	programs := 3
	pickProgram := func(int) int { return rng.IntN(programs) }
	programName := func(program int) string { return fmt.Sprint("p", program) }
	if hasWitnesses {
		programs = 25 // of two shards, which begin one after the other
		ofShards := programsOfShards(2, programs)
		programName = func(program int) string { return ofShards[program] }
		pickProgram = func(step int) int { return max(0, step*programs/steps-rng.IntN(4)) }
	}
	totals, generated, largest := make([]int64, programs), make([]int64, programs), make([]int64, programs)
	for i := range totals {
		totals[i] = int64(400 + rng.IntN(4000))
		if hasWitnesses {
			totals[i] = int64(200 + rng.IntN(1000))
		}
	}
	storeFaultShare := rng.Float64() * 0.4
	flaky := storetest.RandomFaults(rng, storeFaultShare, storetest.Refuse, storetest.LoseResponse, storetest.LoseRequest)
	callFaultShare := rng.Float64() * 0.3
	// isLossless is set until an instance is gone or suspended, or a call gets no response.
	var isLossless atomic.Bool
	isLossless.Store(true)
	start := func(name string) {
		m := cluster.start(name)
		for _, other := range names {
			if other != name && rng.IntN(5) > 0 {
				m.peers = append(m.peers, other)
			}
		}
		m.callFails = func() bool {
			fails := rng.Float64() < callFaultShare
			isLossless.CompareAndSwap(true, !fails)
			return fails
		}
	}
	for _, name := range names {
		start(name)
	}
	current := 0
	if hasWitnesses {
		cluster.interfere = func() {
			if rng.IntN(5) > 0 {
				return
			}
			isLossless.Store(false) // a witness may release the escrow of a running instance
			shard := budget.Shard(programName(pickProgram(current)))
			for _, m := range cluster.all {
				if m.up && !m.isFrozen {
					_ = m.takeOverHeld(ctx, memory, shard)
				}
			}
		}
	}
	var inFlight []inFlightTurn
	finish := func(i int, spent int64) {
		generated[inFlight[i].program] += spent
		inFlight = slices.Delete(inFlight, i, i+1)
	}
	for step := range steps {
		current = step
		name := names[rng.IntN(len(names))]
		m := cluster.running(name)
		if m == nil && rng.IntN(3) == 0 {
			start(name)
			m = cluster.running(name)
			_ = m.AcquireOnce(ctx, m, false) // the store may be unavailable
		}
		if hasWitnesses {
			cluster.deliverLate(rng)
			switch {
			case m != nil && rng.IntN(25) == 0:
				m.isFrozen = !m.isFrozen
				isLossless.Store(false)
			case m != nil && m.isFrozen && rng.IntN(5) == 0:
				m.isFrozen = false
			case m != nil && rng.IntN(40) == 0:
				m.StopWitnessing()
			case rng.IntN(60) == 0 && len(names) < 6:
				names = append(names, string(rune('a'+len(names)))) // starts later, like any other that is not up
			}
			clk.Advance(time.Duration(rng.IntN(1500)) * time.Millisecond)
		}
		if m != nil && m.isFrozen {
			continue
		}
		switch draw := rng.IntN(20); {
		case draw < 8:
			if m == nil {
				break
			}
			program, maxTokens := pickProgram(step), int64(10+rng.IntN(200))
			turn, err := m.Reserve(ctx, programName(program), maxTokens, totals[program])
			if err == nil {
				inFlight = append(inFlight, inFlightTurn{turn, m, program})
				largest[program] = max(largest[program], maxTokens)
			}
		case draw < 12:
			if len(inFlight) > 0 {
				i := rng.IntN(len(inFlight))
				spent := rng.Int64N(inFlight[i].turn.GrantedTokens() + 1)
				inFlight[i].turn.Settle(spent)
				finish(i, spent)
			}
		case draw == 12:
			if len(inFlight) > 0 {
				_ = inFlight[rng.IntN(len(inFlight))].turn.Extend(ctx) // after an error the turn continues with its current grant
			}
		case draw < 15:
			if m != nil {
				m.TakeOverLost(ctx)
				_ = m.AcquireOnce(ctx, m, rng.IntN(2) == 0)
			}
		case draw == 15: // killed: turns in flight may have spent their grants
			if m != nil {
				m.up = false
				isLossless.Store(false)
				for i := len(inFlight) - 1; i >= 0; i-- {
					if inFlight[i].instance == m {
						finish(i, rng.Int64N(inFlight[i].turn.GrantedTokens()+1))
					}
				}
			}
		case draw == 16: // stopped after all turns in flight have ended
			if m != nil {
				for i := len(inFlight) - 1; i >= 0; i-- {
					if inFlight[i].instance == m {
						spent := inFlight[i].turn.GrantedTokens()
						inFlight[i].turn.Settle(spent)
						finish(i, spent)
					}
				}
				_ = m.Stop(ctx) // unreleased tokens count as lost
				m.up = false
				isLossless.Store(false)
			}
		case draw == 17:
			if len(names) < 6 && rng.IntN(4) == 0 {
				names = append(names, string(rune('a'+len(names))))
			}
			clk.Advance(3 * time.Minute)
			isLossless.Store(false) // loans expire
			if m != nil {
				m.SweepOnce(ctx)
			}
		case draw == 18:
			memory.ApplyLost()
		case draw == 19:
			faults := []func(string, string) storetest.Fault{storeServes, storeServes, flaky, storeRefuses}
			memory.SetFault(faults[rng.IntN(len(faults))])
		}
		if settles && m != nil {
			m.SettleRowsOnce(ctx)
		}
		promised := slices.Clone(generated)
		for _, f := range inFlight {
			promised[f.program] += f.turn.GrantedTokens()
		}
		for i := range promised {
			bound := totals[i]
			if !isLossless.Load() {
				bound += largest[i]
			}
			require.LessOrEqual(t, promised[i], bound, "seed %d, step %d, program %d", seed, step, i)
		}
	}
}
