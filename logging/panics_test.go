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

// Guards against a request whose connection is closed after a panic of its
// handler without a log line.
func TestLogPanicsLogsPanicWithRequest(t *testing.T) {
	var out bytes.Buffer
	handler := logging.LogPanics(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("no such part") }), slog.New(logging.NewHandler(&out)))
	r := httptest.NewRequest(http.MethodPost, "/keep/x", nil)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { handler.ServeHTTP(httptest.NewRecorder(), r) })
	assert.Equal(t, 1, strings.Count(out.String(), "\n"))
	for _, want := range []string{"level=ERROR", `panic="no such part"`, "path=/keep/x", "panics_test.go"} {
		assert.Contains(t, out.String(), want)
	}
}

// Guards against a log line for each response that is aborted deliberately.
func TestLogPanicsIgnoresErrAbortHandler(t *testing.T) {
	var out bytes.Buffer
	handler := logging.LogPanics(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), slog.New(logging.NewHandler(&out)))
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	})
	assert.Empty(t, out.String())
}
