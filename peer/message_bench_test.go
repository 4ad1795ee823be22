package peer

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/wagtaildrum/wagtaildrum/codec"
)

// BenchmarkCallEncode measures the encoding of a call and of the frames of its
// reply, which are one per token and the final frame, and reports the encoded
// bytes per call for three lengths of the reply.
func BenchmarkCallEncode(b *testing.B) {
	body := []byte(`{"model":"fleetdesk","messages":[{"role":"user","content":"` + strings.Repeat("voyage ", 200) + `"}],"stream":true}`)
	chunk := []byte(`{"id":"chatcmpl-1","object":"chat.completion.chunk","model":"fleetdesk","choices":[{"index":0,"delta":{"content":"ledger "},"finish_reason":null}]}`)
	for _, tokens := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			var buf bytes.Buffer
			b.ReportAllocs()
			for b.Loop() {
				buf.Reset()
				enc := codec.NewEncoder(&buf)
				call := Call{Program: "jur-dispute-0001", Sequence: 7, Fence: 3, Kind: KindEngine, Deadline: 1, Body: body}
				if err := enc.Encode(&call); err != nil {
					b.Fatal(err)
				}
				for range tokens {
					if err := enc.Encode(&Frame{Type: FrameData, Data: chunk}); err != nil {
						b.Fatal(err)
					}
				}
				_ = enc.Encode(&Frame{Type: FrameEnd})
			}
			b.ReportMetric(float64(buf.Len()), "bytes/call")
		})
	}
}
