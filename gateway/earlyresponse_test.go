package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/upstream/upstreamtest"
)

const (
	// uploadSize is more than the kernel takes for a connection that is not read.
	uploadSize = 12 << 20
	// smallBuffer is the size of the receive buffer of an endpoint that reads no upload.
	smallBuffer = 8 << 10
)

// earlyEnd is a way in which an endpoint ends a connection on which it has responded before it
// has read the request.
type earlyEnd struct {
	end func(conn *net.TCPConn, upload io.Reader)
	// isInOrder is set if the endpoint closes its side before the connection is reset.
	isInOrder bool
	// readsUpload is set if the endpoint reads the request after it has responded.
	readsUpload bool
}

// earlyEnds holds them by name.
var earlyEnds = map[string]earlyEnd{
	"reset":       {end: func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }},
	"data unread": {end: func(*net.TCPConn, io.Reader) {}},
	"closed, then upload read": {isInOrder: true, readsUpload: true, end: func(conn *net.TCPConn, upload io.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, upload)
	}},
	"upload read, then closed": {isInOrder: true, readsUpload: true, end: func(_ *net.TCPConn, upload io.Reader) {
		_, _ = io.Copy(io.Discard, upload)
	}},
	"closed, reset at once": {isInOrder: true, end: func(conn *net.TCPConn, _ io.Reader) { _ = conn.CloseWrite() }},
	"closed, reset later": {isInOrder: true, end: func(conn *net.TCPConn, _ io.Reader) {
		_ = conn.CloseWrite()
		time.Sleep(20 * time.Millisecond)
	}},
}

// startEarlyEndpoints starts an endpoint of each service, the only one, that responds to each
// request with raw before it has read its body, and ends the connection as told.
func (b *fixture) startEarlyEndpoints(raw string, end earlyEnd) {
	b.t.Helper()
	for _, service := range []*platformtest.Endpoint{b.model, b.tool} {
		service.Public = upstreamtest.ServeFunc(b.t, func(conn *net.TCPConn) { respondEarly(conn, raw, end) })
		service.Register(b.memory, "a", "ready")
	}
}

// respondEarly serves one request as startEarlyEndpoints tells.
func respondEarly(conn *net.TCPConn, raw string, end earlyEnd) {
	if !end.readsUpload {
		_ = conn.SetReadBuffer(smallBuffer)
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || r.URL.Path == "/health" {
		return
	}
	_, _ = io.WriteString(conn, raw)
	if !end.readsUpload {
		_, _ = io.ReadFull(conn, make([]byte, 1)) // more of the upload has arrived
	}
	time.Sleep(20 * time.Millisecond) // the response is read
	end.end(conn, r.Body)
}

// Guards against a part of a response that callers receive as a whole one: an endpoint responds
// without a length while its request is still sent, and resets the connection. One that ends
// its response in order, or tells its length, has sent all of it.
func TestEarlyResponseIsWholeOnlyIfItEndsInOrder(t *testing.T) {
	for name, test := range map[string]struct {
		status  int
		framing string
	}{
		"success without length": {status: 200, framing: "\r\n"},
		"failure without length": {status: 500, framing: "\r\n"},
		"success with length":    {status: 200, framing: fmt.Sprintf("Content-Length: %d\r\n\r\n", len(rawBody))},
	} {
		for how, end := range earlyEnds {
			isWhole := end.isInOrder || strings.Contains(test.framing, "Length")
			for _, path := range []string{"/chat/x", "/look/x", "/post/x"} {
				t.Run(name+"/"+how+path, func(t *testing.T) {
					t.Parallel()
					b := newFixture(t)
					platformtest.PutConfiguration(b.memory, []byte(strings.Replace(string(platformtest.Configuration(4)), `"max-body-bytes":65536`, fmt.Sprintf(`"max-body-bytes":%d`, uploadSize), 1)))
					b.startEarlyEndpoints(fmt.Sprintf("HTTP/1.1 %d A\r\n%s%s%s", test.status, rawFields, test.framing, rawBody), end)
					i := b.startInstance()
					response, body, err := i.send(callerRequest{path: path, id: "r", body: strings.Repeat("x", uploadSize), header: map[string]string{"X-Token-Count": "100,567"}})
					if isWhole {
						require.NoError(t, err)
						assert.Equal(t, test.status, response.StatusCode)
						assert.Equal(t, rawBody, body)
						return
					}
					if err == nil {
						assert.Equal(t, http.StatusBadGateway, response.StatusCode, "received as whole: %q", body)
					}
				})
			}
		}
	}
}
