package quota

import (
	"math"
	"time"
)

const (
	// creditDemandTime is the time constant of the moving average of demand at
	// one instance.
	creditDemandTime = 2 * time.Second
	// maxAhead bounds the credit that an instance holds ahead, in requests.
	maxAhead = 256
)

// Request is a caller request that needs credit.
type Request struct {
	// Program is a hash of the program, 0 for none. New is set for the first
	// request of the program.
	Program uint64
	New     bool
	// MaxWait is how long the request may wait for credit.
	MaxWait time.Duration
}

// Credit is the credit of one organisation's quota that was granted ahead to
// this instance. It is not safe for concurrent use.
type Credit struct {
	remaining int
	until     time.Time
	// demand is the average rate of requests per second, as of at.
	demand float64
	at     time.Time
	// returned is the credit of requests that were not run, to be reported to
	// the home.
	returned int
	// requesting is set while a CreditRequest for credit ahead is in flight. With two in
	// flight, the home could not determine the remaining credit.
	requesting bool
}

// Use records a request, and reports whether the remaining credit covers it.
func (credit *Credit) Use(now time.Time) bool {
	elapsed := now.Sub(credit.at)
	if credit.at.IsZero() {
		elapsed = creditDemandTime
	}
	credit.at = now
	credit.demand = credit.demand*math.Exp(-elapsed.Seconds()/creditDemandTime.Seconds()) + 1/creditDemandTime.Seconds()
	if !now.Before(credit.until) {
		credit.remaining = 0
	}
	if credit.remaining == 0 {
		return false
	}
	credit.remaining--
	return true
}

// CreditRequest returns the request to send to the home for a caller request that the
// remaining credit does not cover.
func (credit *Credit) CreditRequest(instance string, request Request) CreditRequest {
	creditRequest := CreditRequest{Instance: instance, Program: request.Program, New: request.New, MaxWait: request.MaxWait, Remaining: -1, Returned: credit.returned}
	credit.returned = 0
	if !credit.requesting {
		credit.requesting = true
		creditRequest.Remaining = credit.remaining
		creditRequest.Ahead = max(min(int(credit.demand*LeaseTime.Seconds()), maxAhead)-credit.remaining, 0)
	}
	return creditRequest
}

// Take applies the response to a CreditRequest sent at sent. The response is the zero
// CreditResponse if none was received.
func (credit *Credit) Take(request CreditRequest, response CreditResponse, sent time.Time) {
	if request.Remaining >= 0 {
		credit.requesting = false
	}
	if !response.Granted || response.Ahead == 0 {
		return
	}
	until := sent.Add(LeaseTime)
	credit.remaining += response.Ahead
	if until.After(credit.until) {
		credit.until = until
	}
}

// Return records that the request of one credit was not run.
func (credit *Credit) Return() { credit.returned++ }
