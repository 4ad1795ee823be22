package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// forwardedHeader marks a request that another entry instance forwarded. It
// is not forwarded again: two instances that each take the other for the
// owner would otherwise forward it endlessly.
const forwardedHeader = "Wagtaildrum-Forwarded"

// retryAfterForward is the Retry-After sent when a request could not be
// forwarded to the program's owner.
const retryAfterForward = time.Second

// relayedHeaders lists the request headers that are copied to a forwarded
// request.
var relayedHeaders = []string{"Content-Type", caller.ProgramHeader, caller.SequenceHeader}

// forwarded reports whether another entry instance forwarded r.
func forwarded(r *http.Request) bool { return r.Header.Get(forwardedHeader) != "" }

// forward sends the request to the entry instance at address, which owns the
// program, and relays the response to the caller. If the owner cannot be
// reached, the caller receives an error which states that the call was not
// run. If the connection fails during the call, the caller is asked to send
// the same sequence number again, or, once the response has begun, the
// connection is closed.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request, id program.ID, address string) {
	if e.avoid.avoids(entryAvoidName(address), false) {
		// The owner was unreachable a moment ago: refuse at once instead of
		// delaying the caller by another handshake that is likely to fail.
		ownerUnreachable().Write(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if failure := bodyError(err); failure != nil {
		failure.Write(w)
		return
	}
	fr := peer.Forward{Method: r.Method, Path: r.URL.Path, Header: map[string]string{forwardedHeader: e.id}, Body: body}
	for _, name := range relayedHeaders {
		if v := r.Header.Get(name); v != "" {
			fr.Header[name] = v
		}
	}
	raw, err := codec.Marshal(&fr)
	if err != nil {
		apiError(err).Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), e.callTimeout+persistTimeout)
	defer cancel()
	relay := relayWriter{w: w}
	sent, err := e.peers.Do(ctx, address, &peer.Call{Kind: peer.KindForward, Program: string(id), Body: raw}, relay.writeFrame)
	if err == nil {
		return
	}
	e.holderCache.drop(id)
	e.log.Info("forwarding to the program's owner failed", "program", id, "owner", address, "sent", sent, "err", err)
	switch {
	case !sent:
		e.avoid.add(entryAvoidName(address), avoidUnreachable, false)
		ownerUnreachable().Write(w)
	case !relay.started:
		// The owner may have run the call. Sending the same sequence number
		// again is safe: it is answered from the log or the intent record.
		caller.NewError(http.StatusBadGateway, caller.TypeUpstreamFailed, "the connection to the instance that owns the program failed during the call; send the same sequence number again").WithRetryAfter(retryAfterForward).Write(w)
	default:
		// Part of the response has been sent. Closing the connection without
		// the stream's final event shows the caller that it is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// entryAvoidName returns the name of the entry instance at address in the
// avoidList.
func entryAvoidName(address string) string { return "entry " + address }

// ownerUnreachable returns the caller's error for a program whose owner
// cannot be reached.
func ownerUnreachable() *caller.Error {
	return caller.NewError(http.StatusServiceUnavailable, caller.TypeUnavailable, "not run: the instance that owns the program cannot be reached").WithRetryAfter(retryAfterForward)
}

// InvalidReplyError is returned if another instance replies to a forwarded request with
// something else than a response.
type InvalidReplyError struct {
	reason string
}

// Error returns what is wrong with the reply.
func (e *InvalidReplyError) Error() string {
	return "invalid reply to a forwarded request: " + e.reason
}

// relayWriter relays the response to a forwarded request to the caller.
type relayWriter struct {
	w       http.ResponseWriter
	started bool
}

// writeFrame writes the header or the data in f to the caller. It returns an
// *InvalidReplyError unless the reply is one valid head, data and its end: a response
// without a head would otherwise become one of status 200.
func (r *relayWriter) writeFrame(f peer.Frame) error {
	switch {
	case f.Type == peer.FrameHead && !r.started:
		return r.writeHead(f.Data)
	case f.Type == peer.FrameData && r.started:
		if _, err := r.w.Write(f.Data); err != nil {
			return err
		}
		if fl, ok := r.w.(http.Flusher); ok {
			fl.Flush()
		}
		return nil
	case f.Type == peer.FrameEnd && r.started:
		return nil
	default:
		return &InvalidReplyError{reason: "unexpected frame " + f.Type.String()}
	}
}

// writeHead writes the header in data, an encoded peer.ForwardHead, to the caller.
func (r *relayWriter) writeHead(data []byte) error {
	var head peer.ForwardHead
	if err := codec.Unmarshal(data, &head); err != nil {
		return err
	}
	if !upstream.IsFinalStatus(head.Status) {
		return &InvalidReplyError{reason: "invalid status"}
	}
	for name, value := range head.Header {
		if !upstream.IsField(name, value) {
			return &InvalidReplyError{reason: "invalid field"}
		}
	}
	for name, value := range head.Header {
		r.w.Header().Set(name, value)
	}
	r.started = true
	r.w.WriteHeader(head.Status)
	return nil
}

// HandlePeer serves a request forwarded by another entry instance. It is a
// peer.Handler.
func (e *Entry) HandlePeer(ctx context.Context, call *peer.Call, send func(peer.Frame) error) {
	if call.Kind != peer.KindForward {
		_ = send(peer.Frame{Type: peer.FrameRefused, Reason: "not_an_endpoint", Message: "an entry instance accepts forwarded requests only"})
		return
	}
	var fr peer.Forward
	if err := codec.Unmarshal(call.Body, &fr); err != nil {
		_ = send(peer.Frame{Type: peer.FrameRefused, Reason: "undecodable", Message: err.Error()})
		return
	}
	r := &http.Request{Method: fr.Method, URL: &url.URL{Path: fr.Path}, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(fr.Body)), ContentLength: int64(len(fr.Body))}
	for name, value := range fr.Header {
		r.Header.Set(name, value)
	}
	fw := &frameWriter{send: send, header: http.Header{}}
	e.handler.ServeHTTP(fw, r.WithContext(ctx))
	fw.WriteHeader(http.StatusOK)
	_ = send(peer.Frame{Type: peer.FrameEnd})
}

// frameWriter is an http.ResponseWriter that sends the response as peer
// frames.
type frameWriter struct {
	send    func(peer.Frame) error
	header  http.Header
	started bool
}

// Header implements http.ResponseWriter.
func (w *frameWriter) Header() http.Header { return w.header }

// Flush implements http.Flusher. It does nothing, since each Write already
// sends a frame.
func (w *frameWriter) Flush() {}

// WriteHeader implements http.ResponseWriter. Calls after the first have no
// effect.
func (w *frameWriter) WriteHeader(status int) {
	if w.started {
		return
	}
	w.started = true
	head := peer.ForwardHead{Status: status, Header: map[string]string{}}
	for name := range w.header {
		head.Header[name] = w.header.Get(name)
	}
	raw, _ := codec.Marshal(&head)
	_ = w.send(peer.Frame{Type: peer.FrameHead, Data: raw})
}

// Write implements http.ResponseWriter.
func (w *frameWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if err := w.send(peer.Frame{Type: peer.FrameData, Data: b}); err != nil {
		return 0, err
	}
	return len(b), nil
}
