package routing_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/routing"
)

func fleet(n int) []config.Endpoint {
	out := make([]config.Endpoint, n)
	for i := range out {
		out[i] = config.Endpoint{Name: fmt.Sprintf("engine-%03d", i), Role: "engine", Model: "fleetdesk", Sidecar: fmt.Sprintf("10.0.0.%d:9000", i)}
	}
	return out
}

// prompt returns a request of blocks blocks of 16 tokens: the first shared
// of them those of every prompt, the rest the program's own.
func prompt(program, blocks, shared int) *routing.Request {
	p := make([]uint64, blocks)
	for i := range p {
		p[i] = uint64(i + 1)
		if i >= shared {
			p[i] |= uint64(program+1) << 32
		}
	}
	return &routing.Request{Target: routing.Target{Model: "fleetdesk"}, Key: fmt.Sprint("program-", program), Prompt: p, Tokens: blocks * 16, BlockTokens: 16}
}

func newRouter(n int) (*routing.Router[*routing.Affinity], *clock.Fake) {
	clk := clock.NewFake(time.Unix(1_000_000_000, 0))
	r := routing.NewRouter(&routing.Affinity{TokensPerSecond: 100_000}, clk)
	r.Update(fleet(n))
	return r, clk
}

func pick(t *testing.T, r *routing.Router[*routing.Affinity], req *routing.Request) *routing.Choice {
	c, ok := r.Pick(req, nil)
	require.True(t, ok)
	return c
}

var idle = routing.Outcome{Ran: true, Report: &routing.Report{Limit: 12}}

// TestProgramStaysWithItsCache: turns of a program go where its history is
// cached, and elsewhere once that endpoint says it evicted it.
//
// Symptom: an engine reads a long dispute again at every turn.
// Sequence: a program's prompt grows turn by turn; then the endpoint
// reports its blocks removed, and another program's prefix is asked for.
// Cause: routing without a memory of prompts, or one that evictions do not
// correct.
func TestProgramStaysWithItsCache(t *testing.T) {
	r, _ := newRouter(12)
	first := pick(t, r, prompt(1, 100, 50))
	home := first.Endpoint().Name
	r.Done(first, idle)
	for turn := 1; turn <= 5; turn++ {
		c := pick(t, r, prompt(1, 100+20*turn, 50))
		require.Equal(t, home, c.Endpoint().Name, "turn %d", turn)
		r.Done(c, idle)
	}
	other := pick(t, r, prompt(2, 100, 50))
	require.Equal(t, home, other.Endpoint().Name, "a new program goes where the shared prefix is")
	r.Done(other, routing.Outcome{Ran: true, Report: &routing.Report{Limit: 12, Reset: true}})
	// The reset came after the last call's prompt was read... it names what
	// was held before; what that call itself read is held.
	c := pick(t, r, prompt(2, 120, 50))
	require.Equal(t, home, c.Endpoint().Name)
	r.Done(c, routing.Outcome{Report: &routing.Report{Limit: 12, Reset: true}})
	require.Zero(t, r.View().Anchors, "a reset forgets everything held")
}

// TestHotPrefixSpreads: a prefix that everyone asks for at once does not
// melt the one engine that holds it.
//
// Symptom: one engine's queue grows to the deadline while eleven idle.
// Sequence: an engine holds a prefix; 200 calls with it arrive at once, none
// yet answered.
// Cause: affinity without regard to load.
func TestHotPrefixSpreads(t *testing.T) {
	r, _ := newRouter(12)
	warm := pick(t, r, prompt(0, 200, 200))
	r.Done(warm, idle)
	got := map[string]int{}
	for program := range 200 {
		got[pick(t, r, prompt(program, 210, 200)).Endpoint().Name]++
	}
	require.Greater(t, got[warm.Endpoint().Name], 12, "the holder is used to its limit first: %v", got)
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	require.LessOrEqual(t, most, 2*200/12+12, "no engine gets much more than its share: %v", got)
	require.Len(t, got, 12, "all engines share the burst")
}

// TestLoadOfOthersCounts: calls that other entry instances sent are seen
// through the sidecars' reports, and forgotten when reports stop.
//
// Symptom: three entry instances pile their bursts on the same engine.
// Sequence: the sidecar of the engine that holds the prefix reports 60
// calls of others; then nothing for a while.
// Cause: counting only one's own calls.
func TestLoadOfOthersCounts(t *testing.T) {
	r, clk := newRouter(3)
	c := pick(t, r, prompt(0, 100, 100))
	home := c.Endpoint().Name
	r.Done(c, routing.Outcome{Ran: true, Report: &routing.Report{Running: 12, Waiting: 48, Limit: 12}})
	require.NotEqual(t, home, pick(t, r, prompt(1, 110, 100)).Endpoint().Name)
	clk.Advance(5 * time.Second)
	require.Equal(t, home, pick(t, r, prompt(2, 110, 100)).Endpoint().Name)
}

// TestReusedNameHoldsNothing: a new instance under an old name starts with
// an empty cache, and a drained endpoint gets nothing.
//
// Symptom: programs are sent to a cold engine for a cache its predecessor
// had.
// Sequence: the endpoint that holds a prefix is replaced at another
// address; then it is drained.
// Cause: state kept by name alone.
func TestReusedNameHoldsNothing(t *testing.T) {
	r, _ := newRouter(2)
	c := pick(t, r, prompt(0, 100, 100))
	home := c.Endpoint().Name
	r.Done(c, idle)
	eps := fleet(2)
	for i := range eps {
		if eps[i].Name == home {
			eps[i].Sidecar = "10.0.1.1:9000"
		}
	}
	r.Update(eps)
	require.Zero(t, r.View().Anchors)
	for i := range eps {
		eps[i].Draining = eps[i].Name == home
	}
	r.Update(eps)
	for program := range 20 {
		require.NotEqual(t, home, pick(t, r, prompt(program, 100, 0)).Endpoint().Name)
	}
}

// TestLargeFleetFindsHolder: with more endpoints than are weighed for a
// call, the holder of its prefix is still among them.
func TestLargeFleetFindsHolder(t *testing.T) {
	r, _ := newRouter(1000)
	c := pick(t, r, prompt(7, 300, 100))
	home := c.Endpoint().Name
	r.Done(c, idle)
	require.Equal(t, home, pick(t, r, prompt(7, 320, 100)).Endpoint().Name)
	_, ok := r.Pick(prompt(7, 320, 100), func(string) bool { return true })
	require.False(t, ok, "no endpoint is left if all are skipped")
}

// TestAnchorsCoverPrefixes lists the depths kept of a prompt.
func TestAnchorsCoverPrefixes(t *testing.T) {
	require.Empty(t, routing.Anchors(0))
	require.Equal(t, []int{1}, routing.Anchors(1))
	require.Equal(t, []int{1, 2, 4, 8, 11}, routing.Anchors(11))
	require.Equal(t, []int{1, 2, 4, 7, 8, 11}, routing.Anchors(11, 7, 40))
}

// TestRouterIsSafeForConcurrentUse drives a router from several goroutines
// while its configuration changes; the race detector is the judge.
//
// Symptom: a call is sent to the address of another endpoint.
// Sequence: calls are picked and end while the list of endpoints, some at
// new addresses, is replaced.
// Cause: a choice that reads its endpoint after the router's lock is gone.
func TestRouterIsSafeForConcurrentUse(t *testing.T) {
	r, _ := newRouter(8)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 500 {
				c, ok := r.Pick(prompt(g*500+i, 20, 10), nil)
				if !ok {
					continue
				}
				r.First(c)
				_, _ = c.Endpoint(), c.Seen()
				r.Done(c, routing.Outcome{Ran: i%3 > 0, Report: &routing.Report{Limit: 12, Sequence: uint64(i)}})
			}
		})
	}
	wg.Go(func() {
		for i := range 200 {
			eps := fleet(8)
			eps[i%8].Sidecar = "10.0.1.1:9000"
			eps[i%5].Draining = true
			r.Update(eps)
			r.View()
		}
	})
	wg.Wait()
	for _, ep := range r.View().Endpoints {
		require.Zero(t, ep.InFlight, ep.Name)
	}
}

// TestRestartedSidecarIsBelievedAgain: a sidecar that restarted resets what
// is known of its engine once, not at every call.
//
// Symptom: after a sidecar's restart its engine reads every prompt anew for
// good.
// Sequence: reports up to number 9 are seen; the sidecar restarts, and its
// next report is number 0 with a reset.
// Cause: telling the new sidecar, for ever, a number that it never gave.
func TestRestartedSidecarIsBelievedAgain(t *testing.T) {
	r, _ := newRouter(1)
	r.Done(pick(t, r, prompt(0, 100, 100)), routing.Outcome{Ran: true, Report: &routing.Report{Limit: 12, Sequence: 9}})
	c := pick(t, r, prompt(0, 100, 100))
	require.EqualValues(t, 9, c.Seen())
	r.Done(c, routing.Outcome{Ran: true, Report: &routing.Report{Limit: 12, Reset: true}})
	require.Zero(t, pick(t, r, prompt(0, 100, 100)).Seen())
}
