package quota

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// askTimeout bounds asking a home, which is one way of a millisecond off
	// and answers from memory; machines short of processor time take longer.
	// An instance that was asked in the home's place waits forwardTimeout for
	// it, and is left time to answer itself.
	askTimeout     = 250 * time.Millisecond
	forwardTimeout = 100 * time.Millisecond
	// handOverTimeout is how long a home waits for what another one held, and
	// giveUpTimeout how long that one is asked to give it up.
	handOverTimeout = 100 * time.Millisecond
	giveUpTimeout   = 3 * time.Second
	// firstSuspicion is how long an instance that did not answer is not asked
	// again, twice as long each time up to mostSuspicion: the row of one that
	// is gone for good stays.
	firstSuspicion = time.Second
	mostSuspicion  = 8 * time.Second
	// beatInterval is how often the limiter looks whether it was away, and
	// mostAbsence after which it was: others take over after askTimeout.
	beatInterval = 100 * time.Millisecond
	mostAbsence  = 500 * time.Millisecond
	// probeInterval is how often an instance in whose place this one stands is
	// called: until then both give out the quota.
	probeInterval = 100 * time.Millisecond
	// isolatingSilence is how many instances do not answer, with no contact for
	// isolatingTime, before this one counts as cut off. Calls take milliseconds.
	isolatingSilence = 2
	isolatingTime    = 200 * time.Millisecond
	// forgetTime is after which a bucket that nobody asked for is dropped: it
	// is full again by then.
	forgetTime = time.Minute
)

// Peers are the other instances.
type Peers interface {
	// Homes returns the instances that may be the home of an organisation, the
	// best first and a few at most: the same at all instances that know the
	// same. It leaves out those that could not be reached of late unless all is
	// set.
	Homes(organisation string, all bool) []string
	// Self returns the name of this instance.
	Self() string
	// Joined returns when an instance last joined or started again.
	Joined(instance string) time.Time
	// Settled returns for how long no instance has joined or left.
	Settled() time.Duration
	// AskCredit asks an instance as the home of the organisation. It returns
	// ErrNotHome and ErrStopping as that one's Answer does, and ErrNotRunning if
	// its machine says that no process of it runs.
	AskCredit(ctx context.Context, instance string, question Question) (Answer, error)
	// HandOver asks an instance for the buckets of organisations whose home it
	// is no more, and gives it others; it returns what it held, and errors as
	// AskCredit does.
	HandOver(ctx context.Context, instance string, transfer Transfer) (Transfer, error)
}

// Question is an Ask for an organisation.
type Question struct {
	Organisation string
	Limit        Limit
	Ask          Ask
	// Hops is how often it was passed on, by instances that took another one
	// for the home.
	Hops int
}

// Transfer moves buckets between homes.
type Transfer struct {
	// From is the instance that asks or gives.
	From string
	// Wanted are organisations whose buckets are asked for.
	Wanted []string
	// Balances are what buckets hold, by organisation.
	Balances map[string]Balance
	// Moved names the instances that took wanted buckets before.
	Moved map[string]string
}

// ErrNotHome is an instance that is not an organisation's home, and cannot reach
// the one that is.
var ErrNotHome = errors.New("not the home")

// ExhaustedError is an organisation that has no request left for now.
type ExhaustedError struct {
	organisation, home string
	limit              Limit
	level              float64
	after              time.Duration
}

// Error tells the limit, what the home held, and which instance that is.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("organisation %s has no request left: rate %g/s, burst %g of version %d, %.1f left at home %s", e.organisation, e.limit.Rate, e.limit.Burst, e.limit.Version, e.level, e.home)
}

// RetryAfter returns when there will be credit.
func (e *ExhaustedError) RetryAfter() time.Duration { return e.after }

// UnsureError is a quota of which this instance cannot know what is left.
type UnsureError struct {
	organisation string
	cause        error
}

// Error names the organisation.
func (e *UnsureError) Error() string {
	return fmt.Sprintf("what is left to organisation %s is not known: %v", e.organisation, e.cause)
}

// Unwrap returns the cause.
func (e *UnsureError) Unwrap() error { return e.cause }

// Limiter keeps organisations within their quotas. It is safe for concurrent
// use.
type Limiter struct {
	peers     Peers
	tolerance Tolerance
	clock     clock.Clock
	log       *slog.Logger
	// wait is handOverTimeout; tests in simulated time wait longer.
	wait time.Duration

	ahead, asked, forwarded, exhausted, unsure, opened tally.Counter

	mu       sync.Mutex
	credits  map[string]*Credit
	buckets  map[string]*homeBucket
	suspects map[string]suspect
	stopped  bool
	// taken are the buckets that another instance took from here.
	taken map[string]taker
	// unanswered are the instances that did not answer since the last contact
	// with any.
	unanswered map[string]struct{}
	contact    time.Time
	// beaten is when Beat was last called, isolated what it found; present is
	// since when this instance has been running and in reach.
	beaten, present time.Time
	isolated        bool
}

// NewLimiter returns a limiter among peers.
func NewLimiter(peers Peers, tolerance Tolerance, clk clock.Clock, log *slog.Logger, scope tally.Scope) *Limiter {
	return &Limiter{peers: peers, tolerance: tolerance, clock: clk, log: log, wait: handOverTimeout,
		ahead: scope.Counter("quota_ahead"), asked: scope.Counter("quota_asked"), forwarded: scope.Counter("quota_forwarded"),
		exhausted: scope.Counter("quota_exhausted"), unsure: scope.Counter("quota_unsure"), opened: scope.Counter("quota_buckets_opened"),
		credits: map[string]*Credit{}, buckets: map[string]*homeBucket{}, suspects: map[string]suspect{}, taken: map[string]taker{}, unanswered: map[string]struct{}{}, beaten: clk.Now(), present: clk.Now()}
}

// Take returns how long a request must wait for its credit, which then counts
// as used. It returns an *ExhaustedError if the organisation has none left, and
// an *UnsureError if this instance cannot know.
func (limiter *Limiter) Take(ctx context.Context, organisation string, limit Limit, request Request) (time.Duration, error) {
	now := limiter.clock.Now()
	limiter.mu.Lock()
	credit := limiter.credits[organisation]
	if credit == nil {
		credit = &Credit{}
		limiter.credits[organisation] = credit
	}
	if credit.Use(now) {
		limiter.mu.Unlock()
		limiter.ahead.Inc(1)
		return 0, nil
	}
	question := Question{Organisation: organisation, Limit: limit, Ask: credit.Ask(limiter.peers.Self(), request)}
	limiter.mu.Unlock()
	limiter.asked.Inc(1)
	answer, home, err := limiter.ask(ctx, question)
	limiter.mu.Lock()
	credit.Take(question.Ask, answer, now)
	limiter.mu.Unlock()
	switch {
	case err != nil:
		limiter.unsure.Inc(1)
		return 0, &UnsureError{organisation: organisation, cause: err}
	case !answer.Granted:
		limiter.exhausted.Inc(1)
		return 0, &ExhaustedError{organisation: organisation, home: home, limit: limit, level: answer.Level, after: answer.Wait}
	}
	return answer.Wait, nil
}

// Return takes back the credit of a request that did not run.
func (limiter *Limiter) Return(organisation string) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if credit := limiter.credits[organisation]; credit != nil {
		credit.Return()
	}
}

// ask asks the home, and the next instance if it does not answer.
func (limiter *Limiter) ask(ctx context.Context, question Question) (Answer, string, error) {
	self := limiter.peers.Self()
	if limiter.isAlone() {
		return Answer{}, self, ErrNotHome
	}
	last := ErrNotHome
	for tries := (tries{}); tries.next(last); {
		home, next, isStandIn := limiter.home(question.Organisation)
		switch {
		case home == self && isStandIn && next != "":
			// One lost answer is no reason to take over: two instances would
			// give out the same quota. Another one must not reach the home
			// either.
			answer, err := limiter.askAt(ctx, next, question, askTimeout)
			if err == nil {
				return answer, next, nil
			}
			if last = err; errors.Is(err, ErrNotHome) {
				limiter.confirm(question.Organisation)
				question.Ask.Returned = 0
				return limiter.take(ctx, question), self, nil
			}
		case home == self:
			return limiter.take(ctx, question), self, nil
		case home != "":
			answer, err := limiter.askAt(ctx, home, question, askTimeout)
			if err == nil {
				return answer, home, nil
			}
			last = err
		}
		if ctx.Err() != nil {
			break
		}
		question.Ask.Returned = 0 // taken in, perhaps, by one whose answer is lost
	}
	return Answer{}, "", last
}

const (
	// candidates are how many instances are asked for one request at most: a home
	// that does not answer, the next, and one more.
	candidates = 3
	// mostOver is how many more are asked that are over, which takes no time to
	// find out: half of all processes may have ended at once, and ten in a row
	// have then for one organisation in a thousand.
	mostOver = 8
)

// tries counts the instances that are asked for one request.
type tries struct{ asked, over int }

// next reports whether another instance is asked, after one that ended with last.
func (tries *tries) next(last error) bool {
	if isOver(last) && tries.over < mostOver {
		tries.over++
		return true
	}
	tries.asked++
	return tries.asked <= candidates
}

// mostHops is how often a question is passed on: by one instance that knows a
// newer home, and one that the home's answer did not reach.
const mostHops = 2

// home returns the home of an organisation and the instance after it, "" if
// there is none. It stands in for the home if one before it in the order is
// suspected, and nobody has confirmed that.
func (limiter *Limiter) home(organisation string) (home, next string, isStandIn bool) {
	now := limiter.clock.Now()
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	for _, name := range limiter.peers.Homes(organisation, false) {
		suspect, suspected := limiter.suspects[name]
		switch {
		case limiter.stopped && name == limiter.peers.Self():
		case suspected && now.Before(suspect.until) && !limiter.peers.Joined(name).After(suspect.since):
			isStandIn = isStandIn || home == "" && !suspect.confirmed
		case home == "":
			home = name
		default:
			return home, name, isStandIn
		}
	}
	return home, "", isStandIn
}

// askAt asks one instance. One that does not answer is suspected for a while.
func (limiter *Limiter) askAt(ctx context.Context, home string, question Question, timeout time.Duration) (Answer, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := limiter.peers.AskCredit(limited, home, question)
	switch {
	case errors.Is(err, ErrNotHome):
		limiter.mu.Lock()
		limiter.met(limiter.clock.Now())
		limiter.mu.Unlock()
	case err == nil:
		limiter.answered(home, nil)
		limiter.drop(question.Organisation)
	case ctx.Err() == nil:
		limiter.answered(home, err)
	}
	return answer, err
}

// drop forgets a bucket that lay here while another instance was out of reach.
func (limiter *Limiter) drop(organisation string) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	delete(limiter.buckets, organisation)
}

// Answer answers another instance as the home of the organisation, or passes
// the question on to the instance that it takes for the home. It returns
// ErrNotHome if it cannot, and ErrStopping if this instance stops.
func (limiter *Limiter) Answer(ctx context.Context, question Question) (Answer, error) {
	limiter.isAlone() // gives up what is out of date
	limiter.mu.Lock()
	limiter.met(limiter.clock.Now())
	isStopped := limiter.stopped
	limiter.mu.Unlock()
	if isStopped {
		return Answer{}, ErrStopping
	}
	self := limiter.peers.Self()
	var last error
	for tries := (tries{}); tries.next(last); {
		home, _, _ := limiter.home(question.Organisation)
		switch {
		case home == self:
			// If it stands in, the asker does not reach the home either.
			limiter.confirm(question.Organisation)
			return limiter.take(ctx, question), nil
		case home == "" || home == question.Ask.Asker || question.Hops >= mostHops:
			return Answer{}, ErrNotHome
		}
		limiter.forwarded.Inc(1)
		onward := question
		onward.Hops++
		answer, err := limiter.askAt(ctx, home, onward, forwardTimeout)
		if err == nil || errors.Is(err, ErrNotHome) || ctx.Err() != nil {
			return answer, err
		}
		last = err
		question.Ask.Returned = 0
	}
	return Answer{}, ErrNotHome
}

// take decides by the bucket here.
func (limiter *Limiter) take(ctx context.Context, question Question) Answer {
	limiter.mu.Lock()
	held := limiter.held(question.Organisation)
	limiter.mu.Unlock()
	limiter.open(ctx, held, question)
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	held.used = now
	if held.bucket == nil {
		// Handed over meanwhile: whoever asks again finds the new home.
		held.bucket = NewBucket(limiter.tolerance, question.Limit, now)
		held.bucket.Doubt(now)
	}
	return held.bucket.Take(question.Ask, question.Limit, now)
}

// Run keeps the limiter going until ctx ends; then it reports on done.
func (limiter *Limiter) Run(ctx context.Context, done chan<- error) {
	forgotten := limiter.clock.Now()
	clock.Every(ctx, beatInterval, func(now time.Time) {
		limiter.Beat()
		if now.Sub(forgotten) >= forgetTime {
			forgotten = now
			limiter.forget(now)
		}
	}, done)
}

func (limiter *Limiter) forget(now time.Time) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	for organisation, held := range limiter.buckets {
		if held.bucket != nil && now.Sub(held.used) > forgetTime {
			delete(limiter.buckets, organisation)
		}
	}
	for organisation, credit := range limiter.credits {
		if now.Sub(credit.at) > forgetTime && credit.returned == 0 {
			delete(limiter.credits, organisation)
		}
	}
	for organisation, taker := range limiter.taken {
		if now.Sub(taker.at) > forgetTime {
			delete(limiter.taken, organisation)
		}
	}
	for name, suspect := range limiter.suspects {
		if now.After(suspect.until) {
			delete(limiter.suspects, name)
		}
	}
}
