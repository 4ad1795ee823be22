package peer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
)

// Handler serves one call. It sends the frames of its reply with send, the last
// of which must be a FrameEnd, FrameRefused or FrameFailed. ctx is cancelled
// when the caller cancels the call or the connection is lost.
type Handler func(ctx context.Context, call *Call, send func(Frame) error)

// Server accepts peer connections and runs its Handler for each call.
type Server struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	handler   Handler
	limiter   *connlimit.Limiter
	log       *slog.Logger
	// invalidCalls limits the log lines about calls that can't be decoded.
	invalidCalls *rate.Limiter
	// unconfirmed is the number of calls whose caller has not yet confirmed
	// the end of the reply.
	unconfirmed atomic.Int64
}

// confirmTimeout is the maximum time that the server waits for a caller to
// confirm the end of a reply. confirmPollInterval is the interval at which a
// stopping server checks for unconfirmed replies.
const (
	confirmTimeout      = 2 * time.Second
	confirmPollInterval = 5 * time.Millisecond
)

// Listen returns a server that listens for QUIC connections on addr (host:port) within the
// limits of limiter. Connections are accepted once Serve is called.
func Listen(addr string, handler Handler, limiter *connlimit.Limiter, log *slog.Logger) (*Server, error) {
	tlsConf, err := serverTLS()
	if err != nil {
		return nil, err
	}
	local, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen quic %s", addr)
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, eris.Wrapf(err, "listen quic %s", addr)
	}
	s := &Server{socket: socket, handler: handler, limiter: limiter, log: log, invalidCalls: rate.NewLimiter(rate.Every(logInterval), logBurst)}
	s.transport = &quic.Transport{Conn: socket, ConnContext: s.admitConn}
	if s.listener, err = s.transport.Listen(tlsConf, serverConfig()); err != nil {
		_ = socket.Close()
		return nil, eris.Wrapf(err, "listen quic %s", addr)
	}
	return s, nil
}

// Addr returns the address the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts connections until ctx is cancelled. It then closes the listener,
// waits until the replies in progress are confirmed, closes the connections and
// returns nil. It returns an error if accepting a connection fails.
func (s *Server) Serve(ctx context.Context) error {
	defer func() {
		_ = s.transport.Close()
		_ = s.socket.Close()
	}()
	go func() {
		<-ctx.Done()
		_ = s.listener.Close()
	}()
	conns, closeConns := context.WithCancel(context.WithoutCancel(ctx))
	defer closeConns()
	defer s.waitForConfirmations()
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "accept peer connection")
		}
		go s.serveConn(conns, conn)
	}
}

// waitForConfirmations waits up to confirmTimeout until callers have confirmed
// the end of all replies in progress. Closing a connection earlier discards the
// unsent end of a reply whose call has completed: a planned stop would truncate
// responses.
func (s *Server) waitForConfirmations() {
	for end := time.Now().Add(confirmTimeout); s.unconfirmed.Load() > 0 && time.Now().Before(end); {
		time.Sleep(confirmPollInterval)
	}
}

// serveConn serves the calls on conn until ctx is cancelled, then closes conn.
// An open connection would continue to acknowledge keep-alives for a server that
// accepts no more calls, and callers would send calls on it and wait until their
// deadlines.
func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	defer func() { _ = conn.CloseWithError(0, "server stopped") }()
	limited := limitOf(conn)
	limited.opened(conn)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.unconfirmed.Add(1)
		go func() {
			defer s.unconfirmed.Add(-1)
			s.serveStream(stream, limited)
		}()
	}
}

// serveStream runs the handler for the call on stream and waits until the caller
// has confirmed the end of the reply. If there is no room for the call, it refuses it. If
// the call can't be decoded, it logs a warning and ends the reply without a frame.
func (s *Server) serveStream(stream *quic.Stream, limited *limitedConn) {
	defer awaitConfirmation(stream)
	enc := codec.NewEncoder(stream)
	send := func(f Frame) error {
		_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails if the stream is closed
		return enc.Encode(&f)
	}
	holder := s.limiter.NewHolder(callCost, func() { stream.CancelRead(1) })
	if holder == nil {
		refuseCall(send)
		return
	}
	defer holder.End()
	holder.Wait()
	var call Call
	err := codec.NewDecoder(&callReader{reader: stream, holder: holder}).Decode(&call)
	if !holder.Proceed() || connlimit.IsRefused(err) {
		refuseCall(send)
		stream.CancelRead(1)
		return
	}
	if err != nil {
		if s.invalidCalls.Allow() {
			s.log.Warn("peer call not decoded; closing its stream without a reply", "err", err)
		}
		stream.CancelRead(1)
		return
	}
	limited.callBegan()
	defer limited.callEnded()
	// The stream's context is cancelled when the caller cancels the call or
	// disconnects. The handler then cancels the endpoint's work, which releases
	// its resources.
	ctx := stream.Context()
	s.handler(ctx, &call, send)
}

// awaitConfirmation closes the server's side of stream, which ends the reply,
// and waits up to confirmTimeout until the caller has read the full reply and
// closes its side too.
func awaitConfirmation(stream *quic.Stream) {
	_ = stream.Close()
	_ = stream.SetReadDeadline(time.Now().Add(confirmTimeout))
	_, _ = io.Copy(io.Discard, stream)
	stream.CancelRead(0)
}
