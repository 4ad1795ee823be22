package logging_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/logging"
)

// Guards against a request that ends with its connection since its handler panicked, and no line that says so.
func TestPanicInHandlerGoesUnlogged(t *testing.T) {
	var out bytes.Buffer
	handler := logging.Panics(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("no such part") }), slog.New(logging.NewHandler(&out)))
	r := httptest.NewRequest(http.MethodPost, "/keep/x", nil)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { handler.ServeHTTP(httptest.NewRecorder(), r) })
	assert.Equal(t, 1, strings.Count(out.String(), "\n"))
	for _, part := range []string{"level=ERROR", `panic="no such part"`, "path=/keep/x", "panics_test.go"} {
		assert.Contains(t, out.String(), part)
	}
}

// Guards against a line for each answer that is broken off on purpose.
func TestDeliberateAbortIsLoggedAsPanic(t *testing.T) {
	var out bytes.Buffer
	handler := logging.Panics(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), slog.New(logging.NewHandler(&out)))
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	})
	assert.Empty(t, out.String())
}
