package clock

import (
	"context"
	"time"
)

// Every calls f each interval until ctx ends, then reports on done. A call
// that takes longer than the interval leaves out the next ones.
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
