package quota

import (
	"maps"
	"math"
	"time"
)

const (
	// toleranceShare is the share of the tolerated excess that is added to the
	// depth of a bucket. Programs call several tools at once, and a shallow
	// bucket rejects requests of organisations that stay below their quota. The
	// remaining share covers the time in which two instances both act as the
	// home.
	toleranceShare = 0.5
	// startedShare is the share of the depth that is reserved for started
	// programs while their demand exceeds the refill rate. A program makes
	// about twenty requests, and everything granted to it is wasted if one of
	// the last is rejected. Nothing is reserved while their demand is below
	// lowDemandShare of the rate; the reservation grows to startedShare as
	// demand reaches the rate.
	startedShare   = 0.5
	lowDemandShare = 0.6
	// bucketDemandTime is the time constant of the moving average of demand at
	// a bucket. It is of the order of the duration of a program, some seconds.
	bucketDemandTime = 2 * time.Second
	// programTTL is how long a program without requests counts as started.
	programTTL = 30 * time.Second
	// aheadFloorShare is the share of the depth below which no credit is
	// granted ahead.
	aheadFloorShare = 0.5
	// LeaseTime is the duration of a lease on credit granted ahead.
	LeaseTime = time.Second
	// leaseSlack extends each lease at the home, whose clock may run slightly
	// faster than that of the holder.
	leaseSlack = 100 * time.Millisecond
	// MaxCreditWait bounds the wait of a request for credit, and with it the
	// debt of a bucket: at most the refill of this time is granted before it
	// arrives. A bucket that starts without a report from the previous home
	// assumes a debt of this size.
	MaxCreditWait = 250 * time.Millisecond
	// maxRetryAfter bounds the retry delay given to callers.
	maxRetryAfter = 5 * time.Second
)

// Limit is an organisation's quota in one version of the configuration.
type Limit struct {
	// Rate is in requests per second, Burst in requests above the rate.
	Rate, Burst float64
	// Version is the version of the configuration.
	Version uint64
}

// Tolerance is the excess over a quota that operators accept: within any
// Window, the share Overage of the requests that the quota allows in it, plus
// Slack requests.
type Tolerance struct {
	Window         time.Duration
	Overage, Slack float64
}

// Depth returns the maximum level of a bucket with the limit.
func (tolerance Tolerance) Depth(limit Limit) float64 {
	allowed := limit.Rate*tolerance.Window.Seconds() + limit.Burst
	return limit.Burst + toleranceShare*(tolerance.Overage*allowed+tolerance.Slack)
}

// CreditRequest is a request by an instance for the credit of one caller request.
type CreditRequest struct {
	// Instance is the name of the requesting instance.
	Instance string
	// Program is a hash of the program of the caller request, 0 for none. New
	// is set if, as far as the instance has recorded, the request is the first
	// of its program. Started programs take precedence over new ones.
	Program uint64
	New     bool
	// MaxWait is how long the caller request may wait for credit.
	MaxWait time.Duration
	// Remaining is the credit granted ahead that the instance still holds, or
	// negative if the request is for no credit ahead. Ahead is the credit
	// requested ahead, beyond the one for the caller request. Returned is
	// credit consumed by requests that were then not run.
	Remaining, Ahead, Returned int
}

// CreditResponse is the response of a home to a CreditRequest.
type CreditResponse struct {
	// Granted reports whether the caller request may run once Wait has passed.
	// If it is false, the caller may retry after Wait.
	Granted bool
	Wait    time.Duration
	// Ahead is the credit granted ahead. The instance may use it, and the
	// credit that it still held, for LeaseTime from the time it sent the
	// request.
	Ahead int
	// Level is the level of the bucket after the decision. It is negative while
	// credit is granted that has not been refilled yet.
	Level float64
}

// Bucket is the token bucket of one organisation at its home instance. It is
// not safe for concurrent use.
type Bucket struct {
	tolerance Tolerance
	limit     Limit
	depth     float64
	level     float64
	refilled  time.Time
	// programs holds the time of the last granted request of each program.
	programs  map[uint64]time.Time
	lastSweep time.Time
	// demand is the average rate of requests of started programs, per second.
	demand float64
	// pendingRetries is the number of rejected callers whose retry is not due
	// yet.
	pendingRetries float64
	// leases holds the credit granted ahead to each instance.
	leases map[string]lease
}

// lease is a bound on the credit granted ahead that one instance may still use.
type lease struct {
	amount int
	until  time.Time
}

// Balance is the state of a bucket as it is transferred between homes.
type Balance struct {
	Limit Limit
	// Level is the level of the bucket, Given the credit granted ahead that
	// instances may still use.
	Level float64
	Given int
}

// NewBucket returns an empty bucket.
func NewBucket(tolerance Tolerance, limit Limit, now time.Time) *Bucket {
	bucket := &Bucket{tolerance: tolerance, refilled: now, leases: map[string]lease{}, programs: map[uint64]time.Time{}}
	bucket.setLimit(limit)
	return bucket
}

// setLimit replaces the limit unless the current one is of a newer version.
func (bucket *Bucket) setLimit(limit Limit) {
	if limit.Version < bucket.limit.Version {
		return
	}
	bucket.limit = limit
	bucket.depth = bucket.tolerance.Depth(limit)
}

// Level returns the level of the bucket at now.
func (bucket *Bucket) Level(now time.Time) float64 {
	bucket.refill(now)
	return bucket.level
}

// Balance returns the state of the bucket at now.
func (bucket *Bucket) Balance(now time.Time) Balance {
	bucket.refill(now)
	return Balance{Limit: bucket.limit, Level: bucket.level, Given: bucket.outstanding()}
}

// Keys of leases granted by previous homes. They can't clash with the name of
// an instance, which is neither empty nor blank.
const (
	previousHome = ""
	unknownHome  = " "
)

// Add adds the balance of the bucket at another home.
func (bucket *Bucket) Add(balance Balance, now time.Time) {
	bucket.refill(now)
	bucket.setLimit(balance.Limit)
	bucket.level += balance.Level
	bucket.leases[previousHome] = lease{amount: max(balance.Given, 0), until: now.Add(LeaseTime + leaseSlack)}
	bucket.cap()
}

// AssumeOutstanding accounts for a previous home that did not report: it
// deducts the maximum debt, and records a lease on the maximum credit that the
// home may have granted ahead.
func (bucket *Bucket) AssumeOutstanding(now time.Time) {
	bucket.refill(now)
	bucket.level -= MaxCreditWait.Seconds() * bucket.limit.Rate
	amount := int(math.Ceil((1 - aheadFloorShare) * bucket.depth))
	bucket.leases[unknownHome] = lease{amount: amount, until: now.Add(LeaseTime + leaseSlack)}
}

// refill adds the credit accrued since the last call and drops expired leases.
func (bucket *Bucket) refill(now time.Time) {
	elapsed := now.Sub(bucket.refilled).Seconds()
	if elapsed < 0 {
		return
	}
	bucket.refilled = now
	bucket.pendingRetries = max(bucket.pendingRetries-elapsed*bucket.limit.Rate, 0)
	bucket.demand *= math.Exp(-elapsed / bucketDemandTime.Seconds())
	bucket.level += elapsed * bucket.limit.Rate
	for instance, lease := range bucket.leases {
		if now.After(lease.until) {
			delete(bucket.leases, instance)
		}
	}
	bucket.cap()
}

// cap limits the level to the depth less the credit granted ahead, which counts
// towards the depth.
func (bucket *Bucket) cap() {
	bucket.level = min(bucket.level, bucket.depth-float64(bucket.outstanding()))
}

// outstanding returns the credit granted ahead that instances may still use.
func (bucket *Bucket) outstanding() int {
	outstanding := 0
	for _, lease := range bucket.leases {
		outstanding += lease.amount
	}
	return outstanding
}

// Take decides on a request at now, under the newest limit recorded.
func (bucket *Bucket) Take(request CreditRequest, limit Limit, now time.Time) CreditResponse {
	bucket.refill(now)
	bucket.setLimit(limit)
	bucket.reconcile(request, now)
	_, hasStarted := bucket.programs[request.Program]
	isNew := request.New && !hasStarted
	if !isNew {
		bucket.demand += 1 / bucketDemandTime.Seconds()
	}
	floor := 0.0
	if isNew {
		floor = startedShare * bucket.depth * bucket.pressure()
	}
	missing := floor + 1 - bucket.level
	response := CreditResponse{Granted: missing <= 0}
	if wait := bucket.time(missing); !response.Granted && !isNew && wait <= min(request.MaxWait, MaxCreditWait) {
		response.Granted, response.Wait = true, wait
	}
	if !response.Granted {
		response.Wait = bucket.time(missing + bucket.pendingRetries)
		bucket.pendingRetries++
		response.Level = bucket.level
		return response
	}
	bucket.level--
	bucket.recordProgram(request.Program, now)
	if request.Remaining >= 0 {
		response.Ahead = bucket.grantAhead(request.Ahead)
	}
	bucket.level -= float64(response.Ahead)
	if amount := request.Remaining + response.Ahead; amount > 0 && request.Remaining >= 0 {
		bucket.leases[request.Instance] = lease{amount: amount, until: now.Add(LeaseTime + leaseSlack)}
	}
	response.Level = bucket.level
	return response
}

// recordProgram records a granted request of the program, and removes programs
// without a request for programTTL.
func (bucket *Bucket) recordProgram(program uint64, now time.Time) {
	if now.Sub(bucket.lastSweep) > programTTL {
		bucket.lastSweep = now
		maps.DeleteFunc(bucket.programs, func(_ uint64, last time.Time) bool { return now.Sub(last) > programTTL })
	}
	if program != 0 {
		bucket.programs[program] = now
	}
}

// pressure returns 0 while the demand is at most lowDemandShare of the rate,
// rising to 1 when it reaches the rate.
func (bucket *Bucket) pressure() float64 {
	if bucket.limit.Rate <= 0 {
		return 1
	}
	return min(max((bucket.demand/bucket.limit.Rate-lowDemandShare)/(1-lowDemandShare), 0), 1)
}

// reconcile applies the instance's report on the credit granted to it ahead.
func (bucket *Bucket) reconcile(request CreditRequest, now time.Time) {
	if lease, ok := bucket.leases[request.Instance]; ok && request.Remaining >= 0 {
		lease.amount = min(lease.amount, request.Remaining)
		bucket.leases[request.Instance] = lease
	}
	bucket.level += float64(max(request.Returned, 0))
	bucket.cap()
}

// grantAhead returns how much of the requested credit may be granted ahead.
func (bucket *Bucket) grantAhead(requested int) int {
	return max(min(requested, int(bucket.level-aheadFloorShare*bucket.depth)), 0)
}

// time returns how long the bucket takes to accrue amount, at most
// maxRetryAfter.
func (bucket *Bucket) time(amount float64) time.Duration {
	if bucket.limit.Rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(math.Min(max(amount, 0)/bucket.limit.Rate, maxRetryAfter.Seconds()) * float64(time.Second))
}
