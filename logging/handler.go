package logging

import (
	"io"
	"log/slog"
)

// NewHandler returns a handler that writes key=value lines to out. It writes
// errors as their message, because the text handler would write an error that
// carries a stack trace as a page of text.
func NewHandler(out io.Writer) slog.Handler {
	return slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: errorMessage})
}

// errorMessage replaces an attribute's error by its message.
func errorMessage(_ []string, attr slog.Attr) slog.Attr {
	if err, ok := attr.Value.Any().(error); ok {
		attr.Value = slog.StringValue(err.Error())
	}
	return attr
}
