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
	"github.com/stretchr/testify/require"
)

// newConnPause is the most between two requests of a caller of
// TestNewConnectionsLoseNoRequestsToStops.
const newConnPause = 20 * time.Millisecond

// Guards against a connection that ends without an answer, since its instance is stopped as it is opened, while stops overlap and callers are not redirected.
func TestNewConnectionsLoseNoRequestsToStops(t *testing.T) {
	for n := range max(*seeds/2, 1) {
		seed := *first + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { openInStops(t, seed) })
	}
}

func openInStops(t *testing.T, seed uint64) {
	s := newSite(t, seed)
	balancer := newRotation(s.fronts)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { balancer.run(ctx) })
	tally := &tally{promised: map[string]int{}}
	for n := range keeperCount / 4 {
		k := &keeper{name: fmt.Sprintf("n%d", n), balancer: balancer, tally: tally, rng: rand.New(rand.NewPCG(seed, 700+uint64(n)))}
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				k.send(fmt.Sprintf("%s-%d", k.name, n))
				k.drop()
				time.Sleep(time.Duration(k.rng.Int64N(int64(newConnPause))))
			}
		})
	}
	time.Sleep(time.Second)
	var stops sync.WaitGroup
	for _, f := range s.fronts {
		stops.Go(func() {
			for range 2 {
				s.restart(f, syscall.SIGTERM, 100*time.Millisecond)
				assert.Eventually(t, f.IsReady, 10*time.Second, 20*time.Millisecond, "%s", tail(f.ReadLog()))
			}
		})
		time.Sleep(time.Duration(seed%4) * 200 * time.Millisecond) // overlapping, not at once
	}
	stops.Wait()
	cancel()
	running.Wait()
	t.Logf("%d answered, %d told that they do not run, %d without a connection, %d without an answer", tally.answered.Load(), len(tally.promised), tally.unconnected.Load(), len(tally.cut))
	runs := s.runsByID()
	for id, status := range tally.promised {
		assert.Empty(t, runs[id], "%s was answered %d and ran", id, status)
	}
	for _, cut := range tally.cut {
		t.Error(cut)
	}
	require.Greater(t, tally.answered.Load(), int64(keeperCount))
}
