package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
)

func sized(n int) *Config {
	c := &Config{Version: 1}
	for i := range n {
		c.Endpoints = append(c.Endpoints, Endpoint{Name: "engine-" + strconv.Itoa(i), Role: "engine",
			Model: "model-" + strconv.Itoa(i%6), Sidecar: "10.1." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ":9000",
			DataCentre: "riga-a"})
	}
	return c
}

// BenchmarkConfigDecode measures the CPU to take in one configuration
// change as a watcher does today (decode the whole record), and reports
// the record's size, at three sizes: the slopes feed docs/CAPACITY.md.
func BenchmarkConfigDecode(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		raw, err := json.Marshal(sized(n))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(raw)))
			for b.Loop() {
				var c Config
				if err := json.Unmarshal(raw, &c); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "bytes/config")
		})
	}
}

// BenchmarkMakePlan measures ctl's plan of a one-endpoint change.
func BenchmarkMakePlan(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		cur, want := sized(n), sized(n)
		want.Endpoints[n/2].Draining = true
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			for b.Loop() {
				if len(MakePlan(cur, want).Changes()) != 1 {
					b.Fatal("want one change")
				}
			}
		})
	}
}

// BenchmarkDelta measures what one changed endpoint costs a watcher as the
// configuration grows: the bytes of the delta, against those of the whole,
// and the time to apply it.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			held := sized(n)
			want := &Config{Endpoints: append([]Endpoint(nil), held.Endpoints...)}
			want.Endpoints[n/2].Draining = true
			d := MakeDelta(held, want)
			raw, err := json.Marshal(d)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := held.With(d); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "bytes/delta")
		})
	}
}
