package soak

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// heldPatience and heldTime bound how long a program may be held until the
	// next start of its home is known, which takes a second or two.
	heldPatience = 400
	heldTime     = 6 * time.Second
	// homeAway is how long a home is away while programs spend some of their
	// budgets through other instances, which have accounts of their own then.
	homeAway = 700 * time.Millisecond
)

// Guards against a program that is held for good, as if others might give some of its budget back, where all that is left was its dead home's.
func TestProgramOfHomeThatDiedIsToldThatItsBudgetIsSpent(t *testing.T) {
	s := newSite(t, *first)
	b := &book{attempts: map[string]*attempt{}}
	s.awaitEscrow()
	var callers sync.WaitGroup
	for n := range callerCount {
		c, f := newCaller(s, b, *first, uint64(n)), s.fronts[0]
		program := s.programOf(f, "held", n)
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), heldTime)
			defer cancel()
			assert.True(t, c.spend(ctx, program, kindChat, spendPause, heldPatience), "program %s", program)
			c.client.CloseIdleConnections()
		})
	}
	time.Sleep(spendPause)
	s.restart(s.fronts[0], syscall.SIGKILL, homeAway)
	callers.Wait()
	for _, broken := range b.broken(s.runsByID(), false) {
		t.Error(broken)
	}
}
