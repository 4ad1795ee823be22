package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/membership"
)

// engines holds the published figures of the engines of three services and of a
// hypothetical slow one: prompt tokens prefilled per millisecond, time to the
// first token on an idle engine, and the time that each request in the batch
// adds to a response of about 260 steps.
var engines = []struct {
	name     string
	rate     float64
	first    time.Duration
	perSlot  time.Duration
	capacity int64
}{
	{"64 slots", 147, 5500 * time.Microsecond, 10 * time.Millisecond, 1053547},
	{"12 slots, 328", 328, 5 * time.Millisecond, 5 * time.Millisecond, 540721},
	{"12 slots, 471", 471, 5 * time.Millisecond, 5 * time.Millisecond, 413343},
	{"slow", 60, 20 * time.Millisecond, 8 * time.Millisecond, 300000},
}

// trainedPicker returns a picker that served turns of conversations for some
// seconds on engines with the given prefill rate in tokens a millisecond. For one
// request in seven the expected cache content is wrong, one response in 50 takes
// two seconds, and headers take up to twice as long as on an idle engine.
func trainedPicker(rate float64, first time.Duration, capacity int64, endpoints []*membership.Endpoint) (*balance.Picker, *clock.Fake) {
	rng := rand.New(rand.NewPCG(uint64(rate), 5))
	clk := clock.NewFake(start)
	picker := balance.NewPicker(clk)
	for n := range 400 {
		request := &balance.Request{DataCentre: "a", Capacity: capacity, Segments: []balance.Part{
			{ID: fmt.Sprint("shared", rng.IntN(8)), Tokens: 12600}, {ID: fmt.Sprint("s", rng.IntN(200), n/40), Tokens: int64(300 + rng.IntN(2000))}}}
		choice := picker.Pick(endpoints, request, skipNone)
		missing := choice.MissingTokens
		if rng.IntN(7) == 0 {
			missing = rng.Int64N(14000)
		}
		head := first + time.Duration(float64(missing)/rate*(1+rng.Float64())*float64(time.Millisecond))
		if rng.IntN(50) == 0 {
			head = 2 * time.Second
		}
		clk.Advance(head)
		choice.HeaderReceived()
		choice.Done(balance.OutcomeServed)
	}
	return picker, clk
}

// Guards against a prefill rate that does not match the engines. With a constant
// of 400 tokens a millisecond, engines that prefill 147 prefilled shared prefixes
// repeatedly, a sixth of all their prefill. The test chooses among six engines
// with none to ten requests in flight. The cost of the choices in excess of the
// best ones, computed with the engines' true rate, stays within a tenth of the
// cost of all choices, and for slow engines at most that of an untrained picker.
func TestPrefillRateIsEstimated(t *testing.T) {
	for _, engine := range engines {
		endpoints := fleet(6, "a")
		picker, clk := trainedPicker(engine.rate, engine.first, engine.capacity, endpoints)
		clk.Advance(time.Minute) // the health statistics of single engines expire
		trainedRegret := regret(t, picker, endpoints, engine.rate, engine.capacity)
		untrainedRegret := regret(t, balance.NewPicker(clk), endpoints, engine.rate, engine.capacity)
		assert.Less(t, trainedRegret, 0.1, engine.name)
		if engine.rate < 200 {
			assert.LessOrEqual(t, trainedRegret, untrainedRegret, engine.name)
		}
	}
}

// regret returns the cost of the choices in excess of the best ones at the true
// rate, as a share of the cost of the choices.
func regret(t *testing.T, picker *balance.Picker, endpoints []*membership.Endpoint, rate float64, capacity int64) float64 {
	t.Helper()
	const slot = 5 * time.Millisecond
	rng := rand.New(rand.NewPCG(9, uint64(rate)))
	var cost, lowest time.Duration
	for n := range 300 {
		loads := map[string]int{}
		var inFlight []*balance.Choice
		for _, endpoint := range endpoints {
			loads[endpoint.ID] = rng.IntN(11)
			for range loads[endpoint.ID] {
				plain := picker.Pick(endpoints, &balance.Request{DataCentre: "a"}, func(id string) bool { return id != endpoint.ID })
				inFlight = append(inFlight, plain)
			}
		}
		session := fmt.Sprint("r", n)
		picker.RecordCached(endpoints[rng.IntN(len(endpoints))].ID, balance.Part{ID: session, Tokens: 6000})
		request := &balance.Request{DataCentre: "a", Capacity: capacity, Segments: []balance.Part{{ID: "shared1", Tokens: 12600}, {ID: session, Tokens: 6400}}}
		chosen := picker.Pick(endpoints, request, skipNone)
		require.NotNil(t, chosen)
		trueCost := func(load int, missing int64) time.Duration {
			return time.Duration(load)*slot + time.Duration(2*float64(1+load)*float64(missing)/rate*float64(time.Millisecond))
		}
		best := trueCost(loads[chosen.Endpoint().ID], chosen.MissingTokens)
		cost += best
		chosen.Done(balance.OutcomeRefused)
		for _, endpoint := range endpoints {
			other := picker.Pick(endpoints, request, func(id string) bool { return id != endpoint.ID })
			if endpoint.ID != chosen.Endpoint().ID {
				best = min(best, trueCost(loads[endpoint.ID], other.MissingTokens))
			}
			other.Done(balance.OutcomeRefused)
		}
		lowest += best
		for _, choice := range inFlight {
			choice.Done(balance.OutcomeRefused)
		}
	}
	return float64(cost-lowest) / float64(cost)
}

// Guards against one hanging engine making all prefill look expensive: its
// response times of seconds counted as prefill time. The estimated rate stays
// within its bounds for any response time.
func TestPrefillRateIsBounded(t *testing.T) {
	for _, head := range []time.Duration{0, time.Hour} {
		clk := clock.NewFake(start)
		picker := balance.NewPicker(clk)
		endpoints := fleet(1, "a")
		for n := range 2000 {
			choice := picker.Pick(endpoints, &balance.Request{DataCentre: "a", Capacity: 1e9, Segments: []balance.Part{{ID: "shared"}, {ID: fmt.Sprint(n), Tokens: int64(n%2) * 14000}}}, skipNone)
			clk.Advance(head)
			choice.HeaderReceived()
			choice.Done(balance.OutcomeServed)
		}
		clk.Advance(time.Minute)
		choice := picker.Pick(endpoints, &balance.Request{DataCentre: "a", Capacity: 1e9, Segments: []balance.Part{{ID: "shared"}, {ID: "x", Tokens: 10000}}}, skipNone)
		assert.GreaterOrEqual(t, choice.Cost, 2*time.Millisecond)
		assert.LessOrEqual(t, choice.Cost, 2*time.Second)
	}
}
