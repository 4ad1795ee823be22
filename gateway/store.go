package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// maxStoreWait bounds how long a request waits for a store that is
	// unavailable to all instances. Outages last seconds: a caller that is
	// refused at once has used all its attempts after three refusals, while one
	// that waits each time has some remaining after eight.
	maxStoreWait = time.Second
	// maxStoreWaitShare bounds that wait as a share of the request's time. The
	// remainder must suffice for the response or for another attempt.
	maxStoreWaitShare = 0.4
	// refusalMargin is how long before the caller's event timeout a request
	// that still waits for the store or another instance is refused. A caller
	// that disconnects first receives no retry delay. The refusal takes some
	// ten milliseconds to arrive, more on a busy link.
	refusalMargin = 300 * time.Millisecond
	// minStoreTimeout is the minimum timeout of calls to the store, however
	// long the request has waited in the queue. A slow store responds within a
	// quarter of a second.
	minStoreTimeout = 300 * time.Millisecond
	// storeRetryInterval is the delay between calls to an unavailable store.
	storeRetryInterval = 60 * time.Millisecond
	// storeRetryAfter is the retry delay while the store is unavailable.
	// Callers limit a delay to a third of their remaining time.
	storeRetryAfter = 400 * time.Millisecond
)

// retryStore calls f until the store serves it, for at most maxStoreWait since
// the request arrived. It cancels f before the caller's event timeout. A
// partitioned instance does not retry, because another instance can serve the
// request.
func (e *exchange) retryStore(ctx context.Context, f func(ctx context.Context) error) error {
	maxWait := min(maxStoreWait, time.Duration(maxStoreWaitShare*float64(e.deadline.Sub(e.arrived))))
	ctx, cancel := context.WithTimeout(ctx, max(e.untilEventTimeout(), minStoreTimeout))
	defer cancel()
	for {
		err := f(ctx)
		if !store.Unserved(err) || e.partitioned() || e.Clock.Now().Sub(e.arrived) >= maxWait {
			return err
		}
		if !clock.Sleep(ctx, storeRetryInterval) {
			return err
		}
	}
}

// untilEventTimeout returns the time until the request has to be refused if its caller is to receive
// the refusal before it gives up waiting for an event.
func (e *exchange) untilEventTimeout() time.Duration {
	return e.arrived.Add(e.eventTimeout() - refusalMargin).Sub(e.Clock.Now())
}

// storeUnavailable returns the refusal of a request that needs the store.
func (e *exchange) storeUnavailable(err error) *refusal {
	retryAfter := storeRetryAfter
	if e.partitioned() {
		retryAfter = otherInstanceRetryAfter
	}
	return refuse(ReasonStoreAway, http.StatusServiceUnavailable, retryAfter, err)
}
