package quota

import (
	"math"
	"time"
)

const (
	// demandTime is over which demand is averaged.
	demandTime = 2 * time.Second
	// mostSpare bounds credit ahead, in requests.
	mostSpare = 256
)

// Request is one that needs credit.
type Request struct {
	// Program is a hash of its program, 0 for none; New tells that it begins it.
	Program uint64
	New     bool
	// Patience is how long it may wait.
	Patience time.Duration
}

// Credit is what one instance was given ahead of an organisation's quota. It is
// not safe for concurrent use.
type Credit struct {
	left  int
	until time.Time
	// demand is in requests a second, as of at.
	demand float64
	at     time.Time
	// returned is credit of requests that did not run.
	returned int
	// asking is set while an Ask for credit ahead is under way: of two at once
	// the home could not tell what is left.
	asking bool
}

// Use notes a request, and reports whether credit ahead covers it.
func (credit *Credit) Use(now time.Time) bool {
	passed := now.Sub(credit.at)
	if credit.at.IsZero() {
		passed = demandTime
	}
	credit.at = now
	credit.demand = credit.demand*math.Exp(-passed.Seconds()/demandTime.Seconds()) + 1/demandTime.Seconds()
	if !now.Before(credit.until) {
		credit.left = 0
	}
	if credit.left == 0 {
		return false
	}
	credit.left--
	return true
}

// Ask returns what to ask the home for a request that no credit covers.
func (credit *Credit) Ask(asker string, request Request) Ask {
	ask := Ask{Asker: asker, Program: request.Program, New: request.New, Patience: request.Patience, Left: -1, Returned: credit.returned}
	credit.returned = 0
	if !credit.asking {
		credit.asking = true
		ask.Left = credit.left
		ask.Spare = max(min(int(credit.demand*LeaseTime.Seconds()), mostSpare)-credit.left, 0)
	}
	return ask
}

// Take takes in the answer to an Ask sent at sent; the zero Answer if there was
// none.
func (credit *Credit) Take(ask Ask, answer Answer, sent time.Time) {
	if ask.Left >= 0 {
		credit.asking = false
	}
	if !answer.Granted || answer.Spare == 0 {
		return
	}
	until := sent.Add(LeaseTime)
	credit.left += answer.Spare
	if until.After(credit.until) {
		credit.until = until
	}
}

// Return takes back the credit of a request that did not run.
func (credit *Credit) Return() { credit.returned++ }
