package quota

import (
	"maps"
	"math"
	"time"
)

const (
	// toleranceShare of what operators tolerate above a quota deepens the
	// bucket: programs call several tools at once, and shallow buckets refuse
	// requests of organisations that stay below their quota. The rest is for
	// the time in which two instances both take themselves for the home.
	toleranceShare = 0.5
	// newShare of the depth is kept for programs that have begun while they ask
	// for more than comes: a program makes some twenty requests, and all that it
	// was given is lost if one of the last is refused. Nothing is kept while
	// they ask for less than calmShare of the rate, and all from the full rate
	// on.
	newShare  = 0.5
	calmShare = 0.6
	// pressureTime is over which what is asked for is averaged: programs take
	// some seconds.
	pressureTime = 2 * time.Second
	// programTime is how long a program without requests is remembered.
	programTime = 30 * time.Second
	// spareShare of the depth is not given out ahead.
	spareShare = 0.5
	// LeaseTime is how long credit given ahead may be used.
	LeaseTime = time.Second
	// leaseSlack is added at the home: its clock may run a little faster.
	leaseSlack = 100 * time.Millisecond
	// MostPatience bounds how long a request waits for credit. A bucket may owe
	// what comes in that time, so that one that begins without the word of the
	// home before owes as much.
	MostPatience = 250 * time.Millisecond
	// mostRetry bounds when a caller is told to come back.
	mostRetry = 5 * time.Second
)

// Limit is an organisation's quota in one version of the configuration.
type Limit struct {
	// Rate is in requests a second, Burst in requests on top.
	Rate, Burst float64
	// Version is the configuration's.
	Version uint64
}

// Tolerance is what operators tolerate above a quota: within any Window, a
// share Overage of what the quota allows there, and Slack requests.
type Tolerance struct {
	Window         time.Duration
	Overage, Slack float64
}

// Depth returns the most that a bucket of the limit holds.
func (tolerance Tolerance) Depth(limit Limit) float64 {
	allowed := limit.Rate*tolerance.Window.Seconds() + limit.Burst
	return limit.Burst + toleranceShare*(tolerance.Overage*allowed+tolerance.Slack)
}

// Ask is an instance's request for the credit of one request.
type Ask struct {
	// Asker is the instance.
	Asker string
	// Program is a hash of the request's program, 0 for none. New tells that the
	// request begins it as far as the asker knows: programs that have begun go
	// before new ones.
	Program uint64
	New     bool
	// Patience is how long the request may wait for credit.
	Patience time.Duration
	// Left is what the asker has of credit given ahead, negative if it asks for
	// none; Spare what it would take ahead beside the request's own; Returned
	// what it used for requests that did not run.
	Left, Spare, Returned int
}

// Answer is a home's answer to an Ask.
type Answer struct {
	// Granted: the request may run after Wait. Else its caller may come back
	// after Wait.
	Granted bool
	Wait    time.Duration
	// Spare is credit ahead, for LeaseTime from when it was asked for; what the
	// asker had left may be used as long.
	Spare int
	// Level is what the bucket holds then; negative while credit that is to
	// come is granted already.
	Level float64
}

// Bucket is the token bucket of one organisation at its home. It is not safe
// for concurrent use.
type Bucket struct {
	tolerance Tolerance
	limit     Limit
	depth     float64
	level     float64
	at        time.Time
	// programs are those that were granted a request, by when they were last.
	programs map[uint64]time.Time
	swept    time.Time
	// asked is what programs that have begun ask for, in requests a second.
	asked float64
	// booked are callers that were told to come back and have not had the time
	// to.
	booked float64
	// leases are what instances may have of credit given ahead.
	leases map[string]lease
}

type lease struct {
	amount int
	until  time.Time
}

// Balance is what a bucket holds, as one home tells it to the next.
type Balance struct {
	Limit Limit
	// Level is what the bucket holds, Given what instances may still have of
	// credit given ahead.
	Level float64
	Given int
}

// NewBucket returns an empty bucket.
func NewBucket(tolerance Tolerance, limit Limit, now time.Time) *Bucket {
	bucket := &Bucket{tolerance: tolerance, at: now, leases: map[string]lease{}, programs: map[uint64]time.Time{}}
	bucket.put(limit)
	return bucket
}

// put takes a limit over unless a newer one is known.
func (bucket *Bucket) put(limit Limit) {
	if limit.Version < bucket.limit.Version {
		return
	}
	bucket.limit = limit
	bucket.depth = bucket.tolerance.Depth(limit)
}

// Level returns what the bucket holds at now.
func (bucket *Bucket) Level(now time.Time) float64 {
	bucket.refill(now)
	return bucket.level
}

// Balance returns what the bucket holds at now.
func (bucket *Bucket) Balance(now time.Time) Balance {
	bucket.refill(now)
	return Balance{Limit: bucket.limit, Level: bucket.level, Given: bucket.given()}
}

// Names under which leases of homes before stand; no instance has an empty one.
const (
	askersBefore  = ""
	askersUnknown = " "
)

// Add adds what another home held.
func (bucket *Bucket) Add(balance Balance, now time.Time) {
	bucket.refill(now)
	bucket.put(balance.Limit)
	bucket.level += balance.Level
	bucket.leases[askersBefore] = lease{amount: max(balance.Given, 0), until: now.Add(LeaseTime + leaseSlack)}
	bucket.cap()
}

// Doubt counts with credit that a home before, whose word is missing, may have
// given ahead, and with what it may have owed.
func (bucket *Bucket) Doubt(now time.Time) {
	bucket.refill(now)
	bucket.level -= MostPatience.Seconds() * bucket.limit.Rate
	amount := int(math.Ceil((1 - spareShare) * bucket.depth))
	bucket.leases[askersUnknown] = lease{amount: amount, until: now.Add(LeaseTime + leaseSlack)}
}

// refill adds what came since the last time.
func (bucket *Bucket) refill(now time.Time) {
	passed := now.Sub(bucket.at).Seconds()
	if passed < 0 {
		return
	}
	bucket.at = now
	bucket.booked = max(bucket.booked-passed*bucket.limit.Rate, 0)
	bucket.asked *= math.Exp(-passed / pressureTime.Seconds())
	bucket.level += passed * bucket.limit.Rate
	for asker, lease := range bucket.leases {
		if now.After(lease.until) {
			delete(bucket.leases, asker)
		}
	}
	bucket.cap()
}

// cap drops what is above the depth, of which credit given ahead is a part.
func (bucket *Bucket) cap() {
	bucket.level = min(bucket.level, bucket.depth-float64(bucket.given()))
}

// given returns what instances may have of credit given ahead.
func (bucket *Bucket) given() int {
	given := 0
	for _, lease := range bucket.leases {
		given += lease.amount
	}
	return given
}

// Take decides on a request at now, by the newest limit known.
func (bucket *Bucket) Take(ask Ask, limit Limit, now time.Time) Answer {
	bucket.refill(now)
	bucket.put(limit)
	bucket.settle(ask, now)
	_, hasBegun := bucket.programs[ask.Program]
	isNew := ask.New && !hasBegun
	if !isNew {
		bucket.asked += 1 / pressureTime.Seconds()
	}
	floor := 0.0
	if isNew {
		floor = newShare * bucket.depth * bucket.pressure()
	}
	missing := floor + 1 - bucket.level
	answer := Answer{Granted: missing <= 0}
	if wait := bucket.time(missing); !answer.Granted && !isNew && wait <= min(ask.Patience, MostPatience) {
		answer.Granted, answer.Wait = true, wait
	}
	if !answer.Granted {
		answer.Wait = bucket.time(missing + bucket.booked)
		bucket.booked++
		answer.Level = bucket.level
		return answer
	}
	bucket.level--
	bucket.remember(ask.Program, now)
	if ask.Left >= 0 {
		answer.Spare = bucket.spare(ask.Spare)
	}
	bucket.level -= float64(answer.Spare)
	if amount := ask.Left + answer.Spare; amount > 0 && ask.Left >= 0 {
		bucket.leases[ask.Asker] = lease{amount: amount, until: now.Add(LeaseTime + leaseSlack)}
	}
	answer.Level = bucket.level
	return answer
}

// remember notes that a request of the program was granted, and forgets those
// of long ago.
func (bucket *Bucket) remember(program uint64, now time.Time) {
	if now.Sub(bucket.swept) > programTime {
		bucket.swept = now
		maps.DeleteFunc(bucket.programs, func(_ uint64, last time.Time) bool { return now.Sub(last) > programTime })
	}
	if program != 0 {
		bucket.programs[program] = now
	}
}

// pressure returns 0 while less is asked for than comes, up to 1 when it is as
// much.
func (bucket *Bucket) pressure() float64 {
	if bucket.limit.Rate <= 0 {
		return 1
	}
	return min(max((bucket.asked/bucket.limit.Rate-calmShare)/(1-calmShare), 0), 1)
}

// settle takes in what the asker tells of credit that it was given.
func (bucket *Bucket) settle(ask Ask, now time.Time) {
	if lease, ok := bucket.leases[ask.Asker]; ok && ask.Left >= 0 {
		lease.amount = min(lease.amount, ask.Left)
		bucket.leases[ask.Asker] = lease
	}
	bucket.level += float64(max(ask.Returned, 0))
	bucket.cap()
}

// spare returns how much of wanted may be given ahead.
func (bucket *Bucket) spare(wanted int) int {
	return max(min(wanted, int(bucket.level-spareShare*bucket.depth)), 0)
}

// time returns how long amount takes to come.
func (bucket *Bucket) time(amount float64) time.Duration {
	if bucket.limit.Rate <= 0 {
		return mostRetry
	}
	return time.Duration(math.Min(max(amount, 0)/bucket.limit.Rate, mostRetry.Seconds()) * float64(time.Second))
}
