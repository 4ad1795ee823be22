package quarantine

import (
	"slices"
	"time"

	"github.com/wagtaildrum/wagtaildrum/membership"
)

// attempt is the state of an endpoint under a request.
type attempt struct {
	id          uint64
	incarnation string
	state       State
	sentAt, at  time.Time
	// endedAt is when the exchange ended; zero if that is not known.
	endedAt time.Time
	source  Source
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

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

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
		isOutdated = previous.state >= report.State && !previous.isRevisedBy(report)
	}
	if previous.state == StateCrashed || isOutdated && report.State != StateCrashed {
		return false
	}
	updated := newAttempt(report, source)
	if updated.endedAt.IsZero() && previous.id == report.Attempt {
		updated.endedAt = previous.endedAt
	}
	*previous = updated
	return true
}

// isRevisedBy reports whether the report tells of a later moment than the one at which the
// endpoint was cleared: that it responded again, or that the exchange ended only then.
func (attempt *attempt) isRevisedBy(report Report) bool {
	return attempt.state == StateSurvived && (report.State == StateUnresolved || report.State == StateSurvived) && report.At.After(attempt.at)
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
	created := attempt{id: report.Attempt, incarnation: report.Incarnation, state: report.State, sentAt: report.SentAt, at: report.At, source: source}
	if report.State == StateUnresolved {
		created.endedAt = report.At
	}
	return created
}

// report returns the report of the attempt's state.
func (attempt *attempt) report(key Key) Report {
	return Report{Key: key, Attempt: attempt.id, Incarnation: attempt.incarnation, State: attempt.state, SentAt: attempt.sentAt, At: attempt.at}
}

// counted returns the attempts that count: all, or for a shared request those that do
// not overlap.
func (known *request) counted(isShared bool) []attempt {
	if !isShared {
		return known.attempts
	}
	ordered := slices.SortedFunc(slices.Values(known.attempts), func(a, b attempt) int { return a.end().Compare(b.end()) })
	var chain []attempt
	var end time.Time
	for _, attempt := range ordered {
		if attempt.state != StateSurvived && !attempt.sentAt.Before(end) {
			chain, end = append(chain, attempt), attempt.end()
		}
	}
	return chain
}

// end returns when the exchange ended, or the last time at which something was known of it.
// An endpoint may be seen to have crashed long after its exchange ended.
func (attempt *attempt) end() time.Time {
	if attempt.endedAt.IsZero() {
		return attempt.at
	}
	return attempt.endedAt
}

// isUnresolved reports whether the endpoint may have crashed, or still crash.
func (attempt *attempt) isUnresolved() bool {
	return attempt.state == StateUnresolved || attempt.state == StateTrying
}

// isCleared reports whether the endpoint has survived the exchange, and its end would still
// count: it may have ended a moment after it responded, or another incarnation responded in
// its place, and the list tells either later.
func (attempt *attempt) isCleared(now time.Time) bool {
	return attempt.state == StateSurvived && !attempt.endedAt.IsZero() && now.Sub(attempt.endedAt) < confirmTimeout
}

// isStale reports whether the endpoint was cleared by something observed long enough ago that
// it may have ended since.
func (attempt *attempt) isStale(now time.Time) bool {
	return attempt.isCleared(now) && now.Sub(attempt.at) >= SettleTime
}

// failedAt returns when the exchange ended, as far as is known, and false while it may be in
// progress, or if the endpoint is known to have crashed or to live. Nobody reports the end of
// an exchange whose instance died.
func (attempt *attempt) failedAt(now time.Time) (time.Time, bool) {
	switch {
	case attempt.state == StateUnresolved || attempt.isStale(now):
		return attempt.endedAt, true
	case attempt.state == StateTrying:
		endedAt := attempt.at.Add(reportTimeout)
		return endedAt, !now.Before(endedAt)
	}
	return time.Time{}, false
}

// resolve decides on an attempt by whether its endpoint is listed. It returns true if the
// endpoint has crashed. One that drained before it left has crashed, too: the list tells what
// an endpoint was to do, and not why an exchange with it failed. While it is listed, only a
// response tells that it lives.
func (attempt *attempt) resolve(presence PresenceFunc, now time.Time) bool {
	_, isSuspect := attempt.failedAt(now)
	if !isSuspect && !attempt.isCleared(now) || presence(attempt.incarnation, attempt.at) != membership.PresenceGone {
		return false
	}
	attempt.state = StateCrashed
	return true
}

// isHarmless reports whether no endpoint crashed under the request or may have, and no
// earlier report about it has to be ignored.
func (known *request) isHarmless(now time.Time) bool {
	return known.servedAt.IsZero() && !slices.ContainsFunc(known.attempts, func(attempt attempt) bool {
		return attempt.state != StateSurvived || attempt.isCleared(now)
	})
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
