package quarantine

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// MaxCrashes is the number of endpoints that may crash under one request.
	MaxCrashes = 3
	// publishTimeout bounds how long a request waits until the other instances have a
	// report.
	publishTimeout = 60 * time.Millisecond
	// IntroductionTime is how long it may take until all other instances know of this
	// one, or until it has received what was sent while it was suspended. Until then it
	// asks for reports.
	IntroductionTime = 2 * time.Second
	// loadTimeout bounds how long after its start an instance waits for the reports in
	// the store.
	loadTimeout = 500 * time.Millisecond
	// TickInterval is the interval at which Tick is to be called. One that is delayed by
	// more than maxTickDelay tells of a suspension.
	TickInterval = 500 * time.Millisecond
	maxTickDelay = 250 * time.Millisecond
	// stallTime is the time after which a publication waits for instances that do not
	// respond, and maxStalled bounds those that do.
	stallTime  = 20 * time.Millisecond
	maxStalled = 64
	// maxPublications bounds the other concurrent publications; reports in the meantime are
	// published together. maxPending bounds these.
	maxPublications = 4
	maxPending      = 1000
	// unresolvedRetryAfter is the retry delay while it is unknown whether an endpoint
	// has crashed.
	unresolvedRetryAfter = 300 * time.Millisecond
)

// CrashedError is returned for a request under which MaxCrashes endpoints crashed.
type CrashedError struct {
	crashes   int
	remaining time.Duration
}

// RetryAfter returns how long the request is refused.
func (e *CrashedError) RetryAfter() time.Duration { return e.remaining }

// Error returns the number of endpoints.
func (e *CrashedError) Error() string {
	return fmt.Sprintf("%d endpoints crashed under this request", e.crashes)
}

// UnresolvedError is returned for a request under which as many endpoints as may crash
// have crashed or may have.
type UnresolvedError struct {
	crashes, unresolved int
}

// RetryAfter returns when to try again.
func (e *UnresolvedError) RetryAfter() time.Duration { return unresolvedRetryAfter }

// Error returns the number of endpoints.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("%d endpoints crashed under this request, and it is not known yet whether %d others have", e.crashes, e.unresolved)
}

// Peers passes reports on to other instances.
type Peers interface {
	// PublishReports sends reports to all other instances. It returns how many of them
	// received the reports, and how many there are, once each has or does not respond.
	PublishReports(ctx context.Context, reports []Report) (received, instances int)
	// FetchReports returns what some other instances know.
	FetchReports(ctx context.Context) []Report
	// KnownFor returns how long ago this instance made itself known to the others; 0 if
	// it has not yet.
	KnownFor() time.Duration
}

// Send is one sending of a request to an endpoint.
type Send struct {
	Key Key
	// Incarnation names the incarnation of the endpoint.
	Incarnation string
	attempt     uint64
	sentAt      time.Time
	// isRepeated is set if the request was sent to the endpoint before, which may have
	// crashed under it.
	isRepeated bool
	// isAnnounced is set once other instances were told of it.
	isAnnounced bool
}

// NewSend returns a sending of a request that other instances were not told of.
func NewSend(key Key, incarnation string, sentAt time.Time) *Send {
	return &Send{Key: key, Incarnation: incarnation, attempt: rand.Uint64(), sentAt: sentAt}
}

// IsAnnounced reports whether the other instances were told that the request is tried at
// the endpoint.
func (send *Send) IsAnnounced() bool { return send.isAnnounced }

// IsRepeated reports whether the request was sent to the endpoint before, which may have
// crashed under it.
func (send *Send) IsRepeated() bool { return send.isRepeated }

// report returns a report of the endpoint's state now.
func (send *Send) report(state State, now time.Time) Report {
	return Report{Key: send.Key, Attempt: send.attempt, Incarnation: send.Incarnation, State: state, SentAt: send.sentAt, At: now}
}

// Guard decides which requests are sent, by what this and the other instances report.
// It is safe for concurrent use. Use NewGuard.
type Guard struct {
	*Records
	peers    Peers
	presence PresenceFunc
	clock    clock.Clock
	log      *slog.Logger
	// startedAt is when the guard was created; isLoaded is set once the reports in the
	// store were read.
	startedAt time.Time
	isLoaded  atomic.Bool
	// changed receives a value when an endpoint crashed under a request of this
	// instance.
	changed chan struct{}
	keeper  keeper

	crashes, received, published, dropped tally.Counter

	mu sync.Mutex
	// tickedAt is when Tick was last called, or the guard created, and resumedAt when a
	// suspension was noticed.
	tickedAt, resumedAt time.Time
	// pending is published next, and publishing is the number of goroutines that
	// publish.
	pending    *publication
	publishing int
	// stalled holds an element for each publication that has stalled.
	stalled chan struct{}
}

// NewGuard returns a Guard on records. presence tells whether an incarnation is listed.
// It reports the metrics endpoint_crashes (under requests of this instance),
// crash_reports_received, crash_reports_published and crash_reports_dropped to scope.
func NewGuard(records *Records, peers Peers, presence PresenceFunc, clk clock.Clock, log *slog.Logger, scope tally.Scope) *Guard {
	now := clk.Now()
	guard := &Guard{Records: records, peers: peers, presence: presence, clock: clk, log: log, startedAt: now, tickedAt: now, changed: make(chan struct{}, 1), stalled: make(chan struct{}, maxStalled),
		crashes: scope.Counter("endpoint_crashes"), received: scope.Counter("crash_reports_received"), published: scope.Counter("crash_reports_published"), dropped: scope.Counter("crash_reports_dropped")}
	records.onCleared = guard.logClearance
	return guard
}

// Changed returns a channel that receives a value when an endpoint crashed under a
// request of this instance.
func (guard *Guard) Changed() <-chan struct{} { return guard.changed }

// Check returns nil if the request may be sent to an endpoint, a *CrashedError if too
// many endpoints crashed under it, and an *UnresolvedError if too many may have.
func (guard *Guard) Check(ctx context.Context, key Key, isShared bool) error {
	guard.refresh(ctx)
	assessment := guard.Assess(key, isShared)
	if assessment.total() >= MaxCrashes && assessment.Crashed < MaxCrashes {
		guard.ResolveByList(ctx)
		assessment = guard.Assess(key, isShared)
	}
	switch {
	case assessment.Crashed >= MaxCrashes:
		return &CrashedError{crashes: assessment.Crashed, remaining: assessment.Remaining}
	case assessment.total() >= MaxCrashes:
		return &UnresolvedError{crashes: assessment.Crashed, unresolved: assessment.total() - assessment.Crashed}
	}
	return nil
}

// Begin records that a request is about to be sent to an endpoint. If an endpoint failed
// under it before, it first tells the other instances: they count the endpoint as one
// that may crash, also if this instance does not live to report how it ended.
func (guard *Guard) Begin(ctx context.Context, key Key, isShared bool, incarnation string) *Send {
	send := NewSend(key, incarnation, guard.clock.Now())
	if sentAt, ok := guard.suspectSince(key, incarnation); ok {
		// The first sending counts if the endpoint turns out to be gone.
		send.sentAt, send.isRepeated = sentAt, true
	}
	if assessment := guard.Assess(key, isShared); assessment.Crashed+assessment.Unresolved > 0 {
		send.isAnnounced = true
		report := send.report(StateTrying, guard.clock.Now())
		guard.Add(report, SourceOwn)
		guard.publish(ctx, report)
	}
	return send
}

// Crashed records that the endpoint crashed, how tells how it was recognised. It returns
// when the other instances know, or publishTimeout later, so that the caller's next attempt
// finds them informed. From the second crash on it also waits until the store was told, so
// that they know if all of them restart.
func (guard *Guard) Crashed(ctx context.Context, send *Send, how string) {
	guard.report(ctx, how, send.report(StateCrashed, guard.clock.Now()))
}

// report records and publishes crashes under requests of this instance.
func (guard *Guard) report(ctx context.Context, how string, reports ...Report) {
	kept := closed
	for _, report := range reports {
		guard.Add(report, SourceOwn)
		guard.crashes.Inc(1)
		assessment := guard.Assess(report.Key, false)
		if assessment.Crashed > 1 {
			// Many requests lose their endpoint when it ends, and few of them their
			// next one, too.
			kept = guard.keeper.recorded()
		}
		guard.log.Info("endpoint crashed under a request", "identity", report.Key, "incarnation", report.Incarnation, "recognised", how, "crashes", assessment.Crashed, "unresolved", assessment.Unresolved, "after", report.At.Sub(report.SentAt))
	}
	select {
	case guard.changed <- struct{}{}:
	default: // a notification is pending
	}
	published := guard.startPublishing(ctx, reports...)
	timer := time.NewTimer(publishTimeout)
	defer timer.Stop()
	for _, done := range []<-chan struct{}{published, kept} {
		select {
		case <-done:
		case <-timer.C:
			return
		}
	}
}

// UseStore has later crashes wait for attempts to keep them in the store.
func (guard *Guard) UseStore() { guard.keeper.useStore() }

// StartKeeping begins an attempt to keep all crashes known so far in the store. The
// returned function is called when the attempt has ended, whether or not it succeeded.
func (guard *Guard) StartKeeping() (end func()) { return guard.keeper.start() }

// Unresolved records that the exchange with the endpoint ended at endedAt without a response
// that serves the request, and that the endpoint may have crashed or still crash. The other
// instances are told if isUrgent is set: an endpoint that does not respond is far more often
// slow.
func (guard *Guard) Unresolved(ctx context.Context, send *Send, endedAt time.Time, isUrgent bool) {
	report := send.report(StateUnresolved, endedAt)
	changed := guard.Add(report, SourceOwn)
	switch {
	case changed && send.isAnnounced:
	case isUrgent && !send.isAnnounced && (changed || guard.IsUnresolved(send)):
		send.isAnnounced = true
	default:
		return
	}
	guard.publish(ctx, report)
}

// Survived records that the endpoint did not crash. begunAt is when what the evidence consists
// of began.
func (guard *Guard) Survived(ctx context.Context, send *Send, evidence Evidence, begunAt time.Time) {
	report := send.report(StateSurvived, begunAt)
	guard.Clear(report, evidence)
	if send.isAnnounced {
		guard.startPublishing(ctx, report)
	}
}

// Served records that the endpoint served the request completely: the crashes before
// were not its doing.
func (guard *Guard) Served(ctx context.Context, send *Send) {
	report := send.report(StateServed, guard.clock.Now())
	if guard.Any() && guard.Add(report, SourceOwn) {
		guard.startPublishing(ctx, report)
	}
}

// Receive records the reports of another instance.
func (guard *Guard) Receive(reports []Report) { guard.receive(reports, SourcePeer) }

// receive records reports.
func (guard *Guard) receive(reports []Report, source Source) {
	guard.received.Inc(int64(len(reports)))
	for _, report := range reports {
		guard.Add(report, source)
	}
}

// ResolveByList decides on endpoints that may have crashed by whether they are listed,
// and reports those that have.
func (guard *Guard) ResolveByList(ctx context.Context) {
	if reports := guard.Resolve(guard.presence); len(reports) > 0 {
		guard.report(ctx, "Unlisted", reports...)
	}
}
