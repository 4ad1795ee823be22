package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/quota"
)

var (
	epoch   = time.Unix(1_000_000, 0)
	limit20 = quota.Limit{Rate: 20, Burst: 20, Version: 1}
)

// filled returns a bucket that is full at epoch.
func filled(limit quota.Limit) *quota.Bucket {
	bucket := quota.NewBucket(tolerance, limit, epoch)
	bucket.Add(quota.Balance{Limit: limit, Level: 1e9}, epoch)
	return bucket
}

func drain(bucket *quota.Bucket, now time.Time) int {
	for n := 0; ; n++ {
		if !bucket.Take(quota.Ask{}, limit20, now).Granted {
			return n
		}
	}
}

func TestBucketHoldsItsDepthAndFillsAtItsRate(t *testing.T) {
	bucket := filled(limit20)
	assert.Equal(t, 36, drain(bucket, epoch), "burst 20 and half of 0.1 x 120 + 20")
	assert.Equal(t, 20, drain(bucket, epoch.Add(time.Second)))
	assert.Equal(t, 36, drain(bucket, epoch.Add(time.Minute)))
}

// Guards against callers that are told to come back at once, or all together,
// when there is still no credit for them.
func TestRefusedCallersComeBackOneAfterTheOther(t *testing.T) {
	bucket := filled(limit20)
	drain(bucket, epoch)
	var last time.Duration
	for range 20 {
		answer := bucket.Take(quota.Ask{}, limit20, epoch)
		assert.False(t, answer.Granted)
		assert.Greater(t, answer.Wait, last)
		last = answer.Wait
	}
	assert.InDelta(t, 1.05, last.Seconds(), 0.06, "the drain's own refusal and twenty more at 20 a second")
}

// Guards against a program that is lost in the middle, since new ones took the
// credit that it needed: a burst of new programs of one organisation.
func TestProgramsThatHaveBegunGoBeforeNewOnes(t *testing.T) {
	bucket := filled(limit20)
	now := epoch
	begun, refusedBegun, refusedNew := uint64(1), 0, 0
	for n := range 2000 {
		now = now.Add(10 * time.Millisecond)
		if n%5 == 0 { // 20 a second
			if answer := bucket.Take(quota.Ask{Program: begun, New: true, Patience: 200 * time.Millisecond}, limit20, now); !answer.Granted {
				refusedBegun++
			}
		}
		if n%4 == 0 { // 25 a second
			if answer := bucket.Take(quota.Ask{Program: uint64(100 + n), New: true}, limit20, now); !answer.Granted {
				refusedNew++
			}
		}
	}
	assert.Zero(t, refusedBegun)
	assert.Greater(t, refusedNew, 400)
}

// Guards against a request that waits for nothing: what cannot be had within
// its patience is refused at once.
func TestRequestWaitsOnlyForCreditThatComesInTime(t *testing.T) {
	bucket := filled(limit20)
	drain(bucket, epoch)
	answer := bucket.Take(quota.Ask{Program: 1, Patience: 100 * time.Millisecond}, limit20, epoch)
	assert.True(t, answer.Granted)
	assert.Equal(t, 50*time.Millisecond, answer.Wait)
	answer = bucket.Take(quota.Ask{Program: 1, Patience: 90 * time.Millisecond}, limit20, epoch)
	assert.False(t, answer.Granted)
}

// Guards against a lower limit that does not hold, and against an older one
// that comes back with a late question.
func TestNewestLimitHolds(t *testing.T) {
	bucket := filled(quota.Limit{Rate: 1000, Burst: 1000, Version: 1})
	lower := quota.Limit{Rate: 5, Burst: 5, Version: 2}
	granted := 0
	for n := range 500 {
		limit := lower
		if n%2 == 1 {
			limit = quota.Limit{Rate: 1000, Burst: 1000, Version: 1}
		}
		if bucket.Take(quota.Ask{}, limit, epoch.Add(time.Duration(n)*10*time.Millisecond)).Granted {
			granted++
		}
	}
	assert.LessOrEqual(t, granted, 53, "5 x 5 + 5, with 0.1 and 20 on top")
}

// Guards against credit given ahead that is not counted: several instances hold
// some, and use it after the bucket is full again.
func TestCreditGivenAheadCountsIntoTheDepth(t *testing.T) {
	bucket := filled(limit20)
	given := 0
	for n := range 10 {
		given += bucket.Take(quota.Ask{Asker: fmt.Sprint("i", n), Spare: 100}, limit20, epoch).Spare
	}
	assert.Positive(t, given)
	assert.LessOrEqual(t, given+drain(bucket, epoch.Add(time.Second))-20, 36)
	assert.Equal(t, 36, drain(bucket, epoch.Add(10*time.Second)), "it is worth nothing after its time")
}

// Guards against credit used after its time, when its home counts with it no
// more.
func TestCreditGivenAheadEnds(t *testing.T) {
	credit := &quota.Credit{}
	assert.False(t, credit.Use(epoch))
	ask := credit.Ask("i", quota.Request{})
	credit.Take(ask, quota.Answer{Granted: true, Spare: 3}, epoch)
	assert.True(t, credit.Use(epoch.Add(quota.LeaseTime-1)))
	assert.False(t, credit.Use(epoch.Add(quota.LeaseTime)))
	assert.Zero(t, credit.Ask("i", quota.Request{}).Left)
}

func BenchmarkTake(b *testing.B) {
	bucket := filled(limit20)
	now := epoch
	for n := range b.N {
		now = now.Add(time.Millisecond)
		bucket.Take(quota.Ask{Asker: "i", Program: uint64(n % 50), Patience: 100 * time.Millisecond}, limit20, now)
	}
}
