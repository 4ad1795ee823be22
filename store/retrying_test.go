package store_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// limitedStore serves a number of reads a second and throttles the others. It
// responds after 4 ms.
type limitedStore struct {
	store.Store
	perSecond int

	mu               sync.Mutex
	second           time.Time
	used             int
	calls, throttled int
}

// Read implements store.Store.
func (limited *limitedStore) Read(ctx context.Context, _ store.Range) (store.Page, error) {
	clock.Sleep(ctx, 4*time.Millisecond)
	limited.mu.Lock()
	defer limited.mu.Unlock()
	limited.calls++
	if now := time.Now(); now.Sub(limited.second) >= time.Second {
		limited.second, limited.used = now, 0
	}
	if limited.used >= limited.perSecond {
		limited.throttled++
		return store.Page{}, store.NewError(store.FailureThrottled, "read", "too many calls")
	}
	limited.used++
	return store.Page{}, nil
}

// Guards against retry amplification: when all instances together exceeded the
// rate limit of the store, each took the rejections for an outage, 25,742 times
// in one start of 518, sent its calls by way of other instances and probed the
// store. A store that throttles a part of the calls must count as available, and
// the rejected calls must be repeated later.
func TestThrottledStoreCountsAsAvailable(t *testing.T) {
	for _, instances := range []int{64, 256, 1024} {
		synctest.Test(t, func(t *testing.T) {
			limited, clk := &limitedStore{perSecond: 10 * instances}, clock.Real{}
			var changes, failed atomic.Int32
			var running sync.WaitGroup
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for range instances {
				guard := store.NewGuard(store.NewRetrying(limited, clk), func(string, bool, error) { changes.Add(1) })
				for range 2 {
					running.Go(func() {
						for clock.Sleep(ctx, rand.N(200*time.Millisecond)) {
							if _, err := guard.Read(ctx, store.Range{Table: "t", Partition: "p"}); err != nil {
								failed.Add(1)
							}
						}
					})
				}
			}
			running.Wait()
			t.Logf("%d instances: %d calls, %d throttled, %d failed in the end, %d changes of availability", instances, limited.calls, limited.throttled, failed.Load(), changes.Load())
			require.Positive(t, limited.throttled)
			assert.Zero(t, changes.Load())
			assert.LessOrEqual(t, limited.calls, instances*2*10*5*3/2, "throttled calls are not repeated at once")
		})
	}
}

// Guards against an instance that waits for a store which rejects all its calls
// as too many, and serves the other instances.
func TestStoreThatThrottlesEveryCallCountsAsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := &limitedStore{}
		guard := store.NewGuard(store.NewRetrying(limited, clock.Real{}), func(string, bool, error) {})
		began := time.Now()
		for !guard.Unavailable("p") {
			_, err := guard.Read(context.Background(), store.Range{Table: "t", Partition: "p"})
			require.Error(t, err)
			require.Less(t, time.Since(began), 5*time.Second)
		}
		assert.Greater(t, time.Since(began), 2*time.Second)
	})
}

// Checks that a throttled call is not repeated beyond its deadline, and that
// other failures are returned at once.
func TestRetryingKeepsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := &limitedStore{}
		retrying := store.NewRetrying(limited, clock.Real{})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := retrying.Read(ctx, store.Range{})
		assert.True(t, store.Is(err, store.FailureThrottled))
		assert.LessOrEqual(t, time.Since(began), 100*time.Millisecond)
		began = time.Now()
		_, err = retrying.Read(context.Background(), store.Range{})
		assert.True(t, store.Is(err, store.FailureThrottled))
		assert.LessOrEqual(t, time.Since(began), 700*time.Millisecond)
	})
}
