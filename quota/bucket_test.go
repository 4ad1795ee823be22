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

// fullBucket returns a bucket that is full at epoch.
func fullBucket(limit quota.Limit) *quota.Bucket {
	bucket := quota.NewBucket(tolerance, limit, epoch)
	bucket.Add(quota.Balance{Limit: limit, Level: 1e9}, epoch)
	return bucket
}

// drain takes all credit of a bucket at now, and returns its amount.
func drain(bucket *quota.Bucket, now time.Time) int {
	for n := 0; ; n++ {
		if !bucket.Take(quota.CreditRequest{}, limit20, now).Granted {
			return n
		}
	}
}

func TestBucketIsBoundedByDepthAndRefillsAtRate(t *testing.T) {
	bucket := fullBucket(limit20)
	assert.Equal(t, 36, drain(bucket, epoch), "burst 20 plus half of 0.1 x 120 + 20")
	assert.Equal(t, 20, drain(bucket, epoch.Add(time.Second)))
	assert.Equal(t, 36, drain(bucket, epoch.Add(time.Minute)))
}

// Guards against retry delays that are zero, or equal for all rejected callers,
// while there is no credit for them.
func TestRejectedCallersGetStaggeredRetryDelays(t *testing.T) {
	bucket := fullBucket(limit20)
	drain(bucket, epoch)
	var last time.Duration
	for range 20 {
		response := bucket.Take(quota.CreditRequest{}, limit20, epoch)
		assert.False(t, response.Granted)
		assert.Greater(t, response.Wait, last)
		last = response.Wait
	}
	assert.InDelta(t, 1.05, last.Seconds(), 0.06, "the rejection in drain and twenty more at 20 per second")
}

// Guards against a program that fails halfway because new programs took the
// credit it needed, during a burst of new programs of one organisation.
func TestStartedProgramsTakePrecedenceOverNewOnes(t *testing.T) {
	bucket := fullBucket(limit20)
	now := epoch
	startedProgram, rejectedStarted, rejectedNew := uint64(1), 0, 0
	for n := range 2000 {
		now = now.Add(10 * time.Millisecond)
		if n%5 == 0 { // 20 per second
			if response := bucket.Take(quota.CreditRequest{Program: startedProgram, New: true, MaxWait: 200 * time.Millisecond}, limit20, now); !response.Granted {
				rejectedStarted++
			}
		}
		if n%4 == 0 { // 25 per second
			if response := bucket.Take(quota.CreditRequest{Program: uint64(100 + n), New: true}, limit20, now); !response.Granted {
				rejectedNew++
			}
		}
	}
	assert.Zero(t, rejectedStarted)
	assert.Greater(t, rejectedNew, 400)
}

// Guards against a request that waits in vain: if the credit does not accrue
// within its maximum wait, the request is rejected at once.
func TestRequestWaitsOnlyForCreditWithinMaxWait(t *testing.T) {
	bucket := fullBucket(limit20)
	drain(bucket, epoch)
	response := bucket.Take(quota.CreditRequest{Program: 1, MaxWait: 100 * time.Millisecond}, limit20, epoch)
	assert.True(t, response.Granted)
	assert.Equal(t, 50*time.Millisecond, response.Wait)
	response = bucket.Take(quota.CreditRequest{Program: 1, MaxWait: 90 * time.Millisecond}, limit20, epoch)
	assert.False(t, response.Granted)
}

// Guards against a lowered limit that is not enforced, and against an older
// limit restored by a delayed request.
func TestNewestLimitVersionApplies(t *testing.T) {
	bucket := fullBucket(quota.Limit{Rate: 1000, Burst: 1000, Version: 1})
	lower := quota.Limit{Rate: 5, Burst: 5, Version: 2}
	granted := 0
	for n := range 500 {
		limit := lower
		if n%2 == 1 {
			limit = quota.Limit{Rate: 1000, Burst: 1000, Version: 1}
		}
		if bucket.Take(quota.CreditRequest{}, limit, epoch.Add(time.Duration(n)*10*time.Millisecond)).Granted {
			granted++
		}
	}
	assert.LessOrEqual(t, granted, 53, "5 x 5 + 5, plus the overage of 0.1 and the slack of 20")
}

// Guards against credit granted ahead that is not counted: several instances
// hold some, and use it after the bucket is full again.
func TestCreditGrantedAheadCountsTowardsDepth(t *testing.T) {
	bucket := fullBucket(limit20)
	granted := 0
	for n := range 10 {
		granted += bucket.Take(quota.CreditRequest{Instance: fmt.Sprint("i", n), Ahead: 100}, limit20, epoch).Ahead
	}
	assert.Positive(t, granted)
	assert.LessOrEqual(t, granted+drain(bucket, epoch.Add(time.Second))-20, 36)
	assert.Equal(t, 36, drain(bucket, epoch.Add(10*time.Second)), "credit granted ahead is void once its lease expires")
}

// Guards against the use of credit granted ahead after its lease has expired,
// when the home no longer counts it.
func TestCreditGrantedAheadExpires(t *testing.T) {
	credit := &quota.Credit{}
	assert.False(t, credit.Use(epoch))
	ask := credit.CreditRequest("i", quota.Request{})
	credit.Take(ask, quota.CreditResponse{Granted: true, Ahead: 3}, epoch)
	assert.True(t, credit.Use(epoch.Add(quota.LeaseTime-1)))
	assert.False(t, credit.Use(epoch.Add(quota.LeaseTime)))
	assert.Zero(t, credit.CreditRequest("i", quota.Request{}).Remaining)
}

func BenchmarkTake(b *testing.B) {
	bucket := fullBucket(limit20)
	now := epoch
	for n := range b.N {
		now = now.Add(time.Millisecond)
		bucket.Take(quota.CreditRequest{Instance: "i", Program: uint64(n % 50), MaxWait: 100 * time.Millisecond}, limit20, now)
	}
}
