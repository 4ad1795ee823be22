package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/membership"
)

// toolTime is the work of a plain call on the smaller fleet: 18 ms in the
// mean over its kinds.
const toolTime = 18 * time.Millisecond

// tools is a plain service of n endpoints with six places each, as the
// larger fleets have it.
func tools(n int) []*membership.Endpoint {
	endpoints := fleet(n, "a")
	for _, endpoint := range endpoints {
		endpoint.Service, endpoint.Slots = "tool", 6
	}
	return endpoints
}

// call has one request sent, which is answered after took with outcome; no
// head of an answer comes for one that is broken or abandoned.
func call(picker *balance.Picker, clk *clock.Fake, endpoints []*membership.Endpoint, decide func(id string) (time.Duration, balance.Outcome)) string {
	choice := picker.Pick(endpoints, &balance.Request{DataCentre: "a"}, all)
	id := choice.Endpoint().ID
	took, outcome := decide(id)
	clk.Advance(took)
	if outcome == balance.OutcomeServed || outcome == balance.OutcomeFailed {
		choice.Answered()
	}
	choice.Done(outcome)
	return id
}

// share plays calls, 20 ms apart, and returns the share of the last half of
// them that came to endpoint a-0.
func share(picker *balance.Picker, clk *clock.Fake, endpoints []*membership.Endpoint, calls int, decide func(id string) (time.Duration, balance.Outcome)) float64 {
	hit := 0
	for n := range calls {
		if id := call(picker, clk, endpoints, decide); id == "a-0" && n >= calls/2 {
			hit++
		}
		clk.Advance(20 * time.Millisecond)
	}
	return float64(hit) / float64(calls-calls/2)
}

// Symptom: of a service with four endpoints, one call in ten fails for as
// long as one of them fails two in five, though it says that it is healthy.
// Events: it answers fast, with failures or broken connections, and looks as
// idle as the others. Cause: only endpoints that could not be reached were
// left out. One in some fifty calls still tries it.
func TestFailingEndpointIsAvoided(t *testing.T) {
	for _, outcome := range []balance.Outcome{balance.OutcomeBroken, balance.OutcomeFailed} {
		clk := clock.NewFake(start)
		picker, n := balance.NewPicker(clk), 0
		got := share(picker, clk, tools(4), 400, func(id string) (time.Duration, balance.Outcome) {
			if n++; id == "a-0" && n%5 < 2 {
				return toolTime, outcome
			}
			return toolTime, balance.OutcomeServed
		})
		assert.Less(t, got, 0.08, "%s", outcome)
		assert.Positive(t, got, "%s: it is tried again", outcome)
	}
}

// Symptom: calls that one of four endpoints takes time out, for as long as
// it hangs. Events: it takes requests, answers none, and each is given up
// after a second; between them it looks idle. Cause: a request that was
// given up said nothing of its endpoint.
func TestHangingEndpointIsAvoided(t *testing.T) {
	clk := clock.NewFake(start)
	picker := balance.NewPicker(clk)
	got := share(picker, clk, tools(4), 400, func(id string) (time.Duration, balance.Outcome) {
		if id == "a-0" {
			return time.Second, balance.OutcomeAbandoned
		}
		return toolTime, balance.OutcomeServed
	})
	assert.Less(t, got, 0.08)
}

// While an endpoint owes answers for longer than 0.25 s, the others are
// preferred, before anything was given up: at a rate of 500 calls a second
// its six places and their queue would fill within 0.1 s.
func TestSilentEndpointIsLeftBeforeItsAnswersAreGivenUp(t *testing.T) {
	clk := clock.NewFake(start)
	picker := balance.NewPicker(clk)
	endpoints := tools(2)
	share(picker, clk, endpoints, 20, func(string) (time.Duration, balance.Outcome) { return toolTime, balance.OutcomeServed })
	onlyFirst := func(id string) bool { return id != "a-0" }
	owed := picker.Pick(endpoints, &balance.Request{DataCentre: "a"}, onlyFirst)
	clk.Advance(400 * time.Millisecond)
	for range 5 {
		other := picker.Pick(endpoints, &balance.Request{DataCentre: "a"}, all)
		assert.Equal(t, "a-1", other.Endpoint().ID)
		other.Answered()
	}
	owed.Answered()
	assert.Equal(t, "a-0", picker.Pick(endpoints, &balance.Request{DataCentre: "a"}, all).Endpoint().ID, "it has five fewer in flight")
}

// Symptom: calls take four times as long as they need while most endpoints
// are idle. Events: one of four works 4.4 times slower; with one call at a
// time all look alike. Cause: the time that an endpoint takes was not known.
// An endpoint that is as fast as the others again is used like them after
// five seconds at most.
func TestSlowEndpointIsAvoidedUntilItIsFast(t *testing.T) {
	clk := clock.NewFake(start)
	picker := balance.NewPicker(clk)
	slow := 4.4
	decide := func(id string) (time.Duration, balance.Outcome) {
		if id == "a-0" {
			return time.Duration(slow * float64(toolTime)), balance.OutcomeServed
		}
		return toolTime, balance.OutcomeServed
	}
	assert.Less(t, share(picker, clk, tools(4), 400, decide), 0.1)
	slow = 1
	clk.Advance(5 * time.Second)
	// A quarter is its part: of the last 2,000 calls 0.2 is five standard
	// deviations below that.
	assert.Greater(t, share(picker, clk, tools(4), 4000, decide), 0.2)
}

// When all endpoints of a service fail alike none is left out: requests go
// on being spread.
func TestAllFailingEndpointsShare(t *testing.T) {
	clk := clock.NewFake(start)
	picker := balance.NewPicker(clk)
	got := share(picker, clk, tools(4), 400, func(string) (time.Duration, balance.Outcome) { return toolTime, balance.OutcomeBroken })
	assert.InDelta(t, 0.25, got, 0.1)
}
