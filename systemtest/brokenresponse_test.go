package systemtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/upstream/upstreamtest"
)

// rawResponse is what an endpoint responds with to each request.
type rawResponse struct {
	text string
	// resetsUpload has the endpoint respond before it has read the request, and reset the
	// connection while the rest of that is on its way.
	resetsUpload bool
}

// respondRaw serves the requests on conn, each with the current response.
func respondRaw(conn *net.TCPConn, current *atomic.Pointer[rawResponse]) {
	_ = conn.SetReadBuffer(8 << 10) // uploads are on their way for a while
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || r.URL.Path == "/health" {
			return
		}
		response := current.Load()
		if !response.resetsUpload {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(response.text, "REQUEST", r.Header.Get("X-Request-Id")))
		if response.resetsUpload {
			_, _ = io.ReadFull(conn, make([]byte, 1)) // more of the upload has arrived
			time.Sleep(20 * time.Millisecond)         // the response is read
			_ = conn.SetLinger(0)
			return
		}
		if strings.Contains(response.text, "Connection: close") {
			return
		}
	}
}

// Guards against callers of a process that get a response with an invalid status, or a part of a response as a whole one.
func TestBrokenResponsesReachNoCaller(t *testing.T) {
	s := newSite(t, 1)
	platformtest.PutConfiguration(s.memory, []byte(strings.Replace(string(platformtest.Configuration(4)), `"max-body-bytes":65536`, `"max-body-bytes":16777216`, 1)))
	var current atomic.Pointer[rawResponse]
	current.Store(&rawResponse{})
	for _, endpoint := range []*platformtest.Endpoint{s.model, s.tool} {
		endpoint.Public = upstreamtest.ServeFunc(t, func(conn *net.TCPConn) {
			respondRaw(conn, &current)
		})
		endpoint.Register(s.memory, "a", "ready")
	}
	time.Sleep(300 * time.Millisecond) // the entries and the configuration are read
	const fields, body = "X-Server-Stamp: s\r\nX-Request-Id: REQUEST\r\n", "a part"
	calls := 0
	play := func(name string, response *rawResponse, upload string, isSound bool) {
		current.Store(response)
		for _, path := range []string{"/post/x", "/look/x"} {
			calls++
			status, got, err := s.fronts[0].post(alone(), path, fmt.Sprint("b", calls), upload, nil)
			if isSound {
				assert.NoError(t, err, "%s %s", name, path)
				assert.Equal(t, http.StatusOK, status, "%s %s", name, path)
				continue
			}
			isWhole := err == nil && (status < 500 || strings.Contains(got, body))
			assert.False(t, isWhole, "%s %s: %d %q", name, path, status, got)
		}
	}
	for name, text := range upstreamtest.InvalidResponses(fields, body) {
		play(name, &rawResponse{text: text}, "x", false)
	}
	for name, text := range upstreamtest.ValidResponses(fields, body) {
		play(name, &rawResponse{text: text}, "x", true)
	}
	for _, status := range []string{"000", "99", "1000", "-20", "2OO"} {
		play("status "+status, &rawResponse{text: "HTTP/1.1 " + status + " OK\r\n" + fields + "Content-Length: 6\r\n\r\n" + body}, "x", false)
	}
	upload := strings.Repeat("x", 12<<20)
	for range 5 {
		play("part of a response, upload reset", &rawResponse{text: "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body, resetsUpload: true}, upload, false)
	}
	t.Logf("%d calls", calls)
	require.Positive(t, calls)
}
