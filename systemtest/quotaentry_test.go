package systemtest

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

var entriesAll = flag.Bool("entries.all", false, "whether all faults of the entries of instances are played")

// The quota of each organisation, and what the settings of the instances tolerate.
const (
	entryOrganisations = 4
	entryRate          = 20
	entryBurst         = 10
	entryWindow        = 5 * time.Second
	entryLimit         = (entryRate*5+entryBurst)*11/10 + 20
)

// entrySite is a site whose instances share quotas while their entries in the store are disturbed.
type entrySite struct {
	*site
	mu   sync.Mutex
	sent map[string]time.Time // by request ID
	down map[*frontProcess]bool
}

// loseWrites makes the store not answer the writes of entries while f runs. They are performed
// later, if their conditions hold then.
func (s *entrySite) loseWrites(later time.Duration, f func()) {
	s.memory.SetFault(func(op, partition string) storetest.Fault {
		if op == "commit" && partition == "" {
			return storetest.LoseRequest
		}
		return storetest.None
	})
	f()
	s.memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	time.AfterFunc(later, s.memory.ApplyLost)
}

// setDown records whether an instance gets requests.
func (s *entrySite) setDown(f *frontProcess, isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[f] = isDown
}

// restart starts an instance that has ended.
func (s *entrySite) restart(f *frontProcess) {
	s.start(f)
	s.setDown(f, false)
}

// send sends requests of all organisations through all instances until the returned function is
// called.
func (s *entrySite) send() (stop func()) {
	ended := make(chan struct{})
	var all sync.WaitGroup
	interval := 23 * time.Millisecond * time.Duration(len(s.fronts))
	for organisation := range entryOrganisations {
		for f, front := range s.fronts {
			all.Go(func() {
				ticker := time.NewTicker(interval)
				defer ticker.Stop()
				for n := 0; ; n++ {
					select {
					case <-ended:
						return
					case <-ticker.C:
					}
					id := fmt.Sprintf("o%d-%d-%d", organisation, f, n)
					s.mu.Lock()
					s.sent[id] = time.Now()
					isDown := s.down[front]
					s.mu.Unlock()
					if isDown {
						continue
					}
					all.Go(func() {
						_, _, _ = front.post(alone(), "/post/x", id, "x", map[string]string{"Api-Key": fmt.Sprint("key", organisation)})
					})
				}
			})
		}
	}
	return func() {
		close(ended)
		all.Wait()
	}
}

// most returns the most requests of an organisation that were sent and run within a window, and how
// many ran in the last window.
func (s *entrySite) most(organisation int) (most, last int) {
	type run struct{ sent, at time.Time }
	var runs []run
	for _, received := range s.tool.ReceivedRequests() {
		var of, front, n int
		if _, err := fmt.Sscanf(received.ID, "o%d-%d-%d", &of, &front, &n); err == nil && of == organisation {
			runs = append(runs, run{sent: s.sent[received.ID], at: received.At})
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.sent.Compare(b.sent) })
	for first := range runs {
		end, count := runs[first].sent.Add(entryWindow), 0
		for _, run := range runs[first:] {
			if !run.at.After(end) {
				count++
			}
		}
		most = max(most, count)
		if first == 0 || runs[len(runs)-1].sent.Sub(runs[first].sent) >= entryWindow {
			last = count
		}
	}
	return most, last
}

// Guards against instances that the others don't know and that grant whole quotas beside them: their entries are written late, or removed, by an earlier
// incarnation or anybody else.
func TestQuotaHoldsWhateverHappensToEntries(t *testing.T) {
	for _, fault := range []struct {
		name   string
		fronts int
		// start is called in place of starting the instances.
		start func(s *entrySite)
		// play is called while requests are sent.
		play    func(s *entrySite)
		isBrief bool
	}{
		{name: "nothing", fronts: 3},
		{name: "written late", fronts: 3, isBrief: true, start: startUnwritten},
		{name: "written late by eight", fronts: 8, start: startUnwritten},
		{name: "removed late", fronts: 3, isBrief: true, play: func(s *entrySite) {
			f := s.fronts[0]
			s.loseWrites(4*time.Second, func() {
				s.setDown(f, true)
				assert.NoError(s.t, f.Signal(syscall.SIGTERM))
				_, err := f.Wait()
				assert.NoError(s.t, err)
			})
			s.restart(f)
		}},
		{name: "removed by an operator", fronts: 3, isBrief: true, play: func(s *entrySite) {
			for round := range 6 {
				key := store.Key{Table: "entries", Name: s.fronts[round%3].Name}
				assert.NoError(s.t, s.memory.Apply(store.Transaction{Deletes: []store.Key{key}}))
				time.Sleep(time.Duration(100*round) * time.Millisecond)
			}
		}},
		{name: "all removed", fronts: 5, play: func(s *entrySite) {
			var tx store.Transaction
			for _, f := range s.fronts {
				tx.Deletes = append(tx.Deletes, store.Key{Table: "entries", Name: f.Name})
			}
			assert.NoError(s.t, s.memory.Apply(tx))
		}},
		{name: "written late by an earlier incarnation", fronts: 3, play: func(s *entrySite) {
			f := s.fronts[1]
			s.setDown(f, true)
			f.Kill()
			assert.NoError(s.t, s.memory.Apply(store.Transaction{Deletes: []store.Key{{Table: "entries", Name: f.Name}}}))
			s.loseWrites(3*time.Second, func() {
				assert.NoError(s.t, f.Start())
				time.Sleep(300 * time.Millisecond)
				f.Kill()
			})
			s.restart(f)
		}},
	} {
		if !fault.isBrief && !*entriesAll {
			continue
		}
		t.Run(fault.name, func(t *testing.T) {
			s := &entrySite{site: newSite(t, 0), sent: map[string]time.Time{}, down: map[*frontProcess]bool{}}
			var organisations []platformtest.Organisation
			for n := range entryOrganisations {
				organisations = append(organisations, platformtest.Organisation{Name: fmt.Sprint("org", n), Keys: []string{fmt.Sprint("key", n)}, Rate: entryRate, Burst: entryBurst})
			}
			platformtest.PutConfiguration(s.memory, platformtest.WithOrganisations(platformtest.Configuration(4), organisations...))
			for n := range fault.fronts {
				s.newFront(fmt.Sprintf("front-%d", n+1))
			}
			if fault.start != nil {
				fault.start(s)
			} else {
				for _, f := range s.fronts {
					s.start(f)
				}
			}
			stop := s.send()
			if fault.play != nil {
				time.Sleep(2 * time.Second)
				fault.play(s)
			}
			time.Sleep(2 * entryWindow)
			stop()
			for n := range entryOrganisations {
				most, last := s.most(n)
				t.Logf("organisation %d: %d requests in the worst window, %d in the last; limit %d", n, most, last, entryLimit)
				assert.LessOrEqual(t, most, entryLimit)
				assert.Greater(t, last, entryRate*4, "the quota can be used")
			}
		})
	}
}

// startUnwritten starts all instances at once while the store does not answer writes of entries.
func startUnwritten(s *entrySite) {
	for _, f := range s.fronts {
		require.NoError(s.t, f.Start())
		s.t.Cleanup(f.Kill)
	}
	go s.loseWrites(4*time.Second, func() { time.Sleep(1500 * time.Millisecond) })
	for _, f := range s.fronts {
		require.Eventually(s.t, f.IsReady, 5*time.Second, 10*time.Millisecond, f.Name)
	}
}
