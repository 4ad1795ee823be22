package balance

import "time"

const (
	// observationWeight is the weight of one request in the statistics of an
	// endpoint. A failure rate of one in ten shows after about ten requests,
	// and the effect of a single failure passes.
	observationWeight = 0.1
	// observationTTL is the time over which observations of an endpoint lose
	// their weight. Faults of endpoints last about five seconds.
	observationTTL = 5 * time.Second
	// failureCost is the cost of a failed request. A failed request that may
	// not be repeated ends its program, which loses at least about a second of
	// work. An endpoint that fails two requests in five is used only when all
	// others have a queue of 0.4 s.
	failureCost = time.Second
	// slowFactor times the service's mean header time is the limit beyond which
	// an endpoint counts as slow. Below it the means of healthy endpoints
	// differ by chance: the duration of calls without a prompt varies by a
	// factor of ten.
	slowFactor = 2
	// An endpoint counts as silent once it has not responded for silenceFactor
	// times the service's mean header time, and at least for minSilence.
	silenceFactor = 8
	minSilence    = 250 * time.Millisecond
)

// health holds what requests have shown about one endpoint. An endpoint may
// report itself healthy while it fails, hangs or is slow, so its health is
// judged by its responses.
type health struct {
	// headerTime is the mean time to the response header without the prefill.
	headerTime time.Duration
	// failureRate is the share of requests that failed.
	failureRate float64
	// updatedAt is when headerTime or failureRate last changed.
	updatedAt time.Time
	// pending is the number of requests without a response. lastResponse is
	// when the endpoint last responded, or when the first pending request was
	// sent if that is later.
	pending      int
	lastResponse time.Time
}

// sent records that a request was sent.
func (health *health) sent(now time.Time) {
	if health.pending == 0 {
		health.lastResponse = now
	}
	health.pending++
}

// resolved records that a request is no longer pending; responded reports
// whether the endpoint responded to it.
func (health *health) resolved(now time.Time, responded bool) {
	health.pending--
	if responded {
		health.lastResponse = now
	}
}

// took records the time to a response header. The weight of earlier
// measurements decreases with their age: after observationTTL without a
// request the mean is that of this response alone.
func (health *health) took(headerTime time.Duration, now time.Time) {
	weight := max(observationWeight, 1-health.confidence(now))
	health.headerTime += time.Duration(weight * float64(headerTime-health.headerTime))
	health.updatedAt = now
}

// recordOutcome records whether a request failed. The weight of earlier
// outcomes decreases with their age.
func (health *health) recordOutcome(failed bool, now time.Time) {
	rate := health.failureRate * health.confidence(now)
	if failed {
		rate += observationWeight * (1 - rate)
	} else {
		rate -= observationWeight * rate
	}
	health.failureRate, health.updatedAt = rate, now
}

// confidence returns the weight of the statistics at now, from 1 for current
// ones to 0 after observationTTL.
func (health *health) confidence(now time.Time) float64 {
	return max(1-float64(now.Sub(health.updatedAt))/float64(observationTTL), 0)
}

// silenceTimeout returns how long a response may take before the endpoint
// counts as silent, given the mean header time of its service.
func silenceTimeout(meanHeaderTime time.Duration) time.Duration {
	return max(silenceFactor*meanHeaderTime, minSilence)
}

// cost returns the delay that a request is expected to suffer from the
// endpoint's faults, given the mean header time of its service, which is 0 if
// unknown.
func (health *health) cost(meanHeaderTime time.Duration, now time.Time) time.Duration {
	confidence := health.confidence(now)
	cost := time.Duration(health.failureRate * confidence * float64(failureCost))
	if excess := health.headerTime - slowFactor*meanHeaderTime; excess > 0 && meanHeaderTime > 0 {
		cost += time.Duration(confidence * float64(excess))
	}
	if health.pending > 0 {
		cost += max(now.Sub(health.lastResponse)-silenceTimeout(meanHeaderTime), 0)
	}
	return cost
}
