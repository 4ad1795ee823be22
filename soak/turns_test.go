package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
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

// lineTurns is how many turns a line has; the usual budget holds them.
const lineTurns = 12

// turnFaults are the faults that may keep a turn from being stored or found.
var turnFaults = append(faultsNamed("kill", "kill all", "freeze", "store turns one away", "store away", "store slow", "store loses answers", "store forgets its history", "way to the store"),
	fault{name: "partitions away", inject: func(s *site, _ *front, draw uint64, d time.Duration) { s.loseHalves(draw, d) }},
	fault{name: "partitions away again", inject: func(s *site, _ *front, draw uint64, d time.Duration) { s.loseHalves(draw, d) }})

// faultsNamed returns those of allFaults with the given names.
func faultsNamed(names ...string) []fault {
	var named []fault
	for _, name := range names {
		for _, f := range allFaults {
			if f.name == name {
				named = append(named, f)
			}
		}
	}
	return named
}

// loseHalves has each instance lose half of the store's partitions, in a way of its
// own: what one cannot write others may read, and the reverse.
func (s *site) loseHalves(draw uint64, d time.Duration) {
	ways := append([]platformtest.StoreMode{platformtest.DropResponses}, modes...)
	for n, f := range s.fronts {
		salt := strconv.FormatUint(draw+uint64(n), 16)
		f.door.SetModeForPartitions(ways[(draw+uint64(n))%uint64(len(ways))], func(partition string) bool { return xxhash.Sum64String(salt+partition)%2 == 0 })
	}
	time.Sleep(d)
	for _, f := range s.fronts {
		f.door.SetMode(platformtest.Serving)
	}
}

// Guards against turns that were answered whole and are not found at another instance.
func TestTurnsGoOnAtOtherInstances(t *testing.T) {
	for n := range *seeds {
		seed := *first + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playLines(t, seed) })
	}
}

// playLines plays lines of turns, each continued at once at another instance, while
// instances are killed and the store fails.
func playLines(t *testing.T, seed uint64) {
	s := newSite(t, seed)
	b := &book{attempts: map[string]*attempt{}}
	calls, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	for n := range callerCount {
		callers.Go(func() { newCaller(s, b, seed, uint64(n)).playLines(calls, n) })
	}
	faults := &faults{site: s, rng: rand.New(rand.NewPCG(seed, 6)), log: t.Logf, kinds: turnFaults}
	injecting, end := context.WithTimeout(calls, *span)
	defer end()
	faults.run(injecting)
	s.heal()
	time.Sleep(recovery / 2)
	stop()
	callers.Wait()
	s.checkGoesOn(b, seed)
	// A write that was lost may be applied late.
	s.memory.ApplyLost()
	for _, broken := range b.broken(s.runsByID(), false) {
		t.Error(broken)
	}
	t.Log(b.summary())
	t.Logf("%d turns continued another", b.continued())
	if t.Failed() && *logs != "" {
		s.keepLogs(fmt.Sprintf("turns-%d", seed))
	}
}

// playLines plays lines of turns until ctx ends.
func (caller *caller) playLines(ctx context.Context, n int) {
	for round := 0; ctx.Err() == nil; round++ {
		program := fmt.Sprintf("l%d-%d", n, round)
		var line []*attempt
		for turn := 0; turn < lineTurns && ctx.Err() == nil; turn++ {
			var previous *attempt
			if len(line) > 0 {
				previous = line[len(line)-1]
				if caller.rng.IntN(4) == 0 { // a sub-agent begins from any turn
					previous = line[caller.rng.IntN(len(line))]
				}
			}
			a := caller.turn(ctx, program, kindKeep, usualBudget, turn, previous)
			if a == nil {
				break
			}
			line = append(line, a)
			for before := caller.front; caller.front == before; {
				caller.move()
			}
		}
	}
	caller.client.CloseIdleConnections()
}

// continued returns how many turns were sent that continue another.
func (book *book) continued() int {
	book.mu.Lock()
	defer book.mu.Unlock()
	n := 0
	for _, a := range book.attempts {
		if a.previous != "" && a.status != http.StatusServiceUnavailable && !a.refused {
			n++
		}
	}
	return n
}

// goesOnAs returns the program by which a turn that continues previous is sent: the
// same one while its budget holds the turn, else another one.
func (s *site) goesOnAs(b *book, previous *attempt) string {
	if b.left(previous.program, s.runsByID()) >= previous.most {
		return previous.program
	}
	return previous.program + "-again"
}

// left returns what is left of a program's budget at least: turns that neither ended
// whole nor were refused count with all that they may generate, if an endpoint ran them.
func (book *book) left(program string, runs map[string][]run) int64 {
	book.mu.Lock()
	defer book.mu.Unlock()
	var budget, used int64
	for _, a := range book.attempts {
		if a.program != program || !a.kind.isTurn() {
			continue
		}
		budget = a.budget
		switch {
		case a.status == http.StatusOK && a.whole:
			used += int64(len(a.events)) * eventTokens
		case len(runs[a.id]) > 0 && a.status != http.StatusServiceUnavailable && (a.status < 400 || a.status >= 500):
			used += a.most
		}
	}
	return budget - used
}

// Guards against a turn that is answered 404 by an instance which stood still while its
// route was added, though its previous turn was answered whole elsewhere.
func TestTurnOnNewRouteGoesOnAtOutdatedInstance(t *testing.T) {
	s := newSite(t, *first)
	b := &book{attempts: map[string]*attempt{}}
	c := newCaller(s, b, *first, 1)
	ends := map[int]int{}
	for n := range frontCount {
		outdated, current := s.fronts[n], s.fronts[(n+1)%frontCount]
		path := fmt.Sprintf("new%d", n)
		s.check(outdated.Signal(syscall.SIGSTOP))
		s.addRoute(path)
		c.front = current
		var previous *attempt
		require.Eventually(t, func() bool {
			previous = newTurn("on-"+path, kindKeep, usualBudget, 0, nil)
			previous.route = path
			c.send(context.Background(), previous)
			return previous.status == http.StatusOK && previous.whole
		}, 10*time.Second, 50*time.Millisecond, "the route is not in force")
		next := newTurn(previous.program, kindKeep, usualBudget, 1, previous)
		next.route = path
		c.front = outdated
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			c.send(context.Background(), next)
		}()
		time.Sleep(50 * time.Millisecond) // the request waits in the socket
		s.check(outdated.Signal(syscall.SIGCONT))
		<-sent
		ends[next.status]++
	}
	t.Log("statuses:", ends)
	assert.Empty(t, b.broken(s.runsByID(), false))
}

// addRoute puts a configuration in force that has one more route for retained turns.
func (s *site) addRoute(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	route := fmt.Sprintf(`"routes":[{"name":%q,"host":"desk.example","path-prefix":"/%s/","kind":"stream","timeout-ms":3000,"slo-ms":200,"priority":1,"backend":"model","attempts":1,"retain":true,"retain-s":60,"sticky":true,"gap-aim-ms":200},`, path, path)
	platformtest.PutConfiguration(s.memory, []byte(strings.Replace(string(platformtest.Configuration(s.version)), `"routes":[`, route, 1)))
}
