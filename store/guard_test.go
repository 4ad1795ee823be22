package store_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

func putIn(partition string) store.Transaction {
	return store.Transaction{Puts: []store.Put{{Key: store.Key{Table: "t", Partition: partition, Name: "a"}, Value: []byte("v")}}}
}

// Guards against rejecting all turns while two thirds of the partitions are
// served. It happened when a third of the partitions became unavailable,
// because failures were counted only for the complete store.
func TestGuardTracksPartitionsSeparately(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	guard := store.NewGuard(memory, func(string, bool, error) {})
	calls := 0
	memory.SetFault(func(_, partition string) storetest.Fault {
		if partition == "p1" {
			calls++
			return storetest.Refuse
		}
		return storetest.None
	})
	for range 20 {
		_, err := guard.Commit(ctx, putIn("p1"))
		assert.True(t, store.Is(err, store.FailureRefused))
		_, err = guard.Commit(ctx, putIn("p2"))
		require.NoError(t, err)
	}
	assert.Equal(t, 3, calls, "calls until the partition counts as unavailable")
	assert.True(t, guard.Unavailable("p1"))
	assert.False(t, guard.Unavailable("p2"))
	guard.Probe(ctx)
	assert.Equal(t, 4, calls)
	assert.True(t, guard.Unavailable("p1"))
	memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	guard.Probe(ctx)
	assert.False(t, guard.Unavailable("p1"))
	_, err := guard.Commit(ctx, putIn("p1"))
	require.NoError(t, err)
}

func TestGuardReportsStoreUnavailable(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	var reported []string
	guard := store.NewGuard(memory, func(partition string, unavailable bool, _ error) {
		if unavailable {
			reported = append(reported, partition)
		}
	})
	memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	for _, partition := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		_, _ = guard.Commit(ctx, putIn(partition)) // refused
	}
	assert.True(t, guard.AllUnavailable())
	assert.True(t, guard.Unavailable("never called"))
	assert.Equal(t, []string{"all"}, reported)
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	second := store.NewGuard(memory, func(string, bool, error) {})
	memory.SetFault(func(string, string) storetest.Fault { return storetest.LoseResponse })
	for range 10 {
		_, _ = second.Commit(cancelled, putIn("a")) // cancelled by its caller
	}
	assert.False(t, second.AllUnavailable(), "calls cancelled by their caller are ignored")
}

// Guards against a silent partition that never counts as unavailable because
// all callers cancel their calls before the calls end.
func TestGuardCountsUnansweredCallsThatCallersCancel(t *testing.T) {
	for _, test := range []struct {
		name        string
		cancelAfter time.Duration
		unavailable bool
	}{
		{"requesting instance cancels its relayed call", 600 * time.Millisecond, true},
		{"caller of a stream cancels the call", 2 * time.Second, true},
		{"caller cancels before a slow store responds", 250 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				guard := store.NewGuard(&slowStore{Store: storetest.New(), lose: 1000}, func(string, bool, error) {})
				for range 4 {
					ctx, cancel := context.WithCancel(context.Background())
					time.AfterFunc(test.cancelAfter, cancel)
					_, err := guard.Commit(ctx, putIn("a"))
					require.Error(t, err)
				}
				assert.Equal(t, test.unavailable, guard.Unavailable("a"))
				assert.False(t, guard.AllUnavailable(), "one partition doesn't count for the others")
			})
		})
	}
}

// Guards against counting the store as unavailable when callers cancel watches
// that have been open for long.
func TestGuardIgnoresCancelledWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := store.NewGuard(storetest.New(), func(string, bool, error) {})
		for range 10 {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(10*time.Second, cancel)
			_, err := guard.Watch(ctx, "t", 0, time.Minute)
			require.Error(t, err)
		}
		assert.False(t, guard.Unavailable(""))
		assert.False(t, guard.AllUnavailable())
	})
}

// Guards against a store that becomes unavailable several more times in the half
// second after an outage of all partitions. The first response came from one
// partition while the others stayed unavailable until each was probed, and their
// rejections counted as failures of the complete store.
func TestGuardRecoveryAppliesToAllPartitions(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	guard := store.NewGuard(memory, func(string, bool, error) {})
	memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	for range 5 {
		for _, partition := range []string{"a", "b", "c"} {
			_, _ = guard.Commit(ctx, putIn(partition)) // refused
		}
	}
	require.True(t, guard.AllUnavailable())
	memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	guard.Probe(ctx)
	for _, partition := range []string{"a", "b", "c"} {
		_, err := guard.Commit(ctx, putIn(partition))
		assert.NoError(t, err, partition)
	}
}

// Guards against counting the complete store as unavailable every second while a
// third of its partitions are. Unavailable partitions are probed ten times a
// second; without a call to another partition in between, each failed probe
// counted as a failure of the complete store.
func TestGuardProbeFailuresDoNotCountForCompleteStore(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	guard := store.NewGuard(memory, func(string, bool, error) {})
	memory.SetFault(func(_, partition string) storetest.Fault {
		if partition < "c" {
			return storetest.Refuse
		}
		return storetest.None
	})
	for range 3 {
		for _, partition := range []string{"a", "b", "c", "d"} {
			_, _ = guard.Commit(ctx, putIn(partition)) // refused for some
		}
	}
	for range 20 {
		guard.Probe(ctx)
	}
	assert.True(t, guard.Unavailable("a"))
	assert.True(t, guard.Unavailable("b"))
	assert.False(t, guard.AllUnavailable())
}

// Guards against an instance that notices an outage only seconds after it and
// drops endpoints whose entries expired in the meantime. The store became silent
// during a watch of its feed, and the watch waited until its timeout.
func TestGuardCancelsWatchesWhenStoreUnavailable(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	guard := store.NewGuard(memory, func(string, bool, error) {})
	ended := make(chan error, 1)
	go func() {
		_, err := guard.Watch(ctx, "t", 0, time.Minute)
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond)
	memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	for _, partition := range []string{"a", "a", "a", "b", "b", "b"} {
		_, _ = guard.Commit(ctx, putIn(partition)) // refused
	}
	select {
	case err := <-ended:
		assert.True(t, store.Unserved(err))
	case <-time.After(time.Second):
		t.Fatal("watch not cancelled")
	}
}

// slowStore responds to each commit after latency, but never to the first lose
// calls.
type slowStore struct {
	store.Store
	latency time.Duration
	lose    int

	mu    sync.Mutex
	calls int
}

func (s *slowStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *slowStore) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	s.mu.Lock()
	s.calls++
	wait := s.latency
	if s.calls <= s.lose {
		wait = time.Hour
	}
	s.mu.Unlock()
	version, err := s.Store.Commit(context.Background(), tx)
	select {
	case <-ctx.Done():
		return 0, store.NewError(store.FailureUnanswered, "commit", "test")
	case <-time.After(wait):
		return version, err
	}
}

// Guards against turns that end a second late or fail. The store applied the
// writes and lost a third of its responses, and each call waited for the long
// timeout.
func TestHedgedRepeatsCallAfterLostResponse(t *testing.T) {
	slow := &slowStore{Store: storetest.New(), lose: 1}
	hedged := store.NewHedged(slow, clock.Real{})
	key := store.Key{Table: "t", Name: "a"}
	started := time.Now()
	_, err := hedged.Commit(context.Background(), store.Transaction{Conditions: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte("v")}}})
	assert.True(t, store.Is(err, store.FailureConflict), "the first attempt was applied: %v", err)
	assert.Less(t, time.Since(started), 500*time.Millisecond)
	assert.Equal(t, 2, slow.count())
}

// Checks that calls to a store that became slow, such as 150 ms instead of 4,
// succeed, and that after a few calls they are no longer repeated.
func TestHedgedAdaptsToSlowStore(t *testing.T) {
	slow := &slowStore{Store: storetest.New(), latency: 150 * time.Millisecond}
	hedged := store.NewHedged(slow, clock.Real{})
	for range 10 {
		_, err := hedged.Commit(context.Background(), putIn("a"))
		require.NoError(t, err)
	}
	before := slow.count()
	_, err := hedged.Commit(context.Background(), putIn("a"))
	require.NoError(t, err)
	assert.LessOrEqual(t, slow.count()-before, 2)
}

// Guards against failing nearly all programs while the store responds in 250 ms
// instead of 4. Each call was abandoned when it was repeated, after 60, 120 and
// 240 ms, and counted as failed, so the slow store counted as unavailable.
func TestGuardKeepsSlowStoreAvailable(t *testing.T) {
	for _, latency := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond} {
		slow := &slowStore{Store: storetest.New(), latency: latency}
		guard := store.NewGuard(store.NewHedged(slow, clock.Real{}), func(string, bool, error) {})
		for n := range 8 {
			_, err := guard.Commit(context.Background(), putIn("a"))
			require.NoError(t, err, "%v, call %d", latency, n)
		}
		assert.LessOrEqual(t, slow.count(), 20, "few calls are repeated after the store has become slow")
	}
}

// recoveringStore doesn't respond to reads until recoversAt, and never to reads
// sent before.
type recoveringStore struct {
	store.Store
	recoversAt time.Time
	reads      atomic.Int32
}

func (s *recoveringStore) Read(ctx context.Context, r store.Range) (store.Page, error) {
	s.reads.Add(1)
	if time.Now().Before(s.recoversAt) {
		<-ctx.Done()
		return store.Page{}, store.NewError(store.FailureUnanswered, "read", "test")
	}
	return s.Store.Read(ctx, r)
}

// Guards against requests that wait up to a second for a store that has already
// recovered, because the probe sent before its recovery was still pending.
func TestGuardDetectsRecoveryOfSilentStore(t *testing.T) {
	for _, outage := range []time.Duration{4 * time.Second, 4300 * time.Millisecond, 4900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			var changes []string
			var lastChange time.Time
			s := &recoveringStore{Store: storetest.New(), recoversAt: time.Now().Add(outage)}
			guard := store.NewGuard(s, func(partition string, unavailable bool, _ error) {
				changes, lastChange = append(changes, fmt.Sprint(partition, " unavailable=", unavailable)), time.Now()
			})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go guard.Run(ctx, done)
			for _, partition := range []string{"a", "a", "a", "b", "b", "b"} {
				callCtx, stop := context.WithTimeout(ctx, 600*time.Millisecond)
				_, err := guard.Read(callCtx, store.Range{Table: "t", Partition: partition})
				assert.True(t, store.Unserved(err))
				stop()
			}
			require.True(t, guard.AllUnavailable())
			time.Sleep(time.Until(s.recoversAt.Add(3 * time.Second)))
			cancel()
			require.NoError(t, <-done)
			assert.LessOrEqual(t, lastChange.Sub(s.recoversAt), 300*time.Millisecond)
			assert.Equal(t, []string{"a unavailable=true", "all unavailable=true", "all unavailable=false"}, changes, "probes sent before the recovery are ignored after it")
		})
	}
}

// Guards against loading the store with probes of silent partitions while it
// serves the others.
func TestGuardProbesSilentPartitionOncePerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &recoveringStore{Store: storetest.New(), recoversAt: time.Now().Add(time.Hour)}
		guard := store.NewGuard(s, func(string, bool, error) {})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go guard.Run(ctx, done)
		for range 3 {
			callCtx, stop := context.WithTimeout(ctx, 600*time.Millisecond)
			_, err := guard.Read(callCtx, store.Range{Table: "t", Partition: "a"})
			assert.True(t, store.Unserved(err))
			stop()
		}
		require.True(t, guard.Unavailable("a"))
		before := s.reads.Load()
		time.Sleep(5 * time.Second)
		assert.LessOrEqual(t, s.reads.Load()-before, int32(5))
		cancel()
		require.NoError(t, <-done)
	})
}

// Guards against events that are forwarded immediately while the store serves no
// turn, and against delaying them while it does.
func TestGuardSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowStore{Store: storetest.New(), latency: 4 * time.Millisecond}
		guard := store.NewGuard(slow, func(string, bool, error) {})
		commit := func() { _, _ = guard.Commit(context.Background(), putIn("a")) }
		commit()
		time.Sleep(time.Hour)
		assert.False(t, guard.Slow(), "no call is pending")
		slow.latency = 300 * time.Millisecond
		go commit()
		time.Sleep(99 * time.Millisecond)
		assert.False(t, guard.Slow())
		time.Sleep(time.Millisecond)
		assert.True(t, guard.Slow(), "the pending call is slow")
		time.Sleep(300 * time.Millisecond)
		assert.True(t, guard.Slow(), "the last response was slow")
		slow.latency = 4 * time.Millisecond
		time.Sleep(time.Second)
		commit()
		assert.False(t, guard.Slow())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		slow.latency = time.Hour
		_, err := guard.Commit(ctx, putIn("a"))
		assert.Error(t, err)
		time.Sleep(time.Second)
		assert.False(t, guard.Slow(), "a cancelled call is ignored")
	})
}

// Guards against adding load to a store that becomes slow: each repeated write
// adds to the queue of its partition, which then serves six a second.
func TestHedgedDoesNotRepeatCallsWhenStoreSlowsDown(t *testing.T) {
	for _, latency := range []time.Duration{200 * time.Millisecond, 240 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			slow := &slowStore{Store: storetest.New(), latency: 4 * time.Millisecond}
			hedged := store.NewHedged(slow, clock.Real{})
			commit := func() {
				_, err := hedged.Commit(context.Background(), putIn("a"))
				assert.NoError(t, err)
			}
			for range 20 {
				commit()
			}
			slow.mu.Lock()
			slow.latency = latency
			slow.mu.Unlock()
			var calls sync.WaitGroup
			for range 100 {
				calls.Go(commit)
				time.Sleep(10 * time.Millisecond)
			}
			calls.Wait()
			assert.Equal(t, 120, slow.count())
		})
	}
}

// Guards against a turn that waits long for a lost response although the
// responses to later calls show that the store is not slow.
func TestHedgedDetectsLossFromLaterResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowStore{Store: storetest.New(), latency: 4 * time.Millisecond, lose: 1}
		hedged := store.NewHedged(slow, clock.Real{})
		started := time.Now()
		var calls sync.WaitGroup
		calls.Go(func() {
			_, err := hedged.Commit(context.Background(), putIn("a"))
			assert.NoError(t, err)
			assert.Less(t, time.Since(started), 100*time.Millisecond)
		})
		for range 5 {
			time.Sleep(10 * time.Millisecond)
			_, err := hedged.Commit(context.Background(), putIn("b"))
			assert.NoError(t, err)
		}
		calls.Wait()
	})
}

// Guards against turns that wait for each lost response as long as for a slow
// store, while the store loses a third of its responses.
func TestHedgedRepeatsSoonerAfterLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowStore{Store: storetest.New(), latency: 4 * time.Millisecond}
		hedged := store.NewHedged(slow, clock.Real{})
		var maxLatency time.Duration
		for n := range 20 {
			if n%3 == 0 {
				slow.mu.Lock()
				slow.lose = slow.calls + 1 // lose the response to the next attempt
				slow.mu.Unlock()
			}
			started := time.Now()
			_, err := hedged.Commit(context.Background(), putIn("a"))
			require.NoError(t, err)
			if n > 3 {
				maxLatency = max(maxLatency, time.Since(started))
			}
			time.Sleep(50 * time.Millisecond)
		}
		assert.Less(t, maxLatency, 100*time.Millisecond)
	})
}

// Guards against a call that times out after the timeout of a fast store although
// responses received in the meantime show that the store is slow.
func TestHedgedExtendsTimeoutOfPendingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowStore{Store: storetest.New(), latency: 300 * time.Millisecond}
		hedged := store.NewHedged(slow, clock.Real{})
		var calls sync.WaitGroup
		commit := func(partition string) {
			_, err := hedged.Commit(context.Background(), putIn(partition))
			assert.NoError(t, err)
		}
		for range 3 {
			calls.Go(func() { commit("b") })
		}
		time.Sleep(time.Millisecond)
		slow.mu.Lock()
		slow.latency = 900 * time.Millisecond
		slow.mu.Unlock()
		calls.Go(func() { commit("a") })
		calls.Wait()
	})
}

// Guards against writes that time out while they wait in a busy partition and are
// then executed twice: a slow store responds in up to 1.25 s.
func TestHedgedWaitsForBusyPartition(t *testing.T) {
	slow := &slowStore{Store: storetest.New(), latency: 950 * time.Millisecond}
	hedged := store.NewHedged(slow, clock.Real{})
	for range 6 {
		_, _ = hedged.Commit(context.Background(), putIn("a")) // the first times out
	}
	slow.mu.Lock()
	slow.latency = 1300 * time.Millisecond
	slow.mu.Unlock()
	_, err := hedged.Commit(context.Background(), putIn("a"))
	require.NoError(t, err)
}

// Guards against turns that take seconds when the store doesn't respond to a
// machine, because each call waited for a long timeout. The first call may take
// 0.6 s and later ones 1 s, until the store counts as unavailable.
func TestHedgedTimesOutOnSilentStore(t *testing.T) {
	slow := &slowStore{Store: storetest.New(), lose: 1000}
	guard := store.NewGuard(store.NewHedged(slow, clock.Real{}), func(string, bool, error) {})
	started := time.Now()
	for range 10 {
		_, err := guard.Commit(context.Background(), putIn("a"))
		require.True(t, store.Unserved(err), "%v", err)
	}
	assert.Less(t, time.Since(started), 3*time.Second)
}

func TestName(t *testing.T) {
	assert.Equal(t, "9c41d07be2a35f68", store.Name("9c41d07be2a35f68"))
	for _, odd := range []string{"", "a/b", "a b", string(make([]byte, 500)), "ü"} {
		name := store.Name(odd)
		assert.Less(t, len(name), 120)
		assert.Regexp(t, `^sha256\.[0-9a-f]{64}$`, name)
	}
	assert.NotEqual(t, store.Name("a/b"), store.Name("a b"))
}
