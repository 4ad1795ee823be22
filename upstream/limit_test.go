package upstream_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// Guards against a body that a client of another service reads without end.
func TestLimitedBodies(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", int(r.ContentLength)))
	}))
	t.Cleanup(server.Close)
	client := &http.Client{Transport: upstream.LimitBodies(http.DefaultTransport, 1000)}
	for size, isWhole := range map[int]bool{1000: true, 1001: false} {
		response, err := client.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.Equal(t, isWhole, err == nil, "%d bytes: %v", size, err)
		assert.Len(t, data, min(size, 1000))
	}
}
