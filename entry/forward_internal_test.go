package entry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/peer"
)

// forwardTo returns the URL of an instance that forwards each request to one that replies with
// the frames.
func forwardTo(t *testing.T, frames []peer.Frame) string {
	t.Helper()
	log, clk := slog.New(slog.NewTextHandler(io.Discard, nil)), clock.Real{}
	owner, err := peer.Listen("127.0.0.1:0", func(_ context.Context, _ *peer.Call, send func(peer.Frame) error) {
		for _, frame := range frames {
			_ = send(frame)
		}
	}, connlimit.New(connlimit.Config{Name: "peers", Log: log, Metrics: tally.NoopScope}), log)
	require.NoError(t, err)
	go func() { _ = owner.Serve(t.Context()) }()
	client := peer.NewClient(clk)
	t.Cleanup(client.Close)
	e := &Entry{clock: clk, log: log, peers: client, avoid: newAvoidList(clk), holderCache: newHolderCache(clk), callTimeout: time.Second}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.forward(w, r, "p", owner.Addr()) }))
	t.Cleanup(server.Close)
	return server.URL
}

// headFrame returns a frame with the head of a response.
func headFrame(t *testing.T, status int, header map[string]string) peer.Frame {
	t.Helper()
	data, err := codec.Marshal(&peer.ForwardHead{Status: status, Header: header})
	require.NoError(t, err)
	return peer.Frame{Type: peer.FrameHead, Data: data}
}

// Guards against callers that receive as a response what the owner of a program replied, and
// that is none: no valid head, none at all, or one without an end.
func TestInvalidRepliesOfOwnersAreNotRelayed(t *testing.T) {
	ok, data, end := headFrame(t, 200, map[string]string{"X-A": "b"}), peer.Frame{Type: peer.FrameData, Data: []byte("whole")}, peer.Frame{Type: peer.FrameEnd}
	for name, test := range map[string]struct {
		frames []peer.Frame
		// isBegun is set if the response has begun before its fault shows.
		isBegun bool
		isWhole bool
	}{
		"whole":               {frames: []peer.Frame{ok, data, end}, isWhole: true},
		"status 000":          {frames: []peer.Frame{headFrame(t, 0, nil), data, end}},
		"status 103":          {frames: []peer.Frame{headFrame(t, 103, nil), data, end}},
		"status 600":          {frames: []peer.Frame{headFrame(t, 600, nil), data, end}},
		"blank in a name":     {frames: []peer.Frame{headFrame(t, 200, map[string]string{"X A": "b"}), data, end}},
		"NUL in a value":      {frames: []peer.Frame{headFrame(t, 200, map[string]string{"X-A": "b\x00"}), data, end}},
		"no head":             {frames: []peer.Frame{data, end}},
		"nothing but its end": {frames: []peer.Frame{end}},
		"refused":             {frames: []peer.Frame{{Type: peer.FrameRefused}}},
		"failed":              {frames: []peer.Frame{{Type: peer.FrameFailed}}},
		"cut":                 {frames: []peer.Frame{ok, data}, isBegun: true},
		"failed after a part": {frames: []peer.Frame{ok, data, {Type: peer.FrameFailed}}, isBegun: true},
		"two heads":           {frames: []peer.Frame{ok, ok, data, end}, isBegun: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			response, err := http.Get(forwardTo(t, test.frames))
			var body []byte
			if err == nil {
				defer func() { _ = response.Body.Close() }()
				body, err = io.ReadAll(response.Body)
			}
			switch {
			case test.isWhole:
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, response.StatusCode)
				assert.Equal(t, "whole", string(body))
				assert.Equal(t, "b", response.Header.Get("X-A"))
			case test.isBegun:
				assert.Error(t, err, "received %q", body)
			default:
				require.NoError(t, err)
				assert.Equal(t, http.StatusBadGateway, response.StatusCode, "received %q", body)
			}
		})
	}
}
