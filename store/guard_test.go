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

func in(partition string) store.Transaction {
	return store.Transaction{Puts: []store.Put{{Key: store.Key{Table: "t", Partition: partition, Name: "a"}, Value: []byte("v")}}}
}

// Symptom: all turns are refused while two thirds of the store's partitions
// are served. Events: a third of the partitions go away. Cause: failures
// were counted for the store as a whole.
func TestGuardKeepsPartitionsApart(t *testing.T) {
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
		_, err := guard.Commit(ctx, in("p1"))
		assert.True(t, store.Is(err, store.FailureRefused))
		_, err = guard.Commit(ctx, in("p2"))
		require.NoError(t, err)
	}
	assert.Equal(t, 3, calls, "what it takes to find out")
	assert.True(t, guard.Away("p1"))
	assert.False(t, guard.Away("p2"))
	guard.Probe(ctx)
	assert.Equal(t, 4, calls)
	assert.True(t, guard.Away("p1"))
	memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	guard.Probe(ctx)
	assert.False(t, guard.Away("p1"))
	_, err := guard.Commit(ctx, in("p1"))
	require.NoError(t, err)
}

func TestGuardFindsWholeStoreAway(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	var told []string
	guard := store.NewGuard(memory, func(partition string, away bool, _ error) {
		if away {
			told = append(told, partition)
		}
	})
	memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	for _, partition := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		_, _ = guard.Commit(ctx, in(partition)) // refused
	}
	assert.True(t, guard.WholeAway())
	assert.True(t, guard.Away("never called"))
	assert.Equal(t, []string{"all"}, told)
	gone, cancel := context.WithCancel(ctx)
	cancel()
	memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	fresh := store.NewGuard(memory, func(string, bool, error) {})
	memory.SetFault(func(string, string) storetest.Fault { return storetest.LoseAnswer })
	for range 10 {
		_, _ = fresh.Commit(gone, in("a")) // given up by its caller
	}
	assert.False(t, fresh.WholeAway(), "a call that its caller gave up says nothing")
}

// A partition that is silent is never found away, since all who call it leave
// before their calls end.
func TestSilentPartitionIsFoundAwayThoughCallersLeave(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave time.Duration
		away  bool
	}{
		{"another instance gives up its relayed call", 600 * time.Millisecond, true},
		{"caller of a stream leaves", 2 * time.Second, true},
		{"caller leaves before a slow store answers", 250 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				guard := store.NewGuard(&slowStore{Store: storetest.New(), lose: 1000}, func(string, bool, error) {})
				for range 4 {
					ctx, cancel := context.WithCancel(context.Background())
					time.AfterFunc(test.leave, cancel)
					_, err := guard.Commit(ctx, in("a"))
					require.Error(t, err)
				}
				assert.Equal(t, test.away, guard.Away("a"))
				assert.False(t, guard.WholeAway(), "one partition says nothing of the others")
			})
		})
	}
}

// A feed that is watched for long has the store taken for away when its watcher
// ends.
func TestEndedWatchSaysNothingOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := store.NewGuard(storetest.New(), func(string, bool, error) {})
		for range 10 {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(10*time.Second, cancel)
			_, err := guard.Watch(ctx, "t", 0, time.Minute)
			require.Error(t, err)
		}
		assert.False(t, guard.Away(""))
		assert.False(t, guard.WholeAway())
	})
}

// Symptom: for half a second after an outage the store is taken for away
// again and again. Events: all partitions fail; the store returns; the first
// answer comes from one of them. Cause: the others stayed away until each
// was tried, and their refusals counted for the whole.
func TestReturnOfWholeStoreIsForAllPartitions(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	guard := store.NewGuard(memory, func(string, bool, error) {})
	memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	for range 5 {
		for _, partition := range []string{"a", "b", "c"} {
			_, _ = guard.Commit(ctx, in(partition)) // refused
		}
	}
	require.True(t, guard.WholeAway())
	memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	guard.Probe(ctx)
	for _, partition := range []string{"a", "b", "c"} {
		_, err := guard.Commit(ctx, in(partition))
		assert.NoError(t, err, partition)
	}
}

// Symptom: with a third of the partitions away the whole store is taken for
// away every second. Events: what is away is tried ten times a second, with
// no call to another partition in between. Cause: each try counted for the
// whole.
func TestTriesOfPartitionsAwayDoNotCountForWhole(t *testing.T) {
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
			_, _ = guard.Commit(ctx, in(partition)) // refused for some
		}
	}
	for range 20 {
		guard.Probe(ctx)
	}
	assert.True(t, guard.Away("a"))
	assert.True(t, guard.Away("b"))
	assert.False(t, guard.WholeAway())
}

// Symptom: an instance learns seconds after an outage that there was one,
// and drops the endpoints whose entries lapsed. Events: the store falls
// silent while its feed is watched. Cause: the watch waited to its end.
func TestWatchEndsWhenStoreIsFoundAway(t *testing.T) {
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
		_, _ = guard.Commit(ctx, in(partition)) // refused
	}
	select {
	case err := <-ended:
		assert.True(t, store.Unserved(err))
	case <-time.After(time.Second):
		t.Fatal("still watching")
	}
}

// slowStore answers each call after a time, or never if it is lost.
type slowStore struct {
	store.Store
	answer time.Duration
	lose   int

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
	wait := s.answer
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

// Symptom: turns end a second late, or not at all. Events: the store does
// the writes and loses a third of its answers. Cause: each was waited for
// until the long time-out.
func TestLostAnswerIsNotWaitedFor(t *testing.T) {
	slow := &slowStore{Store: storetest.New(), lose: 1}
	persistent := store.NewPersistent(slow, clock.Real{})
	key := store.Key{Table: "t", Name: "a"}
	began := time.Now()
	_, err := persistent.Commit(context.Background(), store.Transaction{Conditions: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte("v")}}})
	assert.True(t, store.Is(err, store.FailureConflict), "the first try was done: %v", err)
	assert.Less(t, time.Since(began), 500*time.Millisecond)
	assert.Equal(t, 2, slow.count())
}

// A store that turned slow, as to 150 ms from 4, is waited for in the end,
// and after a few calls at once.
func TestSlowStoreIsWaitedFor(t *testing.T) {
	slow := &slowStore{Store: storetest.New(), answer: 150 * time.Millisecond}
	persistent := store.NewPersistent(slow, clock.Real{})
	for range 10 {
		_, err := persistent.Commit(context.Background(), in("a"))
		require.NoError(t, err)
	}
	before := slow.count()
	_, err := persistent.Commit(context.Background(), in("a"))
	require.NoError(t, err)
	assert.LessOrEqual(t, slow.count()-before, 2)
}

// Symptom: nearly all programs fail while the store answers in 250 ms in
// place of 4. Events: the store turns slow; each call is given up after 60,
// 120 and 240 ms, and counts as failed. Cause: a call was given up when it
// was made again, and a slow store taken for one that is away.
func TestSlowStoreIsNotAway(t *testing.T) {
	for _, answer := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond} {
		slow := &slowStore{Store: storetest.New(), answer: answer}
		guard := store.NewGuard(store.NewPersistent(slow, clock.Real{}), func(string, bool, error) {})
		for n := range 8 {
			_, err := guard.Commit(context.Background(), in("a"))
			require.NoError(t, err, "%v, call %d", answer, n)
		}
		assert.LessOrEqual(t, slow.count(), 20, "few are made twice once it is known to be slow")
	}
}

// returning is a store that answers nothing until it is back, and never what was
// asked before.
type returning struct {
	store.Store
	back  time.Time
	reads atomic.Int32
}

func (s *returning) Read(ctx context.Context, r store.Range) (store.Page, error) {
	s.reads.Add(1)
	if time.Now().Before(s.back) {
		<-ctx.Done()
		return store.Page{}, store.NewError(store.FailureUnanswered, "read", "test")
	}
	return s.Store.Read(ctx, r)
}

// Guards against requests that wait for a store which has been back for up to a
// second, since the try before its return was waited for.
func TestReturnOfSilentStoreIsFoundAtOnce(t *testing.T) {
	for _, silent := range []time.Duration{4 * time.Second, 4300 * time.Millisecond, 4900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			var changes []string
			var found time.Time
			s := &returning{Store: storetest.New(), back: time.Now().Add(silent)}
			guard := store.NewGuard(s, func(partition string, away bool, _ error) {
				changes, found = append(changes, fmt.Sprint(partition, " away=", away)), time.Now()
			})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go guard.Run(ctx, done)
			for _, partition := range []string{"a", "a", "a", "b", "b", "b"} {
				limited, end := context.WithTimeout(ctx, 600*time.Millisecond)
				_, err := guard.Read(limited, store.Range{Table: "t", Partition: partition})
				assert.True(t, store.Unserved(err))
				end()
			}
			require.True(t, guard.WholeAway())
			time.Sleep(time.Until(s.back.Add(3 * time.Second)))
			cancel()
			require.NoError(t, <-done)
			assert.LessOrEqual(t, found.Sub(s.back), 300*time.Millisecond)
			assert.Equal(t, []string{"a away=true", "all away=true", "all away=false"}, changes, "tries of before do not count after the return")
		})
	}
}

// Guards against a store that is pressed with tries of partitions that are silent,
// while it serves the others.
func TestSilentPartitionsAreTriedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &returning{Store: storetest.New(), back: time.Now().Add(time.Hour)}
		guard := store.NewGuard(s, func(string, bool, error) {})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go guard.Run(ctx, done)
		for range 3 {
			limited, end := context.WithTimeout(ctx, 600*time.Millisecond)
			_, err := guard.Read(limited, store.Range{Table: "t", Partition: "a"})
			assert.True(t, store.Unserved(err))
			end()
		}
		require.True(t, guard.Away("a"))
		before := s.reads.Load()
		time.Sleep(5 * time.Second)
		assert.LessOrEqual(t, s.reads.Load()-before, int32(5))
		cancel()
		require.NoError(t, <-done)
	})
}

// Guards against events that are passed on at once while the store serves no turn,
// and held back while it does.
func TestStoreIsFoundSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowStore{Store: storetest.New(), answer: 4 * time.Millisecond}
		guard := store.NewGuard(slow, func(string, bool, error) {})
		commit := func() { _, _ = guard.Commit(context.Background(), in("a")) }
		commit()
		time.Sleep(time.Hour)
		assert.False(t, guard.Slow(), "nothing is asked of it")
		slow.answer = 300 * time.Millisecond
		go commit()
		time.Sleep(99 * time.Millisecond)
		assert.False(t, guard.Slow())
		time.Sleep(time.Millisecond)
		assert.True(t, guard.Slow(), "a call is late")
		time.Sleep(300 * time.Millisecond)
		assert.True(t, guard.Slow(), "the last answer was")
		slow.answer = 4 * time.Millisecond
		time.Sleep(time.Second)
		commit()
		assert.False(t, guard.Slow())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		slow.answer = time.Hour
		_, err := guard.Commit(ctx, in("a"))
		assert.Error(t, err)
		time.Sleep(time.Second)
		assert.False(t, guard.Slow(), "a call that was given up says nothing")
	})
}

// Guards against a store that is made busier as it turns slow: each write that is
// made again takes a place in its partition, which serves six a second then.
func TestStoreThatTurnsSlowIsNotAskedTwice(t *testing.T) {
	for _, answer := range []time.Duration{200 * time.Millisecond, 240 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			slow := &slowStore{Store: storetest.New(), answer: 4 * time.Millisecond}
			persistent := store.NewPersistent(slow, clock.Real{})
			commit := func() {
				_, err := persistent.Commit(context.Background(), in("a"))
				assert.NoError(t, err)
			}
			for range 20 {
				commit()
			}
			slow.mu.Lock()
			slow.answer = answer
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

// Guards against a turn that waits for an answer that is lost while others come:
// the store is not slow.
func TestLostAnswerIsKnownByLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowStore{Store: storetest.New(), answer: 4 * time.Millisecond, lose: 1}
		persistent := store.NewPersistent(slow, clock.Real{})
		began := time.Now()
		var calls sync.WaitGroup
		calls.Go(func() {
			_, err := persistent.Commit(context.Background(), in("a"))
			assert.NoError(t, err)
			assert.Less(t, time.Since(began), 100*time.Millisecond)
		})
		for range 5 {
			time.Sleep(10 * time.Millisecond)
			_, err := persistent.Commit(context.Background(), in("b"))
			assert.NoError(t, err)
		}
		calls.Wait()
	})
}

// Guards against turns that wait for each lost answer as for a slow store's, while
// the store loses a third of them.
func TestStoreThatLosesAnswersIsAskedAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowStore{Store: storetest.New(), answer: 4 * time.Millisecond}
		persistent := store.NewPersistent(slow, clock.Real{})
		var worst time.Duration
		for n := range 20 {
			if n%3 == 0 {
				slow.mu.Lock()
				slow.lose = slow.calls + 1 // its first answer
				slow.mu.Unlock()
			}
			began := time.Now()
			_, err := persistent.Commit(context.Background(), in("a"))
			require.NoError(t, err)
			if n > 3 {
				worst = max(worst, time.Since(began))
			}
			time.Sleep(50 * time.Millisecond)
		}
		assert.Less(t, worst, 100*time.Millisecond)
	})
}

// Guards against a call that is given up at the limit of a quick store though
// answers show by then that it is slow.
func TestCallUnderWayIsWaitedForAsAnswersTellItIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowStore{Store: storetest.New(), answer: 300 * time.Millisecond}
		persistent := store.NewPersistent(slow, clock.Real{})
		var calls sync.WaitGroup
		commit := func(partition string) {
			_, err := persistent.Commit(context.Background(), in(partition))
			assert.NoError(t, err)
		}
		for range 3 {
			calls.Go(func() { commit("b") })
		}
		time.Sleep(time.Millisecond)
		slow.mu.Lock()
		slow.answer = 900 * time.Millisecond
		slow.mu.Unlock()
		calls.Go(func() { commit("a") })
		calls.Wait()
	})
}

// Guards against writes that are given up while they wait in a busy partition, and
// are then made twice: a slow store answers in a second and a quarter.
func TestBusyPartitionIsWaitedFor(t *testing.T) {
	slow := &slowStore{Store: storetest.New(), answer: 950 * time.Millisecond}
	persistent := store.NewPersistent(slow, clock.Real{})
	for range 6 {
		_, _ = persistent.Commit(context.Background(), in("a")) // the first is given up
	}
	slow.mu.Lock()
	slow.answer = 1300 * time.Millisecond
	slow.mu.Unlock()
	_, err := persistent.Commit(context.Background(), in("a"))
	require.NoError(t, err)
}

// Symptom: turns through a machine that the store ignores take seconds.
// Cause: each call waited for a long time-out. It may cost 0.6 s, then 1 s
// until it is known.
func TestSilentStoreIsGivenUp(t *testing.T) {
	slow := &slowStore{Store: storetest.New(), lose: 1000}
	guard := store.NewGuard(store.NewPersistent(slow, clock.Real{}), func(string, bool, error) {})
	began := time.Now()
	for range 10 {
		_, err := guard.Commit(context.Background(), in("a"))
		require.True(t, store.Unserved(err), "%v", err)
	}
	assert.Less(t, time.Since(began), 3*time.Second)
}

func TestNames(t *testing.T) {
	assert.Equal(t, "9c41d07be2a35f68", store.Name("9c41d07be2a35f68"))
	for _, odd := range []string{"", "a/b", "a b", string(make([]byte, 500)), "ü"} {
		name := store.Name(odd)
		assert.Less(t, len(name), 120)
		assert.Regexp(t, `^sha256\.[0-9a-f]{64}$`, name)
	}
	assert.NotEqual(t, store.Name("a/b"), store.Name("a b"))
}
