package balance

import "time"

const (
	// newsWeight is the weight of one request in what is known of an
	// endpoint: one in some ten that fail shows after as many requests, and
	// a single failure passes.
	newsWeight = 0.1
	// newsLifetime is how long what requests showed of an endpoint counts,
	// less and less. Faults of endpoints last some five seconds.
	newsLifetime = 5 * time.Second
	// failureCost is what a failed request costs. One that may not be
	// repeated ends its program, which loses about a second of work at the
	// least; an endpoint that fails two in five is used only when all others
	// have a queue of 0.4 s.
	failureCost = time.Second
	// slowFactor times the usual time of its service, and what an endpoint
	// takes beyond that counts against it. Within it the means of healthy
	// endpoints differ by chance: the work of plain calls varies by a factor
	// of ten.
	slowFactor = 2
	// silenceFactor times the usual time, and leastSilence at least, is how
	// long an endpoint may owe its answers before its silence counts.
	silenceFactor = 8
	leastSilence  = 250 * time.Millisecond
)

// standing is what requests showed of one endpoint. An endpoint may report
// itself healthy while it fails, hangs or is slow; what it does to requests
// tells.
type standing struct {
	// head is the mean time to the head of an answer, without the reading
	// of the prompt.
	head time.Duration
	// failing is the share of requests that failed.
	failing float64
	// news is when the two last changed.
	news time.Time
	// owed requests have no answer yet; heard is when the endpoint last
	// answered one, or began to owe the first of these.
	owed  int
	heard time.Time
}

// sent notes a request on its way.
func (standing *standing) sent(now time.Time) {
	if standing.owed == 0 {
		standing.heard = now
	}
	standing.owed++
}

// settled notes that a request is owed no more; answered tells that the
// endpoint answered it.
func (standing *standing) settled(now time.Time, answered bool) {
	standing.owed--
	if answered {
		standing.heard = now
	}
}

// took takes in the time to the head of an answer. What was known before
// has faded by now: an endpoint that was not used for newsLifetime is known
// by this answer alone.
func (standing *standing) took(head time.Duration, now time.Time) {
	weight := max(newsWeight, 1-standing.trust(now))
	standing.head += time.Duration(weight * float64(head-standing.head))
	standing.news = now
}

// ended takes in whether a request failed. What was known before has faded
// by now.
func (standing *standing) ended(failed bool, now time.Time) {
	share := standing.failing * standing.trust(now)
	if failed {
		share += newsWeight * (1 - share)
	} else {
		share -= newsWeight * share
	}
	standing.failing, standing.news = share, now
}

// trust is how much of what is known counts at now.
func (standing *standing) trust(now time.Time) float64 {
	return max(1-float64(now.Sub(standing.news))/float64(newsLifetime), 0)
}

// allowance is how long an answer may take before the endpoint counts as
// silent, given the usual time of its service.
func allowance(usual time.Duration) time.Duration {
	return max(silenceFactor*usual, leastSilence)
}

// cost is what the endpoint's faults are expected to cost a request, given
// the usual time to the head of an answer of its service; 0 if unknown.
func (standing *standing) cost(usual time.Duration, now time.Time) time.Duration {
	trust := standing.trust(now)
	cost := time.Duration(standing.failing * trust * float64(failureCost))
	if slow := standing.head - slowFactor*usual; slow > 0 && usual > 0 {
		cost += time.Duration(trust * float64(slow))
	}
	if standing.owed > 0 {
		cost += max(now.Sub(standing.heard)-allowance(usual), 0)
	}
	return cost
}
