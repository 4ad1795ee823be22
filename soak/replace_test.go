package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// replacements is the number of instances that are replaced one after the other.
	replacements = 3
	// settleTime is the time in which instances get witnesses after another one is gone.
	settleTime = 5 * time.Second
	// replacedPrograms begin after each replacement.
	replacedPrograms = 20
	// replacedPatience is how many turns in a row of a program may fail.
	replacedPatience = 6
	// longestFreeze bounds the time for which an instance is frozen.
	longestFreeze = 2 * time.Second
)

// Guards against programs that can't go on although their budget holds the turn, since
// instances that are gone for good hold a part of it. Other instances are killed, frozen or
// stopped in between.
func TestProgramsOutliveReplacedInstances(t *testing.T) {
	for n := range max(1, *seeds/2) {
		seed := *first + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s, b, rng := newSite(t, seed), &book{attempts: map[string]*attempt{}}, rand.New(rand.NewPCG(seed, 5))
			s.awaitEscrow()
			for round := range replacements {
				s.replaceFront(round, rng)
				s.disturb(round, rng)
				s.checkSpendsAll(b, seed, round)
			}
			for _, broken := range b.broken(s.runsByID(), false) {
				t.Error(broken)
			}
			t.Log(b.summary())
			if t.Failed() && *logs != "" {
				s.keepLogs(fmt.Sprint("replaced-", seed))
			}
		})
	}
}

// replaceFront kills an instance for good and starts one of another name and address.
func (s *site) replaceFront(n int, rng *rand.Rand) {
	old := s.fronts[n]
	s.interrupt(old)
	old.Kill()
	time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
	s.fronts[n] = s.newFront(fmt.Sprintf("%s-again", old.Name), dataCentres[n%len(dataCentres)])
	s.heal()
	time.Sleep(settleTime)
}

// disturb kills, freezes or stops an instance other than n.
func (s *site) disturb(n int, rng *rand.Rand) {
	f := s.fronts[(n+1+rng.IntN(frontCount-1))%frontCount]
	switch rng.IntN(3) {
	case 0:
		s.restart(f, syscall.SIGKILL, time.Duration(rng.Int64N(int64(time.Second))))
	case 1:
		s.freeze(f, time.Duration(rng.Int64N(int64(longestFreeze))))
	case 2:
		s.restart(f, syscall.SIGTERM, 0)
	}
	s.heal()
	time.Sleep(settleTime)
}

// checkSpendsAll checks that programs which begin now spend their budgets to the last turn.
func (s *site) checkSpendsAll(b *book, seed uint64, round int) {
	var callers sync.WaitGroup
	for n := range replacedPrograms {
		c, program := newCaller(s, b, seed, uint64(100*round+n)), fmt.Sprintf("replaced-%d-%d", round, n)
		callers.Go(func() {
			isTold := c.spend(context.Background(), program, kindChat, outPause, replacedPatience)
			c.client.CloseIdleConnections()
			handed := b.handed(program)
			assert.True(s.t, isTold, "program %s is held after %d tokens of %d", program, handed, spendBudget)
			assert.Greater(s.t, handed, int64(spendBudget-spendMost), "tokens handed to program %s", program)
		})
	}
	callers.Wait()
}
