package logging

import (
	"log/slog"
	"net/http"
	"runtime/debug"
)

// maxStack bounds the stack in the line of a panic, in bytes: the calls next
// to the fault.
const maxStack = 4 << 10

// Panics returns handler with its panics logged as errors, each with the path
// of its request. The server's own line of a panic does not say which request
// it was. http.ErrAbortHandler is meant and not logged. The connection is
// broken off in either case.
func Panics(handler http.Handler, log *slog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			fault := recover()
			if fault == nil {
				return
			}
			if fault != http.ErrAbortHandler {
				stack := debug.Stack()
				log.Error("handler panicked", "panic", fault, "method", r.Method, "path", r.URL.Path, "caller", r.RemoteAddr,
					"stack", string(stack[:min(len(stack), maxStack)]))
			}
			panic(http.ErrAbortHandler)
		}()
		handler.ServeHTTP(w, r)
	})
}
