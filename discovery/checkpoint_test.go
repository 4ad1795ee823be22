package discovery_test

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/discovery"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// resumePeriod is the time in which a stream may have begun, in these tests.
const resumePeriod = 26 * time.Second

// countingStore counts the calls that read the history, and can change their pages
// and delay them until its context ends.
type countingStore struct {
	*storetest.Memory
	mu      sync.Mutex
	replays int
	isSlow  bool
	change  func(*store.Page)
}

// set changes the store under its lock.
func (counting *countingStore) set(change func()) {
	counting.mu.Lock()
	defer counting.mu.Unlock()
	change()
}

// Read implements store.Store. It counts the reads of the checkpoint.
func (counting *countingStore) Read(ctx context.Context, r store.Range) (store.Page, error) {
	counting.mu.Lock()
	isSlow := counting.isSlow
	if r.Table == "versions" {
		counting.replays++
	}
	counting.mu.Unlock()
	if r.Table == "versions" && isSlow {
		<-ctx.Done()
		return store.Page{}, store.NewError(store.FailureUnanswered, "read", "slow")
	}
	return counting.Memory.Read(ctx, r)
}

// Watch implements store.Store. Watches without a wait read the history.
func (counting *countingStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (store.Page, error) {
	page, err := counting.Memory.Watch(ctx, table, after, wait)
	counting.mu.Lock()
	defer counting.mu.Unlock()
	if wait == 0 && counting.change != nil {
		counting.change(&page)
	}
	return page, err
}

// keepLatest reduces a page to the latest change of each row.
func keepLatest(page *store.Page) {
	latest := map[store.Key]uint64{}
	for _, row := range page.Rows {
		latest[row.Key] = row.Version
	}
	page.Rows = slices.DeleteFunc(page.Rows, func(row store.Row) bool { return row.Version < latest[row.Key] })
}

// followingInstance is an instance reduced to its list of endpoints.
type followingInstance struct {
	list     *membership.List
	versions *discovery.Versions
	stop     func()
}

// startFollowing starts an instance whose list was followed for d, and waits until
// it has read the list.
func startFollowing(t *testing.T, s store.Store, clk clock.Clock, d time.Duration) *followingInstance {
	t.Helper()
	log, list := slog.New(slog.DiscardHandler), membership.NewList()
	for at := -d; at < 0; at += time.Second {
		list.Confirm(clk.Now().Add(at))
	}
	follower := discovery.NewFollower(s, discovery.Endpoints(platform.EndpointTable, platform.DecodeEndpoint, list, func(*membership.Endpoint) {}, clk, log), clk, log, tally.NoopScope)
	instance := &followingInstance{list: list, versions: discovery.NewVersions(list, follower, s, platform.DecodeEndpoint, clk, log)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go follower.Run(ctx, done)
	instance.stop = sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-done)
	})
	t.Cleanup(instance.stop)
	require.Eventually(t, func() bool { return list.Loaded() && !list.FollowedSince().IsZero() }, 2*time.Second, time.Millisecond)
	return instance
}

// removeEndpoint removes the entry of an endpoint.
func removeEndpoint(t *testing.T, memory *storetest.Memory, id string) {
	t.Helper()
	require.NoError(t, memory.Apply(store.Transaction{Deletes: []store.Key{{Table: platform.EndpointTable, Name: id}}}))
}

// Guards against a version that is proven though the history does not show it for certain, and against one that is not proven though it does.
func TestHistoryProvesOnlyWhatIsCertain(t *testing.T) {
	const unknown = ""
	for name, test := range map[string]struct {
		// before happens before the instances lose power, and after between that
		// and the start of the next one.
		before, after func(t *testing.T, s *countingStore)
		// model and tool are the versions that are proven.
		model, tool string
	}{
		"nothing changed": {model: "v1", tool: "v7"},
		"heartbeats, a new endpoint of the version, and one that leaves after a heartbeat": {model: "v1", tool: "v7", after: func(t *testing.T, s *countingStore) {
			putEndpoint(t, s.Memory, "a", "model", "v1")
			putEndpoint(t, s.Memory, "b", "tool", "v7")
			putEndpoint(t, s.Memory, "c", "model", "v1")
			removeEndpoint(t, s.Memory, "a")
		}},
		"an endpoint of another version": {model: unknown, tool: "v7", after: func(t *testing.T, s *countingStore) {
			putEndpoint(t, s.Memory, "c", "model", "v2")
		}},
		"an endpoint of another version came and left": {model: unknown, tool: "v7", after: func(t *testing.T, s *countingStore) {
			putEndpoint(t, s.Memory, "c", "model", "v2")
			removeEndpoint(t, s.Memory, "c")
		}},
		"an endpoint had another version for a while": {model: unknown, tool: "v7", after: func(t *testing.T, s *countingStore) {
			putEndpoint(t, s.Memory, "a", "model", "v2")
			putEndpoint(t, s.Memory, "a", "model", "v1")
		}},
		"an endpoint was of another service with another version": {model: unknown, tool: "v7", after: func(t *testing.T, s *countingStore) {
			putEndpoint(t, s.Memory, "b", "model", "v2")
			putEndpoint(t, s.Memory, "b", "tool", "v7")
		}},
		"an endpoint of unknown version left": {model: unknown, tool: unknown, after: func(t *testing.T, s *countingStore) {
			removeEndpoint(t, s.Memory, "c")
		}, before: func(t *testing.T, s *countingStore) { putEndpoint(t, s.Memory, "c", "tool", "v7") }},
		"an endpoint left whose entry could not be decoded": {model: unknown, tool: unknown, after: func(t *testing.T, s *countingStore) {
			require.NoError(t, s.Apply(store.Transaction{Puts: []store.Put{{Key: store.Key{Table: platform.EndpointTable, Name: "x"}, Value: []byte("{")}}}))
			removeEndpoint(t, s.Memory, "x")
		}},
		"the history is too short": {model: unknown, tool: unknown, after: func(_ *testing.T, s *countingStore) { s.Compact() }},
		"the store returns the latest change of each row only": {model: unknown, tool: unknown, after: func(t *testing.T, s *countingStore) {
			putEndpoint(t, s.Memory, "a", "model", "v2")
			putEndpoint(t, s.Memory, "a", "model", "v1")
			s.set(func() { s.change = keepLatest })
		}},
		"the history is cut": {model: unknown, tool: unknown, after: func(_ *testing.T, s *countingStore) {
			s.set(func() { s.change = func(page *store.Page) { page.More = true } })
		}},
		"the history ends before what is known": {model: unknown, tool: unknown, after: func(_ *testing.T, s *countingStore) {
			s.set(func() { s.change = func(page *store.Page) { page.Version-- } })
		}},
		"the checkpoint cannot be decoded": {model: unknown, tool: unknown, after: func(t *testing.T, s *countingStore) {
			require.NoError(t, s.Apply(store.Transaction{Puts: []store.Put{{Key: store.Key{Table: "versions", Name: "sole"}, Value: []byte("{")}}}))
		}},
		"the checkpoint is of another store": {model: unknown, tool: unknown, after: func(t *testing.T, s *countingStore) {
			putCheckpoint(t, s.Memory, 1<<40, []any{"model", "v1", int64(60_000)})
		}},
		"values of the checkpoint are out of bounds": {model: unknown, tool: unknown, after: func(t *testing.T, s *countingStore) {
			overflowing := int64(1)<<58 + 60_000 // a minute as a Duration
			putCheckpoint(t, s.Memory, 1, []any{"model", "v1", int64(-60_000)}, []any{"tool", "v7", overflowing})
		}},
		"there is no checkpoint": {model: unknown, tool: unknown, after: func(t *testing.T, s *countingStore) {
			require.NoError(t, s.Apply(store.Transaction{Deletes: []store.Key{{Table: "versions", Name: "sole"}}}))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &countingStore{Memory: storetest.New()}
			putEndpoint(t, s.Memory, "a", "model", "v1")
			putEndpoint(t, s.Memory, "b", "tool", "v7")
			if test.before != nil {
				test.before(t, s)
			}
			first := startFollowing(t, s, clock.Real{}, time.Minute)
			first.versions.Checkpoint(context.Background(), resumePeriod)
			first.stop()
			s.set(func() { s.replays = 0 })
			if test.after != nil {
				putEndpoint(t, s.Memory, "b", "tool", "v7")
				putEndpoint(t, s.Memory, "b", "tool", "v7") // heartbeats
				test.after(t, s)
			}
			second := startFollowing(t, s, clock.Real{}, 0)
			for _, service := range []string{"model", "tool"} {
				_, ok := second.versions.Sole(service, resumePeriod)
				assert.False(t, ok, "known without the history")
			}
			for service, version := range map[string]string{"model": test.model, "tool": test.tool} {
				proven, ok := second.versions.Prove(context.Background(), service, resumePeriod)
				assert.Equal(t, version, proven, service)
				assert.Equal(t, version != unknown, ok, service)
			}
			_, ok := second.versions.Prove(context.Background(), "model", 10*time.Minute)
			assert.False(t, ok, "a longer time than the checkpoint covers")
			assert.Equal(t, 1, s.replays, "one read for each start")
		})
	}
}

// putCheckpoint writes a checkpoint of the encoded services.
func putCheckpoint(t *testing.T, memory *storetest.Memory, version uint64, services ...[]any) {
	t.Helper()
	value, err := codec.Marshal([]any{version, services})
	require.NoError(t, err)
	require.NoError(t, memory.Apply(store.Transaction{Puts: []store.Put{{Key: store.Key{Table: "versions", Name: "sole"}, Value: value}}}))
}

// Guards against streams that are refused for good since the store was slow or away at the start, against a call of the store for each of them meanwhile, and against calls without end.
func TestHistoryIsReadAgainIfTheStoreDidNotServeIt(t *testing.T) {
	s := &countingStore{Memory: storetest.New()}
	putEndpoint(t, s.Memory, "a", "model", "v1")
	first := startFollowing(t, s, clock.Real{}, time.Minute)
	first.versions.Checkpoint(context.Background(), resumePeriod)
	first.stop()

	second := startFollowing(t, s, clock.Real{}, 0)
	s.set(func() { s.replays, s.isSlow = 0, true })
	var provers sync.WaitGroup
	for range 5 {
		provers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, ok := second.versions.Prove(ctx, "model", resumePeriod)
			assert.False(t, ok)
		})
	}
	provers.Wait()
	_, ok := second.versions.Prove(context.Background(), "model", resumePeriod)
	assert.False(t, ok)
	assert.Equal(t, 1, s.replays, "one call for all")
	s.set(func() { s.isSlow = false })
	assert.Eventually(t, func() bool {
		version, ok := second.versions.Prove(context.Background(), "model", resumePeriod)
		return ok && version == "v1"
	}, 3*time.Second, 50*time.Millisecond)
	assert.Equal(t, 2, s.replays)

	third := startFollowing(t, s, clock.Real{}, 0)
	s.set(func() { s.replays = 0 })
	s.SetFault(func(op, _ string) storetest.Fault {
		if op == "read" {
			return storetest.Refuse
		}
		return storetest.None
	})
	for ended := time.Now().Add(4 * time.Second); time.Now().Before(ended); time.Sleep(50 * time.Millisecond) {
		_, ok := third.versions.Prove(context.Background(), "model", resumePeriod)
		assert.False(t, ok)
	}
	assert.Equal(t, 3, s.replays)
}

// Guards against a second loss of power that finds no checkpoint, or one that an instance has replaced by one of the short time since its own start.
func TestCheckpointOutlivesTwoStarts(t *testing.T) {
	s := &countingStore{Memory: storetest.New()}
	putEndpoint(t, s.Memory, "a", "model", "v1")
	putEndpoint(t, s.Memory, "b", "tool", "v7")
	first := startFollowing(t, s, clock.Real{}, time.Minute)
	first.versions.Checkpoint(context.Background(), resumePeriod)
	first.stop()
	putEndpoint(t, s.Memory, "a", "model", "v1")
	putEndpoint(t, s.Memory, "a", "model", "v1") // heartbeats
	putEndpoint(t, s.Memory, "c", "tool", "v8")
	second := startFollowing(t, s, clock.Real{}, 0)
	_, ok := second.versions.Prove(context.Background(), "model", resumePeriod)
	require.True(t, ok)
	s.Compact()
	putEndpoint(t, s.Memory, "d", "model", "v1")
	require.Eventually(t, func() bool { return second.list.Has("model", "d") }, 2*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond) // until the follower has recorded the version
	second.versions.Checkpoint(context.Background(), resumePeriod)
	second.stop()
	third := startFollowing(t, s, clock.Real{}, 0)
	version, ok := third.versions.Prove(context.Background(), "model", resumePeriod)
	assert.True(t, ok)
	assert.Equal(t, "v1", version)
	_, ok = third.versions.Prove(context.Background(), "tool", resumePeriod)
	assert.False(t, ok)
	third.stop()

	fourth := startFollowing(t, s, clock.Real{}, 0)
	commits := s.Commits()
	s.SetFault(func(op, _ string) storetest.Fault {
		return map[bool]storetest.Fault{true: storetest.Refuse, false: storetest.None}[op == "read"]
	})
	fourth.versions.Checkpoint(context.Background(), time.Nanosecond)
	assert.Equal(t, commits, s.Commits(), "the store has not served the history")
	s.SetFault(func(string, string) storetest.Fault { return storetest.None })
	fourth.stop()
	fourth = startFollowing(t, s, clock.Real{}, 0)
	fourth.versions.Checkpoint(context.Background(), time.Nanosecond)
	fourth.stop()
	fifth := startFollowing(t, s, clock.Real{}, 0)
	_, ok = fifth.versions.Prove(context.Background(), "model", resumePeriod)
	assert.True(t, ok, "replaced by a checkpoint of a shorter time")
	fifth.stop()

	s.Compact()
	commits = s.Commits()
	sixth := startFollowing(t, s, clock.Real{}, 0)
	sixth.versions.Checkpoint(context.Background(), resumePeriod)
	assert.Equal(t, commits, s.Commits(), "an instance that knows too little writes nothing")
}

// Guards against a proof that survives a gap in which the instance missed changes, and against a history that is not read again after it.
func TestHistoryIsReadAgainAfterGap(t *testing.T) {
	s := &countingStore{Memory: storetest.New()}
	putEndpoint(t, s.Memory, "a", "model", "v1")
	clk := clock.NewFake(time.Now())
	first := startFollowing(t, s, clk, time.Minute)
	first.versions.Checkpoint(context.Background(), resumePeriod)
	second := startFollowing(t, s, clk, 0)
	second.stop()
	_, ok := second.versions.Prove(context.Background(), "model", resumePeriod)
	assert.True(t, ok)
	clk.Advance(time.Minute)
	second.list.Confirm(clk.Now())
	_, ok = second.versions.Sole("model", resumePeriod)
	assert.False(t, ok)
	putEndpoint(t, s.Memory, "c", "model", "v2")
	removeEndpoint(t, s.Memory, "c")
	_, ok = second.versions.Prove(context.Background(), "model", resumePeriod)
	assert.False(t, ok, "another version came and left in the gap")
	assert.Equal(t, 3, s.replays)
}

// Guards against checkpoints written without need, by instances that are not to write them, or without end.
func TestCheckpointsAreWrittenOnlyIfStreamsNeedThem(t *testing.T) {
	s := &countingStore{Memory: storetest.New()}
	putEndpoint(t, s.Memory, "a", "model", "v1")
	commits := s.Commits()
	instances := map[string]*followingInstance{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 3)
	for name, isWriter := range map[string]bool{"asked": true, "not asked": true, "no writer": false} {
		instances[name] = startFollowing(t, s, clock.Real{}, time.Minute)
		go instances[name].versions.Run(200*time.Millisecond, func() bool { return isWriter })(ctx, done)
	}
	instances["not asked"].versions.Sole("", resumePeriod) // a route with several services
	for _, name := range []string{"asked", "no writer"} {
		instances[name].versions.Sole("model", 10*time.Minute)
		instances[name].versions.Sole("model", resumePeriod)
	}
	time.Sleep(time.Second)
	cancel()
	for range 3 {
		require.NoError(t, <-done)
	}
	assert.Equal(t, commits+1, s.Commits())
}

// Guards against streams that are not resumed after a loss of power, since a late write replaced the checkpoint by an earlier one.
func TestLateCheckpointDoesNotReplaceLaterOne(t *testing.T) {
	s := &countingStore{Memory: storetest.New()}
	putEndpoint(t, s.Memory, "a", "model", "v1")
	key := store.Key{Table: "versions", Name: "sole"}
	first := startFollowing(t, s, clock.Real{}, time.Minute)
	first.versions.Checkpoint(t.Context(), resumePeriod)
	s.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.LoseRequest
		}
		return storetest.None
	})
	first.versions.Checkpoint(t.Context(), resumePeriod)
	s.SetFault(func(string, string) storetest.Fault { return storetest.None })
	putEndpoint(t, s.Memory, "b", "model", "v1")
	startFollowing(t, s, clock.Real{}, time.Minute).versions.Checkpoint(t.Context(), resumePeriod)
	before, err := store.Get(t.Context(), s, key)
	require.NoError(t, err)
	require.NotZero(t, before.Version)
	s.ApplyLost()
	first.stop()
	after, err := store.Get(t.Context(), s, key)
	require.NoError(t, err)
	assert.Equal(t, before, after)
}

// Guards against a checkpoint of an instance that is behind, which replaces a later one.
func TestEarlierCheckpointDoesNotReplaceLaterOne(t *testing.T) {
	s := &countingStore{Memory: storetest.New()}
	putEndpoint(t, s.Memory, "a", "model", "v1")
	behind := startFollowing(t, s, clock.Real{}, time.Minute)
	behind.versions.Checkpoint(t.Context(), resumePeriod)
	behind.stop()
	putEndpoint(t, s.Memory, "b", "model", "v1")
	startFollowing(t, s, clock.Real{}, time.Minute).versions.Checkpoint(t.Context(), resumePeriod)
	key := store.Key{Table: "versions", Name: "sole"}
	later, err := store.Get(t.Context(), s, key)
	require.NoError(t, err)
	behind.versions.Checkpoint(t.Context(), resumePeriod)
	now, err := store.Get(t.Context(), s, key)
	require.NoError(t, err)
	assert.Equal(t, later, now)
	assert.Equal(t, 4, s.Commits(), "two entries and two checkpoints")
}

// Guards against all instances of a large deployment that read the heartbeats of all endpoints at once.
func TestHistoryOfManyEndpointsIsNotRead(t *testing.T) {
	s := &countingStore{Memory: storetest.New()}
	putEndpoint(t, s.Memory, "a", "model", "v1")
	first := startFollowing(t, s, clock.Real{}, time.Minute)
	first.versions.Checkpoint(context.Background(), resumePeriod)
	first.stop()
	for n := range 300 {
		putEndpoint(t, s.Memory, "e"+strconv.Itoa(n), "model", "v1")
	}
	s.set(func() { s.replays = 0 })
	second := startFollowing(t, s, clock.Real{}, 0)
	_, ok := second.versions.Prove(context.Background(), "model", resumePeriod)
	assert.False(t, ok)
	assert.Zero(t, s.replays)
	commits := s.Commits()
	second.versions.Checkpoint(context.Background(), time.Nanosecond)
	assert.Equal(t, commits, s.Commits(), "a checkpoint that nobody would read")
	removeEndpoint(t, s.Memory, "e0")
	third := startFollowing(t, s, clock.Real{}, 0)
	_, ok = third.versions.Prove(context.Background(), "model", resumePeriod)
	assert.True(t, ok)
	assert.Equal(t, 1, s.replays)
}

// smallPagesStore returns one row a page, and calls between before each page but the
// first of a reading.
type smallPagesStore struct {
	*storetest.Memory
	between func()
}

// Read implements store.Store.
func (small *smallPagesStore) Read(ctx context.Context, r store.Range) (store.Page, error) {
	if r.Limit == 0 {
		if r.From != "" {
			small.between()
		}
		r.Limit = 1
	}
	return small.Memory.Read(ctx, r)
}

// Guards against a version that came and left unseen while the list was read in several pages, by a process that was suspended between them: later pages hold the latest change of each row only.
func TestChangesBetweenPagesOfFullReadLeaveGap(t *testing.T) {
	clk := clock.NewFake(time.Now())
	s := &smallPagesStore{Memory: storetest.New()}
	putEndpoint(t, s.Memory, "a", "model", "v1")
	putEndpoint(t, s.Memory, "b", "model", "v1")
	s.between = sync.OnceFunc(func() {
		putEndpoint(t, s.Memory, "b", "model", "v2")
		putEndpoint(t, s.Memory, "b", "model", "v1")
		clk.Advance(time.Minute)
	})
	instance := startFollowing(t, s, clk, 0)
	assert.Never(t, func() bool {
		_, ok := instance.versions.Sole("model", resumePeriod)
		return ok
	}, 200*time.Millisecond, 5*time.Millisecond)
	clk.Advance(time.Second)
	putEndpoint(t, s.Memory, "c", "model", "v1")
	require.Eventually(t, func() bool { return instance.list.Has("model", "c") }, 2*time.Second, time.Millisecond)
	assert.Eventually(t, func() bool {
		version, ok := instance.versions.Sole("model", time.Second)
		return ok && version == "v1"
	}, 2*time.Second, time.Millisecond)
}
