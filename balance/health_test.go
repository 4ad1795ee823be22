package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/membership"
)

// toolTime is the duration of a call without a prompt on the smaller fleet,
// 18 ms in the mean over the kinds of calls.
const toolTime = 18 * time.Millisecond

// toolEndpoints returns n endpoints of a service without a model, with six slots
// each as on the larger fleets.
func toolEndpoints(n int) []*membership.Endpoint {
	endpoints := fleet(n, "a")
	for _, endpoint := range endpoints {
		endpoint.Service, endpoint.Slots = "tool", 6
	}
	return endpoints
}

// sendCall sends one request, which ends after the duration and with the outcome
// that decide returns, and returns the endpoint chosen. A broken or abandoned
// request has no response header.
func sendCall(picker *balance.Picker, clk *clock.Fake, endpoints []*membership.Endpoint, decide func(id string) (time.Duration, balance.Outcome)) string {
	choice := picker.Pick(endpoints, &balance.Request{DataCentre: "a"}, skipNone)
	id := choice.Endpoint().ID
	took, outcome := decide(id)
	clk.Advance(took)
	if outcome == balance.OutcomeServed || outcome == balance.OutcomeFailed {
		choice.HeaderReceived()
	}
	choice.Done(outcome)
	return id
}

// firstEndpointShare sends calls 20 ms apart and returns the share of the second
// half of them that endpoint a-0 received.
func firstEndpointShare(picker *balance.Picker, clk *clock.Fake, endpoints []*membership.Endpoint, calls int, decide func(id string) (time.Duration, balance.Outcome)) float64 {
	hits := 0
	for n := range calls {
		if id := sendCall(picker, clk, endpoints, decide); id == "a-0" && n >= calls/2 {
			hits++
		}
		clk.Advance(20 * time.Millisecond)
	}
	return float64(hits) / float64(calls-calls/2)
}

// Guards against one call in ten failing while one of four endpoints fails two
// calls in five and reports itself healthy. Its failures and broken connections
// come fast, which makes it look as idle as the others, and only unreachable
// endpoints were avoided. About one call in fifty still goes to it.
func TestFailingEndpointIsAvoided(t *testing.T) {
	for _, outcome := range []balance.Outcome{balance.OutcomeBroken, balance.OutcomeFailed} {
		clk := clock.NewFake(start)
		picker, n := balance.NewPicker(clk), 0
		got := firstEndpointShare(picker, clk, toolEndpoints(4), 400, func(id string) (time.Duration, balance.Outcome) {
			if n++; id == "a-0" && n%5 < 2 {
				return toolTime, outcome
			}
			return toolTime, balance.OutcomeServed
		})
		assert.Less(t, got, 0.08, "%s", outcome)
		assert.Positive(t, got, "%s: the endpoint is still probed", outcome)
	}
}

// Guards against timeouts of all calls to one of four endpoints while it hangs.
// It accepts requests and never responds, each request is abandoned after a
// second, and between requests it looks idle. Abandoned requests were not
// counted against their endpoint.
func TestHangingEndpointIsAvoided(t *testing.T) {
	clk := clock.NewFake(start)
	picker := balance.NewPicker(clk)
	got := firstEndpointShare(picker, clk, toolEndpoints(4), 400, func(id string) (time.Duration, balance.Outcome) {
		if id == "a-0" {
			return time.Second, balance.OutcomeAbandoned
		}
		return toolTime, balance.OutcomeServed
	})
	assert.Less(t, got, 0.08)
}

// An endpoint that has not responded for more than 0.25 s is avoided before any
// of its requests is abandoned. At 500 calls a second its six slots and their
// queue would fill within 0.1 s.
func TestSilentEndpointIsAvoidedBeforeTimeouts(t *testing.T) {
	clk := clock.NewFake(start)
	picker := balance.NewPicker(clk)
	endpoints := toolEndpoints(2)
	firstEndpointShare(picker, clk, endpoints, 20, func(string) (time.Duration, balance.Outcome) { return toolTime, balance.OutcomeServed })
	skipSecond := func(id string) bool { return id != "a-0" }
	pending := picker.Pick(endpoints, &balance.Request{DataCentre: "a"}, skipSecond)
	clk.Advance(400 * time.Millisecond)
	for range 5 {
		other := picker.Pick(endpoints, &balance.Request{DataCentre: "a"}, skipNone)
		assert.Equal(t, "a-1", other.Endpoint().ID)
		other.HeaderReceived()
	}
	pending.HeaderReceived()
	assert.Equal(t, "a-0", picker.Pick(endpoints, &balance.Request{DataCentre: "a"}, skipNone).Endpoint().ID, "a-0 has five fewer requests in flight")
}

// Guards against calls that take four times as long as necessary while most
// endpoints are idle. One of four endpoints is 4.4 times slower, and with one
// call at a time the endpoints could not be distinguished, since response times
// were not recorded. An endpoint that has recovered receives its share again
// after at most five seconds.
func TestSlowEndpointIsAvoidedUntilRecovery(t *testing.T) {
	clk := clock.NewFake(start)
	picker := balance.NewPicker(clk)
	slow := 4.4
	decide := func(id string) (time.Duration, balance.Outcome) {
		if id == "a-0" {
			return time.Duration(slow * float64(toolTime)), balance.OutcomeServed
		}
		return toolTime, balance.OutcomeServed
	}
	assert.Less(t, firstEndpointShare(picker, clk, toolEndpoints(4), 400, decide), 0.1)
	slow = 1
	clk.Advance(5 * time.Second)
	// The expected share is a quarter; over the last 2,000 calls 0.2 is five
	// standard deviations below it.
	assert.Greater(t, firstEndpointShare(picker, clk, toolEndpoints(4), 4000, decide), 0.2)
}

// If all endpoints of a service fail alike, requests stay evenly distributed.
func TestAllFailingEndpointsShareLoad(t *testing.T) {
	clk := clock.NewFake(start)
	picker := balance.NewPicker(clk)
	got := firstEndpointShare(picker, clk, toolEndpoints(4), 400, func(string) (time.Duration, balance.Outcome) { return toolTime, balance.OutcomeBroken })
	assert.InDelta(t, 0.25, got, 0.1)
}
