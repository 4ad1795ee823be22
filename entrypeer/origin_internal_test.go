package entrypeer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/resumption"
)

// noOrigins implements Origins without holding any.
type noOrigins struct{}

func (noOrigins) Keep(resumption.Key, resumption.Origin) {}

func (noOrigins) Answer(resumption.Query) resumption.Finding { return resumption.Finding{} }

// dataCentres is the number of data centres in the benchmarks.
const dataCentres = 6

// directoryOf returns a directory of n instances.
func directoryOf(n int) *Directory {
	directory := NewDirectory(Instance{Name: "i0", Owner: "i0-1-1", DataCentre: "dc0"}, realClock{})
	for i := range n - 1 {
		name := fmt.Sprint("i", i+1)
		directory.instances[name] = Instance{Name: name, Owner: name + "-1-1", Address: "10.0.0.1:8400", DataCentre: fmt.Sprint("dc", (i+1)%dataCentres)}
	}
	return directory
}

func BenchmarkOriginRecorders(b *testing.B) {
	for _, n := range []int{7, 518, 3700} {
		directory := directoryOf(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				directory.originRecorders(resumption.NewKey("", fmt.Sprint(i)))
			}
		})
	}
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (listener *countingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &listener.bytes}, err
}

// countingConn counts its bytes, both ways.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements io.Reader.
func (conn *countingConn) Read(p []byte) (int, error) {
	n, err := conn.Conn.Read(p)
	conn.bytes.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (conn *countingConn) Write(p []byte) (int, error) {
	n, err := conn.Conn.Write(p)
	conn.bytes.Add(int64(n))
	return n, err
}

// Measures the recording of an origin at one other instance, at both ends, and its
// bytes on an open connection without those of TCP and IP.
func BenchmarkRecordOrigin(b *testing.B) {
	server := httptest.NewUnstartedServer((&Server{Origins: noOrigins{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}).Handler())
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	defer server.Close()
	directory := directoryOf(1)
	directory.instances["i1"] = Instance{Name: "i1", Owner: "i1-1-1", Address: listener.Addr().String(), DataCentre: "dc1"}
	client := NewClient(directory, tally.NoopScope)
	origin := resumption.Origin{Service: "mipu35a", Version: "v1.1", Incarnation: "i-2822a61e87@1764720000000"}
	b.ReportAllocs()
	for i := range b.N {
		if err := client.RecordOrigin(context.Background(), resumption.NewKey("", fmt.Sprint(i)), origin); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(listener.bytes.Load())/float64(b.N), "B/record")
}
