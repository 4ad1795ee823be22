package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/budget"
)

// serve grants and begins a further part of a turn.
func serve(t *testing.T, usage *budget.Usage, r *row, turn budget.Turn, total int64) {
	t.Helper()
	for {
		decision, ledger := usage.Decide(turn, total)
		if decision == budget.DecisionServe {
			usage.Begin(turn)
			return
		}
		require.Equal(t, budget.DecisionGrant, decision)
		require.True(t, r.write(t, ledger, usage.Version()))
		usage.SetRow(ledger, r.version)
	}
}

// used returns the tokens used or reserved by all accounts.
func used(ledger *budget.Ledger) (sum int64) {
	for _, account := range ledger.Accounts {
		sum += account.Used + account.Reserved
	}
	return sum
}

// granted returns the tokens granted by all accounts.
func granted(ledger *budget.Ledger) (sum int64) {
	for _, account := range ledger.Accounts {
		sum += account.Granted
	}
	return sum
}

// Guards against a running instance's unused maximum being deducted in place of
// the reservation of a stopped one.
func TestRemainderIsNotTakenFromRunningAccount(t *testing.T) {
	const most, total = 500, 4000
	part := budget.InitialPart(most)
	r := &row{}
	running, stopped := newUsage(t, "a.1", r), (*budget.Usage)(nil)
	serve(t, running, r, part, total)
	release := running.Release(false) // as requested by another instance
	require.True(t, r.write(t, release, running.Version()))
	running.SetRow(release, r.version)
	stopped = newUsage(t, "s.1", r)
	serve(t, stopped, r, part, total)
	release = stopped.Release(true) // the instance stops
	require.True(t, r.write(t, release, stopped.Version()))

	successor := newUsage(t, "t.1", r)
	remainder := int64(most) - part.Part
	serve(t, successor, r, budget.Turn{Part: remainder, Most: remainder, Rest: true}, total) // the turn of the stopped instance
	t.Log(r.read(t).Accounts)
	running.SetRow(r.read(t), r.version)
	serve(t, running, r, budget.Turn{Part: remainder, Rest: true}, total) // the turn of the running instance
	running.End(budget.Turn{Part: most, Most: most}, most)
	successor.End(budget.Turn{Part: remainder, Most: remainder}, remainder)
	for _, u := range []*budget.Usage{running, successor} {
		u.SetRow(r.read(t), r.version)
		if release := u.Release(false); release != nil {
			require.True(t, r.write(t, release, u.Version()))
			u.SetRow(release, r.version)
		}
	}
	t.Log(r.read(t).Accounts)
	assert.EqualValues(t, 2*most, used(r.read(t)), "two turns spent their maximum")
}

// Guards against a reservation that is not reduced when a grant with headroom
// covers the remainder without a further grant.
func TestRemainderCoveredByHeadroomReducesReserve(t *testing.T) {
	const most, total = 500, 9000
	part := budget.InitialPart(most)
	r := &row{}
	stopped := newUsage(t, "s.1", r)
	serve(t, stopped, r, part, total)
	release := stopped.Release(true)
	require.True(t, r.write(t, release, stopped.Version()))
	home := newUsage(t, "t.1", r)
	serve(t, home, r, budget.FullTurn(most), total)
	remainder := int64(most) - part.Part
	serve(t, home, r, budget.Turn{Part: remainder, Most: remainder, Rest: true}, total)
	home.End(budget.FullTurn(most), most)
	home.End(budget.Turn{Part: remainder, Most: remainder}, remainder)
	release = home.Release(false)
	require.True(t, r.write(t, release, home.Version()))
	t.Log(r.read(t).Accounts)
	assert.EqualValues(t, 2*most, used(r.read(t)))
}

// Guards against a second part of a remainder that is served without a grant,
// at an account other than the one that began the turn.
func TestSecondPartOfRemainderNeedsGrant(t *testing.T) {
	const most, total = 500, 700
	r := &row{}
	other := newUsage(t, "o.1", r)
	serve(t, other, r, budget.FullTurn(550), total)
	require.True(t, r.write(t, other.Release(false), other.Version()), "the other account releases its headroom")
	usage := newUsage(t, "t.1", r)
	first := budget.Turn{Part: 150, Most: 150, Rest: true}
	serve(t, usage, r, first, total)
	second := budget.Turn{Part: 150, Rest: true}
	decision, _ := usage.Decide(second, total)
	assert.NotEqual(t, budget.DecisionServe, decision, "granted %d, promised %d", usage.Granted(), usage.Used())
}

// Guards against a doubled reservation when a stop whose response was lost is
// retried after another account has granted the remainder.
func TestRetriedStopDoesNotReserveTwice(t *testing.T) {
	const most, total = 500, 4000
	part := budget.InitialPart(most)
	r := &row{}
	stopped := newUsage(t, "s.1", r)
	serve(t, stopped, r, part, total)
	require.True(t, r.write(t, stopped.Release(true), stopped.Version())) // the response is lost
	successor := newUsage(t, "t.1", r)
	remainder := int64(most) - part.Part
	serve(t, successor, r, budget.Turn{Part: remainder, Most: remainder, Rest: true}, total)
	retried := stopped.Release(true)
	require.False(t, r.write(t, retried, stopped.Version()))
	stopped.SetRow(r.read(t), r.version)
	if retried = stopped.Release(true); retried != nil {
		require.True(t, r.write(t, retried, stopped.Version()))
	}
	t.Log(r.read(t).Accounts)
	assert.EqualValues(t, most, used(r.read(t)))
}

// TestRandomHistoriesOfPartsNeverOverspend extends
// TestRandomHistoriesNeverOverspend by turns that begin with a part. Their
// remainder is granted in one part or two, by the account that began them or,
// as when their home has stopped or is unreachable, by another account.
func TestRandomHistoriesOfPartsNeverOverspend(t *testing.T) {
	worst, violations := int64(0), 0
	for seed := range uint64(3000) {
		if excess := runPartialHistory(t, seed); excess > 0 {
			violations++
			worst = max(worst, excess)
		}
	}
	require.Zero(t, violations, "histories promised more than the budget, the worst by %d tokens", worst)
}

// partialTurn is a turn in flight: what it was promised at usage, which began
// it, and at next, which grants its remainder if that is another account.
type partialTurn struct {
	usage, next   *budget.Usage
	first, second budget.Turn
	maxTokens     int64
}

// promised returns the tokens promised to the turn by both accounts.
func (turn *partialTurn) promised() int64 { return turn.first.Part + turn.second.Part }

// runPartialHistory runs one random history, and returns the maximum of the
// tokens promised or granted above the budget, or 0 if there were none.
func runPartialHistory(t *testing.T, seed uint64) (excess int64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	total := int64(900 + rng.IntN(1200))
	r := &row{}
	usages := []*budget.Usage{}
	for n := range 4 {
		usages = append(usages, newUsage(t, fmt.Sprintf("i.%d", n), r))
	}
	begin := func(usage *budget.Usage, turn budget.Turn) bool {
		for range 3 {
			decision, ledger := usage.Decide(turn, total)
			switch {
			case decision == budget.DecisionServe:
				usage.Begin(turn)
				return true
			case decision != budget.DecisionGrant:
				usage.SetRow(r.read(t), r.version)
			case r.write(t, ledger, usage.Version()):
				usage.SetRow(ledger, r.version)
			default:
				usage.SetRow(r.read(t), r.version)
			}
		}
		return false
	}
	var inFlight []*partialTurn
	var delivered int64
	for range 200 {
		usage := usages[rng.IntN(len(usages))]
		switch rng.IntN(7) {
		case 0, 1:
			maxTokens := int64(50 + rng.IntN(500))
			for _, first := range []budget.Turn{budget.FullTurn(maxTokens), budget.InitialPart(maxTokens)} {
				if rng.IntN(2) == 0 && begin(usage, first) {
					inFlight = append(inFlight, &partialTurn{usage: usage, first: first, maxTokens: maxTokens})
					break
				}
			}
		case 2, 3, 4:
			if len(inFlight) == 0 {
				continue
			}
			turn := inFlight[rng.IntN(len(inFlight))]
			remainder := turn.maxTokens - turn.promised()
			for _, part := range []int64{remainder, remainder / 2} {
				if part <= 0 {
					continue
				}
				if turn.next == nil && rng.IntN(2) == 0 { // at the home of the turn
					if begin(turn.usage, budget.Turn{Part: part, Rest: true}) {
						turn.first.Part += part
						break
					}
					continue
				}
				more := budget.Turn{Part: part, Rest: true}
				if turn.next == nil {
					if usage == turn.usage {
						continue
					}
					more.Most = part
					if begin(usage, more) {
						turn.next, turn.second = usage, budget.Turn{Part: part, Most: part}
						break
					}
					continue
				}
				if begin(turn.next, more) {
					turn.second.Part += part
					break
				}
			}
		case 5:
			if len(inFlight) > 0 {
				at := rng.IntN(len(inFlight))
				turn := inFlight[at]
				inFlight = append(inFlight[:at], inFlight[at+1:]...)
				spent := rng.Int64N(2) * turn.promised()
				delivered += spent
				turn.usage.End(turn.first, min(spent, turn.first.Part))
				if turn.next != nil {
					turn.next.End(turn.second, max(spent-turn.first.Part, 0))
				}
			}
		case 6:
			if ledger := usage.Release(rng.IntN(2) == 0); ledger != nil {
				if r.write(t, ledger, usage.Version()) {
					usage.SetRow(ledger, r.version)
				} else {
					usage.SetRow(r.read(t), r.version)
				}
			}
		}
		promised := delivered
		for _, turn := range inFlight {
			promised += turn.promised()
		}
		excess = max(excess, promised-total, granted(r.read(t))-total)
	}
	return excess
}
