package clock

import (
	"context"
	"time"
)

// Every calls f at each interval until ctx ends, then sends nil to done. If a
// call takes longer than interval, the ticks in the meantime are dropped.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time), done chan<- error) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			done <- nil
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}
