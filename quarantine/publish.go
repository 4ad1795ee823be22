package quarantine

import (
	"context"
	"time"
)

// publication is a set of reports that are published together.
type publication struct {
	reports []Report
	// done is closed once the reports are published.
	done chan struct{}
}

// publish has reports published and returns when that is done, or publishTimeout later.
func (guard *Guard) publish(ctx context.Context, reports ...Report) {
	done := guard.startPublishing(ctx, reports...)
	timer := time.NewTimer(publishTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// startPublishing has reports published and returns a channel that is closed when that is
// done. It goes on if ctx ends: the caller may leave because the endpoint crashed.
func (guard *Guard) startPublishing(ctx context.Context, reports ...Report) <-chan struct{} {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if guard.pending == nil {
		guard.pending = &publication{done: make(chan struct{})}
	}
	batch := guard.pending
	if len(batch.reports)+len(reports) > maxPending {
		guard.dropped.Inc(int64(len(reports)))
		return batch.done
	}
	batch.reports = append(batch.reports, reports...)
	if guard.publishing < maxPublications {
		guard.publishing++
		go guard.publishPending(context.WithoutCancel(ctx))
	}
	return batch.done
}

// publishPending publishes what is pending until nothing is. A publication that takes
// longer than stallTime, since an instance does not respond, does not hold up the next one.
func (guard *Guard) publishPending(ctx context.Context) {
	for {
		guard.mu.Lock()
		batch := guard.pending
		guard.pending = nil
		if batch == nil {
			guard.publishing--
			guard.mu.Unlock()
			return
		}
		guard.mu.Unlock()
		go guard.publishBatch(ctx, batch)
		timer := time.NewTimer(stallTime)
		select {
		case <-batch.done:
			timer.Stop()
			continue
		case <-timer.C:
		}
		select {
		case guard.stalled <- struct{}{}:
			go func() {
				<-batch.done
				<-guard.stalled
			}()
		case <-batch.done:
		}
	}
}

// publishBatch publishes a batch and closes its done channel.
func (guard *Guard) publishBatch(ctx context.Context, batch *publication) {
	if received, instances := guard.peers.PublishReports(ctx, batch.reports); received < instances {
		guard.log.Info("crash reports not received by all instances", "reports", len(batch.reports), "received", received, "instances", instances)
	}
	guard.published.Inc(int64(len(batch.reports)))
	close(batch.done)
}
