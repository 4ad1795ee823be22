package logging_test

import (
	"bytes"
	"io"
	"log/slog"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/logging"
)

// Guards against log lines of two kilobytes for failed calls between instances.
// The text handler writes the stack trace of a wrapped error.
func TestHandlerWritesErrorsWithoutStack(t *testing.T) {
	var out bytes.Buffer
	slog.New(logging.NewHandler(&out)).Info("call failed", "err", eris.Wrap(io.ErrUnexpectedEOF, "instance b"))
	assert.Contains(t, out.String(), `err="instance b: unexpected EOF"`)
	assert.NotContains(t, out.String(), "handler_test.go")
}
