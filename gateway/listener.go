package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/logging"
)

const (
	// noticeTime is how long a stopping instance still takes connections:
	// the balancer asks for readiness each second and takes two misses to
	// send callers elsewhere.
	noticeTime = 3 * time.Second
	// quietTime is how long nothing may have come on a connection before a
	// stopping instance closes it: a caller that has just connected, or just
	// got an answer, may have sent a request that is not here yet. It covers a
	// way of 50 ms and as much again for a busy machine to read it.
	quietTime = 200 * time.Millisecond
	// lingerTime is how long a connection is still read after that: a request
	// that was sent before the caller learned of the close is here after a
	// way there and one back, of 50 ms each, and as much again for busy
	// machines.
	lingerTime = 200 * time.Millisecond
	// stopMargin before the kill, what is still in flight is given up.
	stopMargin = 500 * time.Millisecond
	// stopPoll is how often a stopping instance looks whether it is done.
	stopPoll = 50 * time.Millisecond
	// headTimeout and idleTimeout are above what configurations give
	// callers for a request's head and between requests.
	headTimeout = 20 * time.Second
	idleTimeout = 60 * time.Second
	// lateLines bounds the lines of a stop about requests that came too late, and
	// those about requests without an answer, so that those of what it cut stand
	// in the same log.
	lateLines = 20
	// lateAccept is the time before the listener's close whose new connections are
	// counted: there are none once the balancer sends callers elsewhere.
	lateAccept = time.Second
	// maxHead bounds a request's head, in bytes.
	maxHead = 64 << 10
)

// Server serves callers' connections. On a stop it cuts no request off.
type Server struct {
	handler http.Handler
	log     *slog.Logger

	mu    sync.Mutex
	conns map[*callerConn]bool
	// closed counts the connections that a stop closed as quiet, late those
	// on which bytes came after that, lateBytes these bytes.
	closed, late, lateBytes int
	// closing is when a stop closes the listener; accepted counts the connections
	// taken within lateAccept before, unanswered those that ended since the stop
	// began after bytes came that nothing was answered to.
	closing              time.Time
	accepted, unanswered int
}

// NewServer returns a server of handler.
func NewServer(handler http.Handler, log *slog.Logger) *Server {
	return &Server{handler: logging.Panics(handler, log), log: log, conns: map[*callerConn]bool{}}
}

// callerListener wraps what it accepts.
type callerListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (listener *callerListener) Accept() (net.Conn, error) {
	raw, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: raw, server: listener.server, since: time.Now()}
	listener.server.began(conn)
	return conn, nil
}

// Serve serves the connections of listener until ctx ends, then stops
// within grace: it still takes connections until the balancer knows, then
// closes those without a request, and ends when the last answer has ended.
// It reports its end on done.
func (server *Server) Serve(ctx context.Context, listener net.Listener, grace time.Duration, done chan<- error) {
	srv := &http.Server{Handler: notingBegin(server.handler), ConnContext: withConn, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead,
		ErrorLog: slog.NewLogLogger(server.log.Handler(), slog.LevelWarn),
		ConnState: func(conn net.Conn, state http.ConnState) {
			if own, ok := conn.(*callerConn); ok && state == http.StateIdle {
				own.rest()
			}
		}}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(&callerListener{Listener: listener, server: server}) }()
	select {
	case err := <-ended:
		done <- err
		return
	case <-ctx.Done():
	}
	began := time.Now()
	server.mu.Lock()
	server.closing = began.Add(noticeTime)
	server.mu.Unlock()
	time.Sleep(noticeTime)
	_ = listener.Close()
	if err := <-ended; err != nil && !errors.Is(err, net.ErrClosed) {
		server.log.Warn("accepting connections ended", "err", err)
	}
	open := server.open()
	for time.Since(began) < grace-stopMargin && server.closeQuiet() > 0 {
		time.Sleep(stopPoll)
	}
	left := server.closeQuiet()
	if left > 0 {
		server.log.Warn("stopping with requests in flight: the time to stop is over", "connections", left)
	}
	server.mu.Lock()
	closed, late, lateBytes := server.closed, server.late, server.lateBytes
	accepted, unanswered := server.accepted, server.unanswered
	server.mu.Unlock()
	server.log.Info("serving ended", "took", time.Since(began), "connections", open, "closed_quiet", closed, "late", late, "late_bytes", lateBytes, "left", left,
		"accepted_last", accepted, "unanswered", unanswered)
	done <- nil
}

// began notes a connection that was taken.
func (server *Server) began(conn *callerConn) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.conns[conn] = true
	if !server.closing.IsZero() && conn.since.After(server.closing.Add(-lateAccept)) {
		server.accepted++
	}
}

// ended notes a connection that ends. During a stop it tells of one that a
// request, or a part of one, came on and nothing was answered to.
func (server *Server) ended(conn *callerConn, unanswered bool) {
	server.mu.Lock()
	_, open := server.conns[conn]
	delete(server.conns, conn)
	tell := open && unanswered && !server.closing.IsZero()
	if tell {
		server.unanswered++
	}
	log := tell && server.unanswered <= lateLines
	server.mu.Unlock()
	if log {
		server.log.Warn("connection ended without an answer", "caller", conn.RemoteAddr(), "since", conn.since)
	}
}

// open returns how many connections there are.
func (server *Server) open() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.conns)
}

// closedQuiet counts a connection that a stop closed.
func (server *Server) closedQuiet() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.closed++
}

// cameLate notes that bytes of a request came on a connection that a stop
// had closed. They were not read before: the request did not run.
func (server *Server) cameLate(conn *callerConn, bytes int, first bool, after time.Duration) {
	server.mu.Lock()
	server.lateBytes += bytes
	if first {
		server.late++
	}
	log := first && server.late <= lateLines
	server.mu.Unlock()
	if log {
		server.log.Warn("request came after its connection was closed", "caller", conn.RemoteAddr(), "bytes", bytes, "after", after)
	}
}

// closeQuiet closes the connections without a request and returns how many
// are left, those included that are still read.
func (server *Server) closeQuiet() int {
	server.mu.Lock()
	conns := make([]*callerConn, 0, len(server.conns))
	for conn := range server.conns {
		conns = append(conns, conn)
	}
	server.mu.Unlock()
	for _, conn := range conns {
		conn.closeIfQuiet()
	}
	return server.open()
}
