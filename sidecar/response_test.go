package sidecar

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/settings"
	"github.com/wagtaildrum/wagtaildrum/upstream/upstreamtest"
)

// responseBody is a stream of one event, and a plain body.
const responseBody = "data: {}\n\n"

// newSidecar returns a sidecar of the endpoint at address.
func newSidecar(address string) *Sidecar {
	return New(&settings.Sidecar{Role: "engine", Endpoint: "http://" + address + "/", MaxConcurrent: 4, MaxQueued: 4}, clock.Real{}, slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope)
}

// handle has the sidecar serve a call and returns the type of the final frame, and the data.
func handle(s *Sidecar, t *testing.T, call *peer.Call) (last peer.FrameType, data string) {
	t.Helper()
	s.Handle(t.Context(), call, func(f peer.Frame) error {
		last, data = f.Type, data+string(f.Data)
		return nil
	})
	return last, data
}

// Guards against calls that succeed with a response that is none by the rules of the protocol.
func TestInvalidResponsesOfEndpointFailCalls(t *testing.T) {
	for _, kind := range []peer.Kind{peer.KindEngine, peer.KindTool} {
		for name, raw := range upstreamtest.InvalidResponses("", responseBody) {
			last, data := handle(newSidecar(upstreamtest.Serve(t, raw)), t, &peer.Call{Kind: kind, Tool: "look"})
			assert.Equal(t, peer.FrameFailed, last, "%s, %s", kind, name)
			assert.Empty(t, data, "%s, %s", kind, name)
		}
		for name, raw := range upstreamtest.ValidResponses("", responseBody) {
			s := newSidecar(upstreamtest.Serve(t, upstreamtest.Valid("", responseBody), raw))
			for range 2 {
				last, data := handle(s, t, &peer.Call{Kind: kind, Tool: "look"})
				assert.Equal(t, peer.FrameEnd, last, "%s, %s", kind, name)
				assert.NotEmpty(t, data, "%s, %s", kind, name)
			}
		}
	}
}

// Guards against reports that blocks left the endpoint's cache, told by a response that is none.
func TestInvalidResponsesAreNoCacheEvents(t *testing.T) {
	for name, raw := range upstreamtest.InvalidResponses("", `{"events":[],"published":7,"blocks":[],"seq":7}`) {
		assert.Error(t, newSidecar(upstreamtest.Serve(t, raw)).cache.poll(t.Context()), name)
	}
}

// Guards against a part of a response that counts as a whole one: the endpoint responds without
// a length while the request is sent, and resets the connection.
func TestPartOfAnEarlyResponseFailsTheCall(t *testing.T) {
	const upload = 12 << 20 // more than the kernel takes for a connection that is not read
	for _, kind := range []peer.Kind{peer.KindEngine, peer.KindTool} {
		for range 10 {
			address := upstreamtest.ServeFunc(t, func(conn *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+responseBody)
				time.Sleep(10 * time.Millisecond) // the response is read and the upload blocks
				_ = conn.SetLinger(0)
			})
			last, _ := handle(newSidecar(address), t, &peer.Call{Kind: kind, Tool: "look", Body: []byte(strings.Repeat("x", upload))})
			assert.Equal(t, peer.FrameFailed, last, kind)
		}
	}
}
