package entrypeer_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/discovery"
	"github.com/wagtaildrum/wagtaildrum/entrypeer"
	"github.com/wagtaildrum/wagtaildrum/feed"
	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

const followedTable = "followed"

// reader is an entry instance reduced to following the table of instances and
// followedTable.
type reader struct {
	door   *platformtest.StoreServer
	server *httptest.Server
	end    context.CancelFunc
	// suspended makes the reader hold the requests of others.
	suspended atomic.Bool

	mu       sync.Mutex
	value    string
	outages  int
	outdated bool
}

// startReader runs a reader called name until the test ends. With old set, it
// serves no tables to others, as an earlier version of the program.
func startReader(t *testing.T, memory *storetest.Memory, name string, old bool) *reader {
	t.Helper()
	r := &reader{door: platformtest.NewStoreServer(memory), server: httptest.NewUnstartedServer(nil)}
	t.Cleanup(r.door.Close)
	log, clk := slog.New(slog.NewTextHandler(io.Discard, nil)), clock.Real{}
	guard := store.NewGuard(store.NewRetrying(store.NewHedged(platform.NewStore(r.door.Address(), tally.NoopScope), clk), clk), func(string, bool, error) {})
	directory := entrypeer.NewDirectory(entrypeer.Instance{Name: name, Owner: name + "-1", Address: r.server.Listener.Addr().String(), DataCentre: "a"}, clk)
	client := entrypeer.NewClient(directory, tally.NoopScope)
	tables := entrypeer.NewTableReader(entrypeer.NewRelay(guard, client), client, clk, log, tally.NoopScope)
	instances := discovery.NewFollower(tables, directory.Source(log), clk, log, tally.NoopScope)
	followed := discovery.NewFollower(tables, r.source(), clk, log, tally.NoopScope)
	handler := &entrypeer.Server{Store: guard, Directory: directory, Log: log}
	if !old {
		handler.Tables = map[string]*feed.Replica{instances.TableName(): instances.Table(), followedTable: followed.Table()}
	}
	calls := handler.Handler()
	r.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if r.suspended.Load() {
			_, _ = io.Copy(io.Discard, request.Body) // the server detects a closed connection only after the body
			<-request.Context().Done()
			return
		}
		calls.ServeHTTP(w, request)
	})
	r.server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	r.end = func() {
		cancel()
		r.server.CloseClientConnections()
		r.server.Close()
	}
	t.Cleanup(r.end)
	done := make(chan error, 4)
	go guard.Run(ctx, done)
	go directory.Join(guard, guard, log)(ctx, done)
	go instances.Run(ctx, done)
	go followed.Run(ctx, done)
	return r
}

// source returns the source of followedTable. A value lower than the last one
// marks the reader as outdated.
func (r *reader) source() discovery.Source {
	apply := func(row store.Row) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.outdated = r.outdated || string(row.Value) < r.value
		r.value = string(row.Value)
	}
	return discovery.Source{Table: followedTable, WatchTimeout: 1200 * time.Millisecond, Apply: apply,
		OnAvailable: func() {}, OnUnavailable: func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.outages++
		},
		ReplaceAll: func(rows []store.Row) {
			for _, row := range rows {
				apply(row)
			}
		}}
}

// has reports whether the reader has received value.
func (r *reader) has(value string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value == value
}

// writeValue writes number n as the value of the only row of followedTable.
func writeValue(t *testing.T, memory *storetest.Memory, n int) string {
	t.Helper()
	value := fmt.Sprintf("%06d", n)
	require.NoError(t, memory.Apply(store.Transaction{Puts: []store.Put{{Key: store.Key{Table: followedTable, Name: "x"}, Value: []byte(value)}}}))
	return value
}

// requireValue waits until all readers have received value.
func requireValue(t *testing.T, readers []*reader, value string, timeout time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, r := range readers {
			if !r.has(value) {
				return false
			}
		}
		return true
	}, timeout, 5*time.Millisecond, value)
}

// requests returns the number of requests to the store of all readers.
func requests(readers []*reader) int64 {
	var sum int64
	for _, r := range readers {
		sum += r.door.RequestCount()
	}
	return sum
}

// startReaders runs readers, and waits until they read from each other.
func startReaders(t *testing.T, memory *storetest.Memory, count, old int) []*reader {
	t.Helper()
	var readers []*reader
	for n := range count {
		readers = append(readers, startReader(t, memory, fmt.Sprintf("i%02d", n), n < old))
	}
	requireValue(t, readers, writeValue(t, memory, 0), 3*time.Second)
	if old == 0 {
		require.Eventually(t, func() bool {
			before := requests(readers)
			time.Sleep(500 * time.Millisecond)
			return requests(readers)-before <= 8
		}, 15*time.Second, time.Millisecond)
	}
	return readers
}

// Guards against store calls of each instance for each change, and against
// changes that do not arrive when the instances in between end: the changes pass
// from one instance to the others, and still do when half of them have ended.
func TestTablesAreReadFromOtherInstances(t *testing.T) {
	memory := storetest.New()
	readers := startReaders(t, memory, 40, 0)
	before := requests(readers)
	for n := range 20 {
		requireValue(t, readers, writeValue(t, memory, n+1), time.Second)
	}
	assert.LessOrEqual(t, requests(readers)-before, int64(20+30), "one instance reads the changes, for all 40")
	for _, r := range readers[:20] {
		r.end()
	}
	readers = readers[20:]
	for n := range 10 {
		requireValue(t, readers, writeValue(t, memory, n+50), 3*time.Second)
		time.Sleep(100 * time.Millisecond)
	}
	for _, r := range readers {
		assert.False(t, r.outdated)
		assert.Zero(t, r.outages)
	}
}

// Guards against instances that do not notice an outage of the store because
// they do not call it, and take the entries that expire in it for departures.
func TestOutageIsNoticedByInstancesThatDoNotCallTheStore(t *testing.T) {
	memory := storetest.New()
	readers := startReaders(t, memory, 40, 0)
	for _, r := range readers {
		r.door.SetMode(platformtest.ServiceUnavailable)
	}
	time.Sleep(1500 * time.Millisecond)
	value := writeValue(t, memory, 1)
	for _, r := range readers {
		r.door.SetMode(platformtest.Serving)
	}
	requireValue(t, readers, value, 3*time.Second)
	for n, r := range readers {
		assert.Positive(t, r.outages, n)
	}
}

// Guards against a picture that is outdated because the store turns the reading
// instance away and serves the others.
func TestReaderThatStoreTurnsAwayIsReplaced(t *testing.T) {
	memory := storetest.New()
	readers := startReaders(t, memory, 40, 0)
	before := make([]int64, len(readers))
	for n, r := range readers {
		before[n] = r.door.RequestCount()
	}
	time.Sleep(2 * time.Second)
	for n, r := range readers {
		if r.door.RequestCount()-before[n] > 0 {
			r.door.SetMode(platformtest.IgnoreRequests)
		}
	}
	for n := range 3 {
		requireValue(t, readers, writeValue(t, memory, n+1), 4*time.Second)
	}
}

// Guards against a rolling update in which instances of this version receive no
// changes from those of an earlier one, which serve no tables.
func TestEarlierVersionServesNoTables(t *testing.T) {
	memory := storetest.New()
	readers := startReaders(t, memory, 40, 25)
	for n := range 5 {
		requireValue(t, readers, writeValue(t, memory, n+1), 2*time.Second)
		time.Sleep(200 * time.Millisecond)
	}
	response, err := http.Post("http://"+readers[0].server.Listener.Addr().String()+"/entry/feed", "", nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	require.NoError(t, response.Body.Close())
}

// Guards against an instance that starts late because those that it would read
// from are suspended, or lost power with it: it must have the tables within a
// second.
func TestStartDoesNotWaitForSuspendedInstances(t *testing.T) {
	memory := storetest.New()
	readers := startReaders(t, memory, 40, 0)
	value := writeValue(t, memory, 1)
	requireValue(t, readers, value, time.Second)
	for _, r := range readers {
		r.suspended.Store(true)
	}
	began := time.Now()
	started := startReader(t, memory, "new", false)
	requireValue(t, []*reader{started}, value, 2*time.Second)
	assert.Less(t, time.Since(began), time.Second)
}
