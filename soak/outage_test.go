package soak

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

var (
	outages     = flag.Int("soak.outages", 2, "how many of the kinds of outage TestHomeDiesInOutageThenAllLosePower plays; 0 for all")
	outageSeeds = flag.Int("soak.each", 1, "how many seeds it plays of each, from soak.first on")
)

const (
	// escrowTime is until all instances have escrow: 1.5 s, and two tries.
	escrowTime = 8 * time.Second
	// beforeOutage is how long programs run by escrow before the store fails.
	beforeOutage = 400 * time.Millisecond
	// outageTime is how long the store is away, longer than a turn whose end
	// waits for the store and one that is refused for a second.
	outageTime = 1800 * time.Millisecond
	// longestEntryLoss is how long after the store's return the last entry
	// of an endpoint that lives is back.
	longestEntryLoss = 2 * time.Second
	// returnTime is until every instance is served again if no entries lapsed:
	// its pauses between calls to the store are of 0.4 s at most.
	returnTime = 700 * time.Millisecond
	// powerPause is how long all instances are off.
	powerPause = 200 * time.Millisecond
	// afterPower is how long programs go on after it: 1.5 s, after which
	// instances look for escrow, and a write.
	afterPower = 1800 * time.Millisecond
	// failingShare of the requests fail at the endpoints.
	failingShare = 0.05
)

// outage is a kind of failure of the store.
type outage struct {
	name string
	mode platformtest.StoreMode
	// some: two of the instances are turned away only.
	some bool
	// partly: half of the partitions are away only.
	partly bool
	// others is what the other instances meet in half of the partitions.
	others platformtest.StoreMode
	// lapse: the entries of the endpoints lapse meanwhile.
	lapse bool
}

// allOutages begins with those that CI plays: each kind of trouble once.
var allOutages = []outage{
	{name: "resets, entries lapse", mode: platformtest.ResetConnections, lapse: true},
	{name: "silent for some instances, busy in half of the partitions for others", mode: platformtest.IgnoreRequests, some: true, others: platformtest.ServiceUnavailable},
	{name: "busy for half of the partitions", mode: platformtest.ServiceUnavailable, partly: true},
	{name: "silent for some instances", mode: platformtest.IgnoreRequests, some: true},
	{name: "silent, entries lapse", mode: platformtest.IgnoreRequests, lapse: true},
	{name: "does all and never answers", mode: platformtest.DropResponses},
	{name: "busy, entries lapse", mode: platformtest.ServiceUnavailable, lapse: true},
	{name: "too many calls", mode: platformtest.TooManyRequests},
	{name: "resets for some instances", mode: platformtest.ResetConnections, some: true},
	{name: "silent for half of the partitions", mode: platformtest.IgnoreRequests, partly: true},
	{name: "does all and never answers some instances", mode: platformtest.DropResponses, some: true},
	{name: "busy for some instances and half of the partitions", mode: platformtest.ServiceUnavailable, some: true, partly: true},
}

// Guards against turns lost, budgets exceeded and requests run twice when a home dies in an outage and all instances after it.
func TestHomeDiesInOutageThenAllLosePower(t *testing.T) {
	kinds := allOutages
	if *outages > 0 {
		kinds = kinds[:min(*outages, len(kinds))]
	}
	for _, kind := range kinds {
		for n := range *outageSeeds {
			seed := *first + uint64(n)
			t.Run(fmt.Sprintf("%s/%d", kind.name, seed), func(t *testing.T) { kind.play(t, seed) })
		}
	}
}

func (outage *outage) play(t *testing.T, seed uint64) {
	s := newSite(t, seed)
	b := &book{attempts: map[string]*attempt{}}
	calls, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	for n := range callerCount / 2 {
		callers.Go(func() { newCaller(s, b, seed, uint64(n)).play(calls, n) })
	}
	s.fail(failingShare)
	s.awaitEscrow()
	for n := range callerCount / 2 {
		callers.Go(func() { newCaller(s, b, seed, uint64(callerCount+n)).spendAll(calls, n) })
	}
	s.beginAndRest(b, seed)
	time.Sleep(beforeOutage)
	programs, returned := outage.strike(s, b, rand.New(rand.NewPCG(seed, 4)))
	time.Sleep(outage.recovery() - time.Since(returned))
	s.checkServesOn(b, seed, "returned", programs)
	s.losePower()
	time.Sleep(afterPower)
	stop()
	callers.Wait()
	s.checkGoesOn(b, seed)
	s.checkServesOn(b, seed, "last", b.unspent())
	for _, broken := range b.broken(s.runsByID(), false) {
		t.Error(broken)
	}
	t.Log(b.summary())
	if t.Failed() && *logs != "" {
		s.keepLogs(strings.ReplaceAll(t.Name(), "/", "-"))
	}
}

// awaitEscrow waits until all instances have escrow.
func (s *site) awaitEscrow() {
	for _, f := range s.fronts {
		require.Eventually(s.t, func() bool { return strings.Contains(f.ReadLog(), "escrow acquired") }, escrowTime, 20*time.Millisecond, "%s: %s", f.Name, tail(f.ReadLog()))
	}
}

// strike has the store fail, and return, and kills a home within that. It
// returns the programs of that home, and when the store was back.
func (outage *outage) strike(s *site, b *book, rng *rand.Rand) ([]string, time.Time) {
	victim, programs := s.busiestHome(b)
	require.NotEmpty(s.t, programs, "no program is under way")
	began := time.Now()
	outage.begin(s, victim, rng)
	time.Sleep(time.Duration(rng.Int64N(int64(outageTime / 2))))
	pause := time.Duration(rng.Int64N(int64(outageTime)))
	s.t.Logf("%s, the home of %d programs, is killed %s after the store failed, and off for %s", victim.Name, len(programs), time.Since(began), pause)
	var back sync.WaitGroup
	back.Go(func() { s.restart(victim, syscall.SIGKILL, pause) })
	time.Sleep(outageTime - time.Since(began))
	returned := time.Now()
	outage.end(s, rng, &back)
	back.Wait()
	s.heal()
	return programs, returned
}

// losePower kills all instances at once and starts them again.
func (s *site) losePower() {
	var ends sync.WaitGroup
	for _, f := range s.fronts {
		ends.Go(func() { s.restart(f, syscall.SIGKILL, powerPause) })
	}
	ends.Wait()
	s.heal()
}

// begin has the store fail for those instances that the outage is about, the
// victim among them or not.
func (outage *outage) begin(s *site, victim *front, rng *rand.Rand) {
	away := slices.Clone(s.fronts)
	if outage.some {
		others := slices.DeleteFunc(away, func(f *front) bool { return f == victim })
		rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		away = others[:2]
		if rng.IntN(2) == 0 {
			away[0] = victim
		}
	}
	salt := strconv.FormatUint(rng.Uint64(), 16)
	half := func(partition string) bool { return xxhash.Sum64String(salt+partition)%2 == 0 }
	for _, f := range s.fronts {
		switch {
		case !slices.Contains(away, f):
			f.door.SetModeForPartitions(outage.others, half)
		case outage.partly:
			f.door.SetModeForPartitions(outage.mode, half)
		default:
			f.door.SetMode(outage.mode)
		}
	}
	if outage.lapse {
		for _, e := range s.all() {
			e.Unregister(s.memory)
		}
	}
}

// end has the store return. Entries of endpoints come after it, which back
// tells the end of.
func (outage *outage) end(s *site, rng *rand.Rand, back *sync.WaitGroup) {
	for _, f := range s.fronts {
		f.door.SetMode(platformtest.Serving)
	}
	if !outage.lapse {
		return
	}
	for _, e := range s.all() {
		late := time.Duration(rng.Int64N(int64(longestEntryLoss)))
		back.Go(func() {
			time.Sleep(late)
			e.Register(s.memory, "a", "ready")
		})
	}
}

// recovery is how long after the store's return everything is served.
func (outage *outage) recovery() time.Duration {
	if outage.lapse {
		return longestEntryLoss
	}
	return returnTime
}

// busiestHome returns the front that is the home of most programs which spend
// and were served within the last half second, and these.
func (s *site) busiestHome(b *book) (*front, []string) {
	homes := map[string]map[string]bool{}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.attempts {
		if a.budget != spendBudget || time.Since(a.sent) > 500*time.Millisecond {
			continue
		}
		home := s.home(a.program)
		if homes[home] == nil {
			homes[home] = map[string]bool{}
		}
		homes[home][a.program] = true
	}
	busiest := s.fronts[0]
	for _, f := range s.fronts {
		if len(homes[f.Name]) > len(homes[busiest.Name]) {
			busiest = f
		}
	}
	return busiest, slices.Sorted(maps.Keys(homes[busiest.Name]))
}

// checkGoesOn checks that the last turn of each line of turns that was answered
// whole can be continued, which takes all turns before it, too: by the program
// itself if it has budget left, else by another.
func (s *site) checkGoesOn(b *book, seed uint64) {
	turns := b.lastTurns()
	require.NotEmpty(s.t, turns, "no retained turn was served")
	next := make(chan *attempt)
	var callers sync.WaitGroup
	for n := range callerCount {
		c := newCaller(s, b, seed, uint64(2*callerCount+1+n))
		callers.Go(func() {
			for previous := range next {
				program := previous.program
				if previous.budget != usualBudget {
					program += "-again"
				}
				a := c.turn(context.Background(), program, kindKeep, usualBudget, 99, previous)
				assert.NotNil(s.t, a, "turn %s cannot be continued by %s", previous.id, program)
			}
			c.client.CloseIdleConnections()
		})
	}
	for _, a := range turns {
		next <- a
	}
	close(next)
	callers.Wait()
	s.t.Logf("%d lines of turns go on", len(turns))
}

// lastTurns returns the retained turns that were answered whole and that no
// other such turn continues.
func (book *book) lastTurns() []*attempt {
	book.mu.Lock()
	defer book.mu.Unlock()
	continued := map[string]bool{}
	kept := func(a *attempt) bool { return a.kind == kindKeep && a.status == http.StatusOK && a.whole }
	for _, a := range book.attempts {
		if kept(a) {
			continued[a.previous] = true
		}
	}
	var turns []*attempt
	for _, a := range book.attempts {
		if kept(a) && !continued[a.id] {
			turns = append(turns, a)
		}
	}
	return turns
}
