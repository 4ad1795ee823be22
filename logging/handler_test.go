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

// Symptom: lines of failed calls between instances are two kilobytes long.
// Events: an error that was wrapped on its way is logged. Cause: the text
// handler writes the stack that such an error carries.
func TestErrorsAreLoggedAsTheirMessage(t *testing.T) {
	var out bytes.Buffer
	slog.New(logging.NewHandler(&out)).Info("call failed", "err", eris.Wrap(io.ErrUnexpectedEOF, "instance b"))
	assert.Contains(t, out.String(), `err="instance b: unexpected EOF"`)
	assert.NotContains(t, out.String(), "handler_test.go")
}
