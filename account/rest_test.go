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

// programRow returns a program's row, and what all its accounts are granted, and
// use or reserve.
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

func threeInstances(t *testing.T, s store.Store, clk clock.Clock) (a, b, c *machine, program string) {
	site := &machines{store: s, clock: clk}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		site.start(name, names...).acquire(t)
	}
	return site.running("a"), site.running("b"), site.running("c"), homed(0, "a", names...)
}

// beginPart returns a turn that begins with a part, since the store is away for
// a moment.
func beginPart(t *testing.T, memory *storetest.Memory, at *machine, program string, most, total int64) *account.Reservation {
	t.Helper()
	memory.SetFault(away)
	defer memory.SetFault(served)
	turn, err := at.Reserve(context.Background(), program, most, total)
	require.NoError(t, err)
	require.Less(t, turn.Promised(), most)
	return turn
}

// Guards against grants that add up to more than the budget: a stream has its
// rest in two parts, by an account that did not begin its turn.
func TestRestInTwoPartsIsGranted(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a, b, c, program := threeInstances(t, memory, clock.Real{})
	const most, total = 567, 1200
	turn := beginPart(t, memory, b, program, most, total)
	require.NoError(t, a.Stop(ctx))
	a.up = false
	second, err := whole(ctx, c.Keeper, program, most, total)
	require.NoError(t, err)
	third, err := whole(ctx, c.Keeper, program, total-2*most, total)
	require.NoError(t, err)
	c.up = false // cannot be reached for a moment, and serves on
	require.NoError(t, turn.Extend(ctx))
	require.Less(t, turn.Promised(), int64(most), "half of the rest")
	err = turn.Extend(ctx)
	ledger, sum := programRow(t, memory, program)
	t.Log("promised", turn.Promised(), "err", err, ledger.Accounts, "sum", sum)
	c.up = true
	// c's turns end; what c is granted is served without a look.
	second.Settle(0)
	third.Settle(total - 2*most)
	var more []*account.Reservation
	for _, size := range []int64{567, 28, 14, 7} {
		if r, err := c.Reserve(ctx, program, size, total); err == nil {
			more = append(more, r)
		}
	}
	promised := turn.Promised() + total - 2*most
	for _, r := range more {
		promised += r.Promised()
	}
	assert.LessOrEqual(t, promised, int64(total), "spent and promised")
	turn.Settle(turn.Promised())
	require.NoError(t, b.Stop(ctx))
	ledger, sum = programRow(t, memory, program)
	t.Log(ledger.Accounts, "sum", sum)
	assert.LessOrEqual(t, sum.Granted, int64(total), "granted in the row")
}

// Guards against a stream that breaks off since its program's next home, which
// did not begin its turn, is asked for the rest.
func TestNextHomeGrantsRestOfStreamInFlight(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a, b, c, program := threeInstances(t, memory, clock.Real{})
	for at := 1; budget.Home(program, []string{"b", "c"}) != "c"; at++ {
		program = homed(at, "a", "a", "b", "c")
	}
	const most, total = 567, 1500
	turn := beginPart(t, memory, b, program, most, total)
	require.NoError(t, a.Stop(ctx))
	a.up = false
	b.view, c.view = []string{"c"}, []string{"b"}
	second, err := whole(ctx, c.Keeper, program, most, total)
	require.NoError(t, err)
	require.NoError(t, turn.Extend(ctx))
	require.EqualValues(t, most, turn.Promised())
	turn.Settle(most)
	second.Settle(most)
	ledger, _ := programRow(t, memory, program)
	for name, account := range ledger.Accounts {
		assert.Zero(t, account.Reserved, name)
	}
}

// Guards against a rest that counts twice for ever: the account that grants it
// has enough left of a turn that ended, and writes no row.
func TestRestThatAccountHoldsCountsOnce(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a, b, c, program := threeInstances(t, memory, clock.Real{})
	const most, total = 567, 1701
	memory.SetFault(away) // the turn begins with a part
	turn, err := b.Reserve(ctx, program, most, total)
	require.NoError(t, err)
	require.NoError(t, turn.Extend(ctx), "the escrow's second part")
	begun := turn.Promised()
	require.Less(t, begun, int64(most))
	memory.SetFault(served)
	require.NoError(t, a.Stop(ctx))
	a.up = false
	second, err := whole(ctx, b.Keeper, program, most, total)
	require.NoError(t, err)
	second.Settle(200) // what a turn spends in the mean
	require.NoError(t, turn.Extend(ctx))
	require.EqualValues(t, most, turn.Promised())
	turn.Settle(most)
	require.NoError(t, b.Keeper.GiveBack(ctx, program))
	ledger, sum := programRow(t, memory, program)
	t.Log("begun with", begun, ledger.Accounts, sum)
	assert.EqualValues(t, most+200, sum.Used)
	const left = total - most - 200
	last, err := whole(ctx, c.Keeper, program, left, total)
	require.NoError(t, err, "the budget holds %d more", left)
	last.Settle(left)
}

// Guards against a stop that is tried again, as leave does, and reserves once
// more what was granted elsewhere meanwhile.
func TestStopTriedAgainReservesOnce(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a, b, c, program := threeInstances(t, memory, clock.Real{})
	_ = c
	const most, total = 567, 1701
	memory.SetFault(away)
	turn, err := b.Reserve(ctx, program, most, total)
	require.NoError(t, err)
	require.Less(t, turn.Promised(), int64(most))
	memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.LoseAnswer
		}
		return storetest.None
	})
	require.Error(t, a.Stop(ctx))
	memory.SetFault(served)
	require.NoError(t, turn.Extend(ctx))
	require.NoError(t, a.Stop(ctx))
	a.up = false
	turn.Settle(most)
	require.NoError(t, b.Stop(ctx))
	require.NoError(t, c.Stop(ctx))
	ledger, sum := programRow(t, memory, program)
	t.Log(ledger.Accounts, sum)
	assert.EqualValues(t, most, sum.Used)
}

// Guards against budget that nobody gives back: the sweep forgets a program at
// the instance that serves a borrowed turn of it, which then grants the rest.
func TestSweepKeepsProgramOfBorrowedTurn(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a, b, c, program := threeInstances(t, memory, clock.Real{})
	const most, total = 567, 1701
	memory.SetFault(away)
	turn, err := b.Reserve(ctx, program, most, total)
	require.NoError(t, err)
	memory.SetFault(served)
	b.SweepOnce(ctx)
	assert.Equal(t, 1, b.Len(), "a turn of it is in flight")
	require.NoError(t, a.Stop(ctx))
	a.up, c.up = false, false // b grants the rest itself
	require.NoError(t, turn.Extend(ctx))
	turn.Settle(300)
	c.up = true
	require.NoError(t, b.Stop(ctx))
	ledger, sum := programRow(t, memory, program)
	t.Log(ledger.Accounts, sum)
	assert.LessOrEqual(t, sum.Granted, int64(300), "b gave back what it does not use")
}

// stoppingHolders has something happen while others are asked to give back.
type stoppingHolders struct {
	*machine
	meanwhile func()
}

func (h stoppingHolders) GiveBack(ctx context.Context, program string, accounts []string) {
	h.meanwhile()
	h.machine.GiveBack(ctx, program, accounts)
}

// Guards against budget that a stopped home is granted after it gave back: a
// loan was asked for before the stop, and others were asked to give back.
func TestStoppedHomeIsGrantedNothingMore(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	_, b, _, program := threeInstances(t, memory, clock.Real{})
	const most, total = 567, 5000
	turn, err := whole(ctx, b.Keeper, program, most, total)
	require.NoError(t, err)
	_ = turn
	var home *account.Keeper
	home = account.NewKeeper(memory, "h-1", stoppingHolders{b, func() { assert.NoError(t, home.Stop(ctx)) }}, alwaysHome{b}, clock.Real{}, slog.New(slog.DiscardHandler), tally.NoopScope)
	// Others hold nearly all, and give it back when asked.
	_, err = whole(ctx, b.Keeper, program, 4000, total)
	require.NoError(t, err)
	loan, err := home.Lend(ctx, program, account.Borrowing{Turn: budget.Whole(400), Total: total})
	if err == nil {
		home.Repaid([]account.Repayment{{Loan: loan.ID, Spent: 100}})
	}
	ledger, _ := programRow(t, memory, program)
	t.Log(err, loan.Promised, ledger.Accounts)
	for name, a := range ledger.Accounts {
		if name[:2] == "h-" {
			assert.Zero(t, a.Granted, "%s has stopped, and gives nothing back any more", name)
		}
	}
}

// alwaysHome is the home of all programs.
type alwaysHome struct{ *machine }

func (alwaysHome) Home(string) string { return "" }

// Guards against repayments that are due as an instance ends: their loans count
// as spent.
func TestRepaymentsDueAtTheEndAreTold(t *testing.T) {
	told := 0
	const tries = 40
	for range tries {
		memory := storetest.New()
		a, b, _, program := threeInstances(t, memory, clock.Real{})
		turn, err := b.Reserve(context.Background(), program, 300, 1701)
		require.NoError(t, err)
		require.Equal(t, "a", turn.Home())
		turn.Settle(0)
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // while the repayments before were told
		done := make(chan error, 1)
		b.Keeper.Repay(ctx, done)
		require.NoError(t, <-done)
		require.NoError(t, a.Stop(context.Background()))
		_, sum := programRow(t, memory, program)
		if sum.Granted == 0 {
			told++
		}
	}
	assert.Equal(t, tries, told)
}

// Guards against a wait for what never comes: all others that hold something
// are known to have ended.
func TestRestThatIsLostIsNotWaitedFor(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a, b, c, program := threeInstances(t, memory, clock.Real{})
	a.site.knowsStarts = true
	const most, total = 567, 1200
	memory.SetFault(away)
	turn, err := b.Reserve(ctx, program, most, total)
	require.NoError(t, err)
	memory.SetFault(served)
	a.up = false
	_, err = whole(ctx, c.Keeper, program, most, total)
	require.NoError(t, err)
	_, err = whole(ctx, c.Keeper, program, 250, total)
	require.NoError(t, err)
	c.up = false
	a.site.start("a", "b", "c")
	a.site.start("c", "a", "b")
	var held *account.HeldError
	err = turn.Extend(ctx)
	assert.False(t, errors.As(err, &held), "told to wait: %v", err)
}

// Guards against budget that nobody gives back: an instance's grant stands in
// the store, and the answer to its write was lost.
func TestGrantWithoutAnswerIsGivenBack(t *testing.T) {
	for _, lost := range []storetest.Fault{storetest.LoseAnswer, storetest.LoseCall} {
		for _, stops := range []bool{false, true} {
			ctx := context.Background()
			memory := storetest.New()
			f := newFleet(memory, clock.Real{}, 2)
			memory.SetFault(func(string, string) storetest.Fault { return lost })
			_, err := f.keepers[0].Reserve(ctx, "p", 567, 1134)
			require.True(t, store.Is(err, store.FailureUnanswered), "%v", err)
			memory.SetFault(served)
			if stops {
				require.NoError(t, f.keepers[0].Stop(ctx))
				memory.ApplyLate()
				f.deaf.Store(true)
			}
			turn, err := f.keepers[1].Reserve(ctx, "p", 567, 1134)
			require.NoError(t, err, "answer lost %v, stops %v", lost, stops)
			turn.Settle(567)
			memory.ApplyLate()
			turn, err = f.keepers[1].Reserve(ctx, "p", 567, 1134)
			require.NoError(t, err, "answer lost %v, stops %v", lost, stops)
			turn.Settle(567)
		}
	}
}

// Guards against streams that break off in planned work while the store answers:
// their program's home stops, and another turn takes what they may still need.
func TestStreamsOutliveRollWhileStoreAnswers(t *testing.T) {
	ctx := context.Background()
	for _, total := range []int64{600, 900, 1134, 1701} {
		for _, stop := range []string{"a", "c"} {
			memory := storetest.New()
			a, b, c, program := threeInstances(t, memory, clock.Real{})
			const most = 567
			stream, err := b.Reserve(ctx, program, most, total)
			require.NoError(t, err)
			stops := map[string]*machine{"a": a, "c": c}[stop]
			var others []*account.Reservation
			reserve := func(at *machine) {
				if other, err := at.Reserve(ctx, program, most, total); err == nil {
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
				assert.Equal(t, int64(most), turn.Promised(), "budget %d, %s stops", total, stop)
			}
		}
	}
}
