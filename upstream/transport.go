package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/wagtaildrum/wagtaildrum/tcp"
)

// CheckResponses returns a RoundTripper that sends requests by transport, whose connections it
// opens with dialer. It returns an error that wraps an *InvalidHeadError for what is no valid
// response, and reading the body of a response without a length fails unless the other end
// closed the connection in order. Over TLS it checks statuses and fields as net/http has decoded
// them, which leaves out what net/http drops.
func CheckResponses(transport *http.Transport, dialer *tcp.Dialer) http.RoundTripper {
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := dialer.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
	return &checkingTransport{RoundTripper: transport}
}

// checkingTransport has the connections of a transport expect a head for each request.
type checkingTransport struct {
	http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (transport *checkingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*checkedConn); ok {
			conn.expectHead()
		}
	}}
	response, err := transport.RoundTripper.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkDecoded(response); err != nil {
		_ = response.Body.Close() // which closes the connection, unless nothing was left to read
		return nil, err
	}
	return response, nil
}

// checkDecoded checks what is left of a head that net/http has decoded.
func checkDecoded(response *http.Response) error {
	if !IsFinalStatus(response.StatusCode) {
		return &InvalidHeadError{line: 1, reason: "invalid status"}
	}
	for name, values := range response.Header {
		for _, value := range values {
			if !IsField(name, value) {
				return &InvalidHeadError{reason: "invalid field"}
			}
		}
	}
	return nil
}

// checkedConn is a connection of an http.Transport that checks the heads of responses.
type checkedConn struct {
	net.Conn

	mu   sync.Mutex // requests are sent and responses read by different goroutines
	head headChecker
}

// expectHead makes the next byte that is read the first one of a head.
func (conn *checkedConn) expectHead() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.head.start()
}

// Read implements net.Conn as headReader does io.Reader.
func (conn *checkedConn) Read(p []byte) (int, error) {
	if err := conn.invalid(); err != nil {
		return 0, err
	}
	n, err := conn.Conn.Read(p)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if invalid := conn.head.check(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// invalid returns the error of a head that was found to be invalid, nil if there is none.
func (conn *checkedConn) invalid() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.head.invalid
}
