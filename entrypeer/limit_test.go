package entrypeer_test

import (
	"bufio"
	"context"
	"io"
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
	"github.com/wagtaildrum/wagtaildrum/entrypeer"
	"github.com/wagtaildrum/wagtaildrum/resumption"
)

// maxHeadTaken and maxBodyTaken bound what is taken of a response without end in its head or
// in its body. Both include the buffers of the connection.
const (
	maxHeadTaken = 4 << 20
	maxBodyTaken = 12 << 20
)

// writePause is the pause between the writes of a response without end. Without it the kernel
// takes tens of megabytes for a reader that has to wait for a processor.
const writePause = time.Millisecond

// serveEndless responds to each request with raw and then copies of endless until the
// connection is closed. It returns the address and the number of bytes written.
func serveEndless(t *testing.T, raw, endless string) (address string, written *atomic.Int64) {
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
	return listener.Addr().String(), written
}

// Guards against an instance that reads as much as another one sends in its response, for as long as the call may take.
func TestResponsesOfInstancesAreBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		raw, endless string
		most         int64
	}{
		"no response":     {raw: "x", endless: strings.Repeat("x", 16<<10), most: maxHeadTaken},
		"header field":    {raw: head + "A: ", endless: strings.Repeat("x", 16<<10), most: maxHeadTaken},
		"header fields":   {raw: head, endless: strings.Repeat("A: b\r\n", 2<<10), most: maxHeadTaken},
		"body":            {raw: head + "\r\n", endless: strings.Repeat("x", 16<<10), most: maxBodyTaken},
		"body of failure": {raw: "HTTP/1.1 500 Internal Server Error\r\n\r\n", endless: strings.Repeat("x", 16<<10), most: maxBodyTaken},
		"chunks":          {raw: head + "Transfer-Encoding: chunked\r\n\r\n", endless: strings.Repeat("1000\r\n"+strings.Repeat("x", 4<<10)+"\r\n", 4), most: maxBodyTaken},
		"chunk extension": {raw: head + "Transfer-Encoding: chunked\r\n\r\n1;", endless: strings.Repeat("x", 16<<10), most: maxHeadTaken},
		"trailer":         {raw: head + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", endless: strings.Repeat("x", 16<<10), most: maxHeadTaken},
	} {
		t.Run(name, func(t *testing.T) {
			address, written := serveEndless(t, test.raw, test.endless)
			directory := entrypeer.NewDirectory(entrypeer.Instance{Name: "own", Owner: entrypeer.NewOwner("own", time.Now()), DataCentre: "a"}, clock.Real{})
			directory.Observe(entrypeer.Instance{Name: "other", Owner: entrypeer.NewOwner("other", time.Now()), Address: address, DataCentre: "a"})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := entrypeer.NewClient(directory, tally.NoopScope).FindOrigin(ctx, resumption.Query{Service: "model"})
			require.Error(t, err)
			assert.NoError(t, ctx.Err(), "the call ends before its time")
			assert.LessOrEqual(t, written.Load(), test.most)
		})
	}
}
