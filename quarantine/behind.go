package quarantine

import (
	"context"
	"time"
)

// IsBehind reports whether this instance may have missed reports: the other instances may
// not know of it yet, or it was suspended a short time ago.
func (guard *Guard) IsBehind() bool {
	now := guard.clock.Now()
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.observeTick(now, false)
	return now.Sub(guard.resumedAt) < IntroductionTime || guard.peers.KnownFor() < IntroductionTime
}

// Tick is called at each TickInterval: a tick that is late tells that the instance was
// suspended.
func (guard *Guard) Tick(ctx context.Context) {
	guard.mu.Lock()
	guard.observeTick(guard.clock.Now(), true)
	guard.mu.Unlock()
	guard.refresh(ctx)
	guard.ResolveByList(ctx)
}

// observeTick records a suspension if the last tick was too long ago. The clock that
// measures durations may not count a suspension. The caller must hold mu.
func (guard *Guard) observeTick(now time.Time, isTick bool) {
	elapsed := max(now.Sub(guard.tickedAt), now.Round(0).Sub(guard.tickedAt.Round(0)))
	if elapsed > TickInterval+maxTickDelay {
		guard.resumedAt, guard.tickedAt = now, now
	}
	if isTick {
		guard.tickedAt = now
	}
}

// refresh records what other instances know if this one may have missed reports.
func (guard *Guard) refresh(ctx context.Context) {
	if !guard.IsBehind() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	guard.Receive(guard.peers.FetchReports(ctx))
}

// Load records reports read from the store, and that they were read.
func (guard *Guard) Load(reports []Report) {
	guard.receive(reports, SourceStore)
	guard.isLoaded.Store(true)
}

// IsLoading reports whether this instance has just started and has not read the reports
// in the store yet.
func (guard *Guard) IsLoading() bool {
	return !guard.isLoaded.Load() && guard.clock.Now().Sub(guard.startedAt) < loadTimeout
}
