package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/membership"
)

const (
	// Lifetime is how long a request is remembered after the last report about it. The
	// attempts of a caller at a request, and the repetitions of a turn, end before.
	Lifetime = 2 * time.Minute
	// reportTimeout is how long an endpoint is avoided that processes another request which
	// may crash it, and the time after which an instance that has not reported how an
	// exchange ended may have died.
	reportTimeout = 5 * time.Second
	// SettleTime is the time after a failed exchange from which on a request has to begin
	// for its response to be evidence that the endpoint did not crash. A process that
	// crashes may still respond for a moment.
	SettleTime = 250 * time.Millisecond
	// crashTolerance is the time after a crash in which a request may seem to have been
	// sent though it was sent before: reports of several instances about one crash take
	// different times to arrive.
	crashTolerance = 250 * time.Millisecond
	// confirmTimeout is how long after an exchange the end of an endpoint counts that was
	// cleared. The entry of an endpoint that has ended leaves the list within it.
	confirmTimeout = 5 * time.Second
	// maxRequests bounds the requests remembered, and maxAttempts the endpoints of each.
	maxRequests = 1 << 12
	maxAttempts = 8
)

// Assessment is the number of endpoints that ended under a request.
type Assessment struct {
	// Crashed endpoints have ended; Unresolved ones may have, or process the request; Cleared
	// ones have survived it and may have ended since.
	Crashed, Unresolved, Cleared int
	// Remaining is how long the request is remembered.
	Remaining time.Duration
}

// total returns the number of endpoints that have ended or may have.
func (assessment Assessment) total() int {
	return assessment.Crashed + assessment.Unresolved + assessment.Cleared
}

// Records holds what is known of requests under which endpoints failed. It is safe for
// concurrent use. Use NewRecords.
type Records struct {
	clock clock.Clock
	// onCleared is called with mu held for each endpoint that is cleared; nil for no call.
	onCleared func(clearance)
	// count is the number of requests. It is read without the lock, since it is 0 most
	// of the time.
	count atomic.Int64

	mu       sync.Mutex
	requests *simplelru.LRU[Key, *request]
	// crashedAt holds when incarnations crashed, as far as is known.
	crashedAt *simplelru.LRU[string, time.Time]
	// unresolved holds when it was last unknown of an incarnation whether it crashed,
	// and trying the requests that incarnations process, with their start.
	unresolved map[string]time.Time
	trying     map[string]map[Key]time.Time
}

// NewRecords returns Records of no request.
func NewRecords(clk clock.Clock) *Records {
	records := &Records{clock: clk, unresolved: map[string]time.Time{}, trying: map[string]map[Key]time.Time{}}
	// NewLRU fails only for a size that is not positive.
	records.requests, _ = simplelru.NewLRU[Key, *request](maxRequests, nil)
	records.crashedAt, _ = simplelru.NewLRU[string, time.Time](maxRequests, nil)
	return records
}

// Any reports whether anything is known of any request.
func (records *Records) Any() bool { return records.count.Load() > 0 }

// Len returns the number of requests of which something is known.
func (records *Records) Len() int { return int(records.count.Load()) }

// Add records a report and returns whether it changed what is known.
func (records *Records) Add(report Report, source Source) bool {
	records.mu.Lock()
	defer records.mu.Unlock()
	now := records.clock.Now()
	if now.Sub(report.At) >= Lifetime {
		return false
	}
	if report.State == StateConnected {
		report.State = StateUnresolved
	}
	crash := report
	if source == SourceStore {
		crash.At = now // rows are dated by the clocks of other machines
	}
	if report.State == StateCrashed && !records.recordCrash(crash) {
		// The endpoint had crashed before the request was sent.
		report.State = StateSurvived
	}
	known, ok := records.requests.Get(report.Key)
	if !ok {
		if report.State == StateSurvived || report.State == StateServed {
			return false
		}
		known = &request{}
		records.requests.Add(report.Key, known)
	}
	if !known.add(report, source) {
		records.updateCount()
		return false
	}
	known.expires = latest(known.expires, report.At.Add(Lifetime))
	records.index(report)
	records.updateCount()
	return true
}

// index updates what is kept by incarnation.
func (records *Records) index(report Report) {
	if report.State == StateTrying {
		if records.trying[report.Incarnation] == nil {
			records.trying[report.Incarnation] = map[Key]time.Time{}
		}
		records.trying[report.Incarnation][report.Key] = report.At
		return
	}
	if report.State == StateUnresolved {
		records.unresolved[report.Incarnation] = report.At
	}
	delete(records.trying[report.Incarnation], report.Key)
	if len(records.trying[report.Incarnation]) == 0 {
		delete(records.trying, report.Incarnation)
	}
}

// expireIndex drops what is kept by incarnation of long ago.
func (records *Records) expireIndex(now time.Time) {
	maps.DeleteFunc(records.unresolved, func(_ string, at time.Time) bool { return now.Sub(at) >= Lifetime })
	maps.DeleteFunc(records.trying, func(_ string, requests map[Key]time.Time) bool {
		maps.DeleteFunc(requests, func(_ Key, at time.Time) bool { return now.Sub(at) >= reportTimeout })
		return len(requests) == 0
	})
}

// recordCrash records when an incarnation crashed. It returns false if the incarnation
// is known to have crashed before the request of the report was sent.
func (records *Records) recordCrash(report Report) bool {
	crashedAt, ok := records.crashedAt.Get(report.Incarnation)
	if ok && report.SentAt.Sub(crashedAt) > crashTolerance {
		return false
	}
	if !ok || report.At.Before(crashedAt) {
		records.crashedAt.Add(report.Incarnation, report.At)
	}
	return true
}

// clear records that an endpoint did not end under a request.
func (records *Records) clear(c clearance) {
	if records.onCleared != nil && c.attempt.state != StateSurvived {
		records.onCleared(c)
	}
	c.attempt.state, c.attempt.at = StateSurvived, records.clock.Now()
}

// Clear records a report that an endpoint survived, and what tells that. It returns whether
// that changed what is known.
func (records *Records) Clear(report Report, evidence Evidence) bool {
	records.mu.Lock()
	if known, ok := records.requests.Peek(report.Key); ok && records.onCleared != nil {
		for i := range known.attempts {
			if attempt := &known.attempts[i]; attempt.id == report.Attempt && attempt.isUnresolved() {
				records.onCleared(clearance{attempt: attempt, key: report.Key, evidence: evidence, begunAt: report.At})
			}
		}
	}
	records.mu.Unlock()
	return records.Add(report, SourceOwn)
}

// updateCount publishes the number of requests.
func (records *Records) updateCount() { records.count.Store(int64(records.requests.Len())) }

// Assess returns what is known of a request. Of a request that several callers may send
// at the same time, only attempts are counted that one caller can have made, one after
// the other.
func (records *Records) Assess(key Key, isShared bool) Assessment {
	if !records.Any() {
		return Assessment{}
	}
	records.mu.Lock()
	defer records.mu.Unlock()
	known, ok := records.requests.Get(key)
	if !ok {
		return Assessment{}
	}
	now := records.clock.Now()
	assessment := Assessment{Remaining: max(known.expires.Sub(now), 0)}
	if assessment.Remaining == 0 {
		return Assessment{}
	}
	for _, attempt := range known.counted(isShared) {
		switch {
		case attempt.state == StateCrashed:
			assessment.Crashed++
		case attempt.isUnresolved():
			assessment.Unresolved++
		case attempt.isStale(now):
			assessment.Cleared++
		}
	}
	return assessment
}

// Responded records that an incarnation has responded to a request that was sent to it at
// begunAt, so that it lives now, and had not crashed under those whose exchanges had ended
// SettleTime or more before.
func (records *Records) Responded(incarnation string, begunAt time.Time) {
	if !records.Any() {
		return
	}
	records.mu.Lock()
	defer records.mu.Unlock()
	latest, ok := records.unresolved[incarnation]
	if !ok {
		return
	}
	if begunAt.Sub(latest) >= confirmTimeout {
		delete(records.unresolved, incarnation)
	}
	now := records.clock.Now()
	for _, key := range records.requests.Keys() {
		known, _ := records.requests.Peek(key)
		for i := range known.attempts {
			attempt := &known.attempts[i]
			isSuspect := attempt.state == StateUnresolved || attempt.isCleared(now)
			if attempt.incarnation == incarnation && isSuspect && begunAt.Sub(attempt.endedAt) >= SettleTime {
				records.clear(clearance{attempt: attempt, key: key, evidence: EvidenceResponse, begunAt: begunAt})
			}
		}
	}
}

// IsUnresolved reports whether it is unknown if the endpoint crashed under the sending.
func (records *Records) IsUnresolved(send *Send) bool {
	records.mu.Lock()
	defer records.mu.Unlock()
	known, ok := records.requests.Peek(send.Key)
	return ok && slices.ContainsFunc(known.attempts, func(attempt attempt) bool {
		return attempt.id == send.attempt && attempt.state == StateUnresolved
	})
}

// suspectSince returns when a request was sent to an incarnation that may have crashed under
// it, also since it was cleared. It returns false if there is none.
func (records *Records) suspectSince(key Key, incarnation string) (sentAt time.Time, ok bool) {
	records.mu.Lock()
	defer records.mu.Unlock()
	known, ok := records.requests.Peek(key)
	if !ok {
		return time.Time{}, false
	}
	now := records.clock.Now()
	for _, attempt := range known.attempts {
		if attempt.incarnation == incarnation && (attempt.isUnresolved() || attempt.isCleared(now)) {
			return attempt.sentAt, true
		}
	}
	return time.Time{}, false
}

// Failed returns the incarnations that crashed under a request or may have.
func (records *Records) Failed(key Key) []string {
	records.mu.Lock()
	defer records.mu.Unlock()
	known, ok := records.requests.Peek(key)
	if !ok {
		return nil
	}
	var incarnations []string
	for _, attempt := range known.attempts {
		if attempt.state == StateCrashed || attempt.isUnresolved() {
			incarnations = append(incarnations, attempt.incarnation)
		}
	}
	return incarnations
}

// Suspect is a sending of a request whose endpoint may have crashed under it.
type Suspect struct {
	*Send
	// FailedAt is when the exchange failed.
	FailedAt time.Time
}

// Suspects returns the sendings of a request whose exchanges have failed and whose
// endpoints may have crashed, also since they were cleared.
func (records *Records) Suspects(key Key, isShared bool) []Suspect {
	records.mu.Lock()
	defer records.mu.Unlock()
	known, ok := records.requests.Get(key)
	if !ok {
		return nil
	}
	now := records.clock.Now()
	var suspects []Suspect
	for _, attempt := range known.counted(isShared) {
		if endedAt, ok := attempt.failedAt(now); ok {
			send := &Send{Key: key, Incarnation: attempt.incarnation, attempt: attempt.id, sentAt: attempt.sentAt, isAnnounced: true}
			suspects = append(suspects, Suspect{Send: send, FailedAt: endedAt})
		}
	}
	return suspects
}

// PresenceFunc returns whether an incarnation is listed, by a list that was current after
// since.
type PresenceFunc func(incarnation string, since time.Time) membership.Presence

// Resolve decides on unresolved attempts by whether their endpoints are listed, and
// forgets requests that have expired. It returns the reports on attempts of this
// instance that turned out to have ended their endpoints.
func (records *Records) Resolve(presence PresenceFunc) []Report {
	if !records.Any() {
		return nil
	}
	records.mu.Lock()
	defer records.mu.Unlock()
	now := records.clock.Now()
	var reports []Report
	for _, key := range records.requests.Keys() {
		known, _ := records.requests.Peek(key)
		for i := range known.attempts {
			attempt := &known.attempts[i]
			if !attempt.resolve(presence, now) {
				continue
			}
			report := attempt.report(key)
			if !records.recordCrash(report) {
				records.clear(clearance{attempt: attempt, key: key, evidence: EvidenceEarlierCrash, begunAt: now})
				attempt.endedAt = time.Time{} // its end does not count
				continue
			}
			if attempt.source == SourceOwn {
				reports = append(reports, report)
			}
		}
		if !now.Before(known.expires) || known.isHarmless(now) {
			records.requests.Remove(key)
		}
	}
	records.expireIndex(now)
	records.updateCount()
	return reports
}

// Trying returns the incarnations that process other requests under which at least
// crashes endpoints have crashed; nil if there are none.
func (records *Records) Trying(key Key, crashes int) map[string]bool {
	records.mu.Lock()
	defer records.mu.Unlock()
	now := records.clock.Now()
	var incarnations map[string]bool
	for incarnation, requests := range records.trying {
		for other, at := range requests {
			if known, ok := records.requests.Peek(other); !ok || other == key || now.Sub(at) >= reportTimeout || known.crashed() < crashes {
				continue
			}
			if incarnations == nil {
				incarnations = map[string]bool{}
			}
			incarnations[incarnation] = true
		}
	}
	return incarnations
}
