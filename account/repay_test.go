package account_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// startRepaying starts instances a and b whose repayments are sent until the test ends, and
// returns them with a program whose home is a.
func startRepaying(t *testing.T) (a, b *instance, program string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cluster := &testCluster{store: storetest.New(), clock: clock.Real{}}
	a, b = cluster.start("a", "b"), cluster.start("b", "a")
	done := make(chan error, 1)
	go b.Manager.Repay(ctx, done)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return a, b, programWithHome(0, "a", "a", "b")
}

// Guards against turns that are refused for half a minute, since the home granted a loan
// whose response its borrower did not receive, and counts it as in use.
func TestUnansweredLoanIsCancelled(t *testing.T) {
	ctx := context.Background()
	a, b, program := startRepaying(t)
	var calls atomic.Int64
	b.callFails = func() bool { return calls.Add(1) == 2 } // the response to the first call
	turn, err := reserveInFull(ctx, b.Manager, program, 300, 1000)
	require.NoError(t, err, "granted by a row")
	turn.Settle(300)
	require.Eventually(t, func() bool {
		last, err := reserveInFull(ctx, a.Manager, program, 700, 1000)
		if err == nil {
			last.Settle(0)
		}
		return err == nil
	}, 5*time.Second, 20*time.Millisecond)
}

// Guards against a loan that is granted after its borrower gave it up.
func TestLateRequestOfCancelledLoanIsRefused(t *testing.T) {
	ctx := context.Background()
	a, _, program := startRepaying(t)
	borrowing := account.Borrowing{Turn: budget.FullTurn(300), Total: 1000, Key: 7}
	a.SettleLoans([]account.Repayment{{Key: 7}})
	_, err := a.Lend(ctx, program, borrowing)
	var cancelled *account.CancelledError
	require.ErrorAs(t, err, &cancelled)
	_, err = reserveInFull(ctx, a.Manager, program, 1000, 1000)
	require.NoError(t, err)
	borrowing.Key = 8
	_, err = a.Lend(ctx, "other", borrowing)
	require.NoError(t, err)
}

// Guards against tokens that count as spent since their repayment was not delivered at once,
// and against loans that are settled twice.
func TestRepaymentIsSentUntilDelivered(t *testing.T) {
	ctx := context.Background()
	a, b, program := startRepaying(t)
	turn, err := b.Reserve(ctx, program, 600, 1000)
	require.NoError(t, err)
	require.Equal(t, "a", turn.Home())
	var failures atomic.Int64
	b.callFails = func() bool { return failures.Add(1) <= 2 }
	turn.Settle(81)
	require.Eventually(t, func() bool { return failures.Load() >= 3 }, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		last, err := reserveInFull(ctx, a.Manager, program, 919, 1000)
		return err == nil && last != nil
	}, 5*time.Second, 20*time.Millisecond)
	_, err = reserveInFull(ctx, a.Manager, program, 1, 1000)
	assert.Error(t, err)
}

// Guards against repayments that wait for a home which does not respond.
func TestSilentHomeDelaysNoOtherRepayments(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cluster := &testCluster{store: storetest.New(), clock: clock.Real{}}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		cluster.start(name, names...)
	}
	a, b := cluster.running("a"), cluster.running("b")
	lenders := &silentHome{instance: b, home: "c", silent: make(chan struct{}), end: make(chan struct{})}
	b.Manager = cluster.newManager(b, lenders)
	done := make(chan error, 1)
	go b.Manager.Repay(ctx, done)
	first, err := b.Reserve(ctx, programWithHome(0, "c", names...), 600, 10_000)
	require.NoError(t, err)
	first.Settle(81)
	<-lenders.silent
	program := programWithHome(0, "a", names...)
	second, err := b.Reserve(ctx, program, 600, 10_000)
	require.NoError(t, err)
	second.Settle(81)
	require.Eventually(t, func() bool {
		_, err := reserveInFull(ctx, a.Manager, program, 9919, 10_000)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	close(lenders.end)
	cancel()
	require.NoError(t, <-done)
}

// silentHome is an instance's way to the others, one of which does not respond to
// repayments until end is closed; silent is closed once it was called.
type silentHome struct {
	*instance
	home        string
	silent, end chan struct{}
}

// Repay implements account.Lenders.
func (s *silentHome) Repay(ctx context.Context, name string, repayments []account.Repayment) error {
	if name != s.home {
		return s.instance.Repay(ctx, name, repayments)
	}
	select {
	case <-s.silent:
	default:
		close(s.silent)
	}
	<-s.end
	return errUnreachable
}

// Guards against a program that is told that its budget is spent, since the repayment of its
// turn before is still on its way to the home.
func TestTightLoanIsRepaidBeforeResponseEnds(t *testing.T) {
	ctx := context.Background()
	_, b, program := startRepaying(t)
	for turn := range 7 {
		reservation, err := b.Reserve(ctx, program, 567, 1105)
		require.NoError(t, err, "turn %d", turn)
		reservation.Settle(81)
	}
	_, err := b.Reserve(ctx, program, 567, 1105)
	var spent *account.SpentError
	require.ErrorAs(t, err, &spent)
}

// Guards against a turn that is told that the budget is spent, since a turn in parallel began
// after the loan of the turn before, or since it is larger.
func TestTightLoansOfUnequalTurnsAreRepaidFirst(t *testing.T) {
	ctx := context.Background()
	a, b, program := startRepaying(t)
	first, err := b.Reserve(ctx, program, 500, 1200)
	require.NoError(t, err)
	parallel, err := b.Reserve(ctx, program, 500, 1200)
	require.NoError(t, err)
	first.Settle(100)
	_, err = reserveInFull(ctx, a.Manager, program, 500, 1200)
	require.NoError(t, err)
	parallel.Settle(100)

	program = programWithHome(1, "a", "a", "b")
	small, err := b.Reserve(ctx, program, 500, 1105)
	require.NoError(t, err)
	small.Settle(100)
	_, err = reserveInFull(ctx, a.Manager, program, 700, 1105)
	require.NoError(t, err)
}

// Guards against a turn that is told that the budget is spent, as was found while a turn was
// in flight that has ended since.
func TestSpentIsForgottenOnceTurnEnds(t *testing.T) {
	ctx := context.Background()
	a, b, program := startRepaying(t)
	for _, through := range []*instance{b, a} {
		first, err := through.Reserve(ctx, program, 500, 800)
		require.NoError(t, err)
		_, err = through.Reserve(ctx, program, 500, 800)
		var spent *account.SpentError
		require.ErrorAs(t, err, &spent)
		assert.True(t, through.RecentlySpent(program, 500, 800))
		first.Settle(100)
		next, err := through.Reserve(ctx, program, 500, 800)
		require.NoError(t, err)
		next.Settle(0)
	}
}
