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

// A conversation's next turn: the engine that read the 14,280 tokens before
// is 36 ms ahead of any other at 400 tokens a ms, worth seven requests more
// in its batch at 5 ms each, and no more.
func TestTurnFollowsItsPromptUnlessItWaits(t *testing.T) {
	picker := balance.NewPicker(clock.NewFake(start))
	endpoints := fleet(2, "a")
	request := &balance.Request{DataCentre: "a", Parts: prompt("s"), Capacity: 413343}
	first := picker.Pick(endpoints, request, all)
	home := first.Endpoint().ID
	first.Done(balance.OutcomeServed)
	away := 0
	for range 9 {
		if choice := picker.Pick(endpoints, request, all); choice.Endpoint().ID != home {
			away++
		}
	}
	assert.Equal(t, 1, away, "eight stay, the next goes where it is read anew")
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
