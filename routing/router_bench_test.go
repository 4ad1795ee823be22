package routing

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/config"
)

// endpoints returns n engine endpoints spread over the given number of
// models.
func endpoints(n, models int) []config.Endpoint {
	eps := make([]config.Endpoint, n)
	for i := range eps {
		eps[i] = config.Endpoint{Name: "engine-" + strconv.Itoa(i), Role: "engine",
			Model: "model-" + strconv.Itoa(i%models), Sidecar: "10.0.0.1:9000"}
	}
	return eps
}

// prompts returns n requests with prompts of the given number of blocks. The
// first quarter of the blocks is shared by all prompts, the remainder is
// distinct.
func prompts(n, blocks int) []*Request {
	rng := rand.New(rand.NewPCG(1, 2))
	shared := make([]uint64, blocks/4)
	for i := range shared {
		shared[i] = rng.Uint64()
	}
	out := make([]*Request, n)
	for i := range out {
		p := append(make([]uint64, 0, blocks), shared...)
		for len(p) < blocks {
			p = append(p, rng.Uint64())
		}
		out[i] = &Request{Target: Target{Model: "model-1"}, Key: "program-" + strconv.Itoa(i), Prompt: p, Tokens: blocks * 16, BlockTokens: 16}
	}
	return out
}

// BenchmarkRoute measures a complete decision (Pick, FirstToken, Done) of each
// policy as the number of endpoints grows; docs/CAPACITY.md uses the slope.
// It has six models, as in the capacity target, and prompts of 800 blocks.
func BenchmarkRoute(b *testing.B) {
	for _, name := range PolicyNames {
		for _, n := range []int{12, 100, 1000, 10000} {
			b.Run(fmt.Sprintf("policy=%s/endpoints=%d", name, n), func(b *testing.B) {
				policy, err := NewPolicy(name, 100_000)
				if err != nil {
					b.Fatal(err)
				}
				r := NewRouter(policy, clock.Real{})
				r.Update(endpoints(n, 6))
				reqs := prompts(1024, 800)
				report := &Report{Running: 4, Limit: 12}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					i++
					c, ok := r.Pick(reqs[i&1023], nil)
					if !ok {
						b.Fatal("no endpoint")
					}
					r.FirstToken(c)
					r.Done(c, Outcome{Completed: true, Cached: 3200, Report: report})
				}
			})
		}
	}
}

// BenchmarkUpdate measures Update with a changed configuration.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			r := NewRouter[Policy](&Affinity{TokensPerSecond: 100_000}, clock.Real{})
			eps := endpoints(n, 6)
			r.Update(eps)
			b.ReportAllocs()
			for b.Loop() {
				r.Update(eps)
			}
		})
	}
}

// BenchmarkIndex measures the time and memory of the cache index for each
// anchor.
func BenchmarkIndex(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("prompts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x := newCacheIndex(n)
				ep := newEndpoint(config.Endpoint{Name: "e"})
				start := time.Now()
				for i := range n {
					x.add(ep, &Request{Prompt: []uint64{uint64(i)}})
				}
				b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(n), "ns/anchor")
			}
		})
	}
}

// BenchmarkRoutePrograms measures a decision of the affinity policy at 10,000
// endpoints as the number of running programs grows to the capacity target of
// 3 million, with each call from a random program. Prompts have 64 blocks, 16
// of them shared.
func BenchmarkRoutePrograms(b *testing.B) {
	for _, n := range []uint64{1000, 30_000, 3_000_000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			r := NewRouter(&Affinity{TokensPerSecond: 100_000}, clock.Real{})
			r.Update(endpoints(10_000, 6))
			rng := rand.New(rand.NewPCG(1, 2))
			prompt := make([]uint64, 64)
			out := Outcome{Completed: true, Report: &Report{Running: 4, Limit: 12}}
			b.ReportAllocs()
			for b.Loop() {
				program := rng.Uint64N(n)
				for i := range prompt {
					prompt[i] = uint64(i + 1)
					if i >= 16 {
						prompt[i] |= (program + 1) << 16
					}
				}
				c, ok := r.Pick(&Request{Target: Target{Model: "model-1"}, Key: strconv.FormatUint(program, 10), Prompt: prompt, Tokens: 1024, BlockTokens: 16}, nil)
				if !ok {
					b.Fatal("no endpoint")
				}
				r.FirstToken(c)
				r.Done(c, out)
			}
		})
	}
}
