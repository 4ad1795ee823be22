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

// fleet returns n engine endpoints that serve the same model.
func fleet(n int) []config.Endpoint {
	out := make([]config.Endpoint, n)
	for i := range out {
		out[i] = config.Endpoint{Name: fmt.Sprintf("engine-%03d", i), Role: "engine", Model: "fleetdesk", Sidecar: fmt.Sprintf("10.0.0.%d:9000", i)}
	}
	return out
}

// prompt returns a request whose prompt has the given number of blocks of 16
// tokens. The first shared blocks are common to all prompts, the remainder is
// specific to the program.
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

// newRouter returns an affinity router with n endpoints and its clock.
func newRouter(n int) (*routing.Router[*routing.Affinity], *clock.Fake) {
	clk := clock.NewFake(time.Unix(1_000_000_000, 0))
	r := routing.NewRouter(&routing.Affinity{TokensPerSecond: 100_000}, clk)
	r.Update(fleet(n))
	return r, clk
}

// pick returns the choice for req and requires that there is one.
func pick(t *testing.T, r *routing.Router[*routing.Affinity], req *routing.Request) *routing.Choice {
	c, ok := r.Pick(req, nil)
	require.True(t, ok)
	return c
}

// idle is the outcome of a completed call at an endpoint without other load.
var idle = routing.Outcome{Completed: true, Report: &routing.Report{Limit: 12}}

// TestTurnsRoutedToCachedHistory guards against an engine that prefills a
// program's full history on every turn. The prompt of a program grows turn by
// turn; then the endpoint reports its blocks as evicted, and another program
// requests the shared prefix. The fault is a router that does not record
// prompts, or does not correct its record on evictions.
func TestTurnsRoutedToCachedHistory(t *testing.T) {
	r, _ := newRouter(12)
	first := pick(t, r, prompt(1, 100, 50))
	holder := first.Endpoint().Name
	r.Done(first, idle)
	for turn := 1; turn <= 5; turn++ {
		c := pick(t, r, prompt(1, 100+20*turn, 50))
		require.Equal(t, holder, c.Endpoint().Name, "turn %d", turn)
		r.Done(c, idle)
	}
	other := pick(t, r, prompt(2, 100, 50))
	require.Equal(t, holder, other.Endpoint().Name, "a new program is routed to the endpoint with the shared prefix")
	r.Done(other, routing.Outcome{Completed: true, Report: &routing.Report{Limit: 12, Reset: true}})
	// The reset covers what the endpoint held before the last call; the
	// prompt of that call was recorded after it.
	c := pick(t, r, prompt(2, 120, 50))
	require.Equal(t, holder, c.Endpoint().Name)
	r.Done(c, routing.Outcome{Report: &routing.Report{Limit: 12, Reset: true}})
	require.Zero(t, r.View().Anchors, "a reset removes all anchors of the endpoint")
}

// TestHotPrefixSpreadsOverEngines guards against a queue that grows to the
// deadline at the one engine that holds a prefix while eleven others are
// idle. One engine holds the prefix, and 200 calls with it arrive at once,
// before any response. The fault is affinity without regard to load.
func TestHotPrefixSpreadsOverEngines(t *testing.T) {
	r, _ := newRouter(12)
	warm := pick(t, r, prompt(0, 200, 200))
	r.Done(warm, idle)
	got := map[string]int{}
	for program := range 200 {
		got[pick(t, r, prompt(program, 210, 200)).Endpoint().Name]++
	}
	require.Greater(t, got[warm.Endpoint().Name], 12, "the holder of the prefix is used up to its limit: %v", got)
	maxCalls := 0
	for _, n := range got {
		maxCalls = max(maxCalls, n)
	}
	require.LessOrEqual(t, maxCalls, 2*200/12+12, "no engine receives much more than an equal share: %v", got)
	require.Len(t, got, 12, "all engines share the burst")
}

// TestReportedLoadOfOtherInstancesCounts guards against three entry instances
// that send their bursts to the same engine. The sidecar of the engine that
// holds the prefix reports 60 calls of other instances, then no report
// follows for a while: the load must count and then decay. The fault is a
// load that counts only local calls.
func TestReportedLoadOfOtherInstancesCounts(t *testing.T) {
	r, clk := newRouter(3)
	c := pick(t, r, prompt(0, 100, 100))
	holder := c.Endpoint().Name
	r.Done(c, routing.Outcome{Completed: true, Report: &routing.Report{Running: 12, Waiting: 48, Limit: 12}})
	require.NotEqual(t, holder, pick(t, r, prompt(1, 110, 100)).Endpoint().Name)
	clk.Advance(5 * time.Second)
	require.Equal(t, holder, pick(t, r, prompt(2, 110, 100)).Endpoint().Name)
}

// TestReusedNameStartsWithEmptyCache guards against calls sent to an engine
// with an empty cache for blocks that its predecessor of the same name held,
// and against calls to a draining endpoint. The endpoint that holds a prefix
// is replaced at another address, then drained. The fault is state kept by
// name alone.
func TestReusedNameStartsWithEmptyCache(t *testing.T) {
	r, _ := newRouter(2)
	c := pick(t, r, prompt(0, 100, 100))
	holder := c.Endpoint().Name
	r.Done(c, idle)
	eps := fleet(2)
	for i := range eps {
		if eps[i].Name == holder {
			eps[i].Sidecar = "10.0.1.1:9000"
		}
	}
	r.Update(eps)
	require.Zero(t, r.View().Anchors)
	for i := range eps {
		eps[i].Draining = eps[i].Name == holder
	}
	r.Update(eps)
	for program := range 20 {
		require.NotEqual(t, holder, pick(t, r, prompt(program, 100, 0)).Endpoint().Name)
	}
}

// TestLargeFleetFindsHolder guards against a holder of the prompt's prefix
// that is not among the sampled candidates of a large group.
func TestLargeFleetFindsHolder(t *testing.T) {
	r, _ := newRouter(1000)
	c := pick(t, r, prompt(7, 300, 100))
	holder := c.Endpoint().Name
	r.Done(c, idle)
	require.Equal(t, holder, pick(t, r, prompt(7, 320, 100)).Endpoint().Name)
	_, ok := r.Pick(prompt(7, 320, 100), func(string) bool { return true })
	require.False(t, ok, "Pick returns false if all endpoints are skipped")
}

// TestAnchorDepths checks the anchor depths of prompts of several lengths,
// with and without hints.
func TestAnchorDepths(t *testing.T) {
	require.Empty(t, routing.Anchors(0))
	require.Equal(t, []int{1}, routing.Anchors(1))
	require.Equal(t, []int{1, 2, 4, 8, 11}, routing.Anchors(11))
	require.Equal(t, []int{1, 2, 4, 7, 8, 11}, routing.Anchors(11, 7, 40))
}

// TestRouterIsSafeForConcurrentUse guards against a call sent to the address
// of another endpoint. Calls are picked and end while the list of endpoints,
// some at new addresses, is replaced. The fault is a Choice that reads its
// endpoint without the router's lock, which the race detector reports.
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
				r.FirstToken(c)
				_, _ = c.Endpoint(), c.LastReport()
				r.Done(c, routing.Outcome{Completed: i%3 > 0, Report: &routing.Report{Limit: 12, Sequence: uint64(i)}})
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

// TestSidecarRestartResetsReportSequence guards against an engine that
// prefills every prompt in full after a restart of its sidecar. Reports up to
// number 9 have been received; the sidecar restarts, and its next report has
// number 0 and a reset. The fault is a router that goes on sending the old
// number, which makes the new sidecar reset the index on every call.
func TestSidecarRestartResetsReportSequence(t *testing.T) {
	r, _ := newRouter(1)
	r.Done(pick(t, r, prompt(0, 100, 100)), routing.Outcome{Completed: true, Report: &routing.Report{Limit: 12, Sequence: 9}})
	c := pick(t, r, prompt(0, 100, 100))
	require.EqualValues(t, 9, c.LastReport())
	r.Done(c, routing.Outcome{Completed: true, Report: &routing.Report{Limit: 12, Reset: true}})
	require.Zero(t, pick(t, r, prompt(0, 100, 100)).LastReport())
}
