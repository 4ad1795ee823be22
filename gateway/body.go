package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// discardTimeout bounds reading the remaining body of a refused request. A
	// body within the limits takes 20 ms on the slowest link seen, of 30
	// Mbit/s.
	discardTimeout = time.Second
	// smallResponse is the memory of a response that is not cut because all of the memory
	// for bodies is used, and maxResponse that above which any is, in bytes. The latter
	// is the largest turn that can be stored.
	smallResponse = 64 << 10
	maxResponse   = 16 << 20
	// defaultMaxBody is the body size limit in bytes if the configuration sets
	// none.
	defaultMaxBody = 4 << 20
)

// reserveMemory reserves memory for a body or a conversation, or refuses the request if
// the limit is exceeded. A process that exceeds its memory is killed together
// with all its requests.
func (e *exchange) reserveMemory(size int64) error {
	if !e.countBodyMemory(size) || e.conn != nil && !e.conn.Reserve(size) {
		return e.refuseWithoutMemory()
	}
	return nil
}

// tryMemory reserves memory for a request whose body is complete. It reports whether there is
// room for which no other request waits.
func (e *exchange) tryMemory(size int64) bool {
	if e.countBodyMemory(size) && (e.conn == nil || e.conn.ReserveInOrder(size)) {
		return true
	}
	e.countBodyMemory(-size)
	return false
}

// awaitMemory is tryMemory, but waits for memory as long as the caller waits for the first event,
// unless there can't be any. The request leaves its slot meanwhile, which others can use.
func (e *exchange) awaitMemory(ctx context.Context, size int64) error {
	if e.tryMemory(size) {
		return nil
	}
	if e.conn == nil {
		return e.refuseWithoutMemory()
	}
	e.serviceQueue.gate.Abandon()
	e.releaseSlot = nil
	began := e.Clock.Now()
	waiting, cancel := context.WithTimeout(ctx, e.untilEventTimeout())
	ok := e.conn.Await(waiting, size)
	cancel()
	waited := e.Clock.Now().Sub(began)
	e.memoryWait += waited
	e.metrics.memory.RecordDuration(waited)
	if !ok {
		return e.refuseWithoutMemory()
	}
	e.countBodyMemory(size)
	return e.admit(ctx)
}

// refuseWithoutMemory returns the refusal of a request for which there is no memory.
func (e *exchange) refuseWithoutMemory() *refusal {
	return refuse(ReasonNoMemory, http.StatusServiceUnavailable, busyRetryAfter, nil)
}

// countMemory adds size to the memory of the request, which settle releases. It
// reports whether all requests together are within the limit.
func (e *exchange) countMemory(size int64) bool {
	fits := e.countBodyMemory(size)
	if e.conn != nil {
		fits = e.conn.Charge(size) && fits
	}
	return fits
}

// countBodyMemory is countMemory without the memory of the connection.
func (e *exchange) countBodyMemory(size int64) bool {
	e.memoryUsed += size
	return e.bodyMemory.Add(size) <= e.MaxBodyBytes || e.MaxBodyBytes <= 0
}

// ResponseTooLargeError is the cause of a refusal if a response takes too much memory.
type ResponseTooLargeError struct {
	size int64
}

// Error returns the memory that the response would have taken, in bytes.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response takes too much memory: %d bytes", e.size)
}

// reserveResponseMemory reserves memory for a part of a response that is not relayed yet or
// is kept, or releases it if size is negative. It returns a *refusal if the response takes
// too much, by itself or beside others.
func (e *exchange) reserveResponseMemory(size int64) error {
	e.responseMemory += size
	if fits := e.countMemory(size); e.responseMemory <= smallResponse || fits && e.responseMemory <= maxResponse {
		return nil
	}
	return refuse(ReasonNoMemory, http.StatusBadGateway, 0, &ResponseTooLargeError{size: e.responseMemory})
}

// readBody reads the request's body. It returns a *refusal if the body exceeds
// the size limit, the memory for bodies is exhausted, reading fails, or the body is not
// complete by the deadline or the end of a shutdown. The connection may be closed to make room
// for others until the body is complete.
func (e *exchange) readBody() error {
	if err := e.readBodyInTime(); err != nil {
		return err
	}
	if e.conn != nil && !e.conn.Proceed() {
		return e.refuseWithoutMemory()
	}
	return nil
}

// readBodyInTime is readBody for a connection that stays open.
func (e *exchange) readBodyInTime() error {
	if e.r.ContentLength == 0 {
		e.body = []byte{}
		return nil
	}
	stop := e.limitBodyTime()
	err := e.receiveBody()
	stop()
	if e.conn != nil && e.conn.IsEvicted() {
		e.bodyTimedOut = true
		return e.refuseWithoutMemory()
	}
	e.bodyTimedOut = errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case !e.bodyTimedOut:
		_ = http.NewResponseController(e.w).SetReadDeadline(time.Time{}) // not supported by test recorders
		return err
	case !e.Shutdown.Admits(e.deadline):
		return e.refuseForShutdown()
	}
	return refuse(ReasonTimeout, http.StatusServiceUnavailable, busyRetryAfter, err)
}

// receiveBody reads the body without a limit of time.
func (e *exchange) receiveBody() error {
	limit := e.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if e.r.ContentLength > limit {
		return refuse(ReasonTooLarge, http.StatusRequestEntityTooLarge, 0, nil)
	}
	if e.r.ContentLength >= 0 {
		if err := e.reserveMemory(e.r.ContentLength); err != nil {
			return err
		}
		e.body = make([]byte, e.r.ContentLength)
		if _, err := io.ReadFull(e.r.Body, e.body); err != nil {
			return refuse(ReasonBadRequest, http.StatusBadRequest, 0, err)
		}
		return nil
	}
	body, err := io.ReadAll(&meteredReader{exchange: e, body: http.MaxBytesReader(e.w, e.r.Body, limit)})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(ReasonTooLarge, http.StatusRequestEntityTooLarge, 0, err)
	}
	var rejection *refusal
	if errors.As(err, &rejection) {
		return rejection
	}
	if err != nil {
		return refuse(ReasonBadRequest, http.StatusBadRequest, 0, err)
	}
	e.body = body
	return nil
}

// meteredReader reserves memory for a body of unknown length while it is read.
type meteredReader struct {
	exchange *exchange
	body     io.Reader
}

// Read implements io.Reader. It returns the refusal of reserveMemory if the
// memory limit is exceeded.
func (reader *meteredReader) Read(p []byte) (int, error) {
	n, err := reader.body.Read(p)
	if refused := reader.exchange.reserveMemory(int64(n)); refused != nil {
		return n, refused
	}
	return n, err
}

// discardBody reads the remaining request body, up to defaultMaxBody. Closing a
// connection with unread bytes resets it; a caller that is still sending might
// never read the refusal and would have to assume that the request ran. It does not
// wait for a body that has timed out, whose connection is closed after the response.
func (e *exchange) discardBody() {
	if !e.bodyTimedOut {
		_ = http.NewResponseController(e.w).SetReadDeadline(e.Clock.Now().Add(discardTimeout)) // not supported by test recorders
		_, err := io.Copy(io.Discard, io.LimitReader(e.r.Body, defaultMaxBody))                // the caller may be gone
		e.bodyTimedOut = errors.Is(err, os.ErrDeadlineExceeded) || e.conn != nil && e.conn.IsEvicted()
	}
	if e.bodyTimedOut {
		e.w.Header().Set("Connection", "close")
	}
}

// linger sends the refusal of a request whose body is not complete, and discards what
// the caller still sends until it has read the refusal, for at most the time that the
// request had.
func (e *exchange) linger() {
	e.body = nil
	_ = http.NewResponseController(e.w).Flush() // the caller may be gone
	until := e.deadline
	if until.IsZero() {
		until = e.Clock.Now().Add(discardTimeout)
	}
	ctx, cancel := context.WithDeadline(e.Shutdown.Expired(), until)
	defer cancel()
	e.conn.Linger(ctx)
}
