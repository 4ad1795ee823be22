package connlimit

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	// RequestCost is the memory of a request while it is served: the stack of its
	// handler, its state, and a connection to forward it, in bytes.
	RequestCost = 40 << 10
	// decodeFactor is the memory for each byte of a body, as received and decoded.
	decodeFactor = 4
	// headTimeout and idleTimeout bound the time for a request's head and between
	// requests.
	headTimeout = 5 * time.Second
	idleTimeout = time.Minute
	// netHTTPHeadBytes is net/http's own limit on heads, above that of each Conn.
	netHTTPHeadBytes = 64 << 10
)

// connKey is the context key of a request's *Conn.
type connKey struct{}

// NewServer returns an HTTP server for a Listener. It charges requests and their bodies to the
// listener's Limiter, and responds with status 503 to those for which there is no room.
func NewServer(handler http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           limitRequests(handler),
		ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: netHTTPHeadBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if limited, ok := conn.(*Conn); ok && state == http.StateIdle {
				limited.Done()
			}
		},
	}
}

// limitRequests returns a handler that calls handler for the requests for which there is room.
func limitRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		if !conn.Begin(RequestCost) || r.ContentLength == 0 && !conn.Proceed() {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			http.Error(w, (&RefusedError{}).Error(), http.StatusServiceUnavailable)
			return
		}
		r.Body = &body{ReadCloser: r.Body, conn: conn}
		defer ResetAborted(r, conn)
		handler.ServeHTTP(w, r)
	})
}

// Reserve charges n bytes to the connection of a request to a handler of NewServer until its
// response is complete. It reports whether there is room; there is always on a connection without
// limits.
func Reserve(r *http.Request, n int64) bool {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	return !ok || conn.Reserve(n)
}

// ResetAborted is deferred by handlers of requests on conn. If the handler panics, as it does to
// abort a response, the connection of a request of HTTP/1.0 ends with a reset: a response to it
// may have no length and be whole once the connection is closed.
func ResetAborted(r *http.Request, conn net.Conn) {
	aborted := recover()
	if aborted == nil {
		return
	}
	if !r.ProtoAtLeast(1, 1) {
		_ = SetLinger(conn, 0)
	}
	panic(aborted)
}

// body charges a request's body to its connection while it is read.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader. It returns a *RefusedError if there is no room.
func (body *body) Read(p []byte) (int, error) {
	n, err := body.ReadCloser.Read(p)
	if n > 0 && !body.conn.Reserve(decodeFactor*int64(n)) || err == io.EOF && !body.conn.Proceed() {
		return 0, &RefusedError{}
	}
	return n, err
}

// IsRefused reports whether err, or one that it wraps, is a *RefusedError: the request should be
// answered with status 503.
func IsRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}
