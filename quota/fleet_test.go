package quota_test

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/quota"
)

var seeds = flag.Int("quota.seeds", 12, "number of seeds for the simulated fleets")

var errUnreachable = errors.New("no response")

var tolerance = quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// fleet is a set of instances in simulated time that share the quotas of
// organisations.
type fleet struct {
	t         *testing.T
	random    *rand.Rand
	clock     *clock.Fake
	instances []*member
	limits    map[string]quota.Limit
	changes   map[string][]change
	sent      map[string][]time.Time
	rejected  int
	// hostResponds is set if the machine of a crashed instance still responds,
	// and reports that its process does not run.
	hostResponds bool
	// isReliable is set if no instance is suspended or partitioned, and no
	// response is lost.
	isReliable bool
	// excludesUnreachable is set if an unreachable instance is left out of the
	// candidates for a second, as after failures of calls other than those for
	// quotas. An instance reported as not running is always left out.
	excludesUnreachable bool
	// blocked holds the pairs of instances of which the first can't reach the
	// second, responseLost those of which the first does not receive the
	// second's responses to credit requests. requests counts credit requests by
	// pair.
	blocked, responseLost map[[2]string]bool
	requests              map[[2]string]int
	// mu guards the state shared by concurrent calls of one instance.
	mu     sync.Mutex
	events []string
}

// change is a limit and the time from which it applies.
type change struct {
	at    time.Time
	limit quota.Limit
}

// member is one instance: an address with successive incarnations.
type member struct {
	fleet   *fleet
	name    string
	limiter *quota.Limiter
	// crashed, suspended and partitioned are states of the instance. An
	// instance that is stopping still responds; one that departed has stopped
	// as planned and removed its entry.
	crashed, suspended, partitioned, stopping, departed bool
	// unlisted is set while the membership has no entry of the instance.
	unlisted bool
	// members is the membership as this instance has recorded it, news the
	// updates that it has yet to receive.
	members           map[string]bool
	joined            map[string]time.Time
	membershipChanged time.Time
	// unreachableUntil holds, for unresponsive instances, the time until which
	// they are left out of the candidates.
	unreachableUntil map[string]time.Time
	news             []news
}

// news is one update of the membership, and the time at which it is received.
type news struct {
	at     time.Time
	name   string
	joined bool
}

func newFleet(t *testing.T, seed uint64, size int) *fleet {
	f := &fleet{t: t, hostResponds: seed%2 == 1, random: rand.New(rand.NewPCG(seed, 7)), clock: clock.NewFake(time.Unix(1_000_000, 0)),
		limits: map[string]quota.Limit{}, changes: map[string][]change{}, sent: map[string][]time.Time{}, blocked: map[[2]string]bool{}, responseLost: map[[2]string]bool{}, requests: map[[2]string]int{}}
	for i := range size {
		f.instances = append(f.instances, &member{fleet: f, name: fmt.Sprint("i", i)})
	}
	for _, m := range f.instances {
		m.start()
	}
	return f
}

// record adds an event to the log that is printed when a check fails.
func (f *fleet) record(format string, args ...any) {
	f.events = append(f.events, f.clock.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// limit sets the limit of an organisation in a new version.
func (f *fleet) limit(organisation string, rate, burst float64) {
	limit := quota.Limit{Rate: rate, Burst: burst, Version: f.limits[organisation].Version + 1}
	f.limits[organisation] = limit
	f.changes[organisation] = append(f.changes[organisation], change{at: f.clock.Now(), limit: limit})
	f.record("limit of %s: %v", organisation, limit)
}

// start begins a new incarnation of the instance: it reads the membership and
// adds its entry.
func (m *member) start() {
	m.crashed, m.suspended, m.stopping, m.departed = false, false, false, false
	m.joined, m.unreachableUntil = map[string]time.Time{}, map[string]time.Time{}
	m.members, m.news, m.membershipChanged = map[string]bool{}, nil, m.fleet.clock.Now()
	for _, other := range m.fleet.instances {
		if other.limiter != nil && !other.departed {
			m.members[other.name] = true
		}
	}
	m.members[m.name] = true
	m.limiter = quota.NewLimiter(m, tolerance, m.fleet.clock, slog.New(slog.DiscardHandler), tally.NoopScope)
	m.limiter.WaitFor(time.Hour)
	m.fleet.announce(m, true)
}

// announce notifies all other instances within half a second that m joined or
// left.
func (f *fleet) announce(m *member, joined bool) {
	for _, other := range f.instances {
		if other != m && other.limiter != nil {
			at := f.clock.Now().Add(time.Duration(f.random.IntN(500)) * time.Millisecond)
			if n := len(other.news); n > 0 && other.news[n-1].at.After(at) {
				at = other.news[n-1].at // updates arrive in order
			}
			other.news = append(other.news, news{at: at, name: m.name, joined: joined})
		}
	}
}

// applyNews applies the updates that are due.
func (m *member) applyNews() {
	now := m.fleet.clock.Now()
	m.news = slices.DeleteFunc(m.news, func(n news) bool {
		if n.at.After(now) || m.partitioned {
			return false
		}
		if n.name == m.name {
			m.unlisted = !n.joined
		} else if n.joined {
			m.members[n.name] = true
			m.joined[n.name] = now
			delete(m.unreachableUntil, n.name)
		} else {
			delete(m.members, n.name)
		}
		m.membershipChanged = now
		return true
	})
}

// reaches reports whether a call from m to other succeeds.
func (m *member) reaches(other *member) bool {
	return !other.crashed && !other.suspended && !other.departed && !other.partitioned && !m.partitioned && !m.crashed && !m.suspended
}

// Homes implements quota.Peers.
func (m *member) Homes(organisation string, all bool) []string {
	m.applyNews()
	var names []string
	for name := range m.members {
		if (all || !m.fleet.clock.Now().Before(m.unreachableUntil[name])) && (name != m.name || m.Listed()) {
			names = append(names, name)
		}
	}
	score := func(name string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name + organisation + name))
		return h.Sum64() * 0x9e3779b97f4a7c15
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(score(a), score(b)) })
	return names[:min(len(names), 3)]
}

// Self implements quota.Peers.
func (m *member) Self() string { return m.name }

// Listed implements quota.Peers.
func (m *member) Listed() bool { return !m.unlisted }

// JoinedAt implements quota.Peers.
func (m *member) JoinedAt(name string) time.Time { return m.joined[name] }

// StableFor implements quota.Peers.
func (m *member) StableFor() time.Duration { return m.fleet.clock.Now().Sub(m.membershipChanged) }

// peer returns the instance with the name, or the error of a call to it.
func (m *member) peer(name string) (*member, error) {
	if m.fleet.blocked[[2]string{m.name, name}] {
		return nil, errUnreachable
	}
	for _, other := range m.fleet.instances {
		if other.name == name && m.reaches(other) {
			other.applyNews()
			return other, nil
		}
	}
	for _, other := range m.fleet.instances {
		if other.name == name && (other.crashed || other.departed) && !other.partitioned && !m.partitioned && m.fleet.hostResponds {
			return nil, quota.ErrNotRunning
		}
	}
	return nil, errUnreachable
}

// RequestCredit implements quota.Peers.
func (m *member) RequestCredit(ctx context.Context, name string, request quota.HomeRequest) (quota.CreditResponse, error) {
	other, err := m.peer(name)
	if err != nil {
		if m.fleet.excludesUnreachable || errors.Is(err, quota.ErrNotRunning) {
			m.unreachableUntil[name] = m.fleet.clock.Now().Add(time.Second)
		}
		return quota.CreditResponse{}, err
	}
	delete(m.unreachableUntil, name)
	m.fleet.requests[[2]string{m.name, name}]++
	response, err := other.limiter.CreditResponse(ctx, request)
	if m.fleet.responseLost[[2]string{m.name, name}] || !m.fleet.isReliable && m.fleet.random.IntN(200) == 0 {
		return quota.CreditResponse{}, errUnreachable // the response is lost
	}
	return response, err
}

// TransferBuckets implements quota.Peers.
func (m *member) TransferBuckets(_ context.Context, name string, transfer quota.Transfer) (quota.Transfer, error) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	other, err := m.peer(name)
	if err != nil {
		return quota.Transfer{}, err
	}
	other.members[m.name] = true // the sender names itself
	response, err := other.limiter.Transfer(transfer)
	if err != nil {
		return quota.Transfer{}, err
	}
	if !m.fleet.isReliable && len(transfer.Wanted) > 0 && m.fleet.random.IntN(200) == 0 {
		return quota.Transfer{}, errUnreachable // the response is lost
	}
	return response, nil
}

// heartbeat updates all running instances to the current time.
func (f *fleet) heartbeat() {
	for _, m := range f.instances {
		if !m.crashed && !m.suspended && !m.departed {
			m.applyNews()
			m.limiter.Heartbeat()
			m.limiter.Probe(context.Background())
		}
	}
}

// request sends a caller request of an organisation to an instance.
func (f *fleet) request(organisation string, m *member) {
	if m.crashed || m.suspended || m.departed || m.stopping {
		return
	}
	m.applyNews()
	request := quota.Request{Program: uint64(f.random.IntN(8)), New: f.random.IntN(4) == 0, MaxWait: time.Duration(f.random.IntN(400)) * time.Millisecond}
	wait, err := m.limiter.Take(context.Background(), organisation, f.limits[organisation], request)
	if err != nil {
		f.rejected++
		return
	}
	if f.random.IntN(20) == 0 {
		m.limiter.Return(organisation) // rejected by its endpoint
		return
	}
	f.sent[organisation] = append(f.sent[organisation], f.clock.Now().Add(wait))
}

// check verifies the quota in every window. A lowered limit applies to windows
// that begin after the change.
func (f *fleet) check(organisation string) {
	sent := f.sent[organisation]
	slices.SortFunc(sent, func(a, b time.Time) int { return a.Compare(b) })
	first := 0
	worst := excess{}
	for i, at := range sent {
		for !sent[first].After(at.Add(-tolerance.Window)) {
			first++
		}
		allowed := 0.0
		for n, c := range f.changes[organisation] {
			until := at.Add(time.Hour)
			if n+1 < len(f.changes[organisation]) {
				until = f.changes[organisation][n+1].at
			}
			if c.at.After(at) || until.Before(sent[first].Add(-time.Second)) {
				continue
			}
			share := 1.0
			if f.isReliable {
				share = quota.ToleranceShare
			}
			allowed = max(allowed, (c.limit.Rate*tolerance.Window.Seconds()+c.limit.Burst)*(1+share*tolerance.Overage)+share*tolerance.Slack)
		}
		if over := float64(i-first+1) - allowed; over > worst.over {
			worst = excess{over: over, from: sent[first], to: at, allowed: allowed}
		}
	}
	if worst.over > 0 {
		for _, event := range f.events {
			f.t.Log(event)
		}
	}
	require.LessOrEqual(f.t, worst.over, 0.0, "requests of %s above the allowed %.1f from %s to %s", organisation, worst.allowed, worst.from.Format("05.000"), worst.to.Format("05.000"))
}

// excess is a window with more requests than allowed, and their number above
// the limit.
type excess struct {
	over, allowed float64
	from, to      time.Time
}

// injectFault makes an instance fail or stop, or ends its fault.
func (f *fleet) injectFault(m *member) {
	kind := f.random.IntN(7)
	if f.isReliable && (kind == 1 || kind == 2) {
		return
	}
	switch kind {
	case 0:
		f.record("%s crashes", m.name)
		m.crashed = true
	case 1:
		f.record("%s is suspended", m.name)
		m.suspended = !m.crashed && !m.departed
	case 2:
		f.record("%s is partitioned", m.name)
		m.partitioned = true
	case 3, 4:
		if m.crashed || m.suspended || m.departed || m.stopping {
			return
		}
		f.record("%s starts to stop", m.name)
		m.limiter.Stop(context.Background())
		m.stopping = true
	default:
		f.endFault(m)
	}
}

// endFault ends the fault of an instance.
func (f *fleet) endFault(m *member) {
	switch {
	case m.stopping && !m.departed && !m.crashed && !m.suspended:
		f.record("%s has stopped and leaves", m.name)
		m.departed = true
		f.announce(m, false)
	case m.crashed || m.departed:
		f.record("%s starts", m.name)
		m.start()
	case m.suspended:
		f.record("%s resumes after suspension", m.name)
		m.suspended = false
	case m.partitioned:
		f.record("%s is reachable again", m.name)
		m.partitioned = false
	}
}

// Guards against more requests of an organisation in any window than its quota
// and the tolerance. Instances crash, are suspended or partitioned, stop and
// join; responses are lost; all instances lose power at once; limits are raised
// and lowered. Callers request much more than the quota, in bursts.
func TestNoWindowExceedsQuotaAndTolerance(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newFleet(t, uint64(seed), 4+seed%9).simulate() })
	}
}

// Guards against faults hidden by the share of the tolerance that covers the
// time in which two instances act as the home. While all running instances are
// reachable there is a single home, and no window may exceed what its bucket
// grants.
func TestNoWindowExceedsOneBucketWithoutPartitions(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, uint64(seed), 4+seed%9)
			f.isReliable = true
			f.simulate()
		})
	}
}

// Guards against more requests than the quota and the tolerance while entries of running instances vanish from the membership,
// and come back, which each instance learns at its own time.
func TestNoWindowExceedsQuotaWhileEntriesVanish(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, uint64(seed), 3+seed%9)
			f.limit("x", 20, 20)
			listed := map[*member]bool{}
			for _, m := range f.instances {
				listed[m] = true
			}
			for range 900 {
				f.clock.Advance(time.Duration(5+f.random.IntN(45)) * time.Millisecond)
				f.heartbeat()
				for range 4 {
					f.request("x", f.instances[f.random.IntN(len(f.instances))])
				}
				if f.random.IntN(15) > 0 {
					continue
				}
				m := f.instances[f.random.IntN(len(f.instances))]
				listed[m] = !listed[m]
				f.record("entry of %s is there: %t", m.name, listed[m])
				f.announce(m, listed[m])
				m.news = append(m.news, news{at: f.clock.Now().Add(time.Duration(f.random.IntN(500)) * time.Millisecond), name: m.name, joined: listed[m]})
			}
			f.check("x")
			require.Greater(t, len(f.sent["x"]), 100)
		})
	}
}

// simulate sends bursts of requests far above the quotas while it injects
// faults, and checks every window.
func (f *fleet) simulate() {
	f.excludesUnreachable = true
	organisations := []string{"small", "middle", "large"}
	for i, organisation := range organisations {
		rate := []float64{5, 20, 200}[i]
		f.limit(organisation, rate, rate)
	}
	for range 600 {
		f.clock.Advance(time.Duration(5+f.random.IntN(95)) * time.Millisecond)
		f.heartbeat()
		for _, organisation := range organisations {
			wanted := 0.05 * f.limits[organisation].Rate * []float64{0.3, 1, 4, 9}[f.random.IntN(4)]
			for range int(wanted + f.random.Float64()) {
				f.request(organisation, f.instances[f.random.IntN(len(f.instances))])
			}
		}
		m := f.instances[f.random.IntN(len(f.instances))]
		switch n := f.random.IntN(1000); {
		case n < 40:
			f.injectFault(m)
		case n < 120:
			f.endFault(m)
		case n == 120:
			f.losePower()
		case n < 124:
			organisation := organisations[f.random.IntN(3)]
			rate := float64(2 + f.random.IntN(200))
			f.limit(organisation, rate, rate*float64(f.random.IntN(3)))
		}
	}
	for _, organisation := range organisations {
		f.check(organisation)
	}
	require.NotEmpty(f.t, f.sent["large"])
	require.NotZero(f.t, f.rejected)
}

// losePower crashes all instances, and restarts them soon after.
func (f *fleet) losePower() {
	f.record("power loss of all instances")
	for _, m := range f.instances {
		m.crashed = true
	}
	f.clock.Advance(time.Duration(f.random.IntN(1500)) * time.Millisecond)
	for _, m := range f.instances {
		m.start()
	}
}
