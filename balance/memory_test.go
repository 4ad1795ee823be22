package balance_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
)

// Guards against engines that crash because the requests sent to them exceed
// their memory: the choice depended on the number of requests, whatever their
// size. A shared first segment counts once, and room is available again when a
// request has ended.
func TestRequestsBeyondEngineMemoryAreNotSentTogether(t *testing.T) {
	picker := balance.NewPicker(clock.NewFake(start))
	endpoints := fleet(1, "a")
	request := func(shared, session string) *balance.Request {
		return &balance.Request{DataCentre: "a", Capacity: 100_000, OutputTokens: 1000, Segments: []balance.Part{{ID: shared, Tokens: 20_000}, {ID: session, Tokens: 19_000}}}
	}
	var choices []*balance.Choice
	for n := range 4 {
		choice := picker.Pick(endpoints, request("x", fmt.Sprint(n)), skipNone)
		require.NotNil(t, choice, "20,000 shared and 4 times 20,000 tokens fit")
		choices = append(choices, choice)
	}
	assert.Nil(t, picker.Pick(endpoints, request("x", "5"), skipNone))
	choices[0].Done(balance.OutcomeServed)
	assert.Nil(t, picker.Pick(endpoints, request("y", "5"), skipNone), "another shared segment needs room, too")
	assert.NotNil(t, picker.Pick(endpoints, request("x", "5"), skipNone))
	assert.NotNil(t, picker.Pick(fleet(1, "b"), &balance.Request{Capacity: 100, Segments: []balance.Part{{ID: "x", Tokens: 20_000}}}, skipNone), "the engine itself rejects a request that it could never hold")
}
