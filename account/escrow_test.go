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

// machine is one start of an instance. It knows the instances that view
// names, and reaches those that are up.
type machine struct {
	*account.Keeper
	name  string
	owner string
	up    bool
	view  []string
	// down returns whether a call between instances fails, before it or
	// after.
	down func() bool
	site *machines
}

// machines are those of a test, over one store.
type machines struct {
	store  store.Store
	clock  clock.Clock
	all    []*machine
	starts int
	// knowsStarts is whether instances know which starts others replaced.
	knowsStarts bool
}

// departureGraceOver is when an instance that left is no home any more.
const departureGraceOver = 31 * time.Second

var errDown = errors.New("instance cannot be reached")

func (site *machines) start(name string, view ...string) *machine {
	site.starts++
	m := &machine{name: name, owner: fmt.Sprintf("%s-%d", name, site.starts), up: true, view: view, site: site, down: never}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	m.Keeper = account.NewKeeper(site.store, m.owner, m, m, site.clock, log, tally.NoopScope)
	site.all = append(site.all, m)
	return m
}

// running returns the start of a name that is up.
func (site *machines) running(name string) *machine {
	for _, m := range site.all {
		if m.up && m.name == name {
			return m
		}
	}
	return nil
}

func (m *machine) Members() (string, []string) { return m.name, append(slices.Clone(m.view), m.name) }

func (m *machine) Home(program string) string {
	if home := budget.Home(program, append(slices.Clone(m.view), m.name)); home != m.name {
		return home
	}
	return ""
}

// Gone knows of later starts if site.knowsStarts is set.
func (m *machine) Gone(account string) bool {
	if !m.site.knowsStarts {
		return false
	}
	for _, other := range m.site.all {
		if strings.HasPrefix(account, other.owner+".") {
			now := m.site.running(other.name)
			return now != nil && now != other
		}
	}
	return false
}

func (m *machine) GiveBack(ctx context.Context, program string, _ []string) {
	for _, other := range m.site.all {
		if other.up && other != m && !m.down() {
			_ = other.Keeper.GiveBack(ctx, program) // what was not given back shows in the row
		}
	}
}

func (m *machine) Borrow(ctx context.Context, name, program string, borrowing account.Borrowing) (account.Loan, error) {
	home := m.site.running(name)
	if home == nil || m.down() {
		return account.Loan{}, errDown
	}
	loan, err := home.Lend(ctx, program, borrowing)
	if m.down() {
		return account.Loan{}, errDown
	}
	return loan, err
}

func (m *machine) Repay(_ context.Context, name string, repayments []account.Repayment) error {
	if home := m.site.running(name); home != nil {
		home.Repaid(repayments)
	}
	return nil
}

func (m *machine) acquire(t *testing.T) {
	t.Helper()
	require.NoError(t, m.AcquireOnce(context.Background(), m, false))
}

// homed returns a program whose home among names is the one given.
func homed(at int, name string, names ...string) string {
	for n := at * 1000; ; n++ {
		if program := fmt.Sprint("p", n); budget.Home(program, names) == name {
			return program
		}
	}
}

func away(string, string) storetest.Fault { return storetest.Refuse }

func served(string, string) storetest.Fault { return storetest.None }

// Symptom: for as long as the store is away no program begins; 781 of 938
// refusals of a day with three outages were programs that began in one.
// Events: the store goes; callers begin programs at all instances. Cause: the
// first turn of a program took a write.
func TestProgramsBeginWhileStoreIsAway(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	a, b := site.start("a", "b"), site.start("b", "a")
	for _, m := range site.all {
		m.acquire(t)
		go m.Keeper.Repay(ctx, make(chan error, 1))
	}
	before := memory.Commits()
	memory.SetFault(away)
	// Three turns of at most 567 tokens that spend a third of it, under a
	// budget of 1.6 times the most of all.
	for turn, through := range []*machine{a, b, a} {
		for n := range 50 {
			reservation, err := through.Reserve(ctx, fmt.Sprint("p", n), 567, 2720)
			require.NoError(t, err, "program %d, turn %d", n, turn)
			reservation.Settle(189)
		}
		time.Sleep(100 * time.Millisecond) // what was lent is repaid
	}
	memory.SetFault(served)
	assert.Equal(t, before, memory.Commits(), "no write a program")
}

// Symptom: a program that spent what its home handed out by escrow spends it
// again. Events: the home loses power; nothing of the program is in the
// store; another instance, or the home's next start, serves it. Cause: what
// the home may have handed out was not counted.
func TestWhatADeadHomeHandedOutIsCounted(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	a, b := site.start("a", "b"), site.start("b", "a")
	a.acquire(t)
	b.acquire(t)
	program := homed(0, "a", "a", "b")
	reservation, err := whole(ctx, a.Keeper, program, 300, 1000)
	require.NoError(t, err)
	reservation.Settle(300)
	a.up = false
	_, err = whole(ctx, b.Keeper, program, 701, 1000)
	var held *account.HeldError
	require.ErrorAs(t, err, &held, "a third of it may be spent")
	_, err = whole(ctx, b.Keeper, program, 700, 1000)
	require.NoError(t, err, "a program of a single turn")
	again := site.start("a", "b")
	var noEscrow *account.NoEscrowError
	require.ErrorAs(t, again.AcquireOnce(ctx, again, false), &noEscrow)
	_, err = whole(ctx, again.Keeper, homed(1, "a", "a", "b"), 700, 1000)
	require.NoError(t, err, "two thirds are left, by a row")
	_, err = whole(ctx, again.Keeper, homed(2, "a", "a", "b"), 701, 1000)
	require.ErrorAs(t, err, &held)
}

// Symptom: 3,100 turns of 38 programs that loop are told in 20 s after a loss
// of power to wait for budget, each after a read or two. Events: all instances
// start again; a program comes to what the home of its shard held when it died.
// Cause: the caller was told to wait for what nobody can give back any more.
// Once another start of the home is known the budget is spent; until then the
// home may only be cut off.
func TestWhatReplacedStartHeldIsSpent(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}, knowsStarts: true}
	a, b := site.start("a", "b"), site.start("b", "a")
	a.acquire(t)
	b.acquire(t)
	program := homed(0, "a", "a", "b")
	first, err := whole(ctx, a.Keeper, program, 100, 1000)
	require.NoError(t, err)
	first.Settle(100)
	a.up = false
	_, err = whole(ctx, b.Keeper, program, 701, 1000)
	var held *account.HeldError
	require.ErrorAs(t, err, &held, "a may only be cut off")
	again := site.start("a", "b")
	second, err := whole(ctx, again.Keeper, program, 600, 1000)
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
		_, err = whole(ctx, b.Keeper, program, 200, 1000)
		var spent *account.SpentError
		require.ErrorAs(t, err, &spent)
	}
	assert.LessOrEqual(t, reads.Load(), int64(1))
	_, err = whole(ctx, b.Keeper, program, 100, 1000)
	require.NoError(t, err, "what is left can be had")
}

// Guards against turns that are told to wait for budget that only a start that
// was replaced holds, since a live instance holds some that it has used.
func TestHoldOfReplacedStartIsSpentBesideLiveOnes(t *testing.T) {
	ctx := context.Background()
	site := &machines{store: storetest.New(), clock: clock.Real{}, knowsStarts: true}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		site.start(name, names...).acquire(t)
	}
	a, b, c := site.running("a"), site.running("b"), site.running("c")
	program := homed(0, "a", names...)
	first, err := whole(ctx, a.Keeper, program, 100, 1000)
	require.NoError(t, err)
	first.Settle(100)
	a.up = false
	site.start("a", names...)
	b.down = func() bool { return true } // it grants by an account of its own
	second, err := whole(ctx, b.Keeper, program, 400, 1000)
	require.NoError(t, err)
	b.down = never
	_, err = whole(ctx, c.Keeper, program, 400, 1000)
	var spent *account.SpentError
	require.ErrorAs(t, err, &spent, "a's 300 are gone, b uses 400")
	second.Settle(50)
	third, err := whole(ctx, c.Keeper, program, 350, 1000)
	require.NoError(t, err, "b gives back what its turn left over")
	third.Settle(350)
}

// Symptom: after a planned restart of all instances programs have half of
// their budget, and none can begin without a write. Events: instances stop and
// start in turn. Cause: the escrows of those that stopped stood on, though
// each had written what it handed out.
func TestPlannedStopReleasesEscrow(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		site.start(name, names...).acquire(t)
	}
	known := homed(0, "a", names...)
	reservation, err := whole(ctx, site.running("a").Keeper, known, 300, 1000)
	require.NoError(t, err)
	reservation.Settle(300)
	for range 3 {
		for _, name := range names {
			old := site.running(name)
			require.NoError(t, old.Stop(ctx))
			old.up = false
			site.start(name).acquire(t)
		}
	}
	before := memory.Commits()
	memory.SetFault(away)
	_, err = whole(ctx, site.running("a").Keeper, homed(1, "a", names...), 300, 1000)
	require.NoError(t, err, "as much again")
	_, err = whole(ctx, site.running("a").Keeper, known, 300, 1000)
	require.Error(t, err, "it has a row, which cannot be read")
	memory.SetFault(served)
	_, err = whole(ctx, site.running("a").Keeper, known, 700, 1000)
	require.NoError(t, err)
	_, err = whole(ctx, site.running("a").Keeper, known, 1, 1000)
	var spent *account.SpentError
	require.ErrorAs(t, err, &spent)
	assert.LessOrEqual(t, memory.Commits(), before+2, "the row of the one program")
}

// Symptom: after a planned stop a program spends again what its home had
// handed out. Events: the home stops while a part of the store refuses its
// writes; its next start serves the program. Cause: the escrow was closed
// though not every program that it was used for had a row.
func TestEscrowStaysUntilAllRowsAreWritten(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	m := site.start("a")
	m.acquire(t)
	for n := range 60 {
		turn, err := whole(ctx, m.Keeper, fmt.Sprint("p", n), 300, 1000)
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
	var left *account.NotGivenBackError
	require.ErrorAs(t, m.Stop(ctx), &left)
	_, err := whole(ctx, m.Keeper, "another", 500, 1000)
	require.Error(t, err, "nothing is handed out by escrow any more")
	m.up = false
	memory.SetFault(served)
	again := site.start("a")
	var noEscrow *account.NoEscrowError
	require.ErrorAs(t, again.AcquireOnce(ctx, again, false), &noEscrow, "the one before stands")
	for n := range 60 {
		_, err := whole(ctx, again.Keeper, fmt.Sprint("p", n), 701, 1000)
		assert.Error(t, err, "program %d", n)
	}
}

// Symptom: a program spends a part of its budget twice. Events: an instance
// learns of another one, which is the home of some of its programs, and hands
// these over; then it dies. Cause: the other one took the shard as if nothing had been
// handed out.
func TestProgramsHandedOverKeepWhatTheySpent(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	a := site.start("a")
	a.acquire(t)
	program := homed(0, "b", "a", "b")
	turn, err := whole(ctx, a.Keeper, program, 300, 1000)
	require.NoError(t, err)
	turn.Settle(300)
	b := site.start("b", "a")
	var noEscrow *account.NoEscrowError
	require.ErrorAs(t, b.AcquireOnce(ctx, b, false), &noEscrow, "its programs are not handed over yet")
	a.view = []string{"b"}
	a.acquire(t)
	a.up = false
	b.view = []string{"a", "c"} // news of others has it look again
	b.acquire(t)
	_, err = whole(ctx, b.Keeper, program, 701, 1000)
	var spent *account.SpentError
	require.ErrorAs(t, err, &spent)
	_, err = whole(ctx, b.Keeper, program, 700, 1000)
	require.NoError(t, err)
	memory.SetFault(away)
	_, err = whole(ctx, b.Keeper, homed(1, "b", "a", "b", "c"), 300, 1000)
	require.NoError(t, err, "new programs begin there")
}

// Symptom: a program that its home handed over spends a part twice. Events: the
// store refuses the rows of some programs as they are handed over. Cause: the
// shards were closed all the same.
func TestShardsAreHandedOverOnceAllRowsAreWritten(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	a := site.start("a")
	a.acquire(t)
	for n := range 60 {
		turn, err := whole(ctx, a.Keeper, homed(n, "b", "a", "b"), 300, 1000)
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
	a.view = []string{"b"}
	var left *account.NotGivenBackError
	require.ErrorAs(t, a.AcquireOnce(ctx, a, false), &left)
	a.up = false
	memory.SetFault(served)
	b := site.start("b", "a")
	var noEscrow *account.NoEscrowError
	require.ErrorAs(t, b.AcquireOnce(ctx, b, false), &noEscrow)
	for n := range 60 {
		_, err := whole(ctx, b.Keeper, homed(n, "b", "a", "b"), 701, 1000)
		assert.Error(t, err, "program %d", n)
	}
}

// Symptom: for a second after all instances lost power programs wait 1.1 s for
// their first event, and at a first start it takes seven seconds until all have
// acquired. Events: 84 instances start at once; each acquires by a transaction over
// all partitions on the condition of the one row of escrows; the store applies
// those of a partition one after the other, and rows of programs wait behind
// them. Cause: all instances wrote the same row. Now each writes its own shards:
// the transactions grow with the instances, not with their square.
func TestInstancesThatStartAtOnceWriteTheirOwnShards(t *testing.T) {
	for _, instances := range []int{30, 84, 300} {
		memory := storetest.New()
		var calls atomic.Int64
		memory.SetFault(func(op, _ string) storetest.Fault {
			if op == "commit" {
				calls.Add(1)
			}
			return storetest.None
		})
		site := &machines{store: memory, clock: clock.Real{}}
		var names []string
		for n := range instances {
			names = append(names, fmt.Sprint("i", n))
		}
		var starts sync.WaitGroup
		for _, name := range names {
			m := site.start(name, names...)
			starts.Go(func() {
				_ = m.AcquireOnce(context.Background(), m, false) // of 300, some are the home of no shard
			})
		}
		starts.Wait()
		assert.LessOrEqual(t, calls.Load(), int64(instances), "one transaction each")
		memory.SetFault(away)
		for n := range 100 {
			program := fmt.Sprint("p", n)
			_, err := whole(context.Background(), site.running(budget.Home(program, names)).Keeper, program, 300, 1000)
			assert.NoError(t, err)
		}
	}
}

// Symptom: after a loss of power of all instances a tenth of all calls to the
// store read escrows. Events: each instance starts again, finds its shards taken
// by the start before, and reads the rows of all of them after 2, 4, 8 seconds
// and so on. Cause: a start that has ended was waited for as one that hands its
// shards over. One that may live is still looked at.
func TestEscrowsOfStartsThatEndedAreNotReadAgain(t *testing.T) {
	for _, ended := range []bool{true, false} {
		memory, clk := storetest.New(), clock.NewFake(time.Unix(1e9, 0))
		site := &machines{store: memory, clock: clk, knowsStarts: ended}
		first := site.start("a")
		first.acquire(t)
		first.up = false
		next := site.start("a")
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

// Symptom: programs begin nowhere without a write while instances are restarted
// in turn. Events: an instance stops; others take its shards; it starts again,
// and they hand them back. Cause: an instance that was away for a moment was
// taken for gone.
func TestShardsStayWithInstanceThatRestarts(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	clk := clock.NewFake(time.Unix(1000, 0))
	site := &machines{store: memory, clock: clk}
	a, b := site.start("a", "b"), site.start("b", "a")
	a.acquire(t)
	b.acquire(t)
	program := homed(0, "a", "a", "b")
	require.NoError(t, a.Stop(ctx))
	a.up = false
	b.view = nil
	clk.Advance(10 * time.Second)
	b.acquire(t)
	again := site.start("a", "b")
	again.acquire(t)
	memory.SetFault(away)
	_, err := whole(ctx, again.Keeper, program, 300, 1000)
	require.NoError(t, err)
	memory.SetFault(served)
	require.NoError(t, again.Stop(ctx))
	again.up = false
	clk.Advance(departureGraceOver)
	b.acquire(t)
	memory.SetFault(away)
	_, err = whole(ctx, b.Keeper, homed(1, "a", "a", "b"), 300, 1000)
	require.NoError(t, err, "one that stays away has left")
}

// Symptom: an answer breaks off at two fifths as its program's home is stopped
// as planned, though the budget holds it. Events: the home lends a turn's first
// part, stops and writes the program's row; the turn asks for its rest, which
// another account has to grant. Cause: what the turn might still hand out
// counted twice, in the row of the home that lends nothing more, and where it
// was asked for.
func TestStreamOutlivesPlannedStopOfItsHome(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	names := []string{"a", "b"}
	for _, name := range names {
		site.start(name, names...).acquire(t)
	}
	a, b := site.running("a"), site.running("b")
	program := homed(0, "a", names...)
	first, err := whole(ctx, a.Keeper, program, 60, 960)
	require.NoError(t, err)
	first.Settle(60)
	memory.SetFault(away) // the turn begins with a part
	turn, err := b.Reserve(ctx, program, 567, 960)
	require.NoError(t, err)
	require.Less(t, turn.Promised(), int64(567))
	memory.SetFault(served)
	require.Equal(t, "a", turn.Home())
	require.NoError(t, a.Stop(ctx))
	a.up = false
	require.NoError(t, turn.Extend(ctx))
	assert.EqualValues(t, 567, turn.Promised())
}

// Guards against a stream that breaks off since its program's home is stopped
// and another turn is given the rest of its budget.
func TestStoppedHomeLeavesStreamsInFlightTheirRest(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		site.start(name, names...).acquire(t)
	}
	a, b, c := site.running("a"), site.running("b"), site.running("c")
	const most, total = 567, 1500
	program := homed(0, "a", names...)
	turn := beginPart(t, memory, b, program, most, total)
	require.NoError(t, a.Stop(ctx))
	a.up = false

	second, err := whole(ctx, c.Keeper, program, most, total)
	require.NoError(t, err)
	var spent *account.SpentError
	_, err = whole(ctx, c.Keeper, program, most, total)
	require.ErrorAs(t, err, &spent, "the budget does not hold a third beside the two in flight")

	require.NoError(t, turn.Extend(ctx))
	require.EqualValues(t, most, turn.Promised())
	turn.Settle(most)
	second.Settle(most)
	last, err := whole(ctx, c.Keeper, program, total-2*most, total)
	require.NoError(t, err, "what was given to the stream is not counted twice")
	last.Settle(total - 2*most)
}

// Symptom: an answer breaks off as a program that loops comes to the end of its
// budget. Events: it sends many turns at once; its home reads the program's row
// for each of them, one after the other, 20 ms each; borrowers give up after
// 400 ms and grant by rows of their own what the turn in flight still needs.
// Cause: that the budget was found spent helped only turns that came later.
func TestTurnsOfLoopingProgramReadItsRowOnce(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	m := site.start("a")
	m.acquire(t)
	first, err := whole(ctx, m.Keeper, "p", 600, 1000)
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

// Symptom: streams break off at two fifths while the store works. Events: a
// program's home begins a turn with a part, by its escrow; an instance that
// cannot reach the home grants a turn by a row, and nothing is left for the
// rest of the first. Cause: turns began with a part though a row could be
// written. While the store answers a turn is promised whole, or not begun.
func TestTurnIsPromisedWholeWhileStoreAnswers(t *testing.T) {
	ctx := context.Background()
	site := &machines{store: storetest.New(), clock: clock.Real{}}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		site.start(name, names...).acquire(t)
	}
	program := homed(0, "a", names...)
	for _, name := range names {
		site.running(name).down = func() bool { return name == "c" }
	}
	first, err := site.running("b").Reserve(ctx, program, 500, 1000)
	require.NoError(t, err)
	require.Equal(t, "a", first.Home())
	assert.EqualValues(t, 500, first.Promised())
	_, err = site.running("c").Reserve(ctx, program, 600, 1000)
	var spent *account.SpentError
	require.ErrorAs(t, err, &spent, "it is not begun")
	require.NoError(t, first.Extend(ctx))
}

// silent is a store that does not answer writes.
type silent struct{ store.Store }

func (s silent) Commit(ctx context.Context, _ store.Transaction) (uint64, error) {
	<-ctx.Done()
	return 0, store.NewError(store.FailureUnanswered, "commit", "test")
}

// Symptom: callers of an outage wait a second for their first event, and those
// who have little time left are held to its end. Events: the store falls silent;
// a turn that its home's escrow does not hold whole asks for a row. Cause: the
// row was waited for as long as a store may take.
func TestTurnBeginsWithPartWhileStoreIsSilent(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	m, current := startBehind(t, memory)
	current.Store = silent{Store: memory}
	began := time.Now()
	turn, err := m.Reserve(ctx, "p", 567, 960)
	require.NoError(t, err)
	assert.Less(t, turn.Promised(), int64(567))
	assert.Less(t, time.Since(began), 300*time.Millisecond, "borrowers wait 400 ms")
}

// slow is a store whose writes take delay, whether or not who asked waits.
type slow struct {
	store.Store
	delay  time.Duration
	writes *atomic.Int64
}

func (s slow) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
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

// Guards against streams that break off while the store is slow: the row that
// grants the rest was written, but no longer waited for, and written anew as the
// stream asked for it.
func TestRestIsGrantedByTheRowUnderWay(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	m, current := startBehind(t, memory)
	writes := &atomic.Int64{}
	current.Store = slow{Store: memory, delay: 500 * time.Millisecond, writes: writes}
	turn, err := m.Reserve(ctx, "p", 567, 960)
	require.NoError(t, err)
	require.Less(t, turn.Promised(), int64(567))
	limited, cancel := context.WithTimeout(ctx, 450*time.Millisecond)
	defer cancel()
	require.NoError(t, turn.Extend(limited))
	assert.Equal(t, int64(567), turn.Promised())
	assert.EqualValues(t, 1, writes.Load())
	turn.Settle(567)
	_, sum := programRow(t, memory, "p")
	assert.LessOrEqual(t, sum.Granted, int64(960))
}

// switchable is a store that a test replaces.
type switchable struct{ store.Store }

// startBehind returns an instance that has its escrow, and the store that it uses.
func startBehind(t *testing.T, s store.Store) (*machine, *switchable) {
	t.Helper()
	current := &switchable{Store: s}
	m := (&machines{store: current, clock: clock.Real{}}).start("a")
	m.acquire(t)
	return m, current
}

// Symptom: a program is told for 0.4 s that its budget is spent, though it
// holds the next turn. Events: its home and an instance that cannot reach the
// home both grant; a turn in flight asks for its rest, which is gone. Cause:
// the refusal of a rest was remembered as that of a turn of no tokens.
func TestRefusedRestSaysNothingOfNextTurn(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		site.start(name, names...).acquire(t)
	}
	b, c := site.running("b"), site.running("c")
	program := homed(0, "a", names...)
	memory.SetFault(away) // the turn begins with a part
	turn, err := b.Reserve(ctx, program, 500, 1000)
	require.NoError(t, err)
	memory.SetFault(served)
	require.Equal(t, "a", turn.Home())
	c.down = func() bool { return true }
	_, err = whole(ctx, c.Keeper, program, 600, 1000)
	require.NoError(t, err)
	_ = turn.Extend(ctx) // a part of the rest is left
	assert.Less(t, turn.Promised(), int64(500))
	assert.False(t, b.KnownSpent(program, 100, 1000))
}

// Symptom: most of the instances that started together have no escrow. Events:
// eight start within a second, each before it knows all others. Cause: each
// took shards among those that it knew then, and those who knew more found its
// escrow in their way.
func TestInstancesThatStartTogetherOpen(t *testing.T) {
	memory := storetest.New()
	site := &machines{store: memory, clock: clock.Real{}}
	var names []string
	for n := range 8 {
		names = append(names, fmt.Sprint("i", n))
		m := site.start(names[n], names[:n]...)
		_ = m.AcquireOnce(context.Background(), m, false) // the later ones find no room yet
	}
	for range 3 {
		for _, m := range site.all {
			m.view = names
			_ = m.AcquireOnce(context.Background(), m, false)
		}
	}
	memory.SetFault(away)
	for n, name := range names {
		_, err := whole(context.Background(), site.running(name).Keeper, homed(n, name, names...), 300, 1000)
		assert.NoError(t, err, name)
	}
	var noEscrow *account.NoEscrowError
	memory.SetFault(served)
	fresh := &machines{store: storetest.New(), clock: clock.Real{}}
	early := fresh.start("i0")
	require.ErrorAs(t, early.AcquireOnce(context.Background(), early, true), &noEscrow)
}

// TestEscrowsNeverOverspend plays turns of a few programs through instances
// that are killed, stopped, restarted and added, with differing views of each
// other, over a store that refuses calls, loses answers and applies writes
// late, and checks after each step that what callers were handed, and what
// turns in flight may hand out, stays within each budget.
func TestEscrowsNeverOverspend(t *testing.T) {
	seeds := uint64(400)
	if testing.Short() {
		seeds = 50
	}
	for seed := range seeds {
		playEscrows(t, seed)
	}
}

type flight struct {
	turn    *account.Reservation
	machine *machine
	program int
}

func playEscrows(t *testing.T, seed uint64) {
	ctx := context.Background()
	rng := rand.New(rand.NewPCG(seed, 7))
	memory := storetest.New()
	clk := clock.NewFake(time.Unix(1000, 0))
	site := &machines{store: memory, clock: clk}
	names := []string{"a", "b", "c"}
	const programs = 3
	var totals, handed [programs]int64
	for i := range totals {
		totals[i] = int64(400 + rng.IntN(4000))
	}
	share := rng.Float64() * 0.4
	flaky := storetest.Random(rng, share, storetest.Refuse, storetest.LoseAnswer, storetest.LoseCall)
	calls := rng.Float64() * 0.3
	start := func(name string) {
		m := site.start(name)
		for _, other := range names {
			if other != name && rng.IntN(5) > 0 {
				m.view = append(m.view, other)
			}
		}
		m.down = func() bool { return rng.Float64() < calls }
	}
	for _, name := range names {
		start(name)
	}
	var flying []flight
	end := func(i int, spent int64) {
		handed[flying[i].program] += spent
		flying = slices.Delete(flying, i, i+1)
	}
	for step := range 400 {
		name := names[rng.IntN(len(names))]
		m := site.running(name)
		if m == nil && rng.IntN(3) == 0 {
			start(name)
			m = site.running(name)
			_ = m.AcquireOnce(ctx, m, false) // the store may be away
		}
		switch draw := rng.IntN(20); {
		case draw < 8:
			if m == nil {
				break
			}
			program, most := rng.IntN(programs), int64(10+rng.IntN(200))
			turn, err := m.Reserve(ctx, fmt.Sprint("p", program), most, totals[program])
			if err == nil {
				flying = append(flying, flight{turn, m, program})
			}
		case draw < 12:
			if len(flying) > 0 {
				i := rng.IntN(len(flying))
				spent := rng.Int64N(flying[i].turn.Promised() + 1)
				flying[i].turn.Settle(spent)
				end(i, spent)
			}
		case draw == 12:
			if len(flying) > 0 {
				_ = flying[rng.IntN(len(flying))].turn.Extend(ctx) // it may go on with what it has
			}
		case draw < 15:
			if m != nil {
				_ = m.AcquireOnce(ctx, m, rng.IntN(2) == 0)
			}
		case draw == 15: // killed: what is in flight may have been handed out
			if m != nil {
				m.up = false
				for i := len(flying) - 1; i >= 0; i-- {
					if flying[i].machine == m {
						end(i, rng.Int64N(flying[i].turn.Promised()+1))
					}
				}
			}
		case draw == 16: // stopped once nothing is in flight
			if m != nil {
				for i := len(flying) - 1; i >= 0; i-- {
					if flying[i].machine == m {
						spent := flying[i].turn.Promised()
						flying[i].turn.Settle(spent)
						end(i, spent)
					}
				}
				_ = m.Stop(ctx) // what is left counts as spent
				m.up = false
			}
		case draw == 17:
			if len(names) < 6 && rng.IntN(4) == 0 {
				names = append(names, string(rune('a'+len(names))))
			}
			clk.Advance(3 * time.Minute)
			if m != nil {
				m.SweepOnce(ctx)
			}
		case draw == 18:
			memory.ApplyLate()
		case draw == 19:
			faults := []func(string, string) storetest.Fault{served, served, flaky, away}
			memory.SetFault(faults[rng.IntN(len(faults))])
		}
		promised := handed
		for _, f := range flying {
			promised[f.program] += f.turn.Promised()
		}
		for i := range promised {
			require.LessOrEqual(t, promised[i], totals[i], "seed %d, step %d, program %d", seed, step, i)
		}
	}
}
