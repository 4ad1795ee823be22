package balance

import (
	"math"
	"time"
)

const (
	// speedObservationWeight is the weight of one response in the speed of an
	// endpoint, if the earlier ones are recent. A response of some 260 tokens
	// varies by a tenth, since the prefill of other requests delays it.
	speedObservationWeight = 0.2
	// usualSpeedWeight is the number of responses that the assumption of the
	// service's mean speed counts for. With 0.5, noise of 15 % moved one weight
	// in a thousand of a fleet of like engines; with 1 almost none.
	usualSpeedWeight = 1.0
	// generationWindow is the time constant of a service's mean generation time
	// in responses. Endpoints of unequal speed make single responses differ by a
	// factor of two, which a window of 20 responses does not average out.
	generationWindow = 128
	// outlierGeneration is low enough that thirty responses in flight during a
	// suspension raise the mean of generationWindow responses by less than
	// weightMargin.
	outlierGeneration = 2
	// minSpeed and maxSpeed bound the speed of an endpoint. Beyond them its
	// placement does not change: it gets almost no new conversations, or all.
	minSpeed = 0.25
	maxSpeed = 4
	// New work is placed by weights that are powers of weightStep. An endpoint
	// keeps its weight while its speed is within weightMargin times the weight,
	// above or below, so that noise in the measurements causes no moves, and
	// instances with slightly different measurements use the same weights.
	weightStep   = math.Sqrt2
	weightMargin = 1.27
	// weightInterval is the minimum interval between updates of the weights of a
	// service. An update ranks the engines anew for each shared prefix in use.
	weightInterval = time.Second
)

// generation is the mean time that the endpoints of a service take to generate
// one token.
type generation struct {
	// Sums over the responses of the milliseconds from the response header to
	// the end, and of the tokens generated. They decay by 1/generationWindow
	// with each response.
	elapsed, tokens float64
}

// observe records a response of the given number of tokens. One that took more than
// outlierFactor times the expected time counts as outlierGeneration times that: the
// mean follows a service that has become slower, but not a suspension of this
// instance, which delays all responses in flight by the same time.
func (generation *generation) observe(elapsed time.Duration, tokens int64) {
	const decay = 1 - 1.0/generationWindow
	if expected := generation.time(tokens); expected > 0 && elapsed > outlierFactor*expected {
		elapsed = outlierGeneration * expected
	}
	generation.elapsed = generation.elapsed*decay + milliseconds(elapsed)
	generation.tokens = generation.tokens*decay + float64(tokens)
}

// time returns the mean time to generate the given number of tokens; 0 before
// the first response.
func (generation *generation) time(tokens int64) time.Duration {
	if generation.tokens == 0 {
		return 0
	}
	return time.Duration(generation.elapsed / generation.tokens * float64(tokens) * float64(time.Millisecond))
}

// speed estimates the speed of one incarnation of an endpoint relative to its
// service, from the time that it takes to generate its responses. The time to
// the response header is left out, since it contains the wait for a slot.
type speed struct {
	// Sums over the responses of 1, of the milliseconds that they took, and of
	// those that the service's mean would have taken. They decay with each
	// response and with time.
	count, elapsed, expected float64
	// updatedAt is the time of the last response.
	updatedAt time.Time
}

// observe records a response that took elapsed where the service's mean is
// expected. A response without an expected time is ignored.
func (speed *speed) observe(elapsed, expected time.Duration, now time.Time) {
	if expected <= 0 {
		return
	}
	decay := (1 - speedObservationWeight) * speed.confidence(now)
	speed.count = speed.count*decay + 1
	speed.elapsed = speed.elapsed*decay + milliseconds(min(elapsed, outlierFactor*expected))
	speed.expected = speed.expected*decay + milliseconds(expected)
	speed.updatedAt = now
}

// confidence returns the weight of the responses at now, from 1 for current
// ones to 0 after observationTTL.
func (speed *speed) confidence(now time.Time) float64 {
	return max(1-float64(now.Sub(speed.updatedAt))/float64(observationTTL), 0)
}

// relative returns the speed relative to the service's mean: 1 for an endpoint
// without recent responses, less for a slower one.
func (speed *speed) relative(now time.Time) float64 {
	count := speed.count * speed.confidence(now)
	if count == 0 {
		return 1
	}
	relativeTime := (speed.elapsed/speed.expected*count + usualSpeedWeight) / (count + usualSpeedWeight)
	return math.Min(math.Max(1/relativeTime, minSpeed), maxSpeed)
}

// placementWeight returns the weight to place new work by, given the present
// weight.
func (speed *speed) placementWeight(present float64, now time.Time) float64 {
	relative := speed.relative(now)
	if relative < present*weightMargin && present < relative*weightMargin {
		return present
	}
	return math.Pow(weightStep, math.Round(math.Log(relative)/math.Log(weightStep)))
}

// placement is the state of the placement weights of a service.
type placement struct {
	updatedAt time.Time
	// version counts the updates that changed a weight.
	version int
	// uneven is set if the candidates' weights differ.
	uneven bool
}
