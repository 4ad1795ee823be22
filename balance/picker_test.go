package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/membership"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func fleet(perCentre int, centres ...string) []*membership.Endpoint {
	var endpoints []*membership.Endpoint
	for _, centre := range centres {
		for i := range perCentre {
			endpoints = append(endpoints, &membership.Endpoint{ID: fmt.Sprintf("%s-%d", centre, i), Service: "model", DataCentre: centre, Slots: 12})
		}
	}
	return endpoints
}

func all(string) bool { return false }

func prompt(session string) []balance.Part {
	return []balance.Part{{ID: "shared", Tokens: 12600}, {ID: session, Tokens: 1680}}
}

// A burst of long generations that come in one data centre: twice what its
// four engines hold (12 requests each, of about 300 ms) within a moment. The
// data centre's engines fill first, evenly, then the others take their
// share; a request is not queued at one while another has room.
func TestBurstFillsOwnDataCentreThenOthers(t *testing.T) {
	picker := balance.NewPicker(clock.NewFake(start))
	endpoints := fleet(4, "a", "b", "c")
	counts := map[string]int{}
	for i := range 96 {
		choice := picker.Pick(endpoints, &balance.Request{DataCentre: "a", Parts: prompt(fmt.Sprint("s", i)), Capacity: 413343}, all)
		require.NotNil(t, choice)
		counts[choice.Endpoint().ID]++
	}
	for id, count := range counts {
		assert.LessOrEqual(t, count, 12, id)
		if id[0] == 'a' {
			assert.GreaterOrEqual(t, count, 8, id)
		}
	}
	assert.Len(t, counts, 12)
}

// A conversation's next turn goes where it is kept unless that engine has
// more to do. At 400 tokens a ms the 1,680 tokens of a short one take 4.2 ms
// to read anew; that counts double, since they push out as much, and at 5 ms
// a request in the batch it is worth one more request there. The 6,400 tokens
// of a long one, 16 ms, are worth six. Engines that are busy make both worth
// more: all that they have waits while they read.
func TestTurnFollowsItsConversationUnlessItWaits(t *testing.T) {
	for _, test := range []struct {
		tokens     int64
		busy, more int
	}{{tokens: 1680, more: 1}, {tokens: 6400, more: 6}, {tokens: 1680, busy: 3, more: 6}} {
		picker := balance.NewPicker(clock.NewFake(start))
		endpoints := fleet(2, "a")
		request := &balance.Request{DataCentre: "a", Parts: []balance.Part{{ID: "shared", Tokens: 12600}, {ID: "s", Tokens: test.tokens}}, Capacity: 413343}
		first := picker.Pick(endpoints, request, all)
		home := first.Endpoint().ID
		first.Done(balance.OutcomeServed)
		for range test.busy {
			for _, endpoint := range endpoints {
				picker.Pick(endpoints, &balance.Request{DataCentre: "a"}, func(id string) bool { return id != endpoint.ID })
			}
		}
		stayed := 0
		for picker.Pick(endpoints, request, all).Endpoint().ID == home {
			stayed++
		}
		assert.Equal(t, test.more+1, stayed, "%d tokens, %d busy", test.tokens, test.busy)
	}
}

// A conversation that another instance left at an engine is found there, once
// that is known, though another engine of the data centre is as idle.
func TestTurnFollowsConversationOfAnotherInstance(t *testing.T) {
	for range 20 {
		picker := balance.NewPicker(clock.NewFake(start))
		request := &balance.Request{DataCentre: "a", Parts: prompt("s"), Capacity: 413343}
		picker.Learn("a-3", balance.Part{ID: "s", Tokens: 1680})
		assert.Equal(t, "a-3", picker.Pick(fleet(4, "a"), request, all).Endpoint().ID)
	}
}

// Symptom: engines read shared parts of prompts again that they had read
// seconds before: a third of all that they read, and with it a third of what
// they could do. Events: 37 instances send prompts that begin with one of
// sixteen shared parts of 12,600 tokens to eleven engines with room for
// 239,772 tokens each; every engine gets all sixteen, and cannot keep them.
// Cause: each instance chose by the little that it had sent itself. Now all
// keep to the same six or seven parts an engine.
func TestInstancesAgreeWhereSharedPartsAreKept(t *testing.T) {
	const instances, parts, prompts = 37, 16, 64
	endpoints := fleet(11, "a")
	kept := map[string]map[string]bool{}
	for instance := range instances {
		clk := clock.NewFake(start)
		picker := balance.NewPicker(clk)
		for n := range prompts {
			if n == prompts/2 {
				clk.Advance(5 * time.Second) // what it sent before is gone
			}
			part := fmt.Sprint("shared", n%parts)
			request := &balance.Request{DataCentre: "a", Capacity: 239772, Parts: []balance.Part{{ID: part, Tokens: 12600}, {ID: fmt.Sprint(instance, n), Tokens: 1680}}}
			choice := picker.Pick(endpoints, request, all)
			choice.Done(balance.OutcomeServed)
			if n < prompts/2 {
				continue // the instance does not know yet how many parts there are
			}
			if kept[choice.Endpoint().ID] == nil {
				kept[choice.Endpoint().ID] = map[string]bool{}
			}
			kept[choice.Endpoint().ID][part] = true
		}
	}
	sum := 0
	for _, of := range kept {
		sum += len(of)
	}
	assert.LessOrEqual(t, sum, 90, "of 176")
	assert.Len(t, kept, 11, "all engines have work")
}

// Symptom: a third of requests fail for seconds after an engine lost power.
// Events: connections to it hang or are refused; as nothing is in flight
// there it looks idle, and takes every next request. Cause: a failure made
// an endpoint look free.
func TestUnreachableEndpointIsLeftOut(t *testing.T) {
	clk := clock.NewFake(start)
	picker := balance.NewPicker(clk)
	endpoints := fleet(2, "a")
	request := &balance.Request{DataCentre: "a"}
	skipOther := func(id string) bool { return id != "a-0" }
	picker.Pick(endpoints, request, skipOther).Done(balance.OutcomeUnreachable)
	for range 30 {
		assert.Equal(t, "a-1", picker.Pick(endpoints, request, all).Endpoint().ID)
	}
	assert.Equal(t, "a-0", picker.Pick(endpoints, request, skipOther).Endpoint().ID, "the last resort")
	clk.Advance(time.Second)
	assert.Equal(t, "a-0", picker.Pick(endpoints, request, all).Endpoint().ID, "tried again")
}

// What an endpoint tells of its load counts others' requests, for about as
// long as those last.
func TestToldLoadCountsForAWhile(t *testing.T) {
	clk := clock.NewFake(start)
	picker := balance.NewPicker(clk)
	endpoints := fleet(2, "a")
	request := &balance.Request{DataCentre: "a"}
	choice := picker.Pick(endpoints, request, func(id string) bool { return id != "a-0" })
	choice.Told(balance.Load{Running: 12, Waiting: 6, Slots: 12})
	choice.Done(balance.OutcomeServed)
	for range 5 {
		assert.Equal(t, "a-1", picker.Pick(endpoints, request, all).Endpoint().ID)
	}
	clk.Advance(time.Second)
	assert.Equal(t, "a-0", picker.Pick(endpoints, request, all).Endpoint().ID)
}

// Symptom: an endpoint that started again gets no work, or conversations that
// it does not hold any more. Events: it is full and fails, crashes with what
// it had in flight, and starts under the ID that it had; then what was in
// flight ends. Cause: what was known of the earlier start was believed of the
// new one.
func TestEndpointThatStartsAgainIsNew(t *testing.T) {
	picker := balance.NewPicker(clock.NewFake(start))
	endpoints := fleet(2, "a")
	request := &balance.Request{DataCentre: "a", Parts: prompt("s"), Capacity: 413343}
	notOther := func(id string) bool { return id != "a-0" }
	var flying []*balance.Choice
	for range 40 {
		flying = append(flying, picker.Pick(endpoints, request, notOther))
	}
	warm := flying[39].Missing
	again := *endpoints[0]
	again.Born = 1764720000000
	endpoints = []*membership.Endpoint{&again, endpoints[1]}
	first := picker.Pick(endpoints, request, notOther)
	assert.Greater(t, first.Missing, warm, "nothing of the conversation is there")
	assert.Less(t, first.Cost, flying[1].Cost+time.Second)
	for _, choice := range flying {
		choice.Done(balance.OutcomeBroken)
	}
	first.Answered()
	first.Done(balance.OutcomeServed)
	assert.Equal(t, "a-0", picker.Pick(endpoints, request, all).Endpoint().ID, "its earlier start's failures are not its own")
	picker.Forget(func(incarnation string) bool { return incarnation != "a-0" })
	for _, view := range picker.Views() {
		assert.NotEqual(t, "a-0", view.ID)
	}
}

func TestNoCandidate(t *testing.T) {
	picker := balance.NewPicker(clock.NewFake(start))
	assert.Nil(t, picker.Pick(nil, &balance.Request{}, all))
	assert.Nil(t, picker.Pick(fleet(2, "a"), &balance.Request{}, func(string) bool { return true }))
	picker.Pick(fleet(1, "a"), &balance.Request{}, all)
	picker.Forget(func(string) bool { return false })
	assert.Len(t, picker.Views(), 1, "one with a request in flight stays")
}

func BenchmarkPick(b *testing.B) {
	for _, endpoints := range []int{12, 120, 1200} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			picker := balance.NewPicker(clock.Real{})
			list := fleet(endpoints/3, "a", "b", "c")
			request := &balance.Request{DataCentre: "a", Parts: prompt("s"), Capacity: 413343}
			b.ReportAllocs()
			for b.Loop() {
				picker.Pick(list, request, all).Done(balance.OutcomeServed)
			}
		})
	}
}
