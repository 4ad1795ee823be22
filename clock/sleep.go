package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends. It reports whether d passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
