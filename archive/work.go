package archive

import (
	"context"

	"golang.org/x/sync/semaphore"

	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// minWorkBytes is the least memory for calls to the store.
	minWorkBytes = 1 << 20
	// messageCopies is how often a message to or from the store is in memory while it is
	// encoded, sent, received or decoded.
	messageCopies = 3
	// maxPageBytes is the size of the largest page that the store returns.
	maxPageBytes = 1 << 20
)

// work bounds the memory of the calls to the store that are in progress. It is taken from the
// cache. Calls wait for each other in order of arrival.
type work struct {
	cache *cache
	limit int64
	free  *semaphore.Weighted
}

func newWork(cache *cache) *work {
	limit := max(cache.maxBytes, minWorkBytes)
	return &work{cache: cache, limit: limit, free: semaphore.NewWeighted(limit)}
}

// acquire waits for n bytes, or for all if that is more, and returns the function that frees them.
// If ctx ends first it returns a *store.Error, since the call was not made.
func (work *work) acquire(ctx context.Context, n int64) (release func(), err error) {
	n = min(n, work.limit)
	if err := work.free.Acquire(ctx, n); err != nil {
		return nil, store.NewError(store.FailureRefused, "call", "no memory for the call in time")
	}
	work.cache.lend(n)
	return func() {
		work.cache.lend(-n)
		work.free.Release(n)
	}, nil
}

// boundedStore is a store.Store that commits within the memory for calls.
type boundedStore struct {
	store.Store
	work *work
}

// Commit implements store.Store.
func (bounded *boundedStore) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	release, err := bounded.work.acquire(ctx, int64(messageCopies*tx.Size()))
	if err != nil {
		return 0, err
	}
	defer release()
	return bounded.Store.Commit(ctx, tx)
}
