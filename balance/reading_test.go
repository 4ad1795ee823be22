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

// engines are the published figures of three services' engines, and a slow
// one that nobody has: tokens of a prompt read in a millisecond, time to the
// first token on an idle engine, and what a request in the batch adds to an
// answer of some 260 steps.
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

// taught returns a picker that served turns of conversations for some seconds
// on engines that read rate tokens a millisecond. One belief in seven of what
// an engine holds is wrong, one answer in 50 hangs for two seconds, and heads
// wait for up to twice what an idle engine takes.
func taught(rate float64, first time.Duration, capacity int64, endpoints []*membership.Endpoint) (*balance.Picker, *clock.Fake) {
	rng := rand.New(rand.NewPCG(uint64(rate), 5))
	clk := clock.NewFake(start)
	picker := balance.NewPicker(clk)
	for n := range 400 {
		request := &balance.Request{DataCentre: "a", Capacity: capacity, Parts: []balance.Part{
			{ID: fmt.Sprint("shared", rng.IntN(8)), Tokens: 12600}, {ID: fmt.Sprint("s", rng.IntN(200), n/40), Tokens: int64(300 + rng.IntN(2000))}}}
		choice := picker.Pick(endpoints, request, all)
		missing := choice.Missing
		if rng.IntN(7) == 0 {
			missing = rng.Int64N(14000)
		}
		head := first + time.Duration(float64(missing)/rate*(1+rng.Float64())*float64(time.Millisecond))
		if rng.IntN(50) == 0 {
			head = 2 * time.Second
		}
		clk.Advance(head)
		choice.Answered()
		choice.Done(balance.OutcomeServed)
	}
	return picker, clk
}

// Symptom: engines that read slowly read shared parts again and again: a
// sixth of all tokens read, on engines that read 147 tokens a millisecond and
// were taken for 400. Cause: the rate of other engines was written into the
// choice. Here each request is chosen among six engines with none to ten
// requests in flight; what a choice costs beyond the best one, if the engines'
// true rate were known, stays within a tenth of a mean choice's cost, and
// below that of a picker that was taught nothing if the engines are slow.
func TestReadingRateIsLearnt(t *testing.T) {
	for _, engine := range engines {
		endpoints := fleet(6, "a")
		picker, clk := taught(engine.rate, engine.first, engine.capacity, endpoints)
		clk.Advance(time.Minute) // what was seen of single engines fades
		learnt := regret(t, picker, endpoints, engine.rate, engine.capacity)
		untaught := regret(t, balance.NewPicker(clk), endpoints, engine.rate, engine.capacity)
		assert.Less(t, learnt, 0.1, engine.name)
		if engine.rate < 200 {
			assert.LessOrEqual(t, learnt, untaught, engine.name)
		}
	}
}

// regret returns how much more than the best ones choices cost at the true
// rate, as a share of what they cost.
func regret(t *testing.T, picker *balance.Picker, endpoints []*membership.Endpoint, rate float64, capacity int64) float64 {
	t.Helper()
	const slot = 5 * time.Millisecond
	rng := rand.New(rand.NewPCG(9, uint64(rate)))
	var cost, least time.Duration
	for n := range 300 {
		loads := map[string]int{}
		var flying []*balance.Choice
		for _, endpoint := range endpoints {
			loads[endpoint.ID] = rng.IntN(11)
			for range loads[endpoint.ID] {
				plain := picker.Pick(endpoints, &balance.Request{DataCentre: "a"}, func(id string) bool { return id != endpoint.ID })
				flying = append(flying, plain)
			}
		}
		session := fmt.Sprint("r", n)
		picker.Learn(endpoints[rng.IntN(len(endpoints))].ID, balance.Part{ID: session, Tokens: 6000})
		request := &balance.Request{DataCentre: "a", Capacity: capacity, Parts: []balance.Part{{ID: "shared1", Tokens: 12600}, {ID: session, Tokens: 6400}}}
		chosen := picker.Pick(endpoints, request, all)
		require.NotNil(t, chosen)
		truth := func(load int, missing int64) time.Duration {
			return time.Duration(load)*slot + time.Duration(2*float64(1+load)*float64(missing)/rate*float64(time.Millisecond))
		}
		best := truth(loads[chosen.Endpoint().ID], chosen.Missing)
		cost += best
		chosen.Done(balance.OutcomeRefused)
		for _, endpoint := range endpoints {
			other := picker.Pick(endpoints, request, func(id string) bool { return id != endpoint.ID })
			if endpoint.ID != chosen.Endpoint().ID {
				best = min(best, truth(loads[endpoint.ID], other.Missing))
			}
			other.Done(balance.OutcomeRefused)
		}
		least += best
		for _, choice := range flying {
			choice.Done(balance.OutcomeRefused)
		}
	}
	return float64(cost-least) / float64(cost)
}

// Symptom: one engine that hangs makes all prompts look dear. Events: its
// answers come after seconds. Cause: they counted as reading. The rate that
// answers tell stays between bounds, whatever they say.
func TestReadingRateIsBounded(t *testing.T) {
	for _, head := range []time.Duration{0, time.Hour} {
		clk := clock.NewFake(start)
		picker := balance.NewPicker(clk)
		endpoints := fleet(1, "a")
		for n := range 2000 {
			choice := picker.Pick(endpoints, &balance.Request{DataCentre: "a", Capacity: 1e9, Parts: []balance.Part{{ID: "shared"}, {ID: fmt.Sprint(n), Tokens: int64(n%2) * 14000}}}, all)
			clk.Advance(head)
			choice.Answered()
			choice.Done(balance.OutcomeServed)
		}
		clk.Advance(time.Minute)
		choice := picker.Pick(endpoints, &balance.Request{DataCentre: "a", Capacity: 1e9, Parts: []balance.Part{{ID: "shared"}, {ID: "x", Tokens: 10000}}}, all)
		assert.GreaterOrEqual(t, choice.Cost, 2*time.Millisecond)
		assert.LessOrEqual(t, choice.Cost, 2*time.Second)
	}
}
