package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// bodyReader passes an answer's body on and notes whether it was whole.
type bodyReader struct {
	response *Response
}

// Read returns io.EOF at the end of a whole body, an *Error otherwise.
func (reader *bodyReader) Read(p []byte) (int, error) {
	response := reader.response
	n, err := response.body.Read(p)
	switch err {
	case nil:
	case io.EOF:
		response.whole.Store(true)
	default:
		err = &Error{stage: StageBody, address: response.conn.address, err: err}
	}
	return n, err
}

// Close ends the exchange. The connection is kept for another request only
// if this one was sent and answered whole, with nothing behind the answer.
func (response *Response) Close() {
	stopped := response.stop()
	if !stopped || !response.whole.Load() || !response.reuse || !response.wasSent() || response.conn.reader.Buffered() > 0 {
		_ = response.conn.Close() // of no further use
		return
	}
	idle := keepAlive(response.Header)
	if idle <= 0 {
		_ = response.conn.Close() // about to be closed by the endpoint
		return
	}
	response.client.keep(response.conn, idle)
}

// wasSent reports whether the whole request left before the answer ended.
// An endpoint that answers early reads the rest of the body later, and would
// take the next request for it.
func (response *Response) wasSent() bool {
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

// keepAlive returns how long the connection may be kept unused.
func keepAlive(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return min(time.Duration(seconds)*time.Second-idleMargin, maxIdle)
	}
	return maxIdle
}
