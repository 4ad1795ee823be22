package connlimit_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
)

// serve serves handler on a limited loopback listener and returns its address.
func serve(t *testing.T, limiter *connlimit.Limiter, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := connlimit.NewServer(handler, slog.New(slog.DiscardHandler))
	served := make(chan error, 1)
	go func() { served <- server.Serve(connlimit.NewListener(listener, limiter)) }()
	t.Cleanup(func() {
		_ = server.Close()
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return listener.Addr().String()
}

// echo responds with the number of header lines and the body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if connlimit.IsRefused(err) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintf(w, "%d %s", len(r.Header), body)
}

// dial opens a connection and sends text.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn
}

// readResponse returns the status and the body of the next response.
func readResponse(t *testing.T, conn net.Conn) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// fourByteLines returns header lines of four bytes, 16 KB of them.
func fourByteLines() string {
	const names = "abcdefghijklmnopqrstuvwxyz0123456789"
	var lines strings.Builder
	for n := range 4096 {
		lines.WriteString(string(names[n%len(names)]) + ":\r\n")
	}
	return lines.String()
}

// Guards against a limit that requests within the configured limits meet while there is room: 16 KB of the shortest header lines.
func TestRequestOfShortLinesIsServed(t *testing.T) {
	limiter, _, _ := newLimiter(16<<20, 10)
	address := serve(t, limiter, echo)
	for range 3 {
		status, body := readResponse(t, dial(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"+fourByteLines()+"\r\nhi"))
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, "37 hi", body)
	}
	assert.Eventually(t, func() bool { return limiter.Used() <= 3*20<<10 }, 5*time.Second, time.Millisecond, "memory freed")
}

// Guards against connections that keep others out: the oldest that waits is told that nothing ran, and closed.
func TestOldestConnectionMakesRoom(t *testing.T) {
	limiter, _, _ := newLimiter(16<<20, 2)
	address := serve(t, limiter, echo)
	idle := dial(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	status, _ := readResponse(t, idle)
	require.Equal(t, http.StatusOK, status)
	time.Sleep(20 * time.Millisecond)
	slow := dial(t, address, "GET / HTTP/1.1\r\nHost: a\r\n")
	time.Sleep(20 * time.Millisecond)
	status, _ = readResponse(t, dial(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.Equal(t, http.StatusOK, status)
	status, _ = readResponse(t, idle)
	assert.Equal(t, http.StatusRequestTimeout, status)
	status, _ = readResponse(t, dial(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.Equal(t, http.StatusOK, status)
	status, _ = readResponse(t, slow)
	assert.Equal(t, http.StatusServiceUnavailable, status, "a part of a request was sent")
}

// Guards against crowds that come back so fast that no other client's request arrives before its connection is closed for a newer one.
func TestNewConnectionsAreKeptForARoundTrip(t *testing.T) {
	limiter, _, _ := newLimiter(16<<20, 2)
	address := serve(t, limiter, echo)
	ended := make(chan struct{})
	var crowd sync.WaitGroup
	for range 10 {
		crowd.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				conn, err := net.Dial("tcp", address)
				if err == nil {
					_ = conn.SetReadDeadline(time.Now().Add(time.Second))
					_, _ = io.Copy(io.Discard, conn) // ends with the connection
					_ = conn.Close()
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	conn := dial(t, address, "")
	time.Sleep(50 * time.Millisecond)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	status, _ := readResponse(t, conn)
	assert.Equal(t, http.StatusOK, status)
	close(ended)
	crowd.Wait()
}

// Guards against requests of more memory that are ended, before idle connections, to make room for connections.
func TestConnectionsMakeRoomByAge(t *testing.T) {
	limiter, _, _ := newLimiter(16<<20, 2)
	address := serve(t, limiter, echo)
	idle := dial(t, address, "")
	time.Sleep(20 * time.Millisecond)
	large := dial(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200001\r\n\r\n"+strings.Repeat("x", 200000))
	require.Eventually(t, func() bool { return limiter.Used() > 800000 }, 5*time.Second, time.Millisecond)
	status, _ := readResponse(t, dial(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.Equal(t, http.StatusOK, status)
	status, _ = readResponse(t, idle)
	assert.Equal(t, http.StatusRequestTimeout, status)
	_, err := io.WriteString(large, "x")
	require.NoError(t, err)
	status, _ = readResponse(t, large)
	assert.Equal(t, http.StatusOK, status)
}

// Guards against requests in flight that are ended by other connections: a new one is refused instead.
func TestConnectionIsRefusedWhileAllAreServed(t *testing.T) {
	for name, request := range map[string]string{
		"without a body": "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"with a body":    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi",
	} {
		t.Run(name, func(t *testing.T) {
			limiter, _, scope := newLimiter(16<<20, 1)
			release := make(chan struct{})
			started := make(chan struct{})
			address := serve(t, limiter, func(w http.ResponseWriter, r *http.Request) {
				if r.ContentLength > 0 {
					_, _ = io.ReadAll(r.Body)
				}
				close(started)
				<-release
				_, _ = io.WriteString(w, "whole")
			})
			served := dial(t, address, request)
			<-started
			status, _ := readResponse(t, dial(t, address, ""))
			assert.Equal(t, http.StatusServiceUnavailable, status)
			close(release)
			status, body := readResponse(t, served)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, "whole", body)
			assert.EqualValues(t, 1, scope.Snapshot().Counters()["clients_refused+listener=callers"].Value())
		})
	}
}

// Guards against heads that are parsed without being charged.
func TestHeadsAreCharged(t *testing.T) {
	limiter, _, _ := newLimiter(16<<20, 0)
	address := serve(t, limiter, echo)
	head := "GET / HTTP/1.1\r\n" + fourByteLines()[:8000]
	dial(t, address, head)
	assert.Eventually(t, func() bool { return limiter.Used() >= connlimit.HeadCost([]byte(head)) }, 5*time.Second, time.Millisecond)
}

// Guards against a handler that goes on reading the body of an evicted request since it set a deadline of its own.
func TestEvictedConnectionKeepsItsDeadline(t *testing.T) {
	limiter, _, _ := newLimiter(16<<20, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	limited := connlimit.NewListener(listener, limiter)
	dial(t, listener.Addr().String(), "")
	conn, err := limited.Accept()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.True(t, conn.(*connlimit.Conn).Begin(1))
	dial(t, listener.Addr().String(), "")
	other, err := limited.Accept()
	require.NoError(t, err)
	defer func() { _ = other.Close() }()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = conn.Read(make([]byte, 1))
	assert.True(t, connlimit.IsRefused(err), err)
}

// Guards against a request that runs although its caller was told that it did not: it was evicted with its head complete in a buffer.
func TestEvictedRequestIsNotProcessed(t *testing.T) {
	limiter, _, _ := newLimiter(150<<10, 0)
	address := serve(t, limiter, func(w http.ResponseWriter, r *http.Request) { echo(w, r) })
	conn := dial(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nx")
	require.Eventually(t, func() bool { return limiter.Used() > 60<<10 }, 5*time.Second, time.Millisecond)
	require.NotNil(t, limiter.NewHolder(100<<10, func() {}))
	status, _ := readResponse(t, conn)
	assert.Equal(t, http.StatusServiceUnavailable, status)
}

// Guards against a head without end that is read on, and a response to it that a reset takes away.
func TestOversizedHeadIsRefused(t *testing.T) {
	limiter, _, scope := newLimiter(64<<20, 0)
	address := serve(t, limiter, echo)
	conn := dial(t, address, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("b: "+strings.Repeat("x", 1000)+"\r\n", 1000))
	time.Sleep(50 * time.Millisecond) // a reset would arrive meanwhile
	status, _ := readResponse(t, conn)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	assert.EqualValues(t, 1, scope.Snapshot().Counters()["client_heads_oversized+listener=callers"].Value())
}

// Guards against bodies that are held without being charged.
func TestBodiesAreCharged(t *testing.T) {
	limiter, _, _ := newLimiter(2<<20, 0)
	address := serve(t, limiter, echo)
	conn := dial(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n")
	go func() { _, _ = io.Copy(conn, io.LimitReader(zeros{}, 1000000)) }() // fails once the connection is closed
	status, _ := readResponse(t, conn)
	assert.Equal(t, http.StatusServiceUnavailable, status)
}

// Guards against clients that keep their connections, and keep others out, by not reading responses.
func TestUnreadResponsesEnd(t *testing.T) {
	limiter := connlimit.New(connlimit.Config{Connections: 1, WriteTimeout: 50 * time.Millisecond, Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
	started := make(chan struct{})
	address := serve(t, limiter, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/endless" {
			close(started)
			_, _ = io.Copy(w, zeros{}) // fails once the client does not read
		}
	})
	dial(t, address, "GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	assert.Eventually(t, func() bool {
		status, _ := readResponse(t, dial(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		return status == http.StatusOK
	}, 5*time.Second, 10*time.Millisecond)
}

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// liveHeap returns the memory in use after a garbage collection.
func liveHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// parsedMemory returns the memory of a head that is parsed and copied to be forwarded, or 0 if it
// is not valid.
func parsedMemory(head string) int64 {
	const copies = 20
	kept := make([]*http.Request, 0, copies)
	before := liveHeap()
	for range copies {
		r, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(head), 16))
		if err != nil {
			return 0
		}
		kept = append(kept, r, &http.Request{Header: r.Header.Clone()})
	}
	after := liveHeap()
	runtime.KeepAlive(kept)
	return (after - before) / copies
}

// Guards against heads that take more memory than they are charged for.
func TestCostsCoverMemory(t *testing.T) {
	var distinct, values, trailers strings.Builder
	for n := range 2500 {
		fmt.Fprintf(&distinct, "%x:\r\n", n)
		fmt.Fprintf(&values, "a:%x\r\n", n)
		fmt.Fprintf(&trailers, "%x,", n)
	}
	for name, lines := range map[string]string{
		"distinct names":  distinct.String(),
		"distinct values": values.String(),
		"four bytes":      fourByteLines(),
		"long values":     strings.Repeat("Cookie: "+strings.Repeat("x", 500)+"\r\n", 32),
		"trailers":        "Transfer-Encoding: chunked\r\nTrailer: " + trailers.String() + "z\r\n",
	} {
		head := "POST / HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n"
		measured, charged := parsedMemory(head), connlimit.HeadCost([]byte(head))
		t.Logf("%s: %d bytes of head, %d KB measured, %d KB charged", name, len(head), measured>>10, charged>>10)
		assert.Positive(t, measured, name)
		assert.LessOrEqual(t, measured, charged, name)
	}
}

// FuzzHeadCost checks that no head takes more memory than it is charged for.
func FuzzHeadCost(f *testing.F) {
	f.Add("a:\r\nb:\r\n")
	f.Add("Transfer-Encoding: chunked\r\nTrailer: a,b,c\r\n")
	f.Add(strings.Repeat("x: y\n", 100))
	f.Fuzz(func(t *testing.T, lines string) {
		head := "POST / HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n\r\n"
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		r, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(head), 16))
		if err != nil {
			return
		}
		header := r.Header.Clone()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(header)
		// The allocations of a request without lines, and those of goroutines beside.
		const fixed = 64 << 10
		// Maps and slices double as they grow.
		const growth = 2
		if used := int64(after.TotalAlloc - before.TotalAlloc); used > growth*connlimit.HeadCost([]byte(head))+fixed {
			t.Errorf("%d bytes of memory for a head of %d bytes and %d lines", used, len(head), bytes.Count([]byte(head), []byte{'\n'}))
		}
	})
}

// FuzzConn sends arbitrary bytes in arbitrary parts and checks that all memory is freed once the
// connection is closed, and that nothing is charged beyond the limit.
func FuzzConn(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"), 7)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 1)
	f.Add([]byte("\r\n\r\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, data []byte, part int) {
		const limit = 128 << 10
		limiter, _, _ := newLimiter(limit, 4)
		address := serve(t, limiter, echo)
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		for size := max(part, 1); len(data) > 0; data = data[min(size, len(data)):] {
			if _, err := conn.Write(data[:min(size, len(data))]); err != nil {
				break
			}
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.Copy(io.Discard, conn) // the server may reset the connection
		_ = conn.Close()
		require.Eventually(t, func() bool { return limiter.Used() == 0 }, 5*time.Second, time.Millisecond)
	})
}

// BenchmarkRequest compares requests on kept connections with and without limits.
func BenchmarkRequest(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprintf("limited=%t", limited), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			if limited {
				limiter, _, _ := newLimiter(46<<20, 4000)
				listener = connlimit.NewListener(listener, limiter)
			}
			server := connlimit.NewServer(http.HandlerFunc(echo), slog.New(slog.DiscardHandler))
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(b, err)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nhi")
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
}

// Guards against an aborted response that a client of HTTP/1.0, to which the end of the
// connection ends the body, receives as a whole one.
func TestAbortedResponseDoesNotLookWhole(t *testing.T) {
	limiter := connlimit.New(connlimit.Config{Name: "test", Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
	address := serve(t, limiter, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/aborted" {
			panic(http.ErrAbortHandler)
		}
	})
	received, err := io.ReadAll(dial(t, address, "GET /aborted HTTP/1.0\r\n\r\n"))
	assert.ErrorIs(t, err, syscall.ECONNRESET, "%q", received)
	received, err = io.ReadAll(dial(t, address, "GET /whole HTTP/1.0\r\n\r\n"))
	assert.NoError(t, err)
	assert.True(t, strings.HasSuffix(string(received), "\r\n\r\npart"), "%q", received)
	received, err = io.ReadAll(dial(t, address, "GET /aborted HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NoError(t, err, "the missing last chunk tells")
	assert.True(t, strings.HasSuffix(string(received), "\r\n\r\n4\r\npart\r\n"), "%q", received)
}

// Guards against connections that linger and together use up the descriptors of the process.
func TestManyLingeringConnectionsCloseTheOldest(t *testing.T) {
	const connections, lingering = 40, 5
	limiter := connlimit.New(connlimit.Config{Name: "test", Connections: connections, Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	limited := connlimit.NewListener(listener, limiter)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan int, 3*lingering)
	var clients []net.Conn
	linger := func() {
		n := len(clients)
		clients = append(clients, dial(t, listener.Addr().String(), ""))
		conn, err := limited.Accept()
		require.NoError(t, err)
		go func() {
			conn.(*connlimit.Conn).Linger(ctx)
			ended <- n
		}()
		_, err = clients[n].Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "the write side is shut down")
	}
	for n := range 2 * lingering {
		linger()
		if n >= lingering {
			assert.Equal(t, n-lingering, <-ended, "the oldest is closed")
		}
	}
	require.Empty(t, ended)
	require.NoError(t, clients[2*lingering-1].Close())
	assert.Equal(t, 2*lingering-1, <-ended, "the client has closed the connection")
	linger()
	_, err = clients[lingering].Write(make([]byte, 8<<20))
	require.NoError(t, err, "what the client sends is read, since there was room for one more")
	cancel()
	for range lingering {
		<-ended
	}
}
