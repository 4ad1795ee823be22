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
	// requestTimeout bounds a credit request to a home. The home is about a
	// millisecond away and responds from memory, but takes longer when its
	// machine is short of processor time. An instance that was called in place
	// of the home forwards the request with forwardTimeout, which leaves it
	// time to respond itself.
	requestTimeout = 250 * time.Millisecond
	forwardTimeout = 100 * time.Millisecond
	// transferWait is how long a new home waits for the balance of the previous
	// one. transferTimeout bounds the call itself, which continues so that the
	// previous home gives up its bucket.
	transferWait    = 100 * time.Millisecond
	transferTimeout = 3 * time.Second
	// initialSuspicion is how long an unresponsive instance is not called
	// again. The time doubles with each failure up to maxSuspicion, because the
	// membership row of an instance that is gone for good remains.
	initialSuspicion = time.Second
	maxSuspicion     = 8 * time.Second
	// heartbeatInterval is the interval of the local heartbeat. After a gap of
	// more than maxHeartbeatGap this instance counts as having been suspended,
	// since others take over its buckets after requestTimeout.
	heartbeatInterval = 100 * time.Millisecond
	maxHeartbeatGap   = 500 * time.Millisecond
	// probeInterval is how often a fallback home calls the instance that it
	// replaces. Until that call succeeds, both grant the quota.
	probeInterval = 100 * time.Millisecond
	// isolationPeers is the number of unresponsive instances, without any
	// contact for isolationTime, from which this instance counts as
	// partitioned. Calls normally take milliseconds.
	isolationPeers = 2
	isolationTime  = 200 * time.Millisecond
	// idleTTL is the time after which an unused bucket is dropped, since it is
	// full again. Unused credit and transfer records are dropped as well.
	idleTTL = time.Minute
)

// Peers is the set of instances that share the quotas.
type Peers interface {
	// Homes returns the candidates for the home of an organisation, in order of
	// preference and limited to a few. Instances with the same membership get
	// the same list. Recently unreachable instances are left out unless all is
	// set.
	Homes(organisation string, all bool) []string
	// Self returns the name of this instance.
	Self() string
	// Listed reports whether the other instances know this one, or will once they have
	// received the latest changes of the membership. Homes leaves this instance out otherwise.
	Listed() bool
	// JoinedAt returns when an instance last joined or restarted.
	JoinedAt(instance string) time.Time
	// StableFor returns the time since an instance last joined or left.
	StableFor() time.Duration
	// RequestCredit sends a credit request to an instance as the home of the
	// organisation. It returns ErrNotHome and ErrStopping as Limiter.CreditResponse of
	// that instance does, and ErrNotRunning if its machine reports that no
	// process is running.
	RequestCredit(ctx context.Context, instance string, request HomeRequest) (CreditResponse, error)
	// TransferBuckets requests from an instance the buckets of organisations of which
	// it is no longer the home, and transfers other buckets to it. It returns
	// the balances that the instance held, and the errors of RequestCredit.
	TransferBuckets(ctx context.Context, instance string, transfer Transfer) (Transfer, error)
}

// HomeRequest is a CreditRequest for the credit of an organisation.
type HomeRequest struct {
	Organisation  string
	Limit         Limit
	CreditRequest CreditRequest
	// Hops counts how often the request was forwarded by instances that were
	// not the home.
	Hops int
}

// Transfer is a transfer of buckets between homes.
type Transfer struct {
	// From is the instance that requests or transfers the buckets.
	From string
	// Wanted lists the organisations whose buckets are requested.
	Wanted []string
	// Balances holds the balances of transferred buckets by organisation.
	Balances map[string]Balance
	// Moved names, by organisation, the instances to which wanted buckets were
	// transferred before.
	Moved map[string]string
}

// ErrNotHome is returned by an instance that can't act as the home of the
// organisation, and can't reach the home.
var ErrNotHome = errors.New("no reachable home instance for the quota of the organisation")

// ErrUnlisted is returned by an instance that the others don't know, and that
// knows no other.
var ErrUnlisted = errors.New("the instances that share the quota are not known yet")

// ExhaustedError is returned when an organisation has no credit at present.
type ExhaustedError struct {
	organisation, home string
	limit              Limit
	level              float64
	after              time.Duration
}

// Error names the organisation, its limit, the level of its bucket and its
// home.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("quota of organisation %s exhausted: rate %g/s, burst %g of version %d, %.1f requests remaining at home %s", e.organisation, e.limit.Rate, e.limit.Burst, e.limit.Version, e.level, e.home)
}

// RetryAfter returns the time until credit is expected.
func (e *ExhaustedError) RetryAfter() time.Duration { return e.after }

// BalanceUnknownError is returned when this instance can't determine the
// remaining quota of an organisation.
type BalanceUnknownError struct {
	organisation string
	cause        error
}

// Error names the organisation and the cause.
func (e *BalanceUnknownError) Error() string {
	return fmt.Sprintf("remaining quota of organisation %s is unknown: %v", e.organisation, e.cause)
}

// Unwrap returns the cause.
func (e *BalanceUnknownError) Unwrap() error { return e.cause }

// Limiter enforces the quotas of organisations across instances. It is safe for
// concurrent use.
type Limiter struct {
	peers     Peers
	tolerance Tolerance
	clock     clock.Clock
	log       *slog.Logger
	// wait is transferWait; tests in simulated time set a longer one.
	wait time.Duration

	ahead, requested, forwarded, exhausted, unknown, opened tally.Counter

	mu       sync.Mutex
	credits  map[string]*Credit
	buckets  map[string]*hostedBucket
	suspects map[string]suspect
	stopped  bool
	// transferred records the buckets that were transferred from here.
	transferred map[string]recipient
	// unresponsive holds the instances that have not responded since
	// lastContact, the time of the last contact with any instance.
	unresponsive map[string]struct{}
	lastContact  time.Time
	// lastHeartbeat is the time of the last Heartbeat. isolated is the result
	// of the last checkIsolation. activeSince is the time since which it has
	// been running and in contact.
	lastHeartbeat, activeSince time.Time
	isolated                   bool
}

// NewLimiter returns a limiter that shares quotas with peers.
func NewLimiter(peers Peers, tolerance Tolerance, clk clock.Clock, log *slog.Logger, scope tally.Scope) *Limiter {
	return &Limiter{peers: peers, tolerance: tolerance, clock: clk, log: log, wait: transferWait,
		ahead: scope.Counter("quota_ahead"), requested: scope.Counter("quota_asked"), forwarded: scope.Counter("quota_forwarded"),
		exhausted: scope.Counter("quota_exhausted"), unknown: scope.Counter("quota_unsure"), opened: scope.Counter("quota_buckets_opened"),
		credits: map[string]*Credit{}, buckets: map[string]*hostedBucket{}, suspects: map[string]suspect{}, transferred: map[string]recipient{}, unresponsive: map[string]struct{}{}, lastHeartbeat: clk.Now(), activeSince: clk.Now()}
}

// Take consumes credit for a request, and returns how long the request must
// wait for it. It returns an *ExhaustedError if the organisation has no credit,
// and a *BalanceUnknownError if the remaining quota is unknown.
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
	homeRequest := HomeRequest{Organisation: organisation, Limit: limit, CreditRequest: credit.CreditRequest(limiter.peers.Self(), request)}
	limiter.mu.Unlock()
	limiter.requested.Inc(1)
	response, home, err := limiter.requestCredit(ctx, homeRequest)
	limiter.mu.Lock()
	credit.Take(homeRequest.CreditRequest, response, now)
	limiter.mu.Unlock()
	switch {
	case err != nil:
		limiter.unknown.Inc(1)
		return 0, &BalanceUnknownError{organisation: organisation, cause: err}
	case !response.Granted:
		limiter.exhausted.Inc(1)
		return 0, &ExhaustedError{organisation: organisation, home: home, limit: limit, level: response.Level, after: response.Wait}
	}
	return response.Wait, nil
}

// Return records that a request for which credit was taken was not run.
func (limiter *Limiter) Return(organisation string) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if credit := limiter.credits[organisation]; credit != nil {
		credit.Return()
	}
}

// requestCredit sends the request to the home, and to the next candidates if
// the home does not respond. It also returns the instance that decided.
func (limiter *Limiter) requestCredit(ctx context.Context, request HomeRequest) (CreditResponse, string, error) {
	self := limiter.peers.Self()
	if limiter.checkIsolation() {
		return CreditResponse{}, self, ErrNotHome
	}
	lastErr := ErrNotHome
	for attempts := (attempts{}); attempts.next(lastErr); {
		home, next, isFallback := limiter.home(request.Organisation)
		switch {
		case home == self && isFallback && next != "":
			// A single lost response does not justify a takeover, after which
			// two instances would grant the same quota. A second instance has
			// to confirm that the home is unreachable.
			response, err := limiter.requestCreditFrom(ctx, next, request, requestTimeout)
			if err == nil {
				return response, next, nil
			}
			if lastErr = err; errors.Is(err, ErrNotHome) {
				limiter.confirm(request.Organisation)
				request.CreditRequest.Returned = 0
				return limiter.takeLocal(ctx, request), self, nil
			}
		case home == self:
			return limiter.takeLocal(ctx, request), self, nil
		case home != "":
			response, err := limiter.requestCreditFrom(ctx, home, request, requestTimeout)
			if err == nil {
				return response, home, nil
			}
			lastErr = err
		case len(limiter.peers.Homes(request.Organisation, true)) == 0:
			return CreditResponse{}, "", ErrUnlisted
		}
		if ctx.Err() != nil {
			break
		}
		request.CreditRequest.Returned = 0 // may have been applied, with the response lost
	}
	return CreditResponse{}, "", lastErr
}

const (
	// maxAttempts is the maximum number of instances called for one request: an
	// unresponsive home, the next candidate and one more.
	maxAttempts = 3
	// maxTerminated is the maximum number of further calls to terminated
	// instances, which fail at once. If half of all processes have ended at
	// once, the first ten candidates are all terminated for one organisation in
	// a thousand.
	maxTerminated = 8
)

// attempts counts the calls made for one request. The first maxTerminated calls
// that fail because the instance has terminated are counted in terminated, all
// others in sent.
type attempts struct{ sent, terminated int }

// next reports whether another instance is called after a call that returned
// lastErr.
func (attempts *attempts) next(lastErr error) bool {
	if isTerminated(lastErr) && attempts.terminated < maxTerminated {
		attempts.terminated++
		return true
	}
	attempts.sent++
	return attempts.sent <= maxAttempts
}

// maxHops bounds how often a request is forwarded: once by an instance that has
// recorded a newer home, and once by an instance that the home's response did
// not reach.
const maxHops = 2

// home returns the home of an organisation and the next candidate, or "" if
// there is none. isFallback is set if a preferred candidate is suspected
// without confirmation by another instance.
func (limiter *Limiter) home(organisation string) (home, next string, isFallback bool) {
	now := limiter.clock.Now()
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	for _, name := range limiter.peers.Homes(organisation, false) {
		suspect, suspected := limiter.suspects[name]
		switch {
		case limiter.stopped && name == limiter.peers.Self():
		case suspected && now.Before(suspect.until) && !limiter.peers.JoinedAt(name).After(suspect.since):
			isFallback = isFallback || home == "" && !suspect.confirmed
		case home == "":
			home = name
		default:
			return home, name, isFallback
		}
	}
	return home, "", isFallback
}

// requestCreditFrom sends the request to one instance, and suspects the
// instance for a while if it does not respond.
func (limiter *Limiter) requestCreditFrom(ctx context.Context, home string, request HomeRequest, timeout time.Duration) (CreditResponse, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := limiter.peers.RequestCredit(limited, home, request)
	switch {
	case errors.Is(err, ErrNotHome):
		limiter.mu.Lock()
		limiter.recordContact(limiter.clock.Now())
		limiter.mu.Unlock()
	case err == nil:
		limiter.responded(home, nil)
		limiter.dropBucket(request.Organisation)
	case ctx.Err() == nil:
		limiter.responded(home, err)
	}
	return response, err
}

// dropBucket removes a bucket that was held here while its home was
// unreachable.
func (limiter *Limiter) dropBucket(organisation string) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	delete(limiter.buckets, organisation)
}

// CreditResponse decides on a request from another instance if this one is the home of
// the organisation, and forwards it to the home otherwise. It returns
// ErrNotHome if neither is possible, and ErrStopping once Stop has been called.
func (limiter *Limiter) CreditResponse(ctx context.Context, request HomeRequest) (CreditResponse, error) {
	limiter.checkIsolation() // drops outdated buckets
	limiter.mu.Lock()
	limiter.recordContact(limiter.clock.Now())
	isStopped := limiter.stopped
	limiter.mu.Unlock()
	if isStopped {
		return CreditResponse{}, ErrStopping
	}
	self := limiter.peers.Self()
	var lastErr error
	for attempts := (attempts{}); attempts.next(lastErr); {
		home, _, _ := limiter.home(request.Organisation)
		switch {
		case home == self:
			// If this instance is the fallback, the request shows that another
			// instance can't reach the home either.
			limiter.confirm(request.Organisation)
			return limiter.takeLocal(ctx, request), nil
		case home == "" || home == request.CreditRequest.Instance || request.Hops >= maxHops:
			return CreditResponse{}, ErrNotHome
		}
		limiter.forwarded.Inc(1)
		relayed := request
		relayed.Hops++
		response, err := limiter.requestCreditFrom(ctx, home, relayed, forwardTimeout)
		if err == nil || errors.Is(err, ErrNotHome) || ctx.Err() != nil {
			return response, err
		}
		lastErr = err
		request.CreditRequest.Returned = 0
	}
	return CreditResponse{}, ErrNotHome
}

// takeLocal decides on the request by the bucket held here.
func (limiter *Limiter) takeLocal(ctx context.Context, request HomeRequest) CreditResponse {
	limiter.mu.Lock()
	hosted := limiter.hosted(request.Organisation)
	limiter.mu.Unlock()
	limiter.openBucket(ctx, hosted, request)
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	hosted.lastUsed = now
	if hosted.bucket == nil {
		// The bucket was transferred meanwhile. A retry finds the new home.
		hosted.bucket = NewBucket(limiter.tolerance, request.Limit, now)
		hosted.bucket.AssumeOutstanding(now)
	}
	return hosted.bucket.Take(request.CreditRequest, request.Limit, now)
}

// Run sends heartbeats and evicts idle state until ctx ends, then reports on
// done.
func (limiter *Limiter) Run(ctx context.Context, done chan<- error) {
	forgotten := limiter.clock.Now()
	clock.Every(ctx, heartbeatInterval, func(now time.Time) {
		limiter.Heartbeat()
		if now.Sub(forgotten) >= idleTTL {
			forgotten = now
			limiter.evictIdle(now)
		}
	}, done)
}

// evictIdle removes buckets, credit and transfer records unused for idleTTL, and
// expired suspicions.
func (limiter *Limiter) evictIdle(now time.Time) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	for organisation, hosted := range limiter.buckets {
		if hosted.bucket != nil && now.Sub(hosted.lastUsed) > idleTTL {
			delete(limiter.buckets, organisation)
		}
	}
	for organisation, credit := range limiter.credits {
		if now.Sub(credit.at) > idleTTL && credit.returned == 0 {
			delete(limiter.credits, organisation)
		}
	}
	for organisation, recipient := range limiter.transferred {
		if now.Sub(recipient.at) > idleTTL {
			delete(limiter.transferred, organisation)
		}
	}
	for name, suspect := range limiter.suspects {
		if now.After(suspect.until) {
			delete(limiter.suspects, name)
		}
	}
}
