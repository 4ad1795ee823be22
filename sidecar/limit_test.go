package sidecar

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/settings"
)

// maxHeadTaken and maxBodyTaken bound what is taken of a response without end in its head or
// in its body. Both include the buffers of the connection.
const (
	maxHeadTaken = 4 << 20
	maxBodyTaken = 8 << 20
)

// writePause is the pause between the writes of a response without end. Without it the kernel
// takes tens of megabytes for a reader that has to wait for a processor.
const writePause = time.Millisecond

// serveEndless responds to each request with raw and then copies of endless until the
// connection is closed. It returns the URL and the number of bytes written.
func serveEndless(t *testing.T, raw, endless string) (url string, written *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	written = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, err := io.WriteString(conn, raw)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, endless)
					written.Add(int64(n))
					time.Sleep(writePause) // so that what is not read does not fill the buffers
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String() + "/", written
}

// Guards against a sidecar that reads as much as its endpoint sends, for as long as the call may take.
func TestResponsesOfEndpointAreBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("x", 16<<10)
	for _, shape := range []struct {
		name, raw, endless string
		most               int64
	}{
		{name: "no response", raw: "x", endless: long, most: maxHeadTaken},
		{name: "header field", raw: head + "A: ", endless: long, most: maxHeadTaken},
		{name: "header fields", raw: head, endless: strings.Repeat("A: b\r\n", 2<<10), most: maxHeadTaken},
		{name: "body", raw: head + "\r\n", endless: long, most: maxBodyTaken},
		{name: "body of failure", raw: "HTTP/1.1 500 Internal Server Error\r\n\r\n", endless: long, most: maxBodyTaken},
		{name: "chunk extension", raw: head + "Transfer-Encoding: chunked\r\n\r\n1;", endless: long, most: maxHeadTaken},
		{name: "event", raw: head + "\r\ndata: ", endless: long, most: maxBodyTaken},
	} {
		for _, kind := range []peer.Kind{peer.KindEngine, peer.KindTool} {
			t.Run(shape.name+"/"+kind.String(), func(t *testing.T) {
				url, written := serveEndless(t, shape.raw, shape.endless)
				s := New(&settings.Sidecar{Role: "engine", Endpoint: url, MaxConcurrent: 4, MaxQueued: 4}, clock.Real{}, slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				var last peer.Frame
				received := 0
				s.Handle(ctx, &peer.Call{Kind: kind, Tool: "look"}, func(f peer.Frame) error {
					last, received = f, received+len(f.Data)
					return nil
				})
				assert.NoError(t, ctx.Err(), "the call ends before its time")
				assert.Equal(t, peer.FrameFailed, last.Type)
				assert.LessOrEqual(t, received, maxAnswerBytes)
				assert.LessOrEqual(t, written.Load(), shape.most)
				written.Store(0)
				_ = s.cache.poll(ctx) // a response of another status is none
				assert.NoError(t, ctx.Err(), "the poll ends before its time")
				assert.LessOrEqual(t, written.Load(), shape.most)
			})
		}
	}
}
