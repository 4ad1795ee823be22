package balance

import "time"

const (
	// initialPrefillRate is the assumed prefill rate of an engine, in tokens a
	// millisecond, before the first responses. Measured engines prefill 147 to
	// 471 tokens a millisecond. An engine with a rate of 147 for which 400 was
	// assumed prefilled a sixth more tokens of shared prefixes than necessary.
	initialPrefillRate = 400
	// minPrefillRate and maxPrefillRate bound the estimated rate, in tokens a
	// millisecond. A slower engine would take seconds for any prompt. Above
	// the upper bound the prefill time has no influence on the choice.
	minPrefillRate = 10
	maxPrefillRate = 10000
	// prefillWindow is the time constant of the estimate in responses, about ten
	// seconds of one instance's.
	prefillWindow = 256
	// initialRateWeight is how many responses the initial rate counts for.
	// These are assumed to have missing token counts that differ by
	// initialTokenSpread, as a fully cached prompt differs from one whose
	// shared prefix is not cached.
	initialRateWeight  = 16
	initialTokenSpread = 6000
	// outlierFactor times the expected time is the upper limit of a measurement:
	// an engine that hangs gives no information on the prefill rate.
	outlierFactor = 4
)

// prefill estimates the prefill rate of the engines of a service by linear
// regression of the time to the response header on the expected number of
// missing tokens. The estimate is drawn towards the initial rate while the
// responses are few or their token counts alike.
type prefill struct {
	// Sums over the responses of 1, of tokens, of milliseconds and of their
	// products. Each sum decays by 1/prefillWindow with each response.
	count, tokens, elapsed, tokensSquared, tokensElapsed float64
}

// observe records a response whose header arrived after elapsed, to a prompt
// with missing tokens not cached.
func (prefill *prefill) observe(missing int64, elapsed time.Duration) {
	const decay = 1 - 1.0/prefillWindow
	x, y := float64(missing), milliseconds(elapsed)
	prefill.count = prefill.count*decay + 1
	prefill.tokens = prefill.tokens*decay + x
	prefill.elapsed = prefill.elapsed*decay + y
	prefill.tokensSquared = prefill.tokensSquared*decay + x*x
	prefill.tokensElapsed = prefill.tokensElapsed*decay + x*y
}

// millisecondsPerToken returns the estimated prefill time of one token.
func (prefill *prefill) millisecondsPerToken() float64 {
	const weight = initialRateWeight * initialTokenSpread * initialTokenSpread
	var tokenVariation, covariation float64
	if prefill.count > 0 {
		tokenVariation = prefill.tokensSquared - prefill.tokens*prefill.tokens/prefill.count
		covariation = prefill.tokensElapsed - prefill.tokens*prefill.elapsed/prefill.count
	}
	slope := (covariation + weight/initialPrefillRate) / (tokenVariation + weight)
	return min(max(slope, 1.0/maxPrefillRate), 1.0/minPrefillRate)
}

// time returns the expected prefill time of the given number of tokens.
func (prefill *prefill) time(tokens int64) time.Duration {
	return time.Duration(float64(tokens) * prefill.millisecondsPerToken() * float64(time.Millisecond))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
