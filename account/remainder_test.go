package account_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// programRow returns a program's row, and the sums of the tokens that its
// accounts are granted and of those that they use or reserve.
func programRow(t *testing.T, s store.Store, program string) (*budget.Ledger, budget.Account) {
	t.Helper()
	key := store.Key{Table: "budget", Partition: fmt.Sprintf("program-%02d", budget.Shard(program)%48), Name: store.Name(program)}
	row, err := store.Get(context.Background(), s, key)
	require.NoError(t, err)
	ledger, err := budget.DecodeLedger(row.Value)
	require.NoError(t, err)
	var sum budget.Account
	for _, a := range ledger.Accounts {
		sum.Granted += a.Granted
		sum.Used += a.Used + a.Reserved
	}
	return ledger, sum
}

// startThreeInstances returns instances a, b and c with their escrows, and a
// program whose home is a.
func startThreeInstances(t *testing.T, s store.Store, clk clock.Clock) (a, b, c *instance, program string) {
	cluster := &testCluster{store: s, clock: clk}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		cluster.start(name, names...).acquire(t)
	}
	return cluster.running("a"), cluster.running("b"), cluster.running("c"), programWithHome(0, "a", names...)
}

// beginPartially returns a turn that begins with a partial grant, since the
// store is unavailable for a moment.
func beginPartially(t *testing.T, memory *storetest.Memory, m *instance, program string, maxTokens, total int64) *account.Reservation {
	t.Helper()
	memory.SetFault(storeRefuses)
	defer memory.SetFault(storeServes)
	turn, err := m.Reserve(context.Background(), program, maxTokens, total)
	require.NoError(t, err)
	require.Less(t, turn.GrantedTokens(), maxTokens)
	return turn
}

// Guards against grants that exceed the budget in total when a stream gets its
// remainder in two parts from an account that did not begin its turn.
func TestRemainderInTwoPartsStaysWithinBudget(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a, b, c, program := startThreeInstances(t, memory, clock.Real{})
	const maxTokens, total = 567, 1200
	turn := beginPartially(t, memory, b, program, maxTokens, total)
	require.NoError(t, a.Stop(ctx))
	a.up = false
	second, err := reserveInFull(ctx, c.Manager, program, maxTokens, total)
	require.NoError(t, err)
	third, err := reserveInFull(ctx, c.Manager, program, total-2*maxTokens, total)
	require.NoError(t, err)
	c.up = false // unreachable for a moment, but still running
	require.NoError(t, turn.Extend(ctx))
	require.Less(t, turn.GrantedTokens(), int64(maxTokens), "half of the remainder")
	err = turn.Extend(ctx)
	ledger, sum := programRow(t, memory, program)
	t.Log("promised", turn.GrantedTokens(), "err", err, ledger.Accounts, "sum", sum)
	c.up = true
	// c's turns end. c serves what its account grants without reading the row.
	second.Settle(0)
	third.Settle(total - 2*maxTokens)
	var more []*account.Reservation
	for _, size := range []int64{567, 28, 14, 7} {
		if r, err := c.Reserve(ctx, program, size, total); err == nil {
			more = append(more, r)
		}
	}
	promised := turn.GrantedTokens() + total - 2*maxTokens
	for _, r := range more {
		promised += r.GrantedTokens()
	}
	assert.LessOrEqual(t, promised, int64(total), "tokens spent and granted")
	turn.Settle(turn.GrantedTokens())
	require.NoError(t, b.Stop(ctx))
	ledger, sum = programRow(t, memory, program)
	t.Log(ledger.Accounts, "sum", sum)
	assert.LessOrEqual(t, sum.Granted, int64(total), "tokens granted in the row")
}

// Guards against a stream that breaks off because its remainder is requested
// from the program's next home, which did not begin its turn.
func TestNextHomeGrantsRemainder(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a, b, c, program := startThreeInstances(t, memory, clock.Real{})
	for offset := 1; budget.Home(program, []string{"b", "c"}) != "c"; offset++ {
		program = programWithHome(offset, "a", "a", "b", "c")
	}
	const maxTokens, total = 567, 1500
	turn := beginPartially(t, memory, b, program, maxTokens, total)
	require.NoError(t, a.Stop(ctx))
	a.up = false
	b.peers, c.peers = []string{"c"}, []string{"b"}
	second, err := reserveInFull(ctx, c.Manager, program, maxTokens, total)
	require.NoError(t, err)
	require.NoError(t, turn.Extend(ctx))
	require.EqualValues(t, maxTokens, turn.GrantedTokens())
	turn.Settle(maxTokens)
	second.Settle(maxTokens)
	ledger, _ := programRow(t, memory, program)
	for name, account := range ledger.Accounts {
		assert.Zero(t, account.Reserved, name)
	}
}

// Guards against a remainder that stays counted twice: the account that grants
// it has enough unused tokens of an ended turn and writes no row.
func TestRemainderHeldByAccountCountsOnce(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a, b, c, program := startThreeInstances(t, memory, clock.Real{})
	const maxTokens, total = 567, 1701
	memory.SetFault(storeRefuses) // the turn begins with a partial grant
	turn, err := b.Reserve(ctx, program, maxTokens, total)
	require.NoError(t, err)
	require.NoError(t, turn.Extend(ctx), "the escrow's second partial grant")
	begun := turn.GrantedTokens()
	require.Less(t, begun, int64(maxTokens))
	memory.SetFault(storeServes)
	require.NoError(t, a.Stop(ctx))
	a.up = false
	second, err := reserveInFull(ctx, b.Manager, program, maxTokens, total)
	require.NoError(t, err)
	second.Settle(200) // what a turn spends on average
	require.NoError(t, turn.Extend(ctx))
	require.EqualValues(t, maxTokens, turn.GrantedTokens())
	turn.Settle(maxTokens)
	require.NoError(t, b.Manager.ReleaseUnused(ctx, program))
	ledger, sum := programRow(t, memory, program)
	t.Log("begun with", begun, ledger.Accounts, sum)
	assert.EqualValues(t, maxTokens+200, sum.Used)
	const remaining = total - maxTokens - 200
	last, err := reserveInFull(ctx, c.Manager, program, remaining, total)
	require.NoError(t, err, "%d tokens of the budget remain", remaining)
	last.Settle(remaining)
}

// Guards against a retried stop, as in an instance's departure, that reserves
// again the remainder that was granted elsewhere meanwhile.
func TestRetriedStopReservesOnce(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a, b, c, program := startThreeInstances(t, memory, clock.Real{})
	_ = c
	const maxTokens, total = 567, 1701
	memory.SetFault(storeRefuses)
	turn, err := b.Reserve(ctx, program, maxTokens, total)
	require.NoError(t, err)
	require.Less(t, turn.GrantedTokens(), int64(maxTokens))
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.LoseResponse
		}
		return storetest.None
	})
	require.Error(t, a.Stop(ctx))
	memory.SetFault(storeServes)
	require.NoError(t, turn.Extend(ctx))
	require.NoError(t, a.Stop(ctx))
	a.up = false
	turn.Settle(maxTokens)
	require.NoError(t, b.Stop(ctx))
	require.NoError(t, c.Stop(ctx))
	ledger, sum := programRow(t, memory, program)
	t.Log(ledger.Accounts, sum)
	assert.EqualValues(t, maxTokens, sum.Used)
}

// Guards against unreleased budget: the sweep evicts a program at the instance
// that serves a turn on a loan, and the instance then grants the remainder
// itself.
func TestSweepKeepsProgramOfBorrowedTurn(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a, b, c, program := startThreeInstances(t, memory, clock.Real{})
	const maxTokens, total = 567, 1701
	memory.SetFault(storeRefuses)
	turn, err := b.Reserve(ctx, program, maxTokens, total)
	require.NoError(t, err)
	memory.SetFault(storeServes)
	b.SweepOnce(ctx)
	assert.Equal(t, 1, b.Len(), "the program has a turn in flight")
	require.NoError(t, a.Stop(ctx))
	a.up, c.up = false, false // b grants the remainder itself
	require.NoError(t, turn.Extend(ctx))
	turn.Settle(300)
	c.up = true
	require.NoError(t, b.Stop(ctx))
	ledger, sum := programRow(t, memory, program)
	t.Log(ledger.Accounts, sum)
	assert.LessOrEqual(t, sum.Granted, int64(300), "b released its unused tokens")
}

// hookedHolders calls duringRelease before each release request to other
// instances.
type hookedHolders struct {
	*instance
	duringRelease func()
}

func (h hookedHolders) ReleaseUnused(ctx context.Context, program string, accounts []string) []string {
	h.duringRelease()
	return h.instance.ReleaseUnused(ctx, program, accounts)
}

// Guards against tokens granted to a home after it stopped and released its
// budget. A loan was requested before the stop, and the grant waited for a
// release by other instances.
func TestStoppedHomeReceivesNoGrant(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	_, b, _, program := startThreeInstances(t, memory, clock.Real{})
	const maxTokens, total = 567, 5000
	turn, err := reserveInFull(ctx, b.Manager, program, maxTokens, total)
	require.NoError(t, err)
	_ = turn
	var home *account.Manager
	home = account.NewManager(memory, "h-1", hookedHolders{b, func() { assert.NoError(t, home.Stop(ctx)) }}, alwaysHome{b}, clock.Real{}, slog.New(slog.DiscardHandler), tally.NoopScope)
	// Other instances hold nearly all tokens and release them on request.
	_, err = reserveInFull(ctx, b.Manager, program, 4000, total)
	require.NoError(t, err)
	loan, err := home.Lend(ctx, program, account.Borrowing{Turn: budget.FullTurn(400), Total: total})
	if err == nil {
		home.SettleLoans([]account.Repayment{{Loan: loan.ID, Spent: 100}})
	}
	ledger, _ := programRow(t, memory, program)
	t.Log(err, loan.Promised, ledger.Accounts)
	for name, a := range ledger.Accounts {
		if name[:2] == "h-" {
			assert.Zero(t, a.Granted, "%s has stopped and would never release it", name)
		}
	}
}

// alwaysHome is the home of all programs.
type alwaysHome struct{ *instance }

func (alwaysHome) Home(string) string { return "" }

// Guards against repayments that are still pending when an instance stops and
// are dropped, so that their loans count as spent.
func TestRepaySendsPendingOnCancel(t *testing.T) {
	delivered := 0
	const tries = 40
	for range tries {
		memory := storetest.New()
		a, b, _, program := startThreeInstances(t, memory, clock.Real{})
		turn, err := b.Reserve(context.Background(), program, 300, 1701)
		require.NoError(t, err)
		require.Equal(t, "a", turn.Home())
		turn.Settle(0)
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // as if during the previous delivery
		done := make(chan error, 1)
		b.Manager.Repay(ctx, done)
		require.NoError(t, <-done)
		require.NoError(t, a.Stop(context.Background()))
		_, sum := programRow(t, memory, program)
		if sum.Granted == 0 {
			delivered++
		}
	}
	assert.Equal(t, tries, delivered)
}

// Guards against a stream that waits for tokens that nobody can release: all
// other holders are known to have terminated.
func TestLostRemainderIsReportedSpent(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a, b, c, program := startThreeInstances(t, memory, clock.Real{})
	a.cluster.detectsReplacement = true
	const maxTokens, total = 567, 1200
	memory.SetFault(storeRefuses)
	turn, err := b.Reserve(ctx, program, maxTokens, total)
	require.NoError(t, err)
	memory.SetFault(storeServes)
	a.up = false
	_, err = reserveInFull(ctx, c.Manager, program, maxTokens, total)
	require.NoError(t, err)
	_, err = reserveInFull(ctx, c.Manager, program, 250, total)
	require.NoError(t, err)
	c.up = false
	a.cluster.start("a", "b", "c")
	a.cluster.start("c", "a", "b")
	var held *account.HeldError
	err = turn.Extend(ctx)
	assert.False(t, errors.As(err, &held), "refused with HeldError, which asks the caller to wait: %v", err)
}

// Guards against unreleased budget: an instance's grant is in the store, but
// the response to its write was lost.
func TestUnansweredGrantIsReleased(t *testing.T) {
	for _, lost := range []storetest.Fault{storetest.LoseResponse, storetest.LoseRequest} {
		for _, stops := range []bool{false, true} {
			ctx := context.Background()
			memory := storetest.New()
			f := newFleet(memory, clock.Real{}, 2)
			memory.SetFault(func(string, string) storetest.Fault { return lost })
			_, err := f.managers[0].Reserve(ctx, "p", 567, 1134)
			require.True(t, store.Is(err, store.FailureUnanswered), "%v", err)
			memory.SetFault(storeServes)
			if stops {
				require.NoError(t, f.managers[0].Stop(ctx))
				memory.ApplyLost()
				f.unreachable.Store(true)
			}
			turn, err := f.managers[1].Reserve(ctx, "p", 567, 1134)
			require.NoError(t, err, "response or call lost by fault %v, stops %v", lost, stops)
			turn.Settle(567)
			memory.ApplyLost()
			turn, err = f.managers[1].Reserve(ctx, "p", 567, 1134)
			require.NoError(t, err, "response or call lost by fault %v, stops %v", lost, stops)
			turn.Settle(567)
		}
	}
}

// Guards against streams that break off in a rolling restart while the store
// is available: their program's home stops, and another turn is granted their
// remainder.
func TestStreamsContinueDuringRollingRestart(t *testing.T) {
	ctx := context.Background()
	for _, total := range []int64{600, 900, 1134, 1701} {
		for _, stop := range []string{"a", "c"} {
			memory := storetest.New()
			a, b, c, program := startThreeInstances(t, memory, clock.Real{})
			const maxTokens = 567
			stream, err := b.Reserve(ctx, program, maxTokens, total)
			require.NoError(t, err)
			stops := map[string]*instance{"a": a, "c": c}[stop]
			var others []*account.Reservation
			reserve := func(through *instance) {
				if other, err := through.Reserve(ctx, program, maxTokens, total); err == nil {
					others = append(others, other)
				}
			}
			reserve(c)
			require.NoError(t, stops.Stop(ctx))
			stops.up = false
			for range 3 {
				reserve(b)
			}
			for _, turn := range append(others, stream) {
				require.NoError(t, turn.Extend(ctx), "budget %d, %s stops", total, stop)
				assert.Equal(t, int64(maxTokens), turn.GrantedTokens(), "budget %d, %s stops", total, stop)
			}
		}
	}
}
