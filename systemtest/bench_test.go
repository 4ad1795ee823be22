package systemtest

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/dghubble/sling"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/engine"
	"github.com/wagtaildrum/wagtaildrum/program"
)

func cpuTime() time.Duration {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// BenchmarkChatCall measures the processor time of one chat call through
// the whole path in one process: HTTP into the entry, QUIC to the sidecar,
// HTTP to the engine stand-in, and the stream back. It reports cpu-us/call,
// an upper bound for the entry's and sidecar's share (the stand-in and the
// client are included), at three answer lengths.
func BenchmarkChatCall(b *testing.B) {
	t := &testing.T{}
	bed := newBed(t, []engineSpec{{"fleetdesk-1", "fleetdesk"}}, 1)
	prompt := strings.Repeat("voyage ", 200)
	for _, tokens := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			api := sling.New().Client(&http.Client{Timeout: 10 * time.Second}).Base(bed.entryURL[0])
			req := engine.ChatRequest{Model: "fleetdesk", Messages: []program.Message{{Role: "user", Content: prompt}}, MaxTokens: tokens}
			b.SetParallelism(8)
			start := cpuTime()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					var out engine.ChatResponse
					var fail caller.ErrorBody
					resp, err := api.New().Post("v1/chat/completions").BodyJSON(req).Receive(&out, &fail) //nolint:bodyclose // closed by sling
					if err != nil || resp.StatusCode != http.StatusOK {
						b.Errorf("call failed: %v %+v", err, fail)
						return
					}
				}
			})
			b.ReportMetric(float64((cpuTime()-start).Microseconds())/float64(b.N), "cpu-us/call")
		})
	}
}
