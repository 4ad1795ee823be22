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
	// unresolvedTimeout is how long it may remain unknown whether an endpoint crashed.
	// The entry of a crashed endpoint leaves the list within it.
	unresolvedTimeout = 5 * time.Second
	// crashTolerance is the time after a crash in which a request may seem to have been
	// sent though it was sent before: reports of several instances about one crash take
	// different times to arrive.
	crashTolerance = 250 * time.Millisecond
	// maxRequests bounds the requests remembered, and maxAttempts the endpoints of each.
	maxRequests = 1 << 12
	maxAttempts = 8
)

// attempt is the state of an endpoint under a request.
type attempt struct {
	id          uint64
	incarnation string
	state       State
	sentAt, at  time.Time
	source      Source
	// isLeaving is set once the endpoint was seen to drain.
	isLeaving bool
}

// request is what is known of one request.
type request struct {
	attempts []attempt
	// servedAt is when the request was served last; reports about earlier attempts
	// are ignored.
	servedAt time.Time
	// expires is when the request is forgotten.
	expires time.Time
}

// Assessment is the number of endpoints that ended under a request.
type Assessment struct {
	// Crashed endpoints have ended; Unresolved ones may have, or process the request.
	Crashed, Unresolved int
	// Remaining is how long the request is remembered.
	Remaining time.Duration
}

// Records holds what is known of requests under which endpoints failed. It is safe for
// concurrent use. Use NewRecords.
type Records struct {
	clock clock.Clock
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
	if report.State == StateCrashed && !records.recordCrash(report) {
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
	if report.State == StateUnresolved || report.State == StateConnected {
		records.unresolved[report.Incarnation] = report.At
	}
	delete(records.trying[report.Incarnation], report.Key)
	if len(records.trying[report.Incarnation]) == 0 {
		delete(records.trying, report.Incarnation)
	}
}

// expireIndex drops what is kept by incarnation of long ago.
func (records *Records) expireIndex(now time.Time) {
	isOld := func(at time.Time) bool { return now.Sub(at) >= unresolvedTimeout }
	maps.DeleteFunc(records.unresolved, func(_ string, at time.Time) bool { return isOld(at) })
	maps.DeleteFunc(records.trying, func(_ string, requests map[Key]time.Time) bool {
		maps.DeleteFunc(requests, func(_ Key, at time.Time) bool { return isOld(at) })
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

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// updateCount publishes the number of requests.
func (records *Records) updateCount() { records.count.Store(int64(records.requests.Len())) }

// add updates the request by a report and returns whether that changed it.
func (known *request) add(report Report, source Source) bool {
	if report.State == StateServed {
		if !report.At.After(known.servedAt) {
			return false
		}
		known.servedAt = report.At
		known.attempts = slices.DeleteFunc(known.attempts, func(attempt attempt) bool { return !attempt.sentAt.After(report.At) })
		return true
	}
	if !report.SentAt.After(known.servedAt) && !known.servedAt.IsZero() {
		return false
	}
	i := slices.IndexFunc(known.attempts, func(attempt attempt) bool { return attempt.incarnation == report.Incarnation })
	if i < 0 {
		if len(known.attempts) >= maxAttempts && !known.makeRoom() {
			return false
		}
		known.attempts = append(known.attempts, newAttempt(report, source))
		return true
	}
	previous := &known.attempts[i]
	isOutdated := previous.sentAt.After(report.SentAt)
	if previous.id == report.Attempt {
		isOutdated = previous.state >= report.State
	}
	if previous.state == StateCrashed || isOutdated && report.State != StateCrashed {
		return false
	}
	isLeaving := previous.isLeaving
	*previous = newAttempt(report, source)
	previous.isLeaving = isLeaving
	return true
}

// makeRoom drops an attempt whose endpoint has not crashed, preferably one whose endpoint
// survived. It returns false if there is none.
func (known *request) makeRoom() bool {
	i := slices.IndexFunc(known.attempts, func(attempt attempt) bool { return attempt.state == StateSurvived })
	if i < 0 {
		i = slices.IndexFunc(known.attempts, func(attempt attempt) bool { return attempt.state != StateCrashed })
	}
	if i < 0 {
		return false
	}
	known.attempts = slices.Delete(known.attempts, i, i+1)
	return true
}

// newAttempt returns the attempt that a report tells of.
func newAttempt(report Report, source Source) attempt {
	return attempt{id: report.Attempt, incarnation: report.Incarnation, state: report.State, sentAt: report.SentAt, at: report.At, source: source}
}

// report returns the report of the attempt's state.
func (attempt *attempt) report(key Key) Report {
	return Report{Key: key, Attempt: attempt.id, Incarnation: attempt.incarnation, State: attempt.state, SentAt: attempt.sentAt, At: attempt.at}
}

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
		case attempt.isUnresolved(now):
			assessment.Unresolved++
		}
	}
	return assessment
}

// counted returns the attempts that count: all, or for a shared request those that do
// not overlap.
func (known *request) counted(isShared bool) []attempt {
	if !isShared {
		return known.attempts
	}
	ordered := slices.SortedFunc(slices.Values(known.attempts), func(a, b attempt) int { return a.at.Compare(b.at) })
	var chain []attempt
	var end time.Time
	for _, attempt := range ordered {
		if attempt.state != StateSurvived && !attempt.sentAt.Before(end) {
			chain, end = append(chain, attempt), attempt.at
		}
	}
	return chain
}

// isUnresolved reports whether the endpoint may have crashed, or still crash.
func (attempt *attempt) isUnresolved(now time.Time) bool {
	return (attempt.state == StateUnresolved || attempt.state == StateTrying) && now.Sub(attempt.at) < unresolvedTimeout
}

// Responded records that an incarnation has responded to some request now, so that it
// had not crashed under those before.
func (records *Records) Responded(incarnation string) {
	if !records.Any() {
		return
	}
	records.mu.Lock()
	defer records.mu.Unlock()
	if _, ok := records.unresolved[incarnation]; !ok {
		return
	}
	delete(records.unresolved, incarnation)
	for _, known := range records.requests.Values() {
		for i := range known.attempts {
			if attempt := &known.attempts[i]; attempt.incarnation == incarnation && (attempt.state == StateUnresolved || attempt.state == StateConnected) {
				attempt.state = StateSurvived
			}
		}
	}
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
				attempt.state = StateSurvived
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

// resolve decides on an unresolved attempt by whether its endpoint is listed. It returns
// true if the endpoint has crashed. An endpoint that drained before it left has not.
func (attempt *attempt) resolve(presence PresenceFunc, now time.Time) bool {
	if attempt.state == StateCrashed || attempt.state == StateSurvived {
		return false
	}
	isDue := now.Sub(attempt.at) >= unresolvedTimeout
	switch presence(attempt.incarnation, attempt.at) {
	case membership.PresenceLeaving:
		attempt.isLeaving = true
	case membership.PresenceGone:
		// The instance that sent the request reports how it ended, if it lives.
		if !attempt.isLeaving && (attempt.state != StateTrying || isDue) {
			attempt.state = StateCrashed
			return true
		}
	}
	if isDue && attempt.state != StateTrying {
		attempt.state = StateSurvived
	}
	return false
}

// isHarmless reports whether no endpoint crashed under the request or still may, and no
// earlier report about it has to be ignored.
func (known *request) isHarmless(now time.Time) bool {
	return known.servedAt.IsZero() && !slices.ContainsFunc(known.attempts, func(attempt attempt) bool {
		return attempt.state != StateSurvived && (attempt.state != StateTrying || attempt.isUnresolved(now))
	})
}

// Crashes returns the reports of all crashes that are remembered, the latest first, at
// most limit of them.
func (records *Records) Crashes(limit int) []Report {
	return records.reports(limit, func(attempt attempt) bool { return attempt.state == StateCrashed })
}

// Reports returns the reports of all that is remembered, the latest first, at most limit
// of them.
func (records *Records) Reports(limit int) []Report {
	return records.reports(limit, func(attempt attempt) bool { return true })
}

// reports returns the reports of the attempts that filter selects, the latest first.
func (records *Records) reports(limit int, filter func(attempt) bool) []Report {
	records.mu.Lock()
	defer records.mu.Unlock()
	now := records.clock.Now()
	var reports []Report
	for _, key := range records.requests.Keys() {
		known, _ := records.requests.Peek(key)
		for _, attempt := range known.attempts {
			if filter(attempt) && now.Sub(attempt.at) < Lifetime {
				reports = append(reports, attempt.report(key))
			}
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return b.At.Compare(a.At) })
	return reports[:min(len(reports), limit)]
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
			if known, ok := records.requests.Peek(other); !ok || other == key || now.Sub(at) >= unresolvedTimeout || known.crashed() < crashes {
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

// crashed returns the number of endpoints that crashed under the request.
func (known *request) crashed() int {
	n := 0
	for _, attempt := range known.attempts {
		if attempt.state == StateCrashed {
			n++
		}
	}
	return n
}

// String returns the incarnation, the state and the source.
func (attempt *attempt) String() string {
	return attempt.incarnation + " " + attempt.state.String() + " " + attempt.source.String()
}

// Describe returns a description of each endpoint under a request.
func (records *Records) Describe(key Key) []string {
	records.mu.Lock()
	defer records.mu.Unlock()
	known, ok := records.requests.Peek(key)
	if !ok {
		return nil
	}
	var descriptions []string
	for _, attempt := range known.attempts {
		descriptions = append(descriptions, attempt.String())
	}
	return descriptions
}

// View describes a request in a state dump. Each endpoint is described by its
// incarnation, its state under the request, and the source of that.
type View struct {
	Identity  string   `json:"identity"`
	Crashes   int      `json:"crashes"`
	Endpoints []string `json:"endpoints"`
}

// Views returns what is known of the requests, at most limit of them, those under which
// most endpoints crashed first.
func (records *Records) Views(limit int) []View {
	records.mu.Lock()
	defer records.mu.Unlock()
	views := make([]View, 0, records.requests.Len())
	for _, key := range records.requests.Keys() {
		known, _ := records.requests.Peek(key)
		view := View{Identity: key.String(), Crashes: known.crashed()}
		for _, attempt := range known.attempts {
			view.Endpoints = append(view.Endpoints, attempt.String())
		}
		views = append(views, view)
	}
	slices.SortStableFunc(views, func(a, b View) int { return b.Crashes - a.Crashes })
	return views[:min(len(views), limit)]
}
