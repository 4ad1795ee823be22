package admission

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

// BenchmarkGate measures one admission (acquire and release) with a given number
// of callers contending for 16 slots.
func BenchmarkGate(b *testing.B) {
	for _, callers := range []int{1, 64, 1024} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			g := NewGate(OldestProgram{MaxShift: DefaultMaxShift}, Limits{Running: 16, Waiting: callers, Urgent: 2}, clock.Real{})
			ctx := context.Background()
			b.ReportAllocs()
			var wg sync.WaitGroup
			per := b.N/callers + 1
			b.ResetTimer()
			for c := range callers {
				wg.Go(func() {
					for range per {
						release, err := g.Acquire(ctx, Ticket{Urgency: c % 3})
						if err != nil {
							panic(err)
						}
						release()
					}
				})
			}
			wg.Wait()
		})
	}
}
