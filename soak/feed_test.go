package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

const (
	// readerCount is the number of instances of one data centre, enough that
	// they read tables from each other.
	readerCount = 24
	// maxFeedDelay is the time within which each change is known to an instance
	// that is not disturbed: less than an operator's configuration takes to be
	// in force everywhere.
	maxFeedDelay = 4 * time.Second
	// undisturbedFor is how long after a fault at an instance it is not checked.
	undisturbedFor = 5 * time.Second
	// changeInterval is the time between two configurations.
	changeInterval = 250 * time.Millisecond
)

// feedSite is a data centre of readerCount entry instances whose configuration
// and endpoints change all the time.
type feedSite struct {
	t      *testing.T
	memory *storetest.Memory
	fronts []*front

	mu sync.Mutex
	// writtenAt holds when each version of the configuration was written.
	writtenAt map[int]time.Time
	version   int
	// disturbedUntil holds until when the faults at an instance last.
	disturbedUntil map[*front]time.Time
}

// TestTablesThroughFailingInstances guards against instances that miss changes
// because those that they read from are killed, suspended, turned away by the
// store or restarted. Each second seed runs no faults but planned stops.
func TestTablesThroughFailingInstances(t *testing.T) {
	for n := range (*seeds + 1) / 2 {
		seed := *first + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soakFeeds(t, seed) })
	}
}

func soakFeeds(t *testing.T, seed uint64) {
	s := newFeedSite(t)
	rng := rand.New(rand.NewPCG(seed, 5))
	end := time.Now().Add(*span + maxFeedDelay)
	var running sync.WaitGroup
	lastFault, lastChange := time.Now(), time.Now()
	inForce := map[*front]int{}
	for now := time.Now(); now.Before(end); now = time.Now() {
		if now.Sub(lastChange) >= changeInterval {
			s.change(rng)
			lastChange = now
		}
		if now.Sub(lastFault) >= 700*time.Millisecond && end.Sub(now) > maxFeedDelay {
			f := s.choose(rng)
			name, inject := s.fault(rng, seed%2 == 0)
			t.Logf("%s: %s", f.Name, name)
			running.Go(func() { inject(f) })
			lastFault = now
		}
		s.check(inForce, now)
		time.Sleep(50 * time.Millisecond)
	}
	running.Wait()
	require.Eventually(t, func() bool {
		for _, f := range s.fronts {
			if s.configuration(f) != s.version {
				return false
			}
		}
		return true
	}, 2*maxFeedDelay, 50*time.Millisecond, "all instances are current in the end")
}

func newFeedSite(t *testing.T) *feedSite {
	s := &feedSite{t: t, memory: storetest.New(), writtenAt: map[int]time.Time{}, disturbedUntil: map[*front]time.Time{}}
	s.change(rand.New(rand.NewPCG(1, 1)))
	dir := t.TempDir()
	for n := range readerCount {
		door := platformtest.NewStoreServer(s.memory)
		t.Cleanup(door.Close)
		process, err := platformtest.NewFrontProcess(dir, fmt.Sprintf("front-%02d", n), "a", door.Address())
		require.NoError(t, err)
		f := &front{FrontProcess: process, door: door}
		require.NoError(t, f.Start())
		t.Cleanup(f.Kill)
		s.fronts = append(s.fronts, f)
	}
	for _, f := range s.fronts {
		require.Eventually(t, func() bool { return s.configuration(f) == s.version }, 10*time.Second, 10*time.Millisecond, f.Name)
	}
	return s
}

// change writes another configuration, and another entry of an endpoint.
func (s *feedSite) change(rng *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + rng.IntN(3)
	platformtest.PutConfiguration(s.memory, platformtest.Configuration(s.version))
	s.writtenAt[s.version] = time.Now()
	endpoint := platformtest.NewEndpoint(fmt.Sprintf("e%d", rng.IntN(20)), "tool", false)
	endpoint.Close()
	endpoint.Born = int64(s.version)
	endpoint.Register(s.memory, "a", "ready")
}

// choose returns the instance to disturb: in two of three cases the one that made
// most calls to the store, which others read from.
func (s *feedSite) choose(rng *rand.Rand) *front {
	if rng.IntN(3) == 0 {
		return s.fronts[rng.IntN(len(s.fronts))]
	}
	before := map[*front]int64{}
	for _, f := range s.fronts {
		before[f] = f.door.RequestCount()
	}
	time.Sleep(300 * time.Millisecond)
	busiest := s.fronts[0]
	for _, f := range s.fronts {
		if f.door.RequestCount()-before[f] > busiest.door.RequestCount()-before[busiest] {
			busiest = f
		}
	}
	return busiest
}

// fault returns a fault and its name; only planned stops if planned is set.
func (s *feedSite) fault(rng *rand.Rand, planned bool) (string, func(f *front)) {
	lasts := 500*time.Millisecond + time.Duration(rng.IntN(3000))*time.Millisecond
	kinds := map[int]string{0: "kill", 1: "suspend", 2: "turned away by the store", 3: "store silent", 4: "stop"}
	kind := rng.IntN(5)
	if planned {
		kind = 4
	}
	return kinds[kind], func(f *front) {
		f.life.Lock()
		defer f.life.Unlock()
		s.disturb(f, time.Now().Add(time.Hour))
		defer func() { s.disturb(f, time.Now().Add(undisturbedFor)) }()
		switch kind {
		case 0:
			f.Kill()
			time.Sleep(lasts / 3)
			assert.NoError(s.t, f.Start())
		case 1:
			assert.NoError(s.t, f.Signal(syscall.SIGSTOP))
			time.Sleep(lasts)
			assert.NoError(s.t, f.Signal(syscall.SIGCONT))
		case 2, 3:
			f.door.SetMode(map[int]platformtest.StoreMode{2: platformtest.ServiceUnavailable, 3: platformtest.IgnoreRequests}[kind])
			time.Sleep(lasts)
			f.door.SetMode(platformtest.Serving)
		case 4:
			assert.NoError(s.t, f.Signal(syscall.SIGTERM))
			_, err := f.Wait()
			assert.NoError(s.t, err)
			assert.NoError(s.t, f.Start())
		}
	}
}

// disturb records until when an instance is not checked.
func (s *feedSite) disturb(f *front, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbedUntil[f] = until
}

// check compares what each undisturbed instance has in force with what was
// written maxFeedDelay ago, and with what it had before.
func (s *feedSite) check(inForce map[*front]int, now time.Time) {
	for _, f := range s.fronts {
		version := s.configuration(f)
		s.mu.Lock()
		disturbed := now.Before(s.disturbedUntil[f])
		expected := 0
		for written, at := range s.writtenAt {
			if now.Sub(at) >= maxFeedDelay {
				expected = max(expected, written)
			}
		}
		s.mu.Unlock()
		if disturbed {
			delete(inForce, f)
			continue
		}
		assert.GreaterOrEqual(s.t, version, expected, "%s: a configuration is not in force %v after it was written", f.Name, maxFeedDelay)
		assert.GreaterOrEqual(s.t, version, inForce[f], "%s: the configuration goes back", f.Name)
		inForce[f] = version
	}
}

// configuration returns the version of the configuration that an instance has in
// force, and 0 if it does not respond.
func (s *feedSite) configuration(f *front) int {
	s.mu.Lock()
	disturbed := time.Now().Before(s.disturbedUntil[f].Add(-undisturbedFor))
	s.mu.Unlock()
	if disturbed {
		return 0
	}
	var state struct {
		Configuration int `json:"configuration"`
	}
	_ = json.Unmarshal([]byte(platformtest.Get("http://"+f.Debug+"/debug/state")), &state) // 0 if the instance does not respond
	return state.Configuration
}
