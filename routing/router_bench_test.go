package routing

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/wagtaildrum/wagtaildrum/config"
)

func endpoints(n, models int) []config.Endpoint {
	eps := make([]config.Endpoint, n)
	for i := range eps {
		eps[i] = config.Endpoint{Name: "engine-" + strconv.Itoa(i), Role: "engine",
			Model: "model-" + strconv.Itoa(i%models), Sidecar: "10.0.0.1:9000"}
	}
	return eps
}

// BenchmarkPick measures the CPU of one route decision as the endpoints
// known grow; the slope feeds docs/CAPACITY.md. Six models, as in the
// target, so each decision weighs a sixth of the endpoints.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		eps := endpoints(n, 6)
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				if _, ok := Pick(eps, Target{Model: "model-1"}, "program-"+strconv.Itoa(i&1023), nil); !ok {
					b.Fatal("no endpoint")
				}
			}
		})
	}
}
