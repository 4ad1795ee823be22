package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

const (
	// renewal is the time between two writes of an endpoint's entry.
	renewal = 1200 * time.Millisecond
	// streamPatience is how long a caller resumes a stream.
	streamPatience = 8 * time.Second
	// releaseMargin is the range of the times around a loss of power at which a release
	// begins.
	releaseMargin = 4 * time.Second
	// slowEvent is the delay before each event, so that streams are in progress when all
	// instances are killed.
	slowEvent = 40 * time.Millisecond
	// playedAfter is how long streams are played after all instances are back.
	playedAfter = 9 * time.Second
)

// renewEntries writes the entries of the endpoints that serve again and again, until ctx
// ends, and then closes done. While lapsed returns true of one, its entry is missing.
func (s *site) renewEntries(ctx context.Context, lapsed func(*endpoint) bool, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		for _, service := range []string{"model", "tool"} {
			for _, e := range s.living(service) {
				s.mu.Lock()
				switch {
				case e.gone:
				case lapsed(e):
					e.Unregister(s.memory)
				default:
					e.Register(s.memory, e.dataCentre, "ready")
				}
				s.mu.Unlock()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(renewal):
		}
	}
}

// replaceAll replaces all model endpoints by ones of another version, which serve beside
// each other for the overlap.
func (s *site) replaceAll(version string, overlap time.Duration) {
	s.mu.Lock()
	s.versions = []string{version}
	s.mu.Unlock()
	replaced := s.living("model")
	for range replaced {
		s.add(true, nil)
	}
	time.Sleep(overlap)
	var leaving sync.WaitGroup
	for _, e := range replaced {
		leaving.Go(func() { s.leave(e, drainTime) })
	}
	leaving.Wait()
}

// patientStreams has a caller receive streams until ctx ends. It resumes each until it is
// whole, or for streamPatience, and names the attempt that began it or not.
func (caller *caller) patientStreams(ctx context.Context, n int, isNamed bool) (all []*stream, resumed, continued int) {
	for round := 0; ctx.Err() == nil; round++ {
		received := &stream{}
		for began := time.Now(); !received.whole && time.Since(began) < streamPatience && ctx.Err() == nil; {
			a := &attempt{program: fmt.Sprintf("s%d-%d", n, round), kind: kindChat, most: mostTokens, body: "x", prompt: "x", lastEvent: received.last()}
			if isNamed {
				a.resumes = received.first
			}
			caller.send(ctx, a)
			if a.lastEvent != "" && !a.refused {
				resumed++
				if len(a.events) > 0 {
					continued++
				}
			}
			received.receive(a)
			caller.move()
			caller.sleep(ctx, streamRetryPause)
		}
		all = append(all, received)
	}
	caller.client.CloseIdleConnections()
	return all, resumed, continued
}

// Guards against streams that are joined from two software versions after all instances were killed at once around a release. It is played by hand only.
func TestStreamsKeepTheirVersionAfterAllAreKilled(t *testing.T) {
	if !*power {
		t.Skip("takes 60 s; -soak.power plays it")
	}
	for n := range *seeds {
		seed := *first + uint64(n)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playKillOfAll(t, seed) })
	}
}

// playKillOfAll has a release begin at a random time around a loss of power of all instances,
// after which entries have lapsed, the store is slow or away, or instances start alone.
func playKillOfAll(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	s := newSiteOf(t, seed, siteOptions{versions: []string{"v1"}, events: streamEvents, brokenStreams: brokenStreams, eventDelay: slowEvent})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var mu sync.Mutex
	areLapsed := false
	setLapsed := func(lapsed bool) {
		mu.Lock()
		defer mu.Unlock()
		areLapsed = lapsed
	}
	isOld := func(e *endpoint) bool {
		mu.Lock()
		defer mu.Unlock()
		return areLapsed && e.Version == "v1"
	}
	renewed := make(chan struct{})
	go s.renewEntries(ctx, isOld, renewed)
	b := &book{attempts: map[string]*attempt{}}
	received := make([][]*stream, callerCount)
	var resumed, continued [callerCount]int
	var callers sync.WaitGroup
	for n := range callerCount {
		callers.Go(func() {
			received[n], resumed[n], continued[n] = newCaller(s, b, seed, uint64(n)).patientStreams(ctx, n, n%3 != 0)
		})
	}
	time.Sleep(untilCheckpoint + time.Duration(rng.Int64N(int64(8*time.Second))))

	begins := time.Duration(rng.Int64N(int64(2*releaseMargin))) - releaseMargin // after the loss of power
	overlap := time.Duration(rng.Int64N(int64(2 * time.Second)))
	trouble := []string{"none", "entries lapse", "store slow", "store away", "one starts alone", "one is not killed"}[rng.IntN(6)]
	t.Logf("release begins at %s, overlap %s, trouble: %s", begins, overlap, trouble)
	var release sync.WaitGroup
	release.Go(func() {
		time.Sleep(releaseMargin + begins)
		s.replaceAll("v2", overlap)
	})
	time.Sleep(releaseMargin)
	setLapsed(trouble == "entries lapse")
	var ends sync.WaitGroup
	for n, f := range s.fronts {
		pause := time.Duration(500+rng.IntN(2500)) * time.Millisecond
		switch {
		case n == 0 && trouble == "one is not killed":
			continue
		case n > 0 && trouble == "one starts alone":
			pause += 3 * time.Second
		case trouble == "store slow":
			f.door.Delay(slowStore)
		}
		ends.Go(func() { s.restart(f, syscall.SIGKILL, pause) })
	}
	if trouble == "store away" {
		for _, f := range s.fronts {
			f.door.SetMode(platformtest.ServiceUnavailable)
		}
		time.Sleep(time.Duration(1+rng.IntN(4)) * time.Second)
		for _, f := range s.fronts {
			f.door.SetMode(platformtest.Serving)
		}
	}
	ends.Wait()
	time.Sleep(time.Second)
	setLapsed(false)
	time.Sleep(time.Second)
	for _, f := range s.fronts {
		f.door.Delay(0)
	}
	s.memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	release.Wait()
	time.Sleep(playedAfter)
	stop()
	callers.Wait()
	<-renewed
	streams, attempts, went := 0, 0, 0
	for n, all := range received {
		streams, attempts, went = streams+len(all), attempts+resumed[n], went+continued[n]
		for _, stream := range all {
			stream.check(t.Errorf)
		}
	}
	proven := 0
	for _, f := range s.fronts {
		proven += strings.Count(f.ReadLog(), "sole=\"[{Service:model")
	}
	t.Logf("%d streams, %d attempts to resume one, %d of them went on; versions proven from the history %d times", streams, attempts, went, proven)
	if t.Failed() && *logs != "" {
		s.keepLogs("rejoin-" + strconv.FormatUint(seed, 10))
	}
}
