package gateway_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// Guards against a response that breaks off after it has begun, and that a caller of HTTP/1.0
// receives as a whole one: it has no chunks, and the end of the connection ends it.
func TestBrokenResponsesDoNotLookWholeToCallersOfVersion10(t *testing.T) {
	for name, test := range map[string]struct {
		path      string
		behaviour platformtest.Behaviour
		isWhole   bool
	}{
		"stream":              {path: "/keep/x", isWhole: true},
		"stream broken off":   {path: "/keep/x", behaviour: platformtest.Behaviour{ResetAfter: 1}},
		"response":            {path: "/post/x", behaviour: platformtest.Behaviour{ResponseSize: 3 << 20}, isWhole: true},
		"response broken off": {path: "/post/x", behaviour: platformtest.Behaviour{ResponseSize: 3 << 20, CutAfter: 2 << 20}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newFixture(t)
			b.limiter = connlimit.New(connlimit.Config{Name: "callers", Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
			for _, endpoint := range []*platformtest.Endpoint{b.model, b.tool} {
				endpoint.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour { return test.behaviour })
			}
			i := b.startInstance()
			conn, err := net.Dial("tcp", i.address)
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: desk.example\r\nX-Request-Id: r\r\nX-Token-Count: 1,2\r\nX-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx", test.path)
			require.NoError(t, err)
			received, err := io.ReadAll(conn)
			if !test.isWhole {
				assert.ErrorIs(t, err, syscall.ECONNRESET)
				return
			}
			assert.NoError(t, err)
			assert.True(t, strings.HasPrefix(string(received), "HTTP/1.0 200 OK\r\n"))
			if test.behaviour.ResponseSize > 0 {
				assert.Greater(t, len(received), test.behaviour.ResponseSize)
			} else {
				assert.Contains(t, string(received), streamText("r", 1, 3))
			}
		})
	}
}
