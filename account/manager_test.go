package account_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// fleet holds the managers of several instances over one store. It implements
// account.Owners for all of them.
type fleet struct {
	managers    []*account.Manager
	unreachable atomic.Bool
}

func (f *fleet) OwnerTerminated(string) bool { return false }

func (f *fleet) ReleaseUnused(ctx context.Context, program string, _ []string) []string {
	if f.unreachable.Load() {
		return nil
	}
	for _, manager := range f.managers {
		_ = manager.ReleaseUnused(ctx, program) // the row shows what was not released
	}
	return nil
}

// noLenders makes each instance the home of all programs, so that there are no
// loans.
type noLenders struct{}

func (noLenders) Home(string) string { return "" }

func (noLenders) Borrow(context.Context, string, string, account.Borrowing) (account.Loan, error) {
	return account.Loan{}, nil
}

func (noLenders) Repay(context.Context, string, []account.Repayment) error { return nil }

func newFleet(s store.Store, clk clock.Clock, instances int) *fleet {
	f := &fleet{}
	for i := range instances {
		f.managers = append(f.managers, account.NewManager(s, fmt.Sprintf("i%d", i), f, noLenders{}, clk, slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope))
	}
	return f
}

// reserveInFull reserves all tokens that a turn may generate.
func reserveInFull(ctx context.Context, manager *account.Manager, program string, turn, total int64, parts ...string) (*account.Reservation, error) {
	reservation, err := manager.Reserve(ctx, program, turn, total, parts...)
	if err != nil {
		return nil, err
	}
	if err := reservation.Extend(ctx); err != nil {
		reservation.Settle(0)
		return nil, err
	}
	if reservation.GrantedTokens() < turn {
		reservation.Settle(0)
		return nil, account.NewHeldError(program, "")
	}
	return reservation, nil
}

func TestTurnsOfProgramShareBudget(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	clk := clock.NewFake(time.Unix(1000, 0))
	f := newFleet(memory, clk, 3)
	// Three turns of 567 tokens fit 1,701 through any instance. Each instance
	// holds more than its turn needs and releases it on request.
	var turns []*account.Reservation
	for _, manager := range f.managers {
		turn, err := reserveInFull(ctx, manager, "p", 567, 1701)
		require.NoError(t, err)
		turns = append(turns, turn)
	}
	_, err := reserveInFull(ctx, f.managers[0], "p", 567, 1701)
	var spent *account.SpentError
	require.ErrorAs(t, err, &spent)
	before := memory.Commits()
	_, err = reserveInFull(ctx, f.managers[0], "p", 567, 1701)
	require.ErrorAs(t, err, &spent)
	assert.Equal(t, before, memory.Commits(), "the refusal is cached and needs no store call")
	// The unused tokens of ended turns are available to the next turn.
	for _, turn := range turns {
		turn.Settle(27)
	}
	clk.Advance(time.Second)
	_, err = reserveInFull(ctx, f.managers[0], "p", 567, 1701)
	require.NoError(t, err)
}

// Guards against a program that spends its budget twice after a power loss of
// all instances, because its usage was recorded only in memory.
func TestBudgetSurvivesRestartOfAllInstances(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	clk := clock.NewFake(time.Unix(1000, 0))
	first := newFleet(memory, clk, 1)
	for range 2 {
		turn, err := reserveInFull(ctx, first.managers[0], "p", 500, 1100)
		require.NoError(t, err)
		turn.Settle(500)
	}
	second := &fleet{}
	second.managers = append(second.managers, account.NewManager(memory, "restarted", second, noLenders{}, clk, slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope))
	_, err := reserveInFull(ctx, second.managers[0], "p", 500, 1100)
	var spent *account.SpentError
	assert.ErrorAs(t, err, &spent)
}

// Guards against the refusal of all turns of a running program while the store
// is unavailable, because each turn needs a write.
func TestRunningProgramServedDuringStoreOutage(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	f := newFleet(memory, clock.Real{}, 1)
	// Turns of at most 567 tokens that spend half of them. The budget of a
	// program of eleven turns is 1.6 times their total maximum.
	const maxTokens, total = 567, 9900
	turn, err := reserveInFull(ctx, f.managers[0], "p", maxTokens, total)
	require.NoError(t, err)
	turn.Settle(maxTokens / 2)
	memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	served := 0
	for range 20 {
		turn, err := reserveInFull(ctx, f.managers[0], "p", maxTokens, total)
		if err != nil {
			assert.True(t, store.Is(err, store.FailureRefused), "%v", err)
			break
		}
		turn.Settle(maxTokens / 2)
		served++
	}
	assert.GreaterOrEqual(t, served, 8)
	_, err = reserveInFull(ctx, f.managers[0], "new", maxTokens, total)
	assert.True(t, store.Is(err, store.FailureRefused), "a program without a grant is not served")
}

// Guards against a program whose turns are refused although its budget is
// hardly used. A crashed instance holds a part of the budget, which counts as
// spent since it may have been; the remainder must stay available.
func TestCrashedInstanceCostsOnlyItsGrant(t *testing.T) {
	ctx := context.Background()
	f := newFleet(storetest.New(), clock.Real{}, 2)
	turn, err := reserveInFull(ctx, f.managers[0], "p", 567, 2700)
	require.NoError(t, err)
	turn.Settle(200)
	f.unreachable.Store(true)
	served := 0
	for range 10 {
		turn, err := reserveInFull(ctx, f.managers[1], "p", 567, 2700)
		if err != nil {
			var held *account.HeldError
			require.ErrorAs(t, err, &held)
			break
		}
		turn.Settle(250)
		served++
	}
	assert.GreaterOrEqual(t, served, 3)
}

// TestConcurrentTurnsNeverExceedBudget runs many turns of one program through
// four instances at once while the store rejects calls, loses responses and
// applies writes late, and checks that the tokens spent stay within the
// budget.
func TestConcurrentTurnsNeverExceedBudget(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 7))
		memory := storetest.New()
		memory.SetFault(storetest.RandomFaults(rng, 0.3, storetest.Refuse, storetest.LoseResponse, storetest.LoseRequest))
		f := newFleet(memory, clock.Real{}, 4)
		const total = 5000
		var generated, served atomic.Int64
		var callers sync.WaitGroup
		for caller := range 16 {
			callers.Go(func() {
				draw := rand.New(rand.NewPCG(seed, uint64(caller)))
				for range 20 {
					maxTokens := 50 + draw.Int64N(300)
					turn, err := reserveInFull(context.Background(), f.managers[draw.IntN(4)], "p", maxTokens, total)
					if err != nil {
						continue
					}
					spent := draw.Int64N(maxTokens + 1)
					generated.Add(spent)
					served.Add(1)
					if draw.IntN(10) > 0 { // some instances crash during the turn
						turn.Settle(spent)
					} else {
						generated.Add(maxTokens - spent)
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

// Guards against programs with several concurrent conversations that cannot
// finish after a power loss, with a tenth of their budget spent. The turns
// come through eight instances, each of which held a quarter of the then
// remaining budget, which left a tenth.
func TestCrashOfAllInstancesLeavesMostOfBudget(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	const maxTokens, total = 589, 15100
	first := newFleet(memory, clock.Real{}, 8)
	for _, manager := range first.managers {
		_, err := reserveInFull(ctx, manager, "p", maxTokens, total)
		require.NoError(t, err)
	}
	second := &fleet{}
	second.managers = append(second.managers, account.NewManager(memory, "restarted", second, noLenders{}, clock.Real{}, slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope))
	served := 0
	for range 30 {
		turn, err := reserveInFull(ctx, second.managers[0], "p", maxTokens, total)
		if err != nil {
			break
		}
		turn.Settle(maxTokens / 2)
		served++
	}
	assert.GreaterOrEqual(t, served, 12)
}

// Guards against a stop that releases the grant of each program by a write of
// its own. When 16 of 34 instances with 160 programs each were stopped in
// turn, the store had three times the writes of a burst (3,429 in two seconds
// against 1,100). Programs whose rows other instances wrote meanwhile are
// released as well.
func TestStopReleasesGrantsInFewTransactions(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	f := newFleet(memory, clock.Real{}, 2)
	for n := range 160 {
		turn, err := reserveInFull(ctx, f.managers[0], fmt.Sprint("p", n), 500, 5000)
		require.NoError(t, err)
		turn.Settle(100)
	}
	before := memory.Commits()
	require.NoError(t, f.managers[0].Stop(ctx))
	assert.LessOrEqual(t, memory.Commits()-before, 4)
	turn, err := reserveInFull(ctx, f.managers[0], "shared", 500, 5000)
	require.NoError(t, err)
	turn.Settle(100)
	_, err = reserveInFull(ctx, f.managers[1], "shared", 500, 5000)
	require.NoError(t, err)
	f.unreachable.Store(true)
	require.NoError(t, f.managers[0].Stop(ctx))
	for n := range 160 {
		_, err := reserveInFull(ctx, f.managers[1], fmt.Sprint("p", n), 4900, 5000)
		require.NoError(t, err)
	}
	_, err = reserveInFull(ctx, f.managers[1], "shared", 4400, 5000)
	require.NoError(t, err)
}

func TestStopReleasesUnusedGrant(t *testing.T) {
	ctx := context.Background()
	f := newFleet(storetest.New(), clock.Real{}, 2)
	turn, err := reserveInFull(ctx, f.managers[0], "p", 500, 1000)
	require.NoError(t, err)
	turn.Settle(100)
	require.NoError(t, f.managers[0].Stop(ctx))
	f.unreachable.Store(true)
	_, err = reserveInFull(ctx, f.managers[1], "p", 900, 1000)
	assert.NoError(t, err)
}
