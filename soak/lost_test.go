package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var losses = flag.Int("soak.losses", 2, "how many of the kinds of loss TestTurnsGoOnAfterInstancesAreKilled plays; 0 for all")

// Figures of the programs of retained turns that lose instances: their budgets are close to
// what they need, so that little can be lost of them.
const (
	lostBudget   = 1105
	lostPrograms = 120
	// lostTurns is the number of turns of a program before the last loss; its budget
	// holds two more.
	lostTurns = 5
	// lostRest is the time between the last of these turns and the loss.
	lostRest = 2 * time.Second
	// lostSettle is the time after a loss until the next turns: after a loss of all,
	// instances and their escrows are back within it.
	lostSettle = 12 * time.Second
	// lostPatience is how long a turn is tried at all instances.
	lostPatience = 4 * time.Second
)

// instanceLoss is a way in which instances are lost.
type instanceLoss struct {
	name string
	// one: only one instance is killed, else all of them.
	one bool
	// times is the number of losses, each after the next turn of every program.
	times int
	// amid: the instances are killed while a turn of each program is in progress.
	amid bool
	// later: the programs begin after the loss.
	later bool
	// spendsAll: each program can spend its budget afterwards, as no turn was in progress.
	spendsAll bool
}

// allLosses begins with those that CI plays.
var allLosses = []instanceLoss{
	{name: "all at rest", times: 1, spendsAll: true},
	{name: "one at rest", times: 1, one: true, spendsAll: true},
	{name: "none", spendsAll: true},
	{name: "all amid turns", times: 1, amid: true},
	{name: "one amid turns", times: 1, one: true, amid: true},
	{name: "all at rest, three times", times: 3, spendsAll: true},
	{name: "all before the programs begin", times: 1, later: true, spendsAll: true},
	{name: "all before the programs begin, and at rest", times: 2, later: true, spendsAll: true},
}

// Guards against turns that are refused for good although their budget holds them, since instances
// that served the program were killed, and nobody else knows what these granted.
func TestTurnsGoOnAfterInstancesAreKilled(t *testing.T) {
	kinds := allLosses
	if *losses > 0 {
		kinds = kinds[:min(*losses, len(kinds))]
	}
	for _, kind := range kinds {
		t.Run(fmt.Sprintf("%s/%d", kind.name, *first), func(t *testing.T) { kind.play(t, *first) })
	}
}

func (loss *instanceLoss) play(t *testing.T, seed uint64) {
	s, b, rng := newSite(t, seed), &book{attempts: map[string]*attempt{}}, rand.New(rand.NewPCG(seed, 7))
	s.awaitEscrow()
	programs := make([]*lostProgram, lostPrograms)
	for n := range programs {
		programs[n] = &lostProgram{caller: newCaller(s, b, seed, uint64(n)), name: fmt.Sprintf("lost-%d-%d", seed, n)}
	}
	played := 0
	if loss.later {
		loss.strike(s, rng)
		time.Sleep(lostSettle)
		played++
	}
	each(programs, func(p *lostProgram) {
		for range lostTurns - max(loss.times-1, 0) {
			p.next(lostPatience)
		}
	})
	for ; played < loss.times; played++ {
		if loss.amid {
			loss.strikeAmid(s, rng, programs)
		} else {
			time.Sleep(lostRest)
			loss.strike(s, rng)
		}
		time.Sleep(lostSettle)
		each(programs, func(p *lostProgram) { p.next(lostPatience) })
	}
	refused := map[int]int{}
	for _, p := range programs {
		if !p.served {
			refused[p.status]++
		}
	}
	assert.Empty(t, refused, "programs whose budget holds the next turn, which was not served, by the last status")
	if loss.spendsAll {
		each(programs, func(p *lostProgram) {
			for p.next(time.Second) {
			}
		})
		held := 0
		for _, p := range programs {
			if b.handed(p.name) <= lostBudget-mostTokens {
				held++
			}
		}
		assert.Zero(t, held, "programs that are told that their budget is spent although it holds a turn")
	}
	for _, broken := range b.broken(s.runsByID(), false) {
		t.Error(broken)
	}
	t.Log(b.summary())
	if t.Failed() && *logs != "" {
		s.keepLogs("lost-" + loss.name)
	}
}

// strike kills one instance or all of them, and starts them again.
func (loss *instanceLoss) strike(s *site, rng *rand.Rand) {
	if loss.one {
		s.restart(s.fronts[rng.IntN(frontCount)], syscall.SIGKILL, powerPause)
		s.heal()
		return
	}
	s.losePower()
}

// strikeAmid has each program send a turn, and kills instances while these are in progress.
func (loss *instanceLoss) strikeAmid(s *site, rng *rand.Rand, programs []*lostProgram) {
	var turns sync.WaitGroup
	turns.Go(func() { each(programs, func(p *lostProgram) { p.try() }) })
	time.Sleep(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
	loss.strike(s, rng)
	turns.Wait()
}

// lostProgram is a program of retained turns.
type lostProgram struct {
	caller   *caller
	name     string
	previous *attempt
	turns    int
	// served tells whether the latest turn was served, status how it was answered.
	served bool
	status int
}

// try sends the next turn once, at any instance, and reports whether it was served whole.
func (p *lostProgram) try() bool {
	p.caller.move()
	a := newTurn(p.name, kindKeep, lostBudget, p.turns, p.previous)
	p.caller.send(context.Background(), a)
	p.status, p.served = a.status, a.status == http.StatusOK && a.whole
	if p.served {
		p.previous, p.turns = a, p.turns+1
	}
	return p.served
}

// next tries the next turn for at most patience, and reports whether it was served.
func (p *lostProgram) next(patience time.Duration) bool {
	for until := time.Now().Add(patience); time.Now().Before(until); {
		if p.try() {
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}

// each calls f for all programs side by side.
func each(programs []*lostProgram, f func(p *lostProgram)) {
	var callers sync.WaitGroup
	for _, p := range programs {
		callers.Go(func() {
			f(p)
			p.caller.client.CloseIdleConnections()
		})
	}
	callers.Wait()
}
