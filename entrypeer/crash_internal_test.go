package entrypeer

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/quarantine"
)

// noReports implements CrashReports.
type noReports struct{}

func (noReports) Receive([]quarantine.Report) {}

func (noReports) Reports(int) []quarantine.Report { return nil }

// Guards against calls that end before the instances behind the called one have responded.
func TestLevelsOfInstancesThatPassReportsOn(t *testing.T) {
	for n, want := range map[int]int{0: 0, 1: 1, 16: 1, 17: 2, 32: 2, 231: 2, 300: 3} {
		assert.Equal(t, want, levels(n), "%d instances", n)
	}
}

// Measures the publication of a report to one other instance, at both ends, and its
// bytes on an open connection without those of TCP and IP.
func BenchmarkPublishReports(b *testing.B) {
	server := httptest.NewUnstartedServer(nil)
	directory := directoryOf(1)
	client := NewClient(directory, tally.NoopScope)
	server.Config.Handler = (&Server{Crashes: noReports{}, Client: client, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}).Handler()
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	defer server.Close()
	clear(directory.instances)
	directory.instances["i1"] = Instance{Name: "i1", Owner: "i1-1-1", Address: listener.Addr().String(), DataCentre: "dc1"}
	now := time.Now()
	reports := []quarantine.Report{{Key: quarantine.Key{1}, Attempt: 1 << 63, Incarnation: "i-2822a61e87@1764720000000", State: quarantine.StateCrashed, SentAt: now, At: now}}
	b.ReportAllocs()
	for range b.N {
		if received, _ := client.PublishReports(context.Background(), reports); received != 1 {
			b.Fatal("not received")
		}
	}
	b.ReportMetric(float64(listener.bytes.Load())/float64(b.N), "B/report")
}
