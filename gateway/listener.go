package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"github.com/wagtaildrum/wagtaildrum/logging"
	"github.com/wagtaildrum/wagtaildrum/shutdown"
)

const (
	// minIdleTime is how long a connection must be without traffic before a
	// stopping instance closes it, since a caller that has just connected or
	// received a response may have sent a request that has not arrived yet. It
	// covers a network latency of 50 ms and the same again until a busy machine
	// reads the request.
	minIdleTime = 200 * time.Millisecond
	// lingerTimeout is how long a closed connection is still read. A request
	// sent before the caller received the close arrives within a round trip of
	// twice 50 ms; the same again allows for busy machines.
	lingerTimeout = 200 * time.Millisecond
	// abortWait is how long a stopping server waits for handlers whose requests it
	// aborted.
	abortWait = 200 * time.Millisecond
	// stopPoll is the interval at which a stopping server checks whether all
	// connections are closed, and the time to write notRunResponse.
	stopPoll = 50 * time.Millisecond
	// nextConnWait is how long a listener stays open after the last response that a
	// stop waits for. Its caller opens a connection for the next request a round trip
	// later, of up to 100 ms; closing then would reset the connection.
	nextConnWait = 100 * time.Millisecond
	// acceptTimeout bounds accepting a connection that waits, and finishTimeout
	// accepting all of them before the listener closes.
	acceptTimeout = 10 * time.Millisecond
	finishTimeout = 200 * time.Millisecond
	// headTimeout and idleTimeout exceed the time that configurations allow
	// callers to send a request's head and between requests.
	headTimeout = 20 * time.Second
	idleTimeout = 60 * time.Second
	// maxLateLogLines bounds the log lines of one stop about late requests, and
	// separately those about unanswered requests, so that the lines about
	// closed connections stay in the same log file. Before a stop, as many lines
	// about connections may follow at once, and one each connLogInterval.
	maxLateLogLines = 20
	connLogInterval = time.Second
	// lateAcceptWindow is the time before shutdown.Shutdown.AcceptUntil from which on
	// new connections are counted. There are none if the load balancer redirects
	// callers in time.
	lateAcceptWindow = time.Second
	// maxHeaderBytes bounds the size of a request's head.
	maxHeaderBytes = 64 << 10
)

// Server serves callers' connections. When it stops, it lets requests in
// transit or in flight complete, up to the time limit of the stop.
type Server struct {
	handler http.Handler
	log     *slog.Logger

	mu    sync.Mutex
	conns map[*callerConn]bool
	// closed counts the connections that closeIfIdle closed, late those on
	// which bytes arrived afterwards, and lateBytes these bytes.
	closed, late, lateBytes int
	// closing is when callers should have been redirected; zero before a stop.
	// accepted counts the connections accepted from lateAcceptWindow before closing.
	// unanswered counts the connections closed since the stop began without a
	// complete response.
	closing              time.Time
	accepted, unanswered int
	// incomplete counts those that ended without a complete response before the stop,
	// except those whose caller left, and malformed the requests that net/http
	// rejected. limit bounds the lines about both.
	incomplete, malformed int
	limit                 *rate.Limiter
}

// NewServer returns a server that calls handler for each request and logs its
// panics.
func NewServer(handler http.Handler, log *slog.Logger) *Server {
	return &Server{handler: logging.LogPanics(handler, log), log: log, conns: map[*callerConn]bool{}, limit: rate.NewLimiter(rate.Every(connLogInterval), maxLateLogLines)}
}

// callerListener wraps accepted connections in a callerConn.
type callerListener struct {
	net.Listener
	server *Server
	// closeBy is when Accept ends at the latest after finish was called; nil before.
	closeBy atomic.Pointer[time.Time]
}

// Accept implements net.Listener. Once finish was called, it returns net.ErrClosed if no
// connection is waiting.
func (listener *callerListener) Accept() (net.Conn, error) {
	raw, err := listener.Listener.Accept()
	for errors.Is(err, os.ErrDeadlineExceeded) {
		if !time.Now().Before(*listener.closeBy.Load()) || !listener.isPending() {
			return nil, net.ErrClosed
		}
		listener.setDeadline(time.Now().Add(acceptTimeout))
		raw, err = listener.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: raw, server: listener.server, since: time.Now()}
	listener.server.connOpened(conn)
	return conn, nil
}

// finish makes Accept return net.ErrClosed once it has returned the connections that wait
// in the kernel, which closing the listener would reset, for finishTimeout at most.
func (listener *callerListener) finish() {
	closeBy := time.Now().Add(finishTimeout)
	listener.closeBy.Store(&closeBy)
	if !listener.setDeadline(time.Now()) {
		_ = listener.Close()
	}
}

// setDeadline sets the deadline of Accept, and reports whether the listener has one.
func (listener *callerListener) setDeadline(t time.Time) bool {
	limited, ok := listener.Listener.(interface{ SetDeadline(t time.Time) error })
	return ok && limited.SetDeadline(t) == nil
}

// isPending reports whether a connection waits to be accepted.
func (listener *callerListener) isPending() bool {
	socket, ok := listener.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	_ = raw.Control(func(fd uintptr) { // fails if the listener is closed
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return ready > 0
}

// Serve serves connections from listener until ctx ends, which begins the shutdown.
// It goes on accepting connections while callers are redirected, then closes idle
// ones. It accepts new ones until the requests on the others have ended: callers find no
// instance at the address from then until the process has been started again. It waits for
// the remaining responses, and aborts those that are not complete in time. It sends its
// result on done: nil after a stop, otherwise the error of the listener.
func (server *Server) Serve(ctx context.Context, listener net.Listener, stop *shutdown.Shutdown, done chan<- error) {
	srv := &http.Server{Handler: trackRequests(server.handler), ConnContext: withConn, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(server.log.Handler(), slog.LevelWarn),
		ConnState: func(conn net.Conn, state http.ConnState) {
			if tracked, ok := conn.(*callerConn); ok && state == http.StateIdle {
				tracked.responseEnded()
			}
		}}
	ended := make(chan error, 1)
	callers := &callerListener{Listener: listener, server: server}
	go func() { ended <- srv.Serve(callers) }()
	select {
	case err := <-ended:
		done <- err
		return
	case <-ctx.Done():
	}
	began := time.Now()
	stop.Begin()
	server.mu.Lock()
	server.closing = stop.AcceptUntil()
	server.mu.Unlock()
	time.Sleep(time.Until(stop.AcceptUntil()))
	redirected := server.open()
	server.awaitClosed(func() int { return server.countServed(redirected) }, stop.RespondUntil())
	time.Sleep(min(nextConnWait, time.Until(stop.RespondUntil())))
	callers.finish()
	if err := <-ended; err != nil && !errors.Is(err, net.ErrClosed) {
		server.log.Warn("accepting connections failed; waiting for open connections to finish", "err", err)
	}
	remaining := server.awaitClosed(server.openConns, stop.RespondUntil())
	if remaining > 0 {
		server.log.Warn("stop deadline reached; aborting the requests in flight", "connections", remaining)
		stop.Expire()
		server.awaitClosed(server.openConns, time.Now().Add(abortWait))
		server.recordExit()
	}
	server.mu.Lock()
	closed, late, lateBytes := server.closed, server.late, server.lateBytes
	accepted, unanswered := server.accepted, server.unanswered
	server.mu.Unlock()
	server.log.Info("serving ended", "took", time.Since(began), "connections", len(redirected), "closed_quiet", closed, "late", late, "late_bytes", lateBytes, "left", remaining,
		"accepted_last", accepted, "unanswered", unanswered)
	done <- nil
}

// awaitClosed closes idle connections until count returns 0 or the given time has come,
// and returns the count.
func (server *Server) awaitClosed(count func() int, until time.Time) int {
	for {
		server.closeIdle()
		if open := count(); open == 0 || !time.Now().Before(until) {
			return open
		}
		time.Sleep(stopPoll)
	}
}

// connOpened records an accepted connection.
func (server *Server) connOpened(conn *callerConn) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.conns[conn] = true
	if !server.closing.IsZero() && conn.since.After(server.closing.Add(-lateAcceptWindow)) {
		server.accepted++
	}
}

// connClosed removes a connection, and counts and logs one that ends without a
// complete response. A caller that leaves is logged only during a stop, since the
// request has a line of its own.
func (server *Server) connClosed(conn *callerConn, end connEnd) {
	server.mu.Lock()
	_, open := server.conns[conn]
	delete(server.conns, conn)
	stopping := !server.closing.IsZero()
	log, total := false, 0
	switch {
	case !open || end == connEndNone:
	case stopping:
		server.unanswered++
		log, total = server.unanswered <= maxLateLogLines, server.unanswered
	case end != connEndCallerLeft:
		server.incomplete++
		log, total = server.limit.Allow(), server.incomplete
	}
	server.mu.Unlock()
	if log {
		server.log.Warn("connection ended without an answer", append(conn.logAttrs(), "reason", end, "total", total)...)
	}
}

// recordMalformed counts and logs a request that net/http rejected with the given
// status line before it called the handler.
func (server *Server) recordMalformed(conn *callerConn, status string) {
	server.mu.Lock()
	server.malformed++
	log, total := server.limit.Allow(), server.malformed
	server.mu.Unlock()
	if log {
		server.log.Warn("malformed request rejected", "caller", conn.RemoteAddr(), "status", status, "total", total)
	}
}

// recordExit records the connections that the exit of the process closes with a
// request unanswered.
func (server *Server) recordExit() {
	for _, conn := range server.open() {
		if conn.isServing() || conn.end() != connEndNone {
			server.connClosed(conn, connEndExit)
		}
	}
}

// open returns the open connections.
func (server *Server) open() []*callerConn {
	server.mu.Lock()
	defer server.mu.Unlock()
	return slices.Collect(maps.Keys(server.conns))
}

// countServed returns how many of the connections are open and not closed by closeIfIdle.
func (server *Server) countServed(conns []*callerConn) int {
	served := 0
	for _, conn := range conns {
		if server.isOpen(conn) && !conn.isClosed() {
			served++
		}
	}
	return served
}

// isOpen reports whether the connection is open.
func (server *Server) isOpen(conn *callerConn) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.conns[conn]
}

// openConns returns the number of open connections.
func (server *Server) openConns() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.conns)
}

// recordIdleClose counts a connection that closeIfIdle closed.
func (server *Server) recordIdleClose() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.closed++
}

// recordLateBytes counts and logs bytes that arrived after closeIfIdle closed
// the connection. They were not processed, so the request did not run.
func (server *Server) recordLateBytes(conn *callerConn, bytes int, first bool, after time.Duration) {
	server.mu.Lock()
	server.lateBytes += bytes
	if first {
		server.late++
	}
	log := first && server.late <= maxLateLogLines
	server.mu.Unlock()
	if log {
		server.log.Warn("request came after its connection was closed", "caller", conn.RemoteAddr(), "bytes", bytes, "after", after)
	}
}

// closeIdle closes idle connections. They stay open while they are still read.
func (server *Server) closeIdle() {
	for _, conn := range server.open() {
		conn.closeIfIdle()
	}
}
