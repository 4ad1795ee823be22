package entrypeer_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/entrypeer"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// transactionTime is the time that a partition spends on one transaction,
	// and maxQueue the time of transactions that it queues.
	transactionTime = time.Second / 300
	maxQueue        = time.Second
)

// busyPartition is a store with one partition, which executes transactions one
// after another and rejects those beyond its queue.
type busyPartition struct {
	store.Store
	mu               sync.Mutex
	freeAt           time.Time
	calls, throttled int
	rows             map[string]bool
	completedAt      time.Time
}

// Commit implements store.Store.
func (partition *busyPartition) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	done, ok := partition.enqueue()
	if !ok {
		return 0, store.NewError(store.FailureThrottled, "commit", "too many calls on this part")
	}
	if !clock.Sleep(ctx, time.Until(done)) {
		return 0, store.NewError(store.FailureUnanswered, "commit", ctx.Err().Error())
	}
	partition.mu.Lock()
	defer partition.mu.Unlock()
	partition.rows[tx.Puts[0].Key.Name], partition.completedAt = true, time.Now()
	return 1, nil
}

// enqueue returns when a transaction that arrives now is done, and false if it is
// rejected.
func (partition *busyPartition) enqueue() (done time.Time, ok bool) {
	partition.mu.Lock()
	defer partition.mu.Unlock()
	now := time.Now()
	partition.calls++
	if partition.freeAt.Sub(now) > maxQueue {
		partition.throttled++
		return time.Time{}, false
	}
	if partition.freeAt.Before(now) {
		partition.freeAt = now
	}
	partition.freeAt = partition.freeAt.Add(transactionTime)
	return partition.freeAt, true
}

// Guards against a start of all instances that takes many times as long as the
// store needs for it: 8.6 s for 518 instances. Each writes its entry to one
// partition. A rejection was taken for an unavailable store, which delayed the
// next attempt, and the wait in the partition's queue for a lost response, so that
// the entry was written again. The time must grow no faster than the rate of the
// partition demands.
func TestStartStorm(t *testing.T) {
	for _, instances := range []int{64, 256, 518, 1024, 3661} {
		synctest.Test(t, func(t *testing.T) {
			partition, clk := &busyPartition{rows: map[string]bool{}}, clock.Real{}
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			began := time.Now()
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, instances)
			for n := range instances {
				directory := entrypeer.NewDirectory(entrypeer.Instance{Name: fmt.Sprint("i", n)}, clk)
				guard := store.NewGuard(store.NewRetrying(store.NewHedged(partition, clk), clk), func(string, bool, error) {})
				go func() {
					time.Sleep(rand.N(300 * time.Millisecond))
					directory.Join(partition, guard, log)(ctx, done)
				}()
			}
			needed := time.Duration(instances) * transactionTime
			time.Sleep(2*needed + 5*time.Second)
			cancel()
			for range instances {
				require.NoError(t, <-done)
			}
			took := partition.completedAt.Sub(began)
			t.Logf("%d instances: %d calls, %d of them throttled, %v (the store needs %v)", instances, partition.calls, partition.throttled, took, needed)
			assert.Len(t, partition.rows, instances)
			assert.LessOrEqual(t, took, needed*5/4+400*time.Millisecond)
			assert.Equal(t, instances, partition.calls-partition.throttled, "no entry is written twice")
		})
	}
}
