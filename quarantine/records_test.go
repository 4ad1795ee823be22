package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

// keyOf returns the key of the request with a number.
func keyOf(n int) quarantine.Key {
	var key quarantine.Key
	binary.BigEndian.PutUint64(key[:], uint64(n)+1)
	return key
}

// fixture holds records with a clock of their own.
type fixture struct {
	*quarantine.Records
	clock *clock.Fake
	// attempts counts the attempts reported.
	attempts uint64
}

func newFixture() *fixture {
	clk := clock.NewFake(start)
	return &fixture{Records: quarantine.NewRecords(clk), clock: clk}
}

// add reports a state of an endpoint to which the request was sent a moment ago.
func (f *fixture) add(key quarantine.Key, incarnation string, state quarantine.State) {
	f.attempts++
	now := f.clock.Now()
	f.Add(quarantine.Report{Key: key, Attempt: f.attempts, Incarnation: incarnation, State: state, SentAt: now.Add(-10 * time.Millisecond), At: now}, quarantine.SourceOwn)
}

// counts returns the numbers of endpoints that crashed and may have.
func (f *fixture) counts(key quarantine.Key) [2]int {
	assessment := f.Assess(key, false)
	return [2]int{assessment.Crashed, assessment.Unresolved}
}

// presence returns a function that reports the same presence for every incarnation.
func presence(p membership.Presence) quarantine.PresenceFunc {
	return func(string, time.Time) membership.Presence { return p }
}

// Guards against an endpoint that counts twice, under several requests in one count, or not at all.
func TestEndpointsAreCountedByRequest(t *testing.T) {
	f := newFixture()
	f.add(keyOf(1), "e1", quarantine.StateCrashed)
	f.add(keyOf(1), "e1", quarantine.StateCrashed)
	f.add(keyOf(1), "e2", quarantine.StateCrashed)
	f.add(keyOf(1), "e3", quarantine.StateTrying)
	f.add(keyOf(1), "e4", quarantine.StateUnresolved)
	f.add(keyOf(1), "e5", quarantine.StateSurvived)
	f.add(keyOf(2), "e2", quarantine.StateCrashed)
	assert.Equal(t, [2]int{2, 2}, f.counts(keyOf(1)))
	assert.Equal(t, [2]int{1, 0}, f.counts(keyOf(2)))
	assert.Equal(t, [2]int{0, 0}, f.counts(keyOf(3)))
}

// Guards against reports that arrive in another order and undo later ones.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	f := newFixture()
	now := f.clock.Now()
	report := func(state quarantine.State) quarantine.Report {
		return quarantine.Report{Key: keyOf(1), Attempt: 7, Incarnation: "e1", State: state, SentAt: now, At: now}
	}
	f.Add(report(quarantine.StateCrashed), quarantine.SourcePeer)
	f.Add(report(quarantine.StateTrying), quarantine.SourcePeer)
	f.Add(report(quarantine.StateUnresolved), quarantine.SourcePeer)
	f.Add(report(quarantine.StateSurvived), quarantine.SourcePeer)
	assert.Equal(t, [2]int{1, 0}, f.counts(keyOf(1)))
	f.add(keyOf(1), "e2", quarantine.StateCrashed)
	f.Add(quarantine.Report{Key: keyOf(1), Attempt: 8, Incarnation: "e3", State: quarantine.StateSurvived, SentAt: now, At: now}, quarantine.SourcePeer)
	f.Add(quarantine.Report{Key: keyOf(1), Attempt: 8, Incarnation: "e3", State: quarantine.StateTrying, SentAt: now, At: now}, quarantine.SourcePeer)
	assert.Equal(t, [2]int{2, 0}, f.counts(keyOf(1)), "an announcement that is overtaken by the result")
}

// Guards against crashes that count against a request that was served meanwhile, also if they are reported again.
func TestServedRequestIsCleared(t *testing.T) {
	f := newFixture()
	f.add(keyOf(1), "e1", quarantine.StateCrashed)
	old := f.Crashes(10)
	f.clock.Advance(time.Second)
	f.add(keyOf(1), "e2", quarantine.StateServed)
	assert.Equal(t, [2]int{0, 0}, f.counts(keyOf(1)))
	for _, report := range old {
		f.Add(report, quarantine.SourcePeer)
	}
	assert.Equal(t, [2]int{0, 0}, f.counts(keyOf(1)))
	f.clock.Advance(time.Second)
	f.add(keyOf(1), "e3", quarantine.StateCrashed)
	assert.Equal(t, [2]int{1, 0}, f.counts(keyOf(1)), "a crash after that counts")
}

// Guards against a request that counts as under way when its endpoint had crashed before it was sent.
func TestRequestSentAfterCrashIsNotCounted(t *testing.T) {
	f := newFixture()
	f.add(keyOf(1), "e1", quarantine.StateCrashed)
	f.clock.Advance(20 * time.Millisecond)
	f.add(keyOf(2), "e1", quarantine.StateCrashed)
	assert.Equal(t, [2]int{1, 0}, f.counts(keyOf(2)), "reports of one crash arrive at different times")
	f.clock.Advance(time.Second)
	f.add(keyOf(3), "e1", quarantine.StateCrashed)
	assert.Equal(t, [2]int{0, 0}, f.counts(keyOf(3)))
}

// Guards against an endpoint that is taken for one that had ended before a request was sent,
// since the clock of the machine that wrote a row of the store is late.
func TestClocksOfOtherMachinesDateNoCrash(t *testing.T) {
	f := newFixture()
	f.clock.Advance(time.Minute)
	written := f.clock.Now().Add(-2 * time.Second)
	f.Add(quarantine.Report{Key: keyOf(1), Attempt: 99, Incarnation: "e1", State: quarantine.StateCrashed, SentAt: written.Add(-time.Second), At: written}, quarantine.SourceStore)
	now := f.clock.Now()
	f.Add(quarantine.Report{Key: keyOf(2), Attempt: 1, Incarnation: "e1", State: quarantine.StateCrashed, SentAt: now.Add(-time.Second), At: now}, quarantine.SourceOwn)
	assert.Equal(t, [2]int{1, 0}, f.counts(keyOf(2)))
}

// Guards against requests that belong to no program, which many callers send in the same words, and that are refused because their endpoints end at the same time.
func TestSharedRequestsCountOneAfterTheOther(t *testing.T) {
	f := newFixture()
	for n := range 4 {
		f.add(keyOf(1), fmt.Sprint("rack", n), quarantine.StateCrashed)
	}
	assert.Equal(t, 4, f.Assess(keyOf(1), false).Crashed)
	assert.Equal(t, 1, f.Assess(keyOf(1), true).Crashed)
	for n := range 2 {
		f.clock.Advance(100 * time.Millisecond)
		f.add(keyOf(1), fmt.Sprint("e", n), quarantine.StateCrashed)
	}
	assert.Equal(t, 3, f.Assess(keyOf(1), true).Crashed, "attempts of one caller follow each other")
}

// Guards against a request of no program that ends more endpoints than allowed since each is
// seen to have ended only after the next attempt began.
func TestSharedRequestsCountByTheEndOfTheExchange(t *testing.T) {
	f := newFixture()
	var reports []quarantine.Report
	for n := range 3 {
		sentAt := f.clock.Now()
		f.clock.Advance(100 * time.Millisecond)
		report := quarantine.Report{Key: keyOf(1), Attempt: uint64(n), Incarnation: fmt.Sprint("e", n), State: quarantine.StateUnresolved, SentAt: sentAt, At: f.clock.Now()}
		f.Add(report, quarantine.SourceOwn)
		reports = append(reports, report)
	}
	f.clock.Advance(3 * time.Second)
	for _, report := range reports {
		report.State, report.At = quarantine.StateCrashed, f.clock.Now()
		f.Add(report, quarantine.SourceOwn)
	}
	assert.Equal(t, 3, f.Assess(keyOf(1), true).Crashed)
}

// Guards against endpoints that are taken for crashed, or for alive, without an observation that tells so.
func TestUnresolvedEndpointsAreResolvedByWhatIsObserved(t *testing.T) {
	for name, test := range map[string]struct {
		observe func(f *fixture)
		want    [2]int
		reports int
	}{
		"listed":        {observe: func(f *fixture) { f.Resolve(presence(membership.PresenceListed)) }, want: [2]int{0, 1}},
		"left the list": {observe: func(f *fixture) {}, want: [2]int{1, 0}, reports: 1},
		"drained, left": {observe: func(f *fixture) { f.Resolve(presence(membership.PresenceLeaving)) }, want: [2]int{1, 0}, reports: 1},
		"responded": {observe: func(f *fixture) {
			f.clock.Advance(quarantine.SettleTime)
			f.Responded("e1", f.clock.Now())
			f.clock.Advance(5 * time.Second)
		}, want: [2]int{0, 0}},
		"responded, left at once": {observe: func(f *fixture) {
			f.clock.Advance(quarantine.SettleTime)
			f.Responded("e1", f.clock.Now())
		}, want: [2]int{1, 0}, reports: 1},
		"responded, left soon after": {observe: func(f *fixture) {
			f.clock.Advance(quarantine.SettleTime)
			f.Responded("e1", f.clock.Now())
			f.clock.Advance(time.Second)
		}, want: [2]int{1, 0}, reports: 1},
		"responded at once": {observe: func(f *fixture) {
			f.clock.Advance(quarantine.SettleTime - 1)
			f.Responded("e1", f.clock.Now())
		}, want: [2]int{1, 0}, reports: 1},
		"responded to an earlier request": {observe: func(f *fixture) {
			f.clock.Advance(quarantine.SettleTime)
			f.Responded("e1", f.clock.Now().Add(-1))
		}, want: [2]int{1, 0}, reports: 1},
		"other responds": {observe: func(f *fixture) { f.Responded("e2", f.clock.Now()) }, want: [2]int{1, 0}, reports: 1},
		"listed for long": {observe: func(f *fixture) {
			f.clock.Advance(6 * time.Second)
			f.Resolve(presence(membership.PresenceListed))
		}, want: [2]int{1, 0}, reports: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.add(keyOf(1), "e1", quarantine.StateUnresolved)
			test.observe(f)
			if name != "listed" {
				assert.Len(t, f.Resolve(presence(membership.PresenceGone)), test.reports)
			}
			assert.Equal(t, test.want, f.counts(keyOf(1)))
		})
	}
}

// Guards against an endpoint that has crashed and counts as alive because another one took its address, and against endpoints that live and count as crashed.
func TestEndpointThatAcceptsConnectionsCountsOnceItsEntryLapses(t *testing.T) {
	for name, test := range map[string]struct {
		observe func(f *fixture)
		want    int
	}{
		"its entry lapses": {func(*fixture) {}, 1},
		"it responds": {func(f *fixture) {
			f.clock.Advance(quarantine.SettleTime)
			f.Responded("e1", f.clock.Now())
			f.clock.Advance(5 * time.Second)
		}, 0},
		"it drains": {func(f *fixture) { f.Resolve(presence(membership.PresenceLeaving)) }, 1},
		"its entry lapses late": {func(f *fixture) {
			f.clock.Advance(6 * time.Second)
			f.Resolve(presence(membership.PresenceListed))
		}, 1},
	} {
		f := newFixture()
		f.add(keyOf(1), "e1", quarantine.StateConnected)
		assert.Equal(t, [2]int{0, 1}, f.counts(keyOf(1)), name)
		test.observe(f)
		f.Resolve(presence(membership.PresenceGone))
		assert.Equal(t, [2]int{test.want, 0}, f.counts(keyOf(1)), name)
	}
}

// Guards against a request whose instance died while an endpoint processed it, and that nobody counts.
func TestEndpointOfDeadInstanceIsResolvedByTheList(t *testing.T) {
	f := newFixture()
	now := f.clock.Now()
	f.Add(quarantine.Report{Key: keyOf(1), Attempt: 1, Incarnation: "e1", State: quarantine.StateTrying, SentAt: now, At: now}, quarantine.SourcePeer)
	assert.Equal(t, [2]int{0, 1}, f.counts(keyOf(1)))
	f.clock.Advance(6 * time.Second)
	assert.Empty(t, f.Resolve(presence(membership.PresenceGone)), "each instance finds out for itself")
	assert.Equal(t, [2]int{1, 0}, f.counts(keyOf(1)))
}

// Guards against endpoints taken for crashed by an instance whose list is outdated.
func TestEndpointOfOutdatedListHasNotLeft(t *testing.T) {
	for _, state := range []quarantine.State{quarantine.StateTrying, quarantine.StateUnresolved} {
		f := newFixture()
		now := f.clock.Now()
		f.Add(quarantine.Report{Key: keyOf(1), Attempt: 1, Incarnation: "e1", State: state, SentAt: now, At: now}, quarantine.SourcePeer)
		f.Resolve(presence(membership.PresenceUnknown))
		assert.Equal(t, [2]int{0, 1}, f.counts(keyOf(1)), state)
		f.clock.Advance(6 * time.Second)
		f.Resolve(presence(membership.PresenceUnknown))
		assert.Equal(t, [2]int{0, 1}, f.counts(keyOf(1)), state)
	}
}

// Guards against endpoints that count as alive since nothing was heard of them, or of the
// instance that sent the request.
func TestSilenceClearsNoEndpoint(t *testing.T) {
	for _, state := range []quarantine.State{quarantine.StateTrying, quarantine.StateUnresolved} {
		f := newFixture()
		f.add(keyOf(1), "e1", state)
		for range 100 {
			f.clock.Advance(quarantine.Lifetime / 101)
			f.Resolve(presence(membership.PresenceListed))
			assert.Equal(t, [2]int{0, 1}, f.counts(keyOf(1)), state)
		}
		suspects := f.Suspects(keyOf(1), false)
		assert.Len(t, suspects, 1, "it can be checked")
		assert.Equal(t, "e1", suspects[0].Incarnation)
	}
}

// Guards against a fourth endpoint that receives a request since earlier ones were cleared a
// while ago and have ended since.
func TestClearedEndpointsAreCheckedAgain(t *testing.T) {
	f := newFixture()
	for n := range 3 {
		f.add(keyOf(1), fmt.Sprint("e", n), quarantine.StateUnresolved)
	}
	f.clock.Advance(quarantine.SettleTime)
	for n := range 3 {
		f.Responded(fmt.Sprint("e", n), f.clock.Now())
	}
	assert.Equal(t, quarantine.Assessment{Remaining: f.Assess(keyOf(1), false).Remaining}, f.Assess(keyOf(1), false), "all live at this moment")
	assert.Empty(t, f.Suspects(keyOf(1), false))
	f.Resolve(presence(membership.PresenceListed))
	f.clock.Advance(quarantine.SettleTime)
	assert.Equal(t, 3, f.Assess(keyOf(1), false).Cleared)
	assert.Len(t, f.Suspects(keyOf(1), false), 3)
	now := f.clock.Now()
	f.Add(quarantine.Report{Key: keyOf(1), Attempt: 1, Incarnation: "e0", State: quarantine.StateSurvived, SentAt: start, At: now}, quarantine.SourceOwn)
	f.Responded("e1", f.clock.Now().Add(-quarantine.SettleTime))
	assert.Equal(t, 1, f.Assess(keyOf(1), false).Cleared, "these responded again, one to a check and one to a request sent before")
	f.clock.Advance(5 * time.Second)
	assert.Zero(t, f.Assess(keyOf(1), false).Cleared)
	f.Resolve(presence(membership.PresenceListed))
	assert.False(t, f.Any())
}

// Guards against endpoints cleared by what began before an exchange with them had ended and
// settled, and against ones that are never cleared.
func TestOnlyLaterResponsesClearEndpoints(t *testing.T) {
	f := newFixture()
	f.add(keyOf(1), "e1", quarantine.StateUnresolved)
	endedAt := f.clock.Now()
	f.clock.Advance(20 * time.Second)
	f.Resolve(presence(membership.PresenceListed))
	f.Responded("e1", endedAt.Add(quarantine.SettleTime-1))
	assert.Equal(t, [2]int{0, 1}, f.counts(keyOf(1)))
	f.Responded("e1", endedAt.Add(quarantine.SettleTime))
	assert.Equal(t, [2]int{0, 0}, f.counts(keyOf(1)))
}

// Guards against an endpoint that was cleared for an instance which seemed to have died, and
// whose exchange ends only afterwards.
func TestExchangeThatEndsAfterItsEndpointWasClearedCounts(t *testing.T) {
	f := newFixture()
	report := func(state quarantine.State, after time.Duration) {
		f.Add(quarantine.Report{Key: keyOf(1), Attempt: 1, Incarnation: "e1", State: state, SentAt: start, At: start.Add(after)}, quarantine.SourcePeer)
	}
	report(quarantine.StateTrying, 0)
	f.clock.Advance(8 * time.Second)
	report(quarantine.StateSurvived, 6*time.Second)
	assert.Equal(t, [2]int{0, 0}, f.counts(keyOf(1)))
	report(quarantine.StateUnresolved, 5*time.Second)
	assert.Equal(t, [2]int{0, 0}, f.counts(keyOf(1)), "it ended before")
	report(quarantine.StateUnresolved, 7*time.Second)
	assert.Equal(t, [2]int{0, 1}, f.counts(keyOf(1)))
}

// Guards against requests that are refused for ever.
func TestRequestsAreForgotten(t *testing.T) {
	f := newFixture()
	for n := range 3 {
		f.add(keyOf(1), fmt.Sprint("e", n), quarantine.StateCrashed)
	}
	f.add(keyOf(2), "e9", quarantine.StateUnresolved)
	f.clock.Advance(quarantine.Lifetime - time.Second)
	assert.Equal(t, time.Second, f.Assess(keyOf(1), false).Remaining)
	f.clock.Advance(time.Second)
	assert.Equal(t, [2]int{0, 0}, f.counts(keyOf(1)))
	f.Resolve(presence(membership.PresenceListed))
	assert.False(t, f.Any())
	f.Add(quarantine.Report{Key: keyOf(1), Incarnation: "e1", State: quarantine.StateCrashed, SentAt: start, At: start}, quarantine.SourcePeer)
	assert.False(t, f.Any(), "an old report")
}

// Guards against memory that grows with the number of requests or of their attempts, and against crashes that attempts at other endpoints displace.
func TestRecordsAreBounded(t *testing.T) {
	f := newFixture()
	for n := range 20 {
		f.add(keyOf(0), fmt.Sprint("e", n), quarantine.StateSurvived)
		if n%5 == 0 {
			f.add(keyOf(0), fmt.Sprint("c", n), quarantine.StateCrashed)
		}
	}
	assert.Equal(t, [2]int{4, 0}, f.counts(keyOf(0)))
	for n := range 10_000 {
		if n == 9_000 { // the newest are kept
			for m := range 4 {
				f.add(keyOf(0), fmt.Sprint("c", 5*m), quarantine.StateCrashed)
			}
		}
		f.add(keyOf(n+1), fmt.Sprint("x", n), quarantine.StateCrashed)
	}
	assert.LessOrEqual(t, f.Len(), 4096)
	assert.Len(t, f.Reports(1000), 1000)
	views := f.Views(100)
	assert.Len(t, views, 100)
	assert.Equal(t, 4, views[0].Crashes)
	assert.Contains(t, views[0].Endpoints, "c0 Crashed Own")
	assert.Equal(t, views[0].Endpoints, f.Describe(keyOf(0)))
}

// Guards against requests at fault that are tried at one endpoint together, so that all of them count its crash.
func TestTryingNamesEndpointsOfOtherRequests(t *testing.T) {
	f := newFixture()
	f.add(keyOf(1), "e1", quarantine.StateCrashed)
	f.add(keyOf(1), "e2", quarantine.StateTrying)
	assert.Equal(t, map[string]bool{"e2": true}, f.Trying(keyOf(2), 1))
	assert.Empty(t, f.Trying(keyOf(2), 2), "one crash")
	assert.Empty(t, f.Trying(keyOf(1), 1), "the request itself")
	f.add(keyOf(1), "e2", quarantine.StateSurvived)
	assert.Empty(t, f.Trying(keyOf(2), 1))
	f.add(keyOf(1), "e3", quarantine.StateTrying)
	f.clock.Advance(6 * time.Second)
	assert.Empty(t, f.Trying(keyOf(2), 1), "of an instance that died")
}

// Guards against a request that is counted at an endpoint which had crashed before it was sent.
func TestEndpointThatCrashedBeforeIsNotCounted(t *testing.T) {
	f := newFixture()
	f.add(keyOf(1), "e1", quarantine.StateCrashed)
	f.clock.Advance(time.Second)
	f.add(keyOf(2), "e1", quarantine.StateUnresolved)
	assert.Empty(t, f.Resolve(presence(membership.PresenceGone)))
	assert.Equal(t, [2]int{0, 0}, f.counts(keyOf(2)))
	assert.Equal(t, [2]int{1, 0}, f.counts(keyOf(1)))
}
