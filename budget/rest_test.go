package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/budget"
)

// rest grants and begins another part of a turn.
func rest(t *testing.T, usage *budget.Usage, r *row, turn budget.Turn, total int64) {
	t.Helper()
	for {
		decision, ledger := usage.Decide(turn, total)
		if decision == budget.DecisionServe {
			usage.Begin(turn)
			return
		}
		require.Equal(t, budget.DecisionGrant, decision)
		require.True(t, r.write(t, ledger, usage.Version()))
		usage.Written(ledger, r.version)
	}
}

// used returns what all accounts tell as used or reserve.
func used(ledger *budget.Ledger) (sum int64) {
	for _, account := range ledger.Accounts {
		sum += account.Used + account.Reserved
	}
	return sum
}

// granted returns what all accounts grant.
func granted(ledger *budget.Ledger) (sum int64) {
	for _, account := range ledger.Accounts {
		sum += account.Granted
	}
	return sum
}

// A live instance's reserve is taken for that of a stopped one.
func TestReserveOfLiveAccountIsNotTakenOff(t *testing.T) {
	const most, total = 500, 4000
	part := budget.FirstPart(most)
	r := &row{}
	live, stopped := newUsage(t, "a.1", r), (*budget.Usage)(nil)
	rest(t, live, r, part, total)
	release := live.Release(false) // as another instance asked
	require.True(t, r.write(t, release, live.Version()))
	live.Written(release, r.version)
	stopped = newUsage(t, "s.1", r)
	rest(t, stopped, r, part, total)
	release = stopped.Release(true) // it stops
	require.True(t, r.write(t, release, stopped.Version()))

	taker := newUsage(t, "t.1", r)
	left := int64(most) - part.Part
	rest(t, taker, r, budget.Turn{Part: left, Most: left, Rest: true}, total) // the stopped one's turn
	t.Log(r.read(t).Accounts)
	live.Written(r.read(t), r.version)
	rest(t, live, r, budget.Turn{Part: left, Rest: true}, total) // the live one's turn
	live.End(budget.Turn{Part: most, Most: most}, most)
	taker.End(budget.Turn{Part: left, Most: left}, left)
	for _, u := range []*budget.Usage{live, taker} {
		u.Written(r.read(t), r.version)
		if release := u.Release(false); release != nil {
			require.True(t, r.write(t, release, u.Version()))
			u.Written(release, r.version)
		}
	}
	t.Log(r.read(t).Accounts)
	assert.EqualValues(t, 2*most, used(r.read(t)), "two turns spent all they could")
}

// The rest that a grant with headroom holds already is served without a write.
func TestRestServedByHeadroomIsTakenOff(t *testing.T) {
	const most, total = 500, 9000
	part := budget.FirstPart(most)
	r := &row{}
	stopped := newUsage(t, "s.1", r)
	rest(t, stopped, r, part, total)
	release := stopped.Release(true)
	require.True(t, r.write(t, release, stopped.Version()))
	home := newUsage(t, "t.1", r)
	rest(t, home, r, budget.Whole(most), total)
	left := int64(most) - part.Part
	rest(t, home, r, budget.Turn{Part: left, Most: left, Rest: true}, total)
	home.End(budget.Whole(most), most)
	home.End(budget.Turn{Part: left, Most: left}, left)
	release = home.Release(false)
	require.True(t, r.write(t, release, home.Version()))
	t.Log(r.read(t).Accounts)
	assert.EqualValues(t, 2*most, used(r.read(t)))
}

// A rest that another account grants in two parts.
func TestSecondPartOfRestIsGranted(t *testing.T) {
	const most, total = 500, 700
	r := &row{}
	other := newUsage(t, "o.1", r)
	rest(t, other, r, budget.Whole(550), total)
	require.True(t, r.write(t, other.Release(false), other.Version()), "it gives its headroom back")
	usage := newUsage(t, "t.1", r)
	first := budget.Turn{Part: 150, Most: 150, Rest: true}
	rest(t, usage, r, first, total)
	second := budget.Turn{Part: 150, Rest: true}
	decision, _ := usage.Decide(second, total)
	assert.NotEqual(t, budget.DecisionServe, decision, "granted %d, promised %d", usage.Granted(), usage.Used())
}

// A stop whose answer was lost is tried again after the rest was taken over.
func TestStopTriedAgainDoesNotReserveTwice(t *testing.T) {
	const most, total = 500, 4000
	part := budget.FirstPart(most)
	r := &row{}
	stopped := newUsage(t, "s.1", r)
	rest(t, stopped, r, part, total)
	require.True(t, r.write(t, stopped.Release(true), stopped.Version())) // the answer is lost
	taker := newUsage(t, "t.1", r)
	left := int64(most) - part.Part
	rest(t, taker, r, budget.Turn{Part: left, Most: left, Rest: true}, total)
	again := stopped.Release(true)
	require.False(t, r.write(t, again, stopped.Version()))
	stopped.Written(r.read(t), r.version)
	if again = stopped.Release(true); again != nil {
		require.True(t, r.write(t, again, stopped.Version()))
	}
	t.Log(r.read(t).Accounts)
	assert.EqualValues(t, most, used(r.read(t)))
}

// As TestRandomHistoriesNeverOverspend, with turns that begin with a part and
// have their rest in one part or two, by the account that began them or, as when
// their home has stopped or cannot be reached, by another one.
func TestRandomHistoriesOfPartsNeverOverspend(t *testing.T) {
	worst, broken := int64(0), 0
	for seed := range uint64(3000) {
		if over := playParts(t, seed); over > 0 {
			broken++
			worst = max(worst, over)
		}
	}
	require.Zero(t, broken, "histories that promise more than the budget; the worst by %d tokens", worst)
}

type partTurn struct {
	usage, next   *budget.Usage
	first, second budget.Turn
	most          int64
}

func (turn *partTurn) promised() int64 { return turn.first.Part + turn.second.Part }

func playParts(t *testing.T, seed uint64) (over int64) {
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
				usage.Written(r.read(t), r.version)
			case r.write(t, ledger, usage.Version()):
				usage.Written(ledger, r.version)
			default:
				usage.Written(r.read(t), r.version)
			}
		}
		return false
	}
	var flying []*partTurn
	var handed int64
	for range 200 {
		usage := usages[rng.IntN(len(usages))]
		switch rng.IntN(7) {
		case 0, 1:
			most := int64(50 + rng.IntN(500))
			for _, first := range []budget.Turn{budget.Whole(most), budget.FirstPart(most)} {
				if rng.IntN(2) == 0 && begin(usage, first) {
					flying = append(flying, &partTurn{usage: usage, first: first, most: most})
					break
				}
			}
		case 2, 3, 4:
			if len(flying) == 0 {
				continue
			}
			turn := flying[rng.IntN(len(flying))]
			rest := turn.most - turn.promised()
			for _, part := range []int64{rest, rest / 2} {
				if part <= 0 {
					continue
				}
				if turn.next == nil && rng.IntN(2) == 0 { // its home
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
			if len(flying) > 0 {
				at := rng.IntN(len(flying))
				turn := flying[at]
				flying = append(flying[:at], flying[at+1:]...)
				spent := rng.Int64N(2) * turn.promised()
				handed += spent
				turn.usage.End(turn.first, min(spent, turn.first.Part))
				if turn.next != nil {
					turn.next.End(turn.second, max(spent-turn.first.Part, 0))
				}
			}
		case 6:
			if ledger := usage.Release(rng.IntN(2) == 0); ledger != nil {
				if r.write(t, ledger, usage.Version()) {
					usage.Written(ledger, r.version)
				} else {
					usage.Written(r.read(t), r.version)
				}
			}
		}
		promised := handed
		for _, turn := range flying {
			promised += turn.promised()
		}
		over = max(over, promised-total, granted(r.read(t))-total)
	}
	return over
}
