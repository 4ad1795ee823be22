package logging

import (
	"log/slog"
	"net/http"
	"runtime/debug"
)

// maxStackBytes is the length to which a logged stack trace is cut. The
// innermost calls come first and remain.
const maxStackBytes = 4 << 10

// LogPanics returns a handler that calls handler and logs its panics as errors,
// with the method, path and caller of the request, which the log line of
// net/http lacks. It doesn't log http.ErrAbortHandler, which is a deliberate
// abort. In both cases it panics with http.ErrAbortHandler, so that the server
// closes the connection.
func LogPanics(handler http.Handler, log *slog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			if recovered != http.ErrAbortHandler {
				stack := debug.Stack()
				log.Error("handler panicked", "panic", recovered, "method", r.Method, "path", r.URL.Path, "caller", r.RemoteAddr,
					"stack", string(stack[:min(len(stack), maxStackBytes)]))
			}
			panic(http.ErrAbortHandler)
		}()
		handler.ServeHTTP(w, r)
	})
}
