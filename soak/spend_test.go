package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/budget"
)

// Figures of the programs that spend their budget. Each turn generates all
// that it may, so that what is granted twice is handed out twice. Escrow holds
// the first five turns of eighteen.
const (
	spendBudget = 1500
	spendMost   = 3 * eventTokens
	// spendPause is the longest pause between their turns: when the store fails,
	// most have begun by escrow, and some of these have a row by then.
	spendPause = 160 * time.Millisecond
	// outPause is that of programs that are to come to their end.
	outPause = 15 * time.Millisecond
	// retryPause is the pause after a turn that failed.
	retryPause = 100 * time.Millisecond
	// spendPatience is how many turns in a row may fail before a caller gives a
	// program up: more than an outage makes.
	spendPatience = 20
	// outPatience is that of programs that are to come to their end: a caller
	// tries a turn three times.
	outPatience = 2
	// restTurns is how many turns a program makes by escrow alone that rests
	// until the end. The next start of its home knows nothing of these.
	restTurns = 5
	// servedLeast is what a program is handed that begins while some home is
	// dead: 70 % of its budget, in whole turns.
	servedLeast = spendBudget*70/100 - spendMost
)

// spendAll plays programs that spend their budgets until ctx ends.
func (caller *caller) spendAll(ctx context.Context, n int) {
	caller.sleep(ctx, time.Duration(caller.rng.Int64N(int64(spendPause))))
	for round := 0; ctx.Err() == nil; round++ {
		k := []kind{kindKeep, kindChat}[caller.rng.IntN(2)]
		// Another seed's programs have other homes.
		program := fmt.Sprintf("s%d-%d-%x", n, round, caller.rng.Uint32())
		caller.spend(ctx, program, k, spendPause, spendPatience)
	}
	caller.client.CloseIdleConnections()
}

// spend plays a program that goes on, whatever becomes of a turn, until it is
// told that its budget is spent. It returns false if ctx ends first, or if more
// turns in a row failed than patience.
func (caller *caller) spend(ctx context.Context, program string, k kind, pause time.Duration, patience int) bool {
	var previous *attempt
	failed := 0
	for turn := 0; ctx.Err() == nil && failed <= patience; turn++ {
		a := newTurn(program, k, spendBudget, turn, previous)
		a.most = spendMost
		caller.send(ctx, a)
		failed++
		switch {
		case a.status == http.StatusOK && a.whole:
			previous, failed = a, 0
		case a.status >= 400 && a.status < 429:
			return a.status == http.StatusPaymentRequired
		}
		if failed > 0 || caller.rng.IntN(4) == 0 {
			caller.move()
		}
		if failed > 0 {
			caller.sleep(ctx, retryPause)
		}
		caller.sleep(ctx, time.Duration(caller.rng.Int64N(int64(pause))))
	}
	return false
}

// beginAndRest has programs of each home begin, which go on at the end.
func (s *site) beginAndRest(b *book, seed uint64) {
	var callers sync.WaitGroup
	for n, f := range s.fronts {
		c, program := newCaller(s, b, seed, uint64(3*callerCount+n)), s.programOf(f, "rest", n)
		callers.Go(func() {
			for turn := range restTurns {
				a := newTurn(program, kindChat, spendBudget, turn, nil)
				a.most = spendMost
				c.send(context.Background(), a)
			}
			c.client.CloseIdleConnections()
		})
	}
	callers.Wait()
}

// checkServesOn checks that programs which begin now are served at every front,
// until at most the escrow of a dead home is left of their budgets, while programs
// under way spend what they are given of theirs.
func (s *site) checkServesOn(b *book, seed uint64, name string, programs []string) {
	s.checkServes(newCaller(s, b, seed, 2*callerCount), name)
	underWay := len(programs)
	for n, f := range s.fronts {
		programs = append(programs, s.programOf(f, name, n))
	}
	told := make([]bool, len(programs))
	var callers sync.WaitGroup
	for n, program := range programs {
		c := newCaller(s, b, seed, uint64(4*callerCount+n))
		callers.Go(func() {
			told[n] = c.spend(context.Background(), program, kindChat, outPause, outPatience)
			c.client.CloseIdleConnections()
		})
	}
	callers.Wait()
	for n, program := range programs {
		handed := b.handed(program)
		if !told[n] {
			s.t.Logf("program %s is held after %d tokens of %d", program, handed, spendBudget)
		}
		if n >= underWay {
			assert.GreaterOrEqual(s.t, handed, int64(servedLeast), "tokens handed to program %s", program)
		}
	}
}

// handed returns how many tokens callers were handed in turns of a program.
func (book *book) handed(program string) int64 {
	book.mu.Lock()
	defer book.mu.Unlock()
	var tokens int64
	for _, a := range book.attempts {
		if a.program == program {
			tokens += int64(len(a.events)) * eventTokens
		}
	}
	return tokens
}

// unspent returns the programs that spend and were not told yet that nothing
// is left.
func (book *book) unspent() []string {
	book.mu.Lock()
	defer book.mu.Unlock()
	told := map[string]bool{}
	for _, a := range book.attempts {
		if a.budget == spendBudget {
			told[a.program] = told[a.program] || a.status == http.StatusPaymentRequired
		}
	}
	maps.DeleteFunc(told, func(_ string, spent bool) bool { return spent })
	return slices.Sorted(maps.Keys(told))
}

// home returns the name of the front that is a program's home.
func (s *site) home(program string) string {
	names := make([]string, len(s.fronts))
	for i, f := range s.fronts {
		names[i] = f.Name
	}
	return budget.Home(program, names)
}

// programOf returns program n of those named, whose home is f.
func (s *site) programOf(f *front, name string, n int) string {
	for try := 0; ; try++ {
		if program := fmt.Sprintf("%s-%d-%d", name, n, try); s.home(program) == f.Name {
			return program
		}
	}
}
