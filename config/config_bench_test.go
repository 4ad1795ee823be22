package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
)

// configWithEndpoints returns a configuration of n engines.
func configWithEndpoints(n int) *Config {
	c := &Config{Version: 1}
	for i := range n {
		c.Endpoints = append(c.Endpoints, Endpoint{Name: "engine-" + strconv.Itoa(i), Role: "engine",
			Model: "model-" + strconv.Itoa(i%6), Sidecar: "10.1." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ":9000",
			DataCentre: "riga-a"})
	}
	return c
}

// BenchmarkConfigDecode measures the processor time of decoding a full
// configuration record, which a watcher does when it starts or has missed too
// many deltas, and reports the size of the record. docs/CAPACITY.md uses the
// growth of both with the number of endpoints.
func BenchmarkConfigDecode(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		raw, err := json.Marshal(configWithEndpoints(n))
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

// BenchmarkMakePlan measures the time to plan the change of one endpoint, as the
// ctl command does.
func BenchmarkMakePlan(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		cur, want := configWithEndpoints(n), configWithEndpoints(n)
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

// BenchmarkDelta measures the cost of one changed endpoint to a watcher as the
// configuration grows: the time to apply the delta and its size, to compare
// with the size of the full record in BenchmarkConfigDecode.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			current := configWithEndpoints(n)
			want := &Config{Endpoints: append([]Endpoint(nil), current.Endpoints...)}
			want.Endpoints[n/2].Draining = true
			d := MakeDelta(current, want)
			raw, err := json.Marshal(d)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := current.ApplyDelta(d); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "bytes/delta")
		})
	}
}
