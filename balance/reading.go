package balance

import "time"

const (
	// firstReadingRate is how many tokens of a prompt an engine is taken to
	// read in a millisecond before its answers tell. Engines met read 147 to
	// 471; one that reads 147 and was taken for 400 read a sixth more of
	// shared parts again than it had to.
	firstReadingRate = 400
	// leastReadingRate and mostReadingRate bound what answers can tell,
	// tokens a millisecond: slower engines would take seconds for any prompt,
	// and reading that costs no more than faster ones decides nothing.
	leastReadingRate = 10
	mostReadingRate  = 10000
	// readingMemory is how many answers count: some ten seconds of one
	// instance's.
	readingMemory = 256
	// firstWeight is how many answers the first rate counts for, of prompts
	// whose missing tokens differ by firstSpread: that of one that is held
	// and one whose shared part is not.
	firstWeight = 16
	firstSpread = 6000
	// outlierFactor times the time expected, an answer counts as having taken
	// no longer: an engine that hangs says nothing of how engines read.
	outlierFactor = 4
)

// reading is how fast the engines of a service read prompts, learnt from the
// time to the head of their answers against the tokens that they are expected
// to lack: the slope of a line through the last answers, drawn towards the
// first rate while they are few or alike.
type reading struct {
	// Sums over the answers, each fading by one part in readingMemory with
	// the next: of ones, tokens, milliseconds, and their products.
	count, tokens, took, tokensSquared, tokensTook float64
}

// learn takes in an answer whose head came after took, of a prompt that
// lacked missing tokens.
func (reading *reading) learn(missing int64, took time.Duration) {
	const keep = 1 - 1.0/readingMemory
	x, y := float64(missing), milliseconds(took)
	reading.count = reading.count*keep + 1
	reading.tokens = reading.tokens*keep + x
	reading.took = reading.took*keep + y
	reading.tokensSquared = reading.tokensSquared*keep + x*x
	reading.tokensTook = reading.tokensTook*keep + x*y
}

// perToken returns how long a token takes, in milliseconds.
func (reading *reading) perToken() float64 {
	const weight = firstWeight * firstSpread * firstSpread
	var spread, together float64
	if reading.count > 0 {
		spread = reading.tokensSquared - reading.tokens*reading.tokens/reading.count
		together = reading.tokensTook - reading.tokens*reading.took/reading.count
	}
	slope := (together + weight/firstReadingRate) / (spread + weight)
	return min(max(slope, 1.0/mostReadingRate), 1.0/leastReadingRate)
}

// time returns how long engines take to read tokens of a prompt.
func (reading *reading) time(tokens int64) time.Duration {
	return time.Duration(float64(tokens) * reading.perToken() * float64(time.Millisecond))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
