package logging

import (
	"io"
	"log/slog"
)

// NewHandler returns a handler that writes key=value lines to out. Errors are
// written as their message: the text handler's own form of an error that
// carries its stack is a page long.
func NewHandler(out io.Writer) slog.Handler {
	return slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: message})
}

func message(_ []string, attr slog.Attr) slog.Attr {
	if err, ok := attr.Value.Any().(error); ok {
		attr.Value = slog.StringValue(err.Error())
	}
	return attr
}
