package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// bodyReader reads the body of a response and records whether it was complete.
type bodyReader struct {
	response *Response
}

// Read returns io.EOF at the end of a complete body, and an *Error if the body
// ends early.
func (reader *bodyReader) Read(p []byte) (int, error) {
	response := reader.response
	n, err := response.body.Read(p)
	switch err {
	case nil:
	case io.EOF:
		response.complete.Store(true)
	default:
		err = &Error{stage: StageBody, address: response.conn.address, err: err}
	}
	return n, err
}

// Close ends the exchange; further calls do nothing. It keeps the connection for reuse only if the
// request was sent in full, the response was read in full and no data follows
// it; otherwise it closes the connection.
func (response *Response) Close() {
	if response.closed {
		return
	}
	response.closed = true
	stopped := response.stop()
	if !stopped || !response.complete.Load() || !response.reusable || !response.requestSent() || response.conn.reader.Buffered() > 0 {
		_ = response.conn.Close() // not reusable
		return
	}
	idle := keepAliveTimeout(response.Header)
	if idle <= 0 {
		_ = response.conn.Close() // the endpoint is about to close it
		return
	}
	response.client.putIdle(response.conn, idle)
}

// requestSent reports whether the request was sent in full. An endpoint that
// responds early reads the remainder of the body later and would take the next
// request on the connection for it.
func (response *Response) requestSent() bool {
	if response.sent == nil {
		return true
	}
	select {
	case err := <-response.sent:
		return err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns how long an idle connection may be kept, 0 or less
// for not at all: the timeout in the response's Keep-Alive header less
// idleMargin, at most maxIdleTime, and maxIdleTime if the header names none.
func keepAliveTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return min(time.Duration(seconds)*time.Second-idleMargin, maxIdleTime)
	}
	return maxIdleTime
}
