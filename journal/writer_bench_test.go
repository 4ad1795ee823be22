package journal

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/wagtaildrum/wagtaildrum/program"
)

// BenchmarkBatch measures the cost of journaling to an entry instance: the
// processor time and encoded bytes per turn of collecting turns into batches, as
// the number of turns due in one interval grows. A turn has 250 words of input
// and output.
func BenchmarkBatch(b *testing.B) {
	text := strings.Repeat("voyage ", 125)
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("turns=%d", n), func(b *testing.B) {
			w := NewWriter("bench", nil, 0, slog.New(slog.NewTextHandler(io.Discard, nil)))
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				for i := range n {
					c := program.Checkpoint{Index: 2, Base: 1, Spec: program.Spec{ID: "jur-dispute-0001", BudgetTokens: 250_000}, NextSeq: 3,
						Messages: []program.Message{{Role: "user", Content: text}, {Role: "assistant", Content: text}}}
					w.Append(Record{Program: program.ID(fmt.Sprint("p", i)), Epoch: 1, Checkpoint: c})
				}
				bytes = 0
				for batches := w.takeBatches(); len(batches) > 0; batches = w.takeBatches() {
					for _, e := range batches {
						bytes += len(e.raw)
						w.markDurable(e)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/turn")
			b.ReportMetric(float64(bytes)/float64(n), "bytes/turn")
		})
	}
}
