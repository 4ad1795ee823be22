package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/budget"
)

// row is a program's row with conditional writes.
type row struct {
	data    []byte
	version uint64
}

func (r *row) write(t *testing.T, ledger *budget.Ledger, version uint64) bool {
	t.Helper()
	if r.version != version {
		return false
	}
	data, err := ledger.Encode()
	require.NoError(t, err)
	r.data, r.version = data, r.version+1
	return true
}

func (r *row) read(t *testing.T) *budget.Ledger {
	t.Helper()
	ledger, err := budget.DecodeLedger(r.data)
	require.NoError(t, err)
	return ledger
}

func newUsage(t *testing.T, owner string, r *row) *budget.Usage {
	t.Helper()
	return budget.NewUsage(owner, r.read(t), r.version)
}

// decide returns the decision alone.
func decide(usage *budget.Usage, turn, total int64) budget.Decision {
	decision, _ := usage.Decide(budget.Whole(turn), total)
	return decision
}

// wanted returns the row that grants a turn.
func wanted(usage *budget.Usage, turn, total int64) *budget.Ledger {
	_, ledger := usage.Decide(budget.Whole(turn), total)
	return ledger
}

// grant makes a turn's grant durable and begins it.
func grant(t *testing.T, usage *budget.Usage, r *row, turn, total int64) {
	t.Helper()
	if decision, ledger := usage.Decide(budget.Whole(turn), total); decision == budget.DecisionGrant {
		require.True(t, r.write(t, ledger, usage.Version()))
		usage.Written(ledger, r.version)
	}
	require.Equal(t, budget.DecisionServe, decide(usage, turn, total))
	usage.Begin(budget.Whole(turn))
}

func TestDecisions(t *testing.T) {
	const turn, total = 567, 1701
	r := &row{}
	a, b := newUsage(t, "a.1", r), newUsage(t, "b.1", r)
	grant(t, a, r, turn, total)
	assert.EqualValues(t, 567+(1701-567)/3, a.Granted(), "the turn and a third of what is left")
	assert.Equal(t, budget.DecisionGrant, decide(b, turn, total), "b does not know of a yet")
	assert.False(t, r.write(t, wanted(b, turn, total), b.Version()), "its condition finds out")
	b.Written(r.read(t), r.version)
	grant(t, b, r, turn, total)
	c := newUsage(t, "c.1", r)
	assert.Equal(t, budget.DecisionWait, decide(c, turn, total), "what is left is held")
	assert.Equal(t, []string{"a.1", "b.1"}, c.Holders())
	a.End(budget.Whole(turn), turn)
	b.End(budget.Whole(turn), turn)
	for _, usage := range []*budget.Usage{a, b} {
		usage.Written(r.read(t), r.version)
		ledger := usage.Release(false)
		require.NotNil(t, ledger)
		require.True(t, r.write(t, ledger, usage.Version()))
		usage.Written(ledger, r.version)
		assert.Nil(t, usage.Release(false), "nothing left to give back")
	}
	c.Written(r.read(t), r.version)
	grant(t, c, r, turn, total)
	assert.Equal(t, budget.DecisionSpent, decide(c, turn, total))
}

// Symptom: a program hands out more than its budget. Events: instance a
// gives back what it does not use, and the store's answer is lost; a reads
// the row, which still shows the old grant, and serves a turn on it; the
// write is applied seconds later, and b is granted the same tokens. Cause:
// an unanswered write was taken for one that never happens.
func TestLostReleaseIsNotSpentAgain(t *testing.T) {
	const turn, total = 400, 2000
	r := &row{}
	a := newUsage(t, "a.1", r)
	grant(t, a, r, turn, total) // granted 933
	a.End(budget.Whole(turn), 0)
	late, condition := a.Release(false), a.Version()
	require.NotNil(t, late)
	a.Written(r.read(t), r.version) // still the old grant
	assert.Equal(t, budget.DecisionGrant, decide(a, turn, total), "the old grant must not be used")
	require.True(t, r.write(t, late, condition), "the late write arrives")
	assert.False(t, r.write(t, wanted(a, turn, total), a.Version()))
	a.Written(r.read(t), r.version)
	assert.Zero(t, a.Granted())
}

// Symptom: a program hands out more than its budget, though every grant was
// durable. Events: a turn needs a grant; before its row is made, another turn
// of the program ends and leaves some over, so that the turn would be served
// without one; the row is made all the same, with a grant of nothing, and
// other instances are granted what is in use here. Cause: the decision and
// the row were made at two moments.
func TestRowOfGrantNeverTakesBackWhatIsInUse(t *testing.T) {
	const turn, total = 300, 5000
	r := &row{}
	usage := newUsage(t, "a.1", r)
	for range 40 {
		decision, ledger := usage.Decide(budget.Whole(turn), total)
		switch decision {
		case budget.DecisionGrant:
			assert.GreaterOrEqual(t, ledger.Accounts["a.1"].Granted, usage.Used()+turn)
			require.True(t, r.write(t, ledger, usage.Version()))
			usage.Written(ledger, r.version)
			if usage.Used() >= turn {
				usage.End(budget.Whole(turn), 0)
			}
		case budget.DecisionServe:
			assert.Nil(t, ledger)
			usage.Begin(budget.Whole(turn))
		default:
			assert.Nil(t, ledger)
		}
	}
}

// TestRandomHistoriesNeverOverspend plays turns of one program through
// instances that die, with writes that are lost, applied without an answer,
// or applied late, and checks after each step that what callers were handed
// stays within the budget. With the memory of an unanswered release taken out
// it fails at seed 1367.
func TestRandomHistoriesNeverOverspend(t *testing.T) {
	for seed := range uint64(1500) {
		playHistory(t, seed)
	}
}

type late struct {
	ledger  *budget.Ledger
	version uint64
}

func playHistory(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	total := int64(600 + rng.IntN(2000))
	r := &row{}
	var pending []late
	usages := []*budget.Usage{}
	type turn struct {
		usage *budget.Usage
		most  int64
	}
	var flying []turn
	var handed int64
	names := 0
	open := func() *budget.Usage {
		names++
		return newUsage(t, fmt.Sprintf("i.%d", names), r)
	}
	for range 2 {
		usages = append(usages, open())
	}
	write := func(usage *budget.Usage, ledger *budget.Ledger) {
		switch rng.IntN(3) {
		case 0: // lost, and may be applied late
			pending = append(pending, late{ledger, usage.Version()})
		case 1: // applied, not answered
			r.write(t, ledger, usage.Version())
		default:
			if r.write(t, ledger, usage.Version()) {
				usage.Written(ledger, r.version)
			} else {
				usage.Written(r.read(t), r.version)
			}
		}
	}
	for range 300 {
		usage := usages[rng.IntN(len(usages))]
		switch rng.IntN(9) {
		case 0, 1, 2:
			most := int64(50 + rng.IntN(300))
			if decision, ledger := usage.Decide(budget.Whole(most), total); decision == budget.DecisionGrant {
				write(usage, ledger)
			}
			if decide(usage, most, total) == budget.DecisionServe {
				usage.Begin(budget.Whole(most))
				flying = append(flying, turn{usage, most})
			}
		case 3, 4:
			if len(flying) > 0 {
				at := rng.IntN(len(flying))
				done := flying[at]
				flying = append(flying[:at], flying[at+1:]...)
				spent := rng.Int64N(2) * done.most
				handed += spent
				done.usage.End(budget.Whole(done.most), spent)
			}
		case 5:
			if ledger := usage.Release(false); ledger != nil {
				write(usage, ledger)
			}
		case 6, 7: // late writes arrive, or the row is read again
			if len(pending) > 0 && rng.IntN(2) == 0 {
				last := pending[len(pending)-1]
				r.write(t, last.ledger, last.version)
				pending = pending[:len(pending)-1]
			} else {
				usage.Written(r.read(t), r.version)
			}
		case 8: // the instance dies: its turns handed out what they could
			for i := len(flying) - 1; i >= 0; i-- {
				if flying[i].usage == usage {
					handed += flying[i].most
					flying = append(flying[:i], flying[i+1:]...)
				}
			}
			for i := range usages {
				if usages[i] == usage {
					usages[i] = open()
				}
			}
		}
		promised := handed
		for _, turn := range flying {
			promised += turn.most
		}
		require.LessOrEqual(t, promised, total, "seed %d", seed)
	}
}
