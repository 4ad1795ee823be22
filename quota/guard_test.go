package quota_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/quota"
)

// drainAt takes all credit of x at each of members, and returns its amount.
func (f *fleet) drainAt(members ...*member) (granted int) {
	for _, m := range members {
		for f.take(m) == nil {
			granted++
		}
	}
	return granted
}

// drainFor drains members repeatedly while d passes, and returns the amount of
// credit taken.
func (f *fleet) drainFor(d time.Duration, members ...*member) (granted int) {
	for range d / (50 * time.Millisecond) {
		f.advance(50 * time.Millisecond)
		granted += f.drainAt(members...)
	}
	return granted
}

// reliableFleet returns a settled fleet in which no response is lost at random.
func reliableFleet(t *testing.T) (*fleet, []*member) {
	f, order := settledFleet(t)
	f.isReliable = true
	return f, order
}

// setBlocked sets whether calls from each of members to the instance to fail.
func (f *fleet) setBlocked(to *member, isBlocked bool, members ...*member) {
	for _, m := range members {
		f.blocked[[2]string{m.name, to.name}] = isBlocked
	}
}

// Guards against a quota granted twice: the previous home keeps a bucket that
// it has transferred to another.
func TestTransferredBucketIsNotTransferredAgain(t *testing.T) {
	f, order := reliableFleet(t)
	require.NoError(t, f.take(order[0]))
	response, err := order[0].limiter.Transfer(quota.Transfer{From: order[1].name, Wanted: []string{"x"}})
	require.NoError(t, err)
	assert.Contains(t, response.Balances, "x")
	response, err = order[0].limiter.Transfer(quota.Transfer{From: order[2].name, Wanted: []string{"x"}})
	require.NoError(t, err)
	assert.Empty(t, response.Balances)
	assert.Equal(t, map[string]string{"x": order[1].name}, response.Moved)
}

// Guards against a quota granted twice: a suspended instance resumes with its
// old bucket, while a fallback home has granted the same credit.
func TestHomeIsEmptyAfterSuspension(t *testing.T) {
	f, order := reliableFleet(t)
	require.NoError(t, f.take(order[0]))
	order[0].suspended = true
	f.drainFor(3*time.Second, order[1], order[2])
	order[0].suspended = false
	assert.LessOrEqual(t, f.drainAt(order[0]), 1, "the fallback home granted all accrued credit")
}

// Guards against a quota granted twice: an instance that was not listed for a while is listed again and has its old bucket,
// while another home has granted the same credit.
func TestUnlistedInstanceDropsItsBuckets(t *testing.T) {
	f, order := reliableFleet(t)
	require.NoError(t, f.take(order[0]))
	order[0].unlisted = true
	f.advance(200 * time.Millisecond)
	response, err := order[0].limiter.Transfer(quota.Transfer{From: order[1].name, Wanted: []string{"x"}})
	require.NoError(t, err)
	assert.Empty(t, response.Balances)
}

// Guards against two homes at once, each with the full rate: an instance that
// can't reach the home takes over, though other instances reach it.
func TestUnconfirmedSuspicionDoesNotMoveHome(t *testing.T) {
	f, order := reliableFleet(t)
	f.drainAt(order[0])
	f.setBlocked(order[0], true, order[1])
	assert.InDelta(t, 60, f.drainFor(3*time.Second, order[0], order[1]), 4, "the refill rate, granted once")
}

// Guards against two homes at once, each with the full rate: an instance that
// can't reach the home by any call leaves it out of the candidates and takes
// over, though other instances reach it.
func TestExcludedHomeIsNotReplacedWithoutConfirmation(t *testing.T) {
	f, order := reliableFleet(t)
	f.excludesUnreachable = true
	f.drainAt(order[0])
	f.setBlocked(order[0], true, order[1])
	assert.InDelta(t, 60, f.drainFor(3*time.Second, order[0], order[1]), 4, "the refill rate, granted once")
}

// Guards against two homes for the duration of a suspicion: an instance
// continues as fallback although the home is reachable again, because it is not
// notified.
func TestFallbackHomeYieldsWhenHomeIsReachableAgain(t *testing.T) {
	f, order := reliableFleet(t)
	partition := func(isBlocked bool) {
		for _, m := range order[1:] {
			f.setBlocked(order[0], isBlocked, m)
			f.setBlocked(m, isBlocked, order[0])
		}
	}
	f.drainAt(order[0])
	partition(true)
	f.drainFor(1500*time.Millisecond, f.instances...) // the others still call the home
	partition(false)
	f.drainFor(500*time.Millisecond, f.instances...)
	assert.InDelta(t, 40, f.drainFor(2*time.Second, f.instances...), 4, "the refill rate, granted once")
}

// Guards against requests that go to the next candidate for eight more seconds
// because the home did not respond before its restart.
func TestRestartEndsSuspicion(t *testing.T) {
	f, order := reliableFleet(t)
	f.hostResponds = false
	order[0].crashed = true
	for range 4 {
		_ = f.take(order[2]) // order[0] becomes a suspect
	}
	order[0].start()
	f.advance(600 * time.Millisecond) // all instances are notified
	pair := [2]string{order[2].name, order[0].name}
	before := f.requests[pair]
	_ = f.take(order[2]) // the new incarnation may have no credit yet
	assert.Equal(t, before+1, f.requests[pair])
}

// Guards against returned credit that is counted twice: the home applies it,
// its response is lost, and the request is retried through another instance.
func TestReturnedCreditIsCountedOnce(t *testing.T) {
	f, order := reliableFleet(t)
	f.drainAt(order[2])
	f.clock.Advance(500 * time.Millisecond)
	returned := f.drainAt(order[2])
	require.Greater(t, returned, 5)
	for range returned {
		order[2].limiter.Return("x")
	}
	f.responseLost[[2]string{order[2].name, order[0].name}] = true
	first := f.take(order[2])
	f.responseLost[[2]string{order[2].name, order[0].name}] = false
	granted := f.drainAt(order[0], order[1], order[2])
	if first == nil {
		granted++
	}
	assert.LessOrEqual(t, granted, returned+1)
}

// Guards against an exceeded quota after the home has crashed: the credit that
// it granted ahead, and the credit that it granted before its refill, are
// unknown.
func TestHomeAfterCrashStartsWithDebt(t *testing.T) {
	f, order := reliableFleet(t)
	require.NoError(t, f.take(order[2]))
	order[0].crashed = true
	require.Error(t, f.take(order[2]))
	assert.Zero(t, f.drainFor(quota.MaxCreditWait-50*time.Millisecond, order[1], order[2]))
}

// Guards against the reuse of a bucket from an earlier time as fallback home,
// which appears full when the home becomes unreachable again.
func TestBucketOfEarlierFallbackIsNotReused(t *testing.T) {
	f, order := reliableFleet(t)
	require.NoError(t, f.take(order[0]))
	f.setBlocked(order[0], true, order[1], order[2])
	require.NotZero(t, f.drainFor(time.Second, order[1]), "it acts as the fallback home")
	f.setBlocked(order[0], false, order[1], order[2])
	f.advance(time.Second)
	require.NoError(t, f.take(order[1]), "the home responds")
	f.advance(5 * time.Second)
	f.drainAt(order[0])
	order[0].crashed = true
	assert.LessOrEqual(t, f.drainAt(order[1], order[2]), 1, "the home had granted all credit")
}

// Guards against a bucket that refills to its full depth beside the credit
// granted ahead, so that instances use both within one window.
func TestFullBucketIncludesCreditGrantedAhead(t *testing.T) {
	limit := quota.Limit{Rate: 200, Burst: 200, Version: 1}
	bucket := fullBucket(limit)
	now := time.Unix(1_000_000, 0).Add(time.Hour)
	bucket.Level(now)
	response := bucket.Take(quota.CreditRequest{Instance: "i", Remaining: 0, Ahead: 100}, limit, now)
	require.Equal(t, 100, response.Ahead)
	full := tolerance.Depth(limit)
	assert.InDelta(t, full-100, bucket.Level(now.Add(quota.LeaseTime)), 0.01)
	assert.InDelta(t, full, bucket.Level(now.Add(3*quota.LeaseTime)), 0.01)
}

// Guards against requests granted while no other instance is reachable.
func TestPartitionedInstanceGrantsNothing(t *testing.T) {
	f, order := reliableFleet(t)
	require.NoError(t, f.take(order[0]))
	order[0].partitioned = true
	f.advance(500 * time.Millisecond)
	_, err := order[0].limiter.Take(context.Background(), "x", f.limits["x"], quota.Request{})
	require.Error(t, err)
}
