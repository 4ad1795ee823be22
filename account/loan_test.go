package account_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"strconv"
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

var errLost = errors.New("request or response lost")

// lendingFleet is a fleet whose first instance is the home of all programs.
type lendingFleet struct {
	fleet
	// lose decides whether the response of a call between instances is lost.
	lose func() bool
	// repaid counts the repayments delivered.
	repaid atomic.Int64
}

// fleetClient implements account.Lenders for one instance of the fleet.
type fleetClient struct {
	*lendingFleet
	self string
}

func (l fleetClient) Home(string) string {
	if l.self == "i0" {
		return ""
	}
	return "i0"
}

func (l fleetClient) Borrow(ctx context.Context, _, program string, borrowing account.Borrowing) (account.Loan, error) {
	if l.unreachable.Load() {
		return account.Loan{}, errLost
	}
	loan, err := l.managers[0].Lend(ctx, program, borrowing)
	if l.lose() {
		return account.Loan{}, errLost
	}
	return loan, err
}

func (l fleetClient) Repay(_ context.Context, _ string, repayments []account.Repayment) error {
	if l.unreachable.Load() || l.lose() {
		return errLost
	}
	l.managers[0].SettleLoans(repayments)
	l.repaid.Add(int64(len(repayments)))
	return nil
}

// newLendingFleet returns a fleet whose instances send repayments until the
// test ends.
func newLendingFleet(t *testing.T, s store.Store, clk clock.Clock, instances int, lose func() bool) *lendingFleet {
	t.Helper()
	l := &lendingFleet{lose: lose}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, instances)
	for i := range instances {
		name := "i" + strconv.Itoa(i)
		manager := account.NewManager(s, name, &l.fleet, fleetClient{lendingFleet: l, self: name}, clk, slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope)
		l.managers = append(l.managers, manager)
		go manager.Repay(ctx, done)
	}
	t.Cleanup(func() {
		cancel()
		for range instances {
			require.NoError(t, <-done)
		}
	})
	return l
}

func neverFails() bool { return false }

// Guards against a write of the program's row by each instance that serves its
// turns: in a burst, the store rejected a third of all writes for exceeding
// its rate. Eleven turns through eight instances, each with its own account,
// took four writes a program on average and up to forty. With loans from the
// home, a program whose budget is 1.6 times the total maximum of its turns
// takes one write.
func TestTurnsThroughManyInstancesWriteOneRow(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	l := newLendingFleet(t, memory, clock.Real{}, 8, neverFails)
	const maxTokens, total = 567, 9900
	var lent int64
	for turn := range 11 {
		reservation, err := l.managers[turn%8].Reserve(ctx, "p", maxTokens, total)
		require.NoError(t, err)
		reservation.Settle(maxTokens / 2)
		if reservation.Home() != "" {
			lent++
		}
		require.Eventually(t, func() bool { return l.repaid.Load() == lent }, time.Second, time.Millisecond, "the repayment arrives before the tool calls end")
	}
	assert.Equal(t, int64(9), lent, "the two turns through the home need no loan")
	assert.Equal(t, 1, memory.Commits())
}

// Guards against conversations that an engine computes again, 3,700 tokens a
// turn, although another engine has them cached. Turns come through several
// instances, and each records only the locations of its own turns. The home
// returns the newest location with each loan, also for turns that it served
// itself.
func TestLoanCarriesCacheLocations(t *testing.T) {
	ctx := context.Background()
	l := newLendingFleet(t, storetest.New(), clock.Real{}, 3, neverFails)
	turn := func(instance int, endpoint string) []account.Place {
		reservation, err := reserveInFull(ctx, l.managers[instance], "p", 100, 9900, "conversation", "helper")
		require.NoError(t, err)
		before := l.repaid.Load()
		reservation.SetCacheLocation(account.Place{Part: "conversation", Endpoint: endpoint, Tokens: 5000})
		reservation.Settle(50)
		if reservation.Home() != "" {
			require.Eventually(t, func() bool { return l.repaid.Load() > before }, time.Second, time.Millisecond)
		}
		return reservation.CacheLocations()
	}
	assert.Empty(t, turn(1, "e1"))
	assert.Equal(t, []account.Place{{Part: "conversation", Endpoint: "e1", Tokens: 5000}}, turn(2, "e2"))
	assert.Equal(t, []account.Place{{Part: "conversation", Endpoint: "e2", Tokens: 5000}}, turn(0, "e3"))
	assert.Equal(t, []account.Place{{Part: "conversation", Endpoint: "e3", Tokens: 5000}}, turn(1, "e1"))
}

// The unused tokens of a repaid loan are available to the next turn, and a
// spent budget is refused by every instance.
func TestRepaidLoanIsLentAgain(t *testing.T) {
	ctx := context.Background()
	l := newLendingFleet(t, storetest.New(), clock.Real{}, 3, neverFails)
	first, err := l.managers[1].Reserve(ctx, "p", 567, 1000)
	require.NoError(t, err)
	assert.Equal(t, "i0", first.Home())
	_, err = l.managers[2].Reserve(ctx, "p", 567, 1000)
	var spent *account.SpentError
	require.ErrorAs(t, err, &spent)
	assert.True(t, l.managers[2].RecentlySpent("p", 567, 1000))
	first.Settle(100)
	assert.Eventually(t, func() bool { return l.repaid.Load() == 1 }, time.Second, time.Millisecond)
	_, err = reserveInFull(ctx, l.managers[1], "p", 567, 1000)
	assert.NoError(t, err)
}

// Guards against a program that, after a crash of its home, is refused or
// spends again what the home had lent. The home's record of its loans was only
// in memory. The home's grant counts as spent, and the remainder is granted by
// an account of the instance that serves the turn.
func TestProgramContinuesAfterHomeCrash(t *testing.T) {
	ctx := context.Background()
	l := newLendingFleet(t, storetest.New(), clock.Real{}, 2, neverFails)
	const maxTokens, total = 567, 9900
	var generated int64
	serve := func() error {
		reservation, err := reserveInFull(ctx, l.managers[1], "p", maxTokens, total)
		if err != nil {
			return err
		}
		reservation.Settle(maxTokens / 2)
		generated += maxTokens / 2
		return nil
	}
	require.NoError(t, serve())
	l.unreachable.Store(true)
	served := 0
	for serve() == nil {
		served++
	}
	assert.GreaterOrEqual(t, served, 10)
	assert.LessOrEqual(t, generated, int64(total))
}

// An unrepaid loan counts as lost: the borrowing instance may have crashed
// after it spent all of it.
func TestUnrepaidLoanCountsAsLost(t *testing.T) {
	ctx := context.Background()
	clk := clock.NewFake(time.Unix(1000, 0))
	l := newLendingFleet(t, storetest.New(), clk, 1, neverFails)
	_, err := l.managers[0].Lend(ctx, "p", account.Borrowing{Turn: budget.FullTurn(567), Total: 1000})
	require.NoError(t, err)
	clk.Advance(time.Minute)
	_, err = reserveInFull(ctx, l.managers[0], "p", 567, 1000)
	require.NoError(t, err, "it may exceed the budget by one turn's maximum")
	_, err = reserveInFull(ctx, l.managers[0], "p", 434, 1000)
	var spent *account.SpentError
	assert.ErrorAs(t, err, &spent)
}

// An instance that released its grants when it stopped refuses loans, since it
// would not release their tokens.
func TestStoppedInstanceRefusesLoans(t *testing.T) {
	ctx := context.Background()
	l := newLendingFleet(t, storetest.New(), clock.Real{}, 1, neverFails)
	require.NoError(t, l.managers[0].Stop(ctx))
	_, err := l.managers[0].Lend(ctx, "p", account.Borrowing{Turn: budget.FullTurn(567), Total: 1000})
	var stopped *account.StoppedError
	assert.ErrorAs(t, err, &stopped)
}

// TestLoansNeverExceedBudget runs many turns of one program through four
// instances at once and checks that the tokens spent stay within the budget. A
// third of the store's calls and a fifth of the calls between instances fail,
// lose their responses or are applied late, and instances crash with unrepaid
// loans.
func TestLoansNeverExceedBudget(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 11))
		memory := storetest.New()
		memory.SetFault(storetest.RandomFaults(rng, 0.3, storetest.Refuse, storetest.LoseResponse, storetest.LoseRequest))
		var mu sync.Mutex
		between := rand.New(rand.NewPCG(seed, 12))
		l := newLendingFleet(t, memory, clock.Real{}, 4, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return between.Float64() < 0.2
		})
		const total = 5000
		var generated, served atomic.Int64
		var callers sync.WaitGroup
		for caller := range 16 {
			callers.Go(func() {
				draw := rand.New(rand.NewPCG(seed, uint64(caller)))
				for range 20 {
					maxTokens := 50 + draw.Int64N(300)
					turn, err := reserveInFull(context.Background(), l.managers[draw.IntN(4)], "p", maxTokens, total)
					if err != nil {
						continue
					}
					spent := draw.Int64N(maxTokens + 1)
					served.Add(1)
					if draw.IntN(10) > 0 {
						generated.Add(spent)
						turn.Settle(spent)
					} else {
						generated.Add(maxTokens) // crashes after it spent all
					}
					if draw.IntN(5) == 0 {
						memory.ApplyLost()
					}
				}
			})
		}
		callers.Wait()
		assert.LessOrEqual(t, generated.Load(), int64(total), "seed %d", seed)
		assert.Positive(t, served.Load())
	}
}

// Guards against a program that exceeds its budget after a restart of its
// home. Both incarnations numbered their loans from one, so a late repayment
// to the earlier incarnation settled a loan of another program whose turn was
// still generating.
func TestRepaymentToEarlierIncarnationIsIgnored(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	borrowing := account.Borrowing{Turn: budget.FullTurn(500), Total: 1000}
	first := newFleet(memory, clock.Real{}, 1).managers[0]
	old, err := first.Lend(ctx, "p", borrowing)
	require.NoError(t, err)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	second := account.NewManager(memory, "restarted", &fleet{}, noLenders{}, clock.Real{}, log, tally.NoopScope)
	_, err = second.Lend(ctx, "q", borrowing)
	require.NoError(t, err)
	second.SettleLoans([]account.Repayment{{Loan: old.ID, Spent: 0}})
	_, err = second.Lend(ctx, "q", account.Borrowing{Turn: budget.FullTurn(501), Total: 1000})
	var spent *account.SpentError
	require.ErrorAs(t, err, &spent)
}
