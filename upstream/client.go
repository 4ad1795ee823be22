package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wagtaildrum/wagtaildrum/tcp"
)

// Bounds of a connection.
const (
	// connectTimeout bounds dialling. A running endpoint accepts within a few
	// milliseconds; one that lost power or is partitioned never does.
	connectTimeout = 400 * time.Millisecond
	// unackedTimeout closes a connection whose peer does not acknowledge the
	// data sent, as after a network partition or a power loss.
	unackedTimeout = 800 * time.Millisecond
	// maxIdleTime is how long an unused connection is kept, and the upper bound
	// if the endpoint announces a keep-alive timeout. idleMargin is subtracted
	// from the announced timeout, so that the endpoint doesn't close a
	// connection just as it is reused.
	maxIdleTime = 4 * time.Second
	idleMargin  = 500 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to an endpoint, so that
	// all instances together stay far below the number that it accepts.
	maxIdlePerEndpoint = 12
	// maxInlineBody is the size of the largest body, in bytes, that is written
	// in full before the response is read.
	maxInlineBody = 2048
	// maxHeadBytes bounds what is read of a response until its head is complete,
	// including interim responses. It is also the largest head of a request that callers
	// may send.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of the same: a short header field takes thirty times
	// its length in memory.
	maxHeadLines = 256
	// maxSkippedBytes bounds the body of a response to an earlier request that is
	// skipped.
	maxSkippedBytes = 1 << 20
	// maxMismatched is the number of responses to earlier requests that are
	// skipped on one connection.
	maxMismatched = 2
)

// Request is a request to an endpoint.
type Request struct {
	// Address is the endpoint's host and port.
	Address string
	Method  string
	// Target is the path and query as sent by the caller.
	Target string
	// Host is the value of the Host header.
	Host   string
	Header http.Header
	// Prefix holds the parts of the body that precede Body.
	Prefix [][]byte
	Body   []byte
	// HasBody tells an empty body from no body: with an empty one a
	// Content-Length of 0 is sent.
	HasBody bool
	// IDHeader is the name of the request header that the response echoes. A
	// response with another value in it belongs to another request, as does a
	// success without it on a connection that was used before.
	IDHeader string
}

// bodySize returns the size of the whole body.
func (request *Request) bodySize() int {
	size := len(request.Body)
	for _, part := range request.Prefix {
		size += len(part)
	}
	return size
}

// buffers returns the encoded request with the given head.
func (request *Request) buffers(head []byte) net.Buffers {
	buffers := make(net.Buffers, 0, len(request.Prefix)+2)
	buffers = append(buffers, head)
	buffers = append(buffers, request.Prefix...)
	return append(buffers, request.Body)
}

// Response is the response of an endpoint. Body returns io.EOF only if the body
// is complete. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	client *Client
	conn   *conn
	body   io.ReadCloser
	// complete is set once the end of the body has been read.
	complete atomic.Bool
	// closed is set once Close was called.
	closed bool
	// reusable is unset if the endpoint closes the connection after the
	// response.
	reusable bool
	// stop ends the watch for the end of the request's context. It returns
	// false if the context ended before.
	stop func() bool
	// sent receives the result of sending a long request; it is nil if the
	// request was written before the response was read.
	sent <-chan error
}

// Client sends requests to endpoints and keeps idle connections to them. It is
// safe for concurrent use. Use NewClient.
type Client struct {
	dialer *tcp.Dialer
	opened atomic.Int64

	mu sync.Mutex
	// idle holds the idle connections by address, the last used one last.
	idle map[string][]*conn
	// probes holds the probes in progress, and watches the connections watched by
	// address.
	probes  map[probeKey]*probe
	watches map[string]*probe
}

// conn is a connection to an endpoint. expires is set while it is idle.
type conn struct {
	*tcp.Conn
	address string
	limit   *limitReader
	heads   *headReader   // of limit
	reader  *bufio.Reader // of heads
	expires time.Time
	// served is set once a response was read from the connection.
	served bool
}

// NewClient returns a Client without connections.
func NewClient() *Client {
	return &Client{idle: map[string][]*conn{}, probes: map[probeKey]*probe{}, watches: map[string]*probe{}, dialer: tcp.NewDialer(connectTimeout, unackedTimeout)}
}

// ConnectionsOpened returns the number of connections opened so far.
func (client *Client) ConnectionsOpened() int64 { return client.opened.Load() }

// Do sends request and returns the response once its head has been read. When
// ctx ends before Close is called, the connection is closed and reading the
// body fails. Every error is an *Error, whose stage tells whether the endpoint
// may have received the request. Do never sends a request twice.
func (client *Client) Do(ctx context.Context, request *Request) (*Response, error) {
	c, err := client.getConn(ctx, request)
	if err != nil {
		return nil, &Error{stage: StageConnect, address: request.Address, err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // makes the pending read or write fail
	fail := func(stage Stage, err error) (*Response, error) {
		stop()
		_ = c.Close() // not reusable after a failure
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{stage: stage, address: request.Address, err: err}
	}
	head := encodeHead(request)
	var sent <-chan error
	if request.bodySize() <= maxInlineBody {
		if _, err := c.Write(bytes.Join(request.buffers(head), nil)); err != nil {
			return fail(StageSend, err)
		}
	} else {
		sent = c.send(request.buffers(head))
	}
	received, err := c.readHead(request)
	if err != nil {
		return fail(stageOf(err), err)
	}
	response := &Response{Status: received.status, Header: received.header, client: client, conn: c, body: received.body, stop: stop, sent: sent, reusable: !received.closing}
	response.Body = &bodyReader{response: response}
	return response, nil
}

// stageOf returns the stage of a failure to read the head of a response:
// StageSend if the connection failed, StageHead if the data received is not a
// valid response to the request.
func stageOf(err error) Stage {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return StageSend
	}
	return StageHead
}

// send writes a long request concurrently with reading the response, and sends
// the result on the returned channel. An endpoint may respond before it has
// read the body and then stop reading, which would block a writer that has to
// finish first.
func (c *conn) send(buffers net.Buffers) <-chan error {
	sent := make(chan error, 1)
	go func() {
		_, err := c.WriteBuffers(buffers)
		sent <- err
	}()
	return sent
}

// responseHead is the head of a response, with the body still to be read.
type responseHead struct {
	status int
	header http.Header
	body   io.ReadCloser
	// closing is set if the endpoint closes the connection after the response.
	closing bool
}

// readHead reads the head of the response to request. It skips interim (1xx)
// responses and up to maxMismatched responses to earlier requests. It returns a
// *ResponseMismatchError for one that it cannot skip, an *InvalidHeadError for what is no
// response, and a *HeadTooLongError if more than maxHeadBytes or maxHeadLines come without a
// head.
func (c *conn) readHead(request *Request) (*responseHead, error) {
	mismatched := 0
	c.limit.remaining, c.limit.lines = maxHeadBytes, maxHeadLines
	defer func() { c.limit.remaining = unlimited }()
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
		if err := c.heads.expect(buffered); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < 200 {
			continue
		}
		want := request.Header.Get(request.IDHeader)
		got := response.Header.Get(request.IDHeader)
		if got == want || got == "" && !c.mayBeExtra(response) {
			c.served = true
			return &responseHead{status: response.StatusCode, header: response.Header, body: response.Body, closing: response.Close}, nil
		}
		mismatched++
		if mismatched > maxMismatched || response.Close || response.ContentLength < 0 || response.ContentLength > maxSkippedBytes {
			return nil, &ResponseMismatchError{want: want, got: got}
		}
		c.limit.remaining, c.limit.lines = c.limit.remaining+response.ContentLength, unlimited
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		if err := response.Body.Close(); err != nil {
			return nil, err
		}
		c.limit.lines = maxHeadLines
	}
}

// mayBeExtra reports whether a response that names no request may be the rest of an earlier
// exchange on the connection. A failure is passed on, since those that reject a request may not
// know its ID.
func (c *conn) mayBeExtra(response *http.Response) bool {
	return c.served && response.StatusCode < http.StatusMultipleChoices
}

// encodeHead returns the encoded request line and header of request.
func encodeHead(request *Request) []byte {
	var buf bytes.Buffer
	buf.WriteString(request.Method)
	buf.WriteByte(' ')
	buf.WriteString(request.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(request.Host)
	buf.WriteString("\r\n")
	_ = request.Header.Write(&buf) // writing to a bytes.Buffer cannot fail
	if size := request.bodySize(); request.HasBody || size > 0 {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(size))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
	return buf.Bytes()
}

// getConn returns an idle connection to the endpoint of request, or opens one.
// It returns the error of the dialler.
func (client *Client) getConn(ctx context.Context, request *Request) (*conn, error) {
	if c := client.takeIdle(request.Address); c != nil {
		return c, nil
	}
	raw, err := client.dialer.Dial(ctx, request.Address)
	if err != nil {
		return nil, err
	}
	client.opened.Add(1)
	return newConn(raw, request.Address), nil
}

// newConn returns an open connection to the endpoint at address.
func newConn(raw *tcp.Conn, address string) *conn {
	limit := &limitReader{reader: raw, remaining: unlimited}
	heads := &headReader{reader: limit}
	return &conn{Conn: raw, address: address, limit: limit, heads: heads, reader: bufio.NewReader(heads)}
}

// takeIdle removes and returns the most recently used idle connection to
// address that is still usable, and nil if there is none.
func (client *Client) takeIdle(address string) *conn {
	now := time.Now()
	for {
		client.mu.Lock()
		list := client.idle[address]
		if len(list) == 0 {
			client.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		client.idle[address] = list[:len(list)-1]
		client.mu.Unlock()
		if now.Before(c.expires) && c.clean() {
			return c
		}
		_ = c.Close() // expired, closed by the endpoint, or with data that no request accounts for
	}
}

// HasIdleConn reports whether an idle connection to address is kept. It does not
// check whether the endpoint has closed it.
func (client *Client) HasIdleConn(address string) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	list := client.idle[address]
	return len(list) > 0 && time.Now().Before(list[len(list)-1].expires)
}

// clean reports whether the connection is open and has received no data since
// the last response.
func (c *conn) clean() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		clean = rerr == unix.EAGAIN
		return true
	})
	return err == nil && clean
}

// putIdle keeps c for reuse for the given time, or closes it if
// maxIdlePerEndpoint connections to its endpoint are idle already.
func (client *Client) putIdle(c *conn, idle time.Duration) {
	c.expires = time.Now().Add(idle)
	client.mu.Lock()
	defer client.mu.Unlock()
	if len(client.idle[c.address]) >= maxIdlePerEndpoint {
		_ = c.Close() // maxIdlePerEndpoint reached
		return
	}
	client.idle[c.address] = append(client.idle[c.address], c)
}

// CloseIdle closes the idle connections to address, for an endpoint whose process
// has terminated. If it is partitioned as well, the connections stay silent,
// and each would cost a request unackedTimeout.
func (client *Client) CloseIdle(address string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	for _, c := range client.idle[address] {
		_ = c.Close() // the error has no consequence: the peer has terminated
	}
	delete(client.idle, address)
}

// CloseExpired closes the idle connections that have expired.
func (client *Client) CloseExpired() {
	now := time.Now()
	client.mu.Lock()
	defer client.mu.Unlock()
	for address, list := range client.idle {
		unexpired := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				unexpired = append(unexpired, c)
				continue
			}
			_ = c.Close() // the error has no consequence: the connection is idle
		}
		client.idle[address] = unexpired
		if len(unexpired) == 0 {
			delete(client.idle, address)
		}
	}
}
