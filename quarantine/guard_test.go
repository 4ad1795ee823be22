package quarantine_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
)

// fleet is a set of guards that publish reports to each other.
type fleet struct {
	clock *clock.Fake

	mu     sync.Mutex
	guards []*member
	// gone holds when incarnations leave the list.
	gone map[string]time.Time
	// table holds the crashes that are kept in the store.
	table []quarantine.Report
}

// member is the guard of one instance. It implements quarantine.Peers.
type member struct {
	*quarantine.Guard
	fleet *fleet
	// isCut is set while no reports reach the instance, or leave it.
	isCut bool
	// stall is how long an instance beside the others does not respond.
	stall time.Duration
	// knownFor is how long the others know of the instance.
	knownFor time.Duration
	// fetches counts the calls of FetchReports, and published the reports sent.
	fetches, published int
}

func newFleet(instances int) *fleet {
	f := &fleet{clock: clock.NewFake(start), gone: map[string]time.Time{}}
	for range instances {
		f.add()
	}
	return f
}

// add adds an instance that the others know of.
func (f *fleet) add() *member {
	m := &member{fleet: f, knownFor: time.Hour}
	m.Guard = quarantine.NewGuard(quarantine.NewRecords(f.clock), m, f.presence, f.clock, slog.New(slog.DiscardHandler), tally.NoopScope)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.guards = append(f.guards, m)
	return m
}

// lapse has the entry of an incarnation leave the list after a delay.
func (f *fleet) lapse(incarnation string, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone[incarnation] = f.clock.Now().Add(delay)
}

func (f *fleet) presence(incarnation string, _ time.Time) membership.Presence {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, ok := f.gone[incarnation]; ok && !f.clock.Now().Before(at) {
		return membership.PresenceGone
	}
	return membership.PresenceListed
}

// others returns the guards of the instances that m reaches.
func (m *member) others() []*quarantine.Guard {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	var others []*quarantine.Guard
	for _, other := range m.fleet.guards {
		if other != m && !other.isCut && !m.isCut {
			others = append(others, other.Guard)
		}
	}
	return others
}

// PublishReports implements quarantine.Peers.
func (m *member) PublishReports(_ context.Context, reports []quarantine.Report) (received, instances int) {
	others := m.others()
	for _, other := range others {
		other.Receive(reports)
	}
	time.Sleep(m.stall)
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.published += len(reports)
	return len(others), len(m.fleet.guards) - 1
}

// FetchReports implements quarantine.Peers.
func (m *member) FetchReports(context.Context) []quarantine.Report {
	m.fleet.mu.Lock()
	m.fetches++
	m.fleet.mu.Unlock()
	var reports []quarantine.Report
	for _, other := range m.others() {
		reports = append(reports, other.Reports(100)...)
	}
	return reports
}

// KnownFor implements quarantine.Peers.
func (m *member) KnownFor() time.Duration { return m.knownFor }

// crash sends a request to an endpoint that crashes under it. It returns false if the
// request is refused.
func (m *member) crash(key quarantine.Key, incarnation string) bool {
	ctx := context.Background()
	if m.Check(ctx, key, false) != nil {
		return false
	}
	m.Crashed(ctx, m.Begin(ctx, key, false, incarnation), "Refused")
	return true
}

// shortest returns the shortest duration of n calls of f.
func shortest(n int, f func(n int)) time.Duration {
	shortest := time.Hour
	for i := range n {
		began := time.Now()
		f(i)
		shortest = min(shortest, time.Since(began))
	}
	return shortest
}

// Guards against a caller that learns of a crash before the store has it, and against one that waits for a store that does not respond.
func TestCrashIsKeptBeforeTheCallerLearnsOfIt(t *testing.T) {
	f := newFleet(2)
	guard := f.guards[0]
	guard.UseStore()
	guard.crash(keyOf(1), "e0")
	assert.Less(t, shortest(20, func(n int) { guard.crash(keyOf(100+n), fmt.Sprint("x", n)) }), 60*time.Millisecond, "a first crash does not wait for the store")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-guard.Changed()
		end := guard.StartKeeping()
		for len(guard.Crashes(100)) < 22 { // the notification may be that of the first crash
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Millisecond)
		f.mu.Lock()
		f.table = guard.Crashes(100)
		f.mu.Unlock()
		end()
	}()
	guard.crash(keyOf(1), "e1")
	f.mu.Lock()
	assert.Len(t, f.table, 22)
	f.mu.Unlock()
	<-ended
	began := time.Now()
	guard.crash(keyOf(1), "e2")
	assert.Less(t, time.Since(began), time.Second, "nobody keeps it")
}

// Guards against a request that is sent before an instance that has just started has read the store, and against one that waits for it for ever.
func TestLoadingEnds(t *testing.T) {
	f := newFleet(2)
	assert.True(t, f.guards[0].IsLoading())
	f.guards[0].Load(nil)
	assert.False(t, f.guards[0].IsLoading())
	f.clock.Advance(time.Second)
	assert.False(t, f.guards[1].IsLoading(), "the store does not respond")
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a count that holds at one instance only.
func TestCrashesCountAtAllInstances(t *testing.T) {
	f := newFleet(5)
	for n := range 8 {
		assert.Equal(t, n < quarantine.MaxCrashes, f.guards[n%5].crash(keyOf(1), fmt.Sprint("e", n)), "attempt %d", n)
	}
	err := f.guards[4].Check(context.Background(), keyOf(1), false)
	var crashedErr *quarantine.CrashedError
	require.ErrorAs(t, err, &crashedErr)
	assert.Equal(t, quarantine.Lifetime, crashedErr.RetryAfter())
	assert.NoError(t, f.guards[4].Check(context.Background(), keyOf(2), false))
}

// Guards against an endpoint that crashes while its instance is killed, and that nobody counts.
func TestSendOfSuspectCountsBeforeItsOutcome(t *testing.T) {
	f := newFleet(3)
	ctx := context.Background()
	require.True(t, f.guards[0].crash(keyOf(1), "e0"))
	require.True(t, f.guards[1].crash(keyOf(1), "e1"))
	f.guards[0].Begin(ctx, keyOf(1), false, "e2") // its instance dies before it reports
	var unresolvedErr *quarantine.UnresolvedError
	require.ErrorAs(t, f.guards[2].Check(ctx, keyOf(1), false), &unresolvedErr)
	assert.Positive(t, unresolvedErr.RetryAfter())
	f.guards[2].Tick(ctx)
	f.lapse("e2", time.Second)
	f.clock.Advance(6 * time.Second)
	var crashedErr *quarantine.CrashedError
	f.guards[2].Tick(ctx)
	assert.ErrorAs(t, f.guards[2].Check(ctx, keyOf(1), false), &crashedErr)
}

// Guards against endpoints that fall silent and are not counted until their entries lapse.
func TestSilentEndpointsCountOnceTheyLeaveTheList(t *testing.T) {
	f := newFleet(3)
	ctx := context.Background()
	for n := range 2 {
		m := f.guards[n]
		require.NoError(t, m.Check(ctx, keyOf(1), false))
		m.Unresolved(ctx, m.Begin(ctx, keyOf(1), false, fmt.Sprint("e", n)), f.clock.Now(), false)
		f.lapse(fmt.Sprint("e", n), 0)
		m.Tick(ctx)
	}
	assert.Equal(t, 2, f.guards[2].Assess(keyOf(1), false).Crashed)
	require.NoError(t, f.guards[2].Check(ctx, keyOf(1), false))
	f.guards[2].Unresolved(ctx, f.guards[2].Begin(ctx, keyOf(1), false, "e2"), f.clock.Now(), false)
	var unresolvedErr *quarantine.UnresolvedError
	assert.ErrorAs(t, f.guards[0].Check(ctx, keyOf(1), false), &unresolvedErr, "its entry has not lapsed yet")
}

// Guards against a request refused for a moment at a time although its endpoints have left the
// list, and the list is looked at only now and then.
func TestRequestIsCheckedAgainstTheList(t *testing.T) {
	f := newFleet(1)
	ctx := context.Background()
	for n := range quarantine.MaxCrashes {
		incarnation := fmt.Sprint("e", n)
		f.guards[0].Unresolved(ctx, f.guards[0].Begin(ctx, keyOf(1), false, incarnation), f.clock.Now(), false)
		f.lapse(incarnation, 0)
	}
	var crashedErr *quarantine.CrashedError
	assert.ErrorAs(t, f.guards[0].Check(ctx, keyOf(1), false), &crashedErr)
}

// Guards against an endpoint that was cleared, has ended since, and is not counted since the
// request was sent to it again and did not reach it.
func TestSendToClearedEndpointIsRepeated(t *testing.T) {
	f := newFleet(1)
	ctx := context.Background()
	guard := f.guards[0]
	guard.Unresolved(ctx, guard.Begin(ctx, keyOf(1), false, "e1"), f.clock.Now(), false)
	f.clock.Advance(quarantine.SettleTime)
	guard.Responded("e1", f.clock.Now())
	assert.True(t, guard.Begin(ctx, keyOf(1), false, "e1").IsRepeated())
	assert.False(t, guard.Begin(ctx, keyOf(1), false, "e2").IsRepeated())
}

// Guards against messages about requests that only wait for slow endpoints.
func TestSlowEndpointsCauseNoMessages(t *testing.T) {
	f := newFleet(3)
	ctx := context.Background()
	for n := range 100 {
		m := f.guards[0]
		m.Unresolved(ctx, m.Begin(ctx, keyOf(n), false, "e1"), f.clock.Now(), false)
	}
	assert.Zero(t, f.guards[0].published)
	f.clock.Advance(quarantine.SettleTime)
	f.guards[0].Responded("e1", f.clock.Now())
	f.clock.Advance(5 * time.Second)
	f.guards[0].Tick(ctx)
	assert.Zero(t, f.guards[0].published)
	assert.False(t, f.guards[0].Any())
}

// Guards against an instance that has just started, or was suspended, and does not know what the others were told meanwhile.
func TestInstanceThatIsBehindAsksTheOthers(t *testing.T) {
	for name, isSuspended := range map[string]bool{"started": false, "suspended": true, "suspended at its start": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3)
			ctx := context.Background()
			behind := f.guards[2]
			if name != "suspended at its start" {
				behind.Tick(ctx)
			}
			behind.isCut = true
			for n := range quarantine.MaxCrashes {
				require.True(t, f.guards[n%2].crash(keyOf(1), fmt.Sprint("e", n)))
			}
			behind.isCut = false
			if isSuspended {
				f.clock.Advance(2 * time.Second)
			} else {
				behind.knownFor = 100 * time.Millisecond
			}
			assert.Error(t, behind.Check(ctx, keyOf(1), false))
			behind.knownFor = time.Hour
			f.clock.Advance(100 * time.Millisecond)
			if !isSuspended {
				fetches := behind.fetches
				require.Error(t, behind.Check(ctx, keyOf(1), false))
				assert.Equal(t, fetches, behind.fetches, "the others know of the instance")
			}
		})
	}
}

// Guards against a request that is refused although it is served by another endpoint.
func TestServedRequestIsNotRefused(t *testing.T) {
	f := newFleet(3)
	ctx := context.Background()
	for n := range 5 {
		require.True(t, f.guards[0].crash(keyOf(1), fmt.Sprint("a", n)))
		require.True(t, f.guards[1].crash(keyOf(1), fmt.Sprint("b", n)))
		f.clock.Advance(time.Second)
		f.guards[2].Served(ctx, f.guards[2].Begin(ctx, keyOf(1), false, "good"))
		require.Eventually(t, func() bool { return f.guards[0].Assess(keyOf(1), false).Crashed == 0 }, time.Second, time.Millisecond)
		f.clock.Advance(time.Second)
	}
}

// Guards against more than three endpoints that crash under one request in any order of attempts, kills, cuts and starts, and against other requests that are refused meanwhile.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(200) {
		f := newFleet(4)
		rng := rand.New(rand.NewPCG(seed, 1))
		ctx := context.Background()
		crashed, unseen := 0, 0
		for n := range 40 {
			f.keep()
			f.clock.Advance(time.Duration(rng.IntN(400)) * time.Millisecond)
			m := f.guards[rng.IntN(len(f.guards))]
			for _, other := range f.guards {
				other.Tick(ctx)
			}
			f.keep()
			incarnation := fmt.Sprintf("e%d", n)
			switch rng.IntN(6) {
			case 0: // the instance is killed while the endpoint crashes
				if m.Check(ctx, keyOf(1), false) == nil {
					crashed++
					if m.Assess(keyOf(1), false) == (quarantine.Assessment{}) {
						unseen++
					}
					m.Begin(ctx, keyOf(1), false, incarnation)
					f.lapse(incarnation, 1500*time.Millisecond)
				}
				f.restart(m)
			case 1: // a bystander whose endpoint is killed for another reason
				assert.True(t, m.crash(keyOf(1000+n), incarnation), "seed %d", seed)
			case 2: // a connection is reset, and the endpoint lives on
				if m.Check(ctx, keyOf(1), false) == nil {
					m.Survived(ctx, m.Begin(ctx, keyOf(1), false, incarnation), quarantine.EvidenceNotDelivered, f.clock.Now())
				}
			default:
				if m.crash(keyOf(1), incarnation) {
					crashed++
				}
			}
		}
		require.LessOrEqual(t, crashed, quarantine.MaxCrashes+unseen, "seed %d", seed)
	}
}

// restart replaces the guard of an instance by that of one that has just started and has
// read the table.
func (f *fleet) restart(m *member) {
	guard := quarantine.NewGuard(quarantine.NewRecords(f.clock), m, f.presence, f.clock, slog.New(slog.DiscardHandler), tally.NoopScope)
	guard.Load(f.table)
	f.mu.Lock()
	defer f.mu.Unlock()
	m.Guard, m.knownFor = guard, 0
}

// keep adds what the instances know of crashes to the table.
func (f *fleet) keep() {
	kept := map[string]bool{}
	for _, report := range f.table {
		kept[report.Key.String()+report.Incarnation] = true
	}
	for _, m := range f.guards {
		for _, report := range m.Crashes(100) {
			if name := report.Key.String() + report.Incarnation; !kept[name] {
				kept[name] = true
				f.table = append(f.table, report)
			}
		}
	}
}

// Guards against crashes that other instances learn of too late since one of them does not
// respond, and publications wait for it.
func TestUnresponsiveInstanceDelaysNoReports(t *testing.T) {
	f := newFleet(3)
	first, other := f.guards[0], f.guards[1]
	first.stall = 400 * time.Millisecond
	var requests sync.WaitGroup
	for n := range 20 {
		requests.Go(func() {
			time.Sleep(time.Duration(n) * 5 * time.Millisecond)
			first.crash(keyOf(n), fmt.Sprint("e", n))
			assert.Equal(t, 1, other.Assess(keyOf(n), false).Crashed, "request %d", n)
		})
	}
	requests.Wait()
}
