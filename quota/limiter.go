package quota

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
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

// ErrNotRunning is an instance whose process has ended: what it held is lost.
var ErrNotRunning = errors.New("the instance does not run")

// ErrStopping is an instance that has handed its buckets over, or is about to,
// and ends.
var ErrStopping = errors.New("the instance stops")

// isOver reports whether an instance said, or its machine, that it is no home any
// more.
func isOver(err error) bool {
	return errors.Is(err, ErrNotRunning) || errors.Is(err, ErrStopping)
}

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

// taker is an instance that took a bucket.
type taker struct {
	by string
	at time.Time
}

// suspect is an instance that did not answer.
type suspect struct {
	since, until time.Time
	pause        time.Duration
	// confirmed: another instance does not reach it either.
	confirmed bool
}

// homeBucket is a bucket that lies here.
type homeBucket struct {
	// opening is held while the home before is asked for what it holds.
	opening sync.Mutex
	// bucket is nil until then. The limiter's mu guards it.
	bucket *Bucket
	used   time.Time
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
	for range candidates {
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

// candidates are how many instances are asked for one request at most: a home
// that does not answer, the next, and one more.
const candidates = 3

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

// confirm notes that another instance does not reach those either that are
// suspected here and would be the organisation's home.
func (limiter *Limiter) confirm(organisation string) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	for _, name := range limiter.peers.Homes(organisation, false) {
		if name == limiter.peers.Self() {
			return
		}
		if suspect, ok := limiter.suspects[name]; ok {
			suspect.confirmed = true
			limiter.suspects[name] = suspect
		}
	}
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

// answered notes whether an instance answered; err is nil if it did.
func (limiter *Limiter) answered(home string, err error) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	if err == nil {
		delete(limiter.suspects, home)
		limiter.met(now)
		return
	}
	if isOver(err) {
		limiter.met(now) // its machine is in reach
	} else {
		limiter.unanswered[home] = struct{}{}
	}
	known := limiter.suspects[home]
	if now.Before(known.until) {
		return // another request found out
	}
	pause := min(max(2*known.pause, firstSuspicion), mostSuspicion)
	limiter.suspects[home] = suspect{since: now, until: now.Add(pause), pause: pause, confirmed: known.confirmed || isOver(err)}
	limiter.log.Info("home of quotas does not answer: the next instance is asked", "home", home, "for", pause, "err", err)
}

// met notes contact with another instance. The caller holds mu.
func (limiter *Limiter) met(now time.Time) {
	clear(limiter.unanswered)
	limiter.contact = now
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
	for range candidates {
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
		question.Ask.Returned = 0
	}
	return Answer{}, ErrNotHome
}

// Beat is called every beatInterval while the instance runs. After an absence,
// in which another instance may have taken over, what lies here is out of date.
func (limiter *Limiter) Beat() {
	limiter.isAlone()
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.beaten = limiter.clock.Now()
}

// Probe calls the instances in whose place this one stands, so that they are
// the home again soon after they are back; and others if none was in contact of
// late: a home that is cut off must find out.
func (limiter *Limiter) Probe(ctx context.Context) {
	names := limiter.replaced()
	if limiter.isQuiet() {
		names = append(names, limiter.others()...)
	}
	for _, name := range names {
		limited, cancel := context.WithTimeout(ctx, handOverTimeout)
		_, err := limiter.peers.HandOver(limited, name, Transfer{From: limiter.peers.Self()})
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil || isOver(err) {
			limiter.answered(name, err)
			continue
		}
		limiter.mu.Lock()
		limiter.unanswered[name] = struct{}{}
		limiter.mu.Unlock()
	}
}

// isQuiet reports whether no other instance was in contact of late, while this
// one gives out quota or does not because of that.
func (limiter *Limiter) isQuiet() bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	if now.Sub(limiter.contact) < probeInterval {
		return false
	}
	for _, held := range limiter.buckets {
		if now.Sub(held.used) < mostAbsence {
			return true
		}
	}
	return limiter.isolated
}

// others returns some other instances, different ones each time.
func (limiter *Limiter) others() []string {
	self := limiter.peers.Self()
	names := limiter.peers.Homes(strconv.FormatInt(limiter.clock.Now().UnixNano(), 36), true)
	return slices.DeleteFunc(names, func(name string) bool { return name == self })
}

// replaced returns the suspects that would be home of a bucket that lies here.
func (limiter *Limiter) replaced() []string {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if len(limiter.suspects) == 0 {
		return nil
	}
	found := map[string]struct{}{}
	for organisation := range limiter.buckets {
		for _, name := range limiter.peers.Homes(organisation, true) {
			if name == limiter.peers.Self() {
				break
			}
			if _, ok := limiter.suspects[name]; ok {
				found[name] = struct{}{}
			}
		}
	}
	return slices.Collect(maps.Keys(found))
}

// isSilent reports whether instances do not answer, and none was in contact of
// late.
func (limiter *Limiter) isSilent() bool {
	limiter.mu.Lock()
	unanswered, silence := len(limiter.unanswered), limiter.clock.Now().Sub(limiter.contact)
	limiter.mu.Unlock()
	if unanswered == 0 || silence <= isolatingTime {
		return false
	}
	others := len(limiter.others())
	return others > 0 && unanswered >= min(others, isolatingSilence)
}

// isAlone reports whether no other instance can be reached, and gives up the
// buckets that lie here after an absence.
func (limiter *Limiter) isAlone() bool {
	isolated := limiter.isSilent()
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	absent := now.Sub(limiter.beaten)
	if absent > mostAbsence || limiter.isolated && !isolated {
		limiter.log.Info("back after an absence: quotas are asked for again", "absent", absent, "isolated", limiter.isolated, "organisations", len(limiter.buckets))
		clear(limiter.buckets)
		limiter.present, limiter.beaten = now, now
	}
	limiter.isolated = isolated
	return isolated
}

// take decides by the bucket here.
func (limiter *Limiter) take(ctx context.Context, question Question) Answer {
	held := limiter.held(question.Organisation)
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

func (limiter *Limiter) held(organisation string) *homeBucket {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	held := limiter.buckets[organisation]
	if held == nil {
		held = &homeBucket{}
		limiter.buckets[organisation] = held
	}
	return held
}

// open makes the bucket with what the home before still held. Without its word
// it is empty: what that one gave out is not known.
func (limiter *Limiter) open(ctx context.Context, held *homeBucket, question Question) {
	held.opening.Lock()
	defer held.opening.Unlock()
	limiter.mu.Lock()
	isOpen := held.bucket != nil
	limiter.mu.Unlock()
	if isOpen {
		return
	}
	balance, before := limiter.inherited(ctx, question)
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	if held.bucket == nil { // else a home that stops gave it meanwhile
		held.bucket = NewBucket(limiter.tolerance, question.Limit, now)
	}
	if balance == nil {
		held.bucket.Doubt(now)
		balance = &Balance{}
	}
	held.bucket.Add(*balance, now)
	delete(limiter.taken, question.Organisation)
	limiter.opened.Inc(1)
	limiter.log.Info("home of a quota", "organisation", question.Organisation, "level", held.bucket.Level(now), "before", before, "rate", question.Limit.Rate, "burst", question.Limit.Burst, "configuration", question.Limit.Version)
}

// inherited returns what another instance held of an organisation's quota, nil
// if that is not known, and which instance that was. Any of those that may be
// the home may have been it: one that stood in for this one, or one in whose
// place this one stands. One that is alive but late then gives nothing out any
// more.
func (limiter *Limiter) inherited(ctx context.Context, question Question) (balance *Balance, before string) {
	self := limiter.peers.Self()
	all := limiter.peers.Homes(question.Organisation, true)
	isUnused := len(all) > 0 && all[0] == self
	names := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == self })
	if taker := limiter.takenBy(question.Organisation); taker != "" {
		isUnused = false
		if !slices.Contains(names, taker) {
			names = append(names, taker)
		}
	}
	for _, name := range names {
		found, at, never := limiter.follow(ctx, question.Organisation, name)
		if found != nil {
			return found, at
		}
		isUnused = isUnused && never
	}
	if !isUnused {
		return nil, ""
	}
	// What came since instances last joined or left: nobody has used it.
	return &Balance{Level: question.Limit.Rate * min(limiter.peers.Settled(), limiter.sincePresent()).Seconds()}, ""
}

// follow asks an instance for an organisation's bucket, and those that took it
// from there. It reports which it was had from, or that an instance answered
// which never had it.
func (limiter *Limiter) follow(ctx context.Context, organisation, from string) (balance *Balance, at string, isUnused bool) {
	for range mostMoves {
		given := limiter.fetch(ctx, from, organisation)
		if given == nil {
			return nil, from, false
		}
		if balance, ok := given.Balances[organisation]; ok {
			return &balance, from, false
		}
		next := given.Moved[organisation]
		if next == "" || next == limiter.peers.Self() {
			return nil, from, next == ""
		}
		from = next
	}
	return nil, from, false
}

// mostMoves bounds how often a bucket is looked for where it moved to.
const mostMoves = 3

// fetch asks an instance for an organisation's bucket, and waits handOverTimeout
// for it. One that is later must give it up all the same. It returns nil if
// there was no answer.
func (limiter *Limiter) fetch(ctx context.Context, from, organisation string) *Transfer {
	answered := make(chan *Transfer, 1)
	go func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), giveUpTimeout)
		defer cancel()
		given, err := limiter.peers.HandOver(limited, from, Transfer{From: limiter.peers.Self(), Wanted: []string{organisation}})
		if err != nil {
			answered <- nil
			return
		}
		limiter.answered(from, nil)
		answered <- &given
	}()
	timer := time.NewTimer(limiter.wait)
	defer timer.Stop()
	select {
	case given := <-answered:
		return given
	case <-timer.C:
		return nil
	}
}

// takenBy returns the instance that took the organisation's bucket from here,
// "" if none did.
func (limiter *Limiter) takenBy(organisation string) string {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.taken[organisation].by
}

func (limiter *Limiter) sincePresent() time.Duration {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.clock.Now().Sub(limiter.present)
}

// Transfer gives up the buckets that another home asks for, and takes those
// that it gives. It returns ErrStopping if this instance can take none.
func (limiter *Limiter) Transfer(transfer Transfer) (Transfer, error) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	limiter.met(now)
	delete(limiter.suspects, transfer.From)
	if len(transfer.Balances) > 0 {
		// It stops, and its entry stands a little longer.
		limiter.suspects[transfer.From] = suspect{since: now, until: now.Add(mostSuspicion), pause: firstSuspicion, confirmed: true}
	}
	given := Transfer{Balances: map[string]Balance{}, Moved: map[string]string{}}
	for _, organisation := range transfer.Wanted {
		if held := limiter.buckets[organisation]; held != nil && held.bucket != nil {
			given.Balances[organisation] = held.bucket.Balance(now)
			held.bucket = nil
			delete(limiter.buckets, organisation)
		} else if taker, ok := limiter.taken[organisation]; ok {
			given.Moved[organisation] = taker.by
		}
		limiter.taken[organisation] = taker{by: transfer.From, at: now}
	}
	if limiter.stopped && len(transfer.Balances) > 0 {
		return Transfer{}, ErrStopping
	}
	for organisation, balance := range transfer.Balances {
		held := limiter.buckets[organisation]
		if held == nil {
			held = &homeBucket{}
			limiter.buckets[organisation] = held
		}
		if held.bucket == nil {
			held.bucket, held.used = NewBucket(limiter.tolerance, balance.Limit, now), now
		}
		held.bucket.Add(balance, now)
	}
	return given, nil
}

// Stop gives the buckets that lie here to the next homes.
func (limiter *Limiter) Stop(ctx context.Context) {
	limiter.mu.Lock()
	limiter.stopped = true
	now := limiter.clock.Now()
	balances := map[string]Balance{}
	for organisation, held := range limiter.buckets {
		if held.bucket != nil {
			balances[organisation] = held.bucket.Balance(now)
		}
	}
	clear(limiter.buckets)
	limiter.mu.Unlock()
	for range candidates {
		balances = limiter.handOver(ctx, balances)
		if len(balances) == 0 || ctx.Err() != nil {
			return
		}
	}
	limiter.log.Info("quotas not handed over: the next homes begin with nothing", "organisations", len(balances))
}

// handOver gives buckets to the next homes, and returns those that were not
// taken.
func (limiter *Limiter) handOver(ctx context.Context, balances map[string]Balance) (left map[string]Balance) {
	transfers := map[string]Transfer{}
	for organisation, balance := range balances {
		home, _, _ := limiter.home(organisation)
		if home == "" {
			continue
		}
		transfer, ok := transfers[home]
		if !ok {
			transfer = Transfer{From: limiter.peers.Self(), Balances: map[string]Balance{}}
			transfers[home] = transfer
		}
		transfer.Balances[organisation] = balance
	}
	var calls sync.WaitGroup
	var mu sync.Mutex
	left = map[string]Balance{}
	for home, transfer := range transfers {
		calls.Go(func() {
			limited, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_, err := limiter.peers.HandOver(limited, home, transfer)
			limiter.answered(home, err)
			if !isOver(err) {
				return // taken, perhaps: it must not be given twice
			}
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(left, transfer.Balances)
		})
	}
	calls.Wait()
	return left
}

// Watch probes the instances in whose place this one stands until ctx ends;
// then it reports on done.
func (limiter *Limiter) Watch(ctx context.Context, done chan<- error) {
	clock.Every(ctx, probeInterval, func(time.Time) { limiter.Probe(ctx) }, done)
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
