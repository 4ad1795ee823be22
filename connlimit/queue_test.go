package connlimit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
)

// await calls Await in a goroutine, and sends its result.
func await(ctx context.Context, holder *connlimit.Holder, n int64) <-chan bool {
	result := make(chan bool, 1)
	go func() { result <- holder.Await(ctx, n) }()
	synctest.Wait()
	return result
}

// newHolder returns a holder that has n bytes.
func newHolder(t *testing.T, limiter *connlimit.Limiter, n int64) *connlimit.Holder {
	t.Helper()
	holder := limiter.NewHolder(n, func() {})
	require.NotNil(t, holder)
	return holder
}

// Guards against large requests for which there never is room since those that came later take it first.
func TestReservationsWaitInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, _, _ := newLimiter(6<<20, 0) // 5 MB for large holders
		first, second, third := newHolder(t, limiter, 3<<20), newHolder(t, limiter, 1<<20), newHolder(t, limiter, 200<<10)
		large := await(t.Context(), second, 3<<20)
		assert.Empty(t, large, "waits")
		assert.False(t, third.ReserveInOrder(200<<10), "it would fit")
		later := await(t.Context(), third, 200<<10)
		assert.Empty(t, later, "waits for its turn")
		ordinary := newHolder(t, limiter, 20<<10)
		assert.True(t, <-await(t.Context(), ordinary, 40<<10), "ordinary requests do not wait for large ones")
		first.End()
		assert.True(t, <-large)
		assert.True(t, <-later)
		second.End()
		third.End()
		ordinary.End()
		assert.Zero(t, limiter.Used())
	})
}

// Guards against requests that wait for the memory of each other until their time is over.
func TestReservationsThatWouldBlockEachOtherAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, log, _ := newLimiter(6<<20, 0)
		var holders []*connlimit.Holder
		var results []<-chan bool
		for range 4 {
			holders = append(holders, newHolder(t, limiter, 1200<<10))
		}
		for _, holder := range holders[:2] {
			results = append(results, await(t.Context(), holder, 2<<20))
		}
		assert.False(t, <-await(t.Context(), holders[2], 3<<20), "fits beside none of the others")
		assert.False(t, <-await(t.Context(), holders[3], 10<<20), "never fits")
		assert.Contains(t, log.String(), "refused=1")
		holders[2].End()
		holders[3].End()
		for i, result := range results {
			assert.True(t, <-result, "%d", i)
			holders[i].End()
		}
		assert.Zero(t, limiter.Used())
	})
}

// Guards against reservations that stay in the queue, or charged, once nobody waits for them.
func TestReservationsEndWithTheirRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, _, _ := newLimiter(6<<20, 0)
		first, second, third := newHolder(t, limiter, 4<<20), newHolder(t, limiter, 1<<19), newHolder(t, limiter, 1<<18)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		large, small := await(ctx, second, 2<<20), await(t.Context(), third, 1<<18)
		assert.Empty(t, small)
		assert.False(t, <-large, "its time is over")
		assert.True(t, <-small, "no longer waits for it")
		closed := await(t.Context(), second, 2<<20)
		second.End()
		first.End()
		assert.False(t, <-closed)
		third.End()
		assert.Zero(t, limiter.Used())
	})
}

// Guards against a limit that is exceeded, and against requests that wait forever, in any order of reservations.
func TestReservationsKeepTheLimitAndEnd(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const memory = 6 << 20
				limiter, _, _ := newLimiter(memory, 0)
				var highest, granted atomic.Int64
				var all sync.WaitGroup
				for n := range 60 {
					all.Go(func() {
						rng := rand.New(rand.NewPCG(seed, uint64(n)))
						time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
						holder := limiter.NewHolder(rng.Int64N(400<<10), func() {})
						if holder == nil {
							return
						}
						defer holder.End()
						for range 1 + rng.IntN(3) {
							if !holder.Await(t.Context(), rng.Int64N(2<<20)) {
								return
							}
							granted.Add(1)
							for used := limiter.Used(); used > highest.Load(); {
								highest.Store(used)
							}
							time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
						}
					})
				}
				all.Wait()
				assert.Positive(t, granted.Load())
				assert.LessOrEqual(t, highest.Load(), int64(memory*9/8))
				assert.Zero(t, limiter.Used())
			})
		})
	}
}
