package quota_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/quota"
)

// drainAt takes credit of x at each of members until there is none, and returns how
// much that was.
func (f *fleet) drainAt(members ...*member) (granted int) {
	for _, m := range members {
		for f.take(m) == nil {
			granted++
		}
	}
	return granted
}

// drainFor drains members all the while that d passes.
func (f *fleet) drainFor(d time.Duration, members ...*member) (granted int) {
	for range d / (50 * time.Millisecond) {
		f.pass(50 * time.Millisecond)
		granted += f.drainAt(members...)
	}
	return granted
}

// calm returns a settled fleet in which no answer is lost by chance.
func calm(t *testing.T) (*fleet, []*member) {
	f, order := settled(t)
	f.isCalm = true
	return f, order
}

// cutFrom sets whether each of members reaches to.
func (f *fleet) cutFrom(to *member, isCut bool, members ...*member) {
	for _, m := range members {
		f.mute[[2]string{m.name, to.name}] = isCut
	}
}

// Guards against a quota given out twice: the bucket that another home took stays
// with the home before.
func TestBucketLeavesWithWhoTakesIt(t *testing.T) {
	f, order := calm(t)
	require.NoError(t, f.take(order[0]))
	given, err := order[0].limiter.Transfer(quota.Transfer{From: order[1].name, Wanted: []string{"x"}})
	require.NoError(t, err)
	assert.Contains(t, given.Balances, "x")
	given, err = order[0].limiter.Transfer(quota.Transfer{From: order[2].name, Wanted: []string{"x"}})
	require.NoError(t, err)
	assert.Empty(t, given.Balances)
	assert.Equal(t, map[string]string{"x": order[1].name}, given.Moved)
}

// Guards against a quota given out twice: an instance that was suspended goes on with
// the bucket of before, which another one has stood in for.
func TestSuspendedHomeGoesOnWithNothing(t *testing.T) {
	f, order := calm(t)
	require.NoError(t, f.take(order[0]))
	order[0].frozen = true
	f.drainFor(3*time.Second, order[1], order[2])
	order[0].frozen = false
	assert.LessOrEqual(t, f.drainAt(order[0]), 1, "the other one gave out all that came")
}

// Guards against two homes at once, each with the whole rate: one that does not reach
// the home takes over, though others do.
func TestInstanceThatAloneDoesNotReachTheHomeIsNoHome(t *testing.T) {
	f, order := calm(t)
	f.drainAt(order[0])
	f.cutFrom(order[0], true, order[1])
	assert.InDelta(t, 60, f.drainFor(3*time.Second, order[0], order[1]), 4, "the rate, once")
}

// Guards against two homes at once, each with the whole rate: an instance that does
// not reach the home by any call, though others do, leaves it out and takes over.
func TestInstanceThatLeavesTheHomeOutIsNoHome(t *testing.T) {
	f, order := calm(t)
	f.leavesOut = true
	f.drainAt(order[0])
	f.cutFrom(order[0], true, order[1])
	assert.InDelta(t, 60, f.drainFor(3*time.Second, order[0], order[1]), 4, "the rate, once")
}

// Guards against two homes at once for as long as a suspicion lasts: an instance
// stands in for a home that is in reach again, and nobody tells it.
func TestInstanceThatStandsInLooksWhetherTheHomeIsBack(t *testing.T) {
	f, order := calm(t)
	cut := func(isCut bool) {
		for _, m := range order[1:] {
			f.cutFrom(order[0], isCut, m)
			f.cutFrom(m, isCut, order[0])
		}
	}
	f.drainAt(order[0])
	cut(true)
	f.drainFor(1500*time.Millisecond, f.instances...) // the others still ask the home
	cut(false)
	f.drainFor(500*time.Millisecond, f.instances...)
	assert.InDelta(t, 40, f.drainFor(2*time.Second, f.instances...), 4, "the rate, once")
}

// Guards against questions that go to the next instance for eight seconds more, since
// the home did not answer before it started again.
func TestNewStartOfASuspectIsAsked(t *testing.T) {
	f, order := calm(t)
	f.isProcessOnly = false
	order[0].dead = true
	for range 4 {
		_ = f.take(order[2]) // order[0] is suspected
	}
	order[0].start()
	f.pass(600 * time.Millisecond) // all know
	asked := [2]string{order[2].name, order[0].name}
	before := f.asks[asked]
	_ = f.take(order[2]) // the new start may have nothing yet
	assert.Equal(t, before+1, f.asks[asked])
}

// Guards against credit that is counted twice when it is returned: the home took it
// in, its answer was lost, and the question is asked again through another instance.
func TestCreditIsReturnedOnce(t *testing.T) {
	f, order := calm(t)
	f.drainAt(order[2])
	f.clock.Advance(500 * time.Millisecond)
	returned := f.drainAt(order[2])
	require.Greater(t, returned, 5)
	for range returned {
		order[2].limiter.Return("x")
	}
	f.deaf[[2]string{order[2].name, order[0].name}] = true
	first := f.take(order[2])
	f.deaf[[2]string{order[2].name, order[0].name}] = false
	granted := f.drainAt(order[0], order[1], order[2])
	if first == nil {
		granted++
	}
	assert.LessOrEqual(t, granted, returned+1)
}

// Guards against more than the quota while it moves from a home that has ended: what
// that one gave ahead, and what it promised of the time to come, is not known.
func TestHomeAfterAnEndedOneBeginsWithADebt(t *testing.T) {
	f, order := calm(t)
	require.NoError(t, f.take(order[2]))
	order[0].dead = true
	require.Error(t, f.take(order[2]))
	assert.Zero(t, f.drainFor(quota.MostPatience-50*time.Millisecond, order[1], order[2]))
}

// Guards against a bucket that was used while another instance was out of reach, and
// is found full when that happens again.
func TestBucketOfAnEarlierAbsenceIsNotUsedAgain(t *testing.T) {
	f, order := calm(t)
	require.NoError(t, f.take(order[0]))
	f.cutFrom(order[0], true, order[1], order[2])
	require.NotZero(t, f.drainFor(time.Second, order[1]), "it stands in")
	f.cutFrom(order[0], false, order[1], order[2])
	f.pass(time.Second)
	require.NoError(t, f.take(order[1]), "the home answers")
	f.pass(5 * time.Second)
	f.drainAt(order[0])
	order[0].dead = true
	assert.LessOrEqual(t, f.drainAt(order[1], order[2]), 1, "the home had given out all")
}

// Guards against a bucket that fills up beside what it gave ahead: instances then use
// both within one window.
func TestCreditGivenAheadIsPartOfAFullBucket(t *testing.T) {
	limit := quota.Limit{Rate: 200, Burst: 200, Version: 1}
	bucket := filled(limit)
	now := time.Unix(1_000_000, 0).Add(time.Hour)
	bucket.Level(now)
	answer := bucket.Take(quota.Ask{Asker: "i", Left: 0, Spare: 100}, limit, now)
	require.Equal(t, 100, answer.Spare)
	full := tolerance.Depth(limit)
	assert.InDelta(t, full-100, bucket.Level(now.Add(quota.LeaseTime)), 0.01)
	assert.InDelta(t, full, bucket.Level(now.Add(3*quota.LeaseTime)), 0.01)
}

// Guards against requests given out while no other instance is in reach.
func TestCutOffInstanceGivesNothing(t *testing.T) {
	f, order := calm(t)
	require.NoError(t, f.take(order[0]))
	order[0].cut = true
	f.pass(500 * time.Millisecond)
	_, err := order[0].limiter.Take(context.Background(), "x", f.limits["x"], quota.Request{})
	require.Error(t, err)
}
