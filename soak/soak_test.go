package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

var (
	seeds = flag.Int("soak.seeds", 2, "how many seeds TestSoak plays")
	first = flag.Uint64("soak.first", 1, "the first of these seeds")
	span  = flag.Duration("soak.time", 5*time.Second, "how long faults are injected for each seed")
	logs  = flag.String("soak.logs", "", "folder for the instances' logs of broken seeds")
)

// callerCount callers play programs at a time.
const callerCount = 24

// recovery is how long after the last fault everything is served again.
const recovery = 6 * time.Second

// TestSoak plays seeds: faults of all kinds, and each fourth seed planned
// work only.
func TestSoak(t *testing.T) {
	for n := range *seeds {
		seed := *first + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed, *span) })
	}
}

// TestSeedsThatFailed plays the seeds that once broke a promise.
func TestSeedsThatFailed(t *testing.T) {
	for _, regression := range []struct {
		seed  uint64
		cause string
	}{
		{seed: 1, cause: "a hangup ended an instance that had just been started: the signal was handled only once it served"},
		{seed: 310, cause: "the soak's own: two addresses of a site were the same, drawn before either was in use"},
	} {
		t.Run(fmt.Sprint(regression.seed), func(t *testing.T) {
			t.Log(regression.cause)
			soak(t, regression.seed, *span)
		})
	}
}

func soak(t *testing.T, seed uint64, span time.Duration) {
	soakSite(t, newSite(t, seed), seed, span, allFaults)
}

// soakSite injects faults of kinds into a site for span, while callers play programs.
func soakSite(t *testing.T, s *site, seed uint64, span time.Duration, kinds []fault) {
	b := &book{attempts: map[string]*attempt{}}
	planned := seed%4 == 0
	faults := &faults{site: s, rng: rand.New(rand.NewPCG(seed, 2)), planned: planned, log: t.Logf, kinds: kinds}
	calls, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	for n := range callerCount {
		callers.Go(func() { newCaller(s, b, seed, uint64(n)).play(calls, n) })
	}
	injecting, end := context.WithTimeout(calls, span)
	faults.run(injecting)
	end()
	s.heal()
	time.Sleep(recovery / 2)
	stop()
	callers.Wait()
	s.checkRecovered(b, seed)
	if s.organisations {
		s.checkOrganisations(b, seed)
	}
	// A write that was lost may come late; what it does must harm nobody.
	s.memory.ApplyLost()
	for _, broken := range b.broken(s.runsByID(), planned) {
		t.Error(broken)
	}
	t.Log(b.summary())
	if t.Failed() && *logs != "" {
		s.keepLogs(fmt.Sprint(seed))
	}
}

// checkRecovered checks that after the last fault every turn that was
// answered whole can be continued, by its program while its budget holds that, that all kinds of requests are served at
// every front by the newest configuration, and that a leaving endpoint gets
// no work.
func (s *site) checkRecovered(b *book, seed uint64) {
	b.mu.Lock()
	var turns []*attempt
	for _, a := range b.attempts {
		if a.kind == kindKeep && a.status == http.StatusOK && a.whole {
			turns = append(turns, a)
		}
	}
	b.mu.Unlock()
	require.NotEmpty(s.t, turns, "no retained turn was served")
	version := s.configure()
	leaving := s.living("model")[0]
	leaving.Register(s.memory, "a", "draining")
	time.Sleep(2 * time.Second)
	before := len(leaving.ReceivedRequests())
	c := newCaller(s, b, seed, callerCount)
	ctx := context.Background()
	for i, previous := range turns {
		if i >= 100 {
			break
		}
		program := s.goesOnAs(b, previous)
		a := c.turn(ctx, program, kindKeep, usualBudget, 99, previous)
		if !assert.NotNil(s.t, a, "turn %s cannot be continued by program %s", previous.id, program) {
			break
		}
	}
	s.checkServes(c, "last")
	for _, f := range s.fronts {
		assert.Contains(s.t, f.state(), fmt.Sprintf(`"configuration": %d`, version), f.Name)
	}
	assert.Len(s.t, leaving.ReceivedRequests(), before, "a leaving endpoint got work")
}

// checkServes checks that every front serves each kind of request of programs
// that begin now.
func (s *site) checkServes(c *caller, programs string) {
	for _, f := range s.fronts {
		c.front = f
		for _, k := range []kind{kindKeep, kindChat, kindLook, kindPost} {
			a := &attempt{program: programs + "-" + f.Name + string(k), kind: k, budget: usualBudget, most: mostTokens, body: "x", prompt: "x"}
			if k == kindLook {
				a.body, a.prompt = "", ""
			}
			c.send(context.Background(), a)
			assert.Equal(s.t, http.StatusOK, a.status, "%s at %s: %s %v", k, f.Name, a.answer, a.err)
		}
	}
}

// state returns the state dump of an instance.
func (front *front) state() string {
	return platformtest.Get("http://" + front.Debug + "/debug/state")
}

// keepLogs writes the instances' logs into the folder for them.
func (s *site) keepLogs(run string) {
	for _, f := range s.fronts {
		s.check(os.WriteFile(filepath.Join(*logs, fmt.Sprintf("%s-%s.log", run, f.Name)), []byte(f.ReadLog()), 0o600))
	}
}
