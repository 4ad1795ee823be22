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
	// connectTimeout: a live endpoint answers within a few ms; one that is
	// dark or cut off never does.
	connectTimeout = 400 * time.Millisecond
	// unackedTimeout closes a connection whose peer does not acknowledge
	// what was sent, as after a cut or a loss of power.
	unackedTimeout = 800 * time.Millisecond
	// maxIdle is how long a connection is kept unused if the endpoint names
	// no time of its own; idleMargin is kept to the time that it names.
	maxIdle    = 4 * time.Second
	idleMargin = 500 * time.Millisecond
	// maxIdlePerEndpoint bounds the connections kept unused, so that all
	// instances together stay far below what an endpoint accepts.
	maxIdlePerEndpoint = 12
	// inlineBody bytes or fewer are written before the answer is read.
	inlineBody = 2048
	// maxForeign is how many answers of earlier requests are passed over
	// on one connection.
	maxForeign = 2
)

// Request is one request to an endpoint.
type Request struct {
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// IDHeader names the header that an answer echoes; answers that carry
	// another value belong to another request.
	IDHeader string
}

// Response is an endpoint's answer. Its body ends with io.EOF only if it is
// whole; the caller must call Close.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	client *Client
	conn   *conn
	body   io.ReadCloser
	whole  atomic.Bool
	reuse  bool
	stop   func() bool
	sent   <-chan error
}

// Client keeps connections to endpoints. Use NewClient.
type Client struct {
	dialer *net.Dialer
	opened atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	expires time.Time
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{idle: map[string][]*conn{}, dialer: tcp.NewDialer(connectTimeout, unackedTimeout)}
}

// Opened returns how many connections were opened.
func (client *Client) Opened() int64 { return client.opened.Load() }

// Do sends request and returns the head of its answer. The context bounds
// the whole exchange: when it ends, the connection is closed. Errors are
// *Error.
func (client *Client) Do(ctx context.Context, request *Request) (*Response, error) {
	c, err := client.connection(ctx, request)
	if err != nil {
		return nil, &Error{stage: StageConnect, address: request.Address, err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // the exchange fails with the closed connection
	fail := func(stage Stage, err error) (*Response, error) {
		stop()
		_ = c.Close() // given up
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{stage: stage, address: request.Address, err: err}
	}
	head := encodeHead(request)
	var sent <-chan error
	if len(request.Body) <= inlineBody {
		if _, err := c.Write(append(head, request.Body...)); err != nil {
			return fail(StageSend, err)
		}
	} else {
		sent = c.send(head, request.Body)
	}
	answer, err := c.readHead(request)
	if err != nil {
		return fail(stageOf(err), err)
	}
	response := &Response{Status: answer.status, Header: answer.header, client: client, conn: c, body: answer.body, stop: stop, sent: sent, reuse: !answer.last}
	response.Body = &bodyReader{response: response}
	return response, nil
}

// stageOf returns how far a request got whose answer's head was not read:
// the connection failed, or what came on it is no answer.
func stageOf(err error) Stage {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return StageSend
	}
	return StageHead
}

// send writes a long request while the answer is read: an endpoint may
// answer before it has read the body, and would not read on.
func (c *conn) send(head, body []byte) <-chan error {
	sent := make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, body}
		_, err := buffers.WriteTo(c.Conn)
		sent <- err
	}()
	return sent
}

// head is an answer whose body is yet to be read.
type head struct {
	status int
	header http.Header
	body   io.ReadCloser
	// last: the connection ends with this answer.
	last bool
}

// readHead reads the head of the answer to request, passing over interim
// answers and answers of earlier requests.
func (c *conn) readHead(request *Request) (*head, error) {
	foreign := 0
	for {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < 200 {
			continue
		}
		want := request.Header.Get(request.IDHeader)
		got := answer.Header.Get(request.IDHeader)
		if got == "" || got == want {
			return &head{status: answer.StatusCode, header: answer.Header, body: answer.Body, last: answer.Close}, nil
		}
		foreign++
		if foreign > maxForeign || answer.Close || answer.ContentLength < 0 {
			return nil, &ForeignAnswerError{want: want, got: got}
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, err
		}
		if err := answer.Body.Close(); err != nil {
			return nil, err
		}
	}
}

func encodeHead(request *Request) []byte {
	var buf bytes.Buffer
	buf.WriteString(request.Method)
	buf.WriteByte(' ')
	buf.WriteString(request.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(request.Host)
	buf.WriteString("\r\n")
	_ = request.Header.Write(&buf) // memory only
	if request.HasBody || len(request.Body) > 0 {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(request.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
	return buf.Bytes()
}

func (client *Client) connection(ctx context.Context, request *Request) (*conn, error) {
	if c := client.kept(request.Address); c != nil {
		return c, nil
	}
	raw, err := client.dialer.DialContext(ctx, "tcp", request.Address)
	if err != nil {
		return nil, err
	}
	client.opened.Add(1)
	return &conn{Conn: raw, address: request.Address, reader: bufio.NewReader(raw)}, nil
}

// kept returns an unused connection that still stands, the newest first.
func (client *Client) kept(address string) *conn {
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
		if now.Before(c.expires) && c.quiet() {
			return c
		}
		_ = c.Close() // the endpoint closed it, or sent what nobody asked for
	}
}

// quiet reports whether the connection is open and nothing came on it since
// the last answer.
func (c *conn) quiet() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = rerr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (client *Client) keep(c *conn, idle time.Duration) {
	c.expires = time.Now().Add(idle)
	client.mu.Lock()
	defer client.mu.Unlock()
	if len(client.idle[c.address]) >= maxIdlePerEndpoint {
		_ = c.Close() // more than are needed
		return
	}
	client.idle[c.address] = append(client.idle[c.address], c)
}

// Drop closes the unused connections to an address: whoever answered on them
// is gone. Behind a cut they are silent and would each cost a request
// unackedTimeout.
func (client *Client) Drop(address string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	for _, c := range client.idle[address] {
		_ = c.Close() // its peer ended
	}
	delete(client.idle, address)
}

// Trim closes the connections that were unused for too long.
func (client *Client) Trim() {
	now := time.Now()
	client.mu.Lock()
	defer client.mu.Unlock()
	for address, list := range client.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // unused
		}
		client.idle[address] = kept
		if len(kept) == 0 {
			delete(client.idle, address)
		}
	}
}
