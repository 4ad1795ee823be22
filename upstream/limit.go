package upstream

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http"
)

// unlimited is the number of remaining bytes of a limitReader without a limit.
const unlimited = math.MaxInt64

// HeadTooLongError is the cause of an Error if an endpoint sends too much before the head of
// its response is complete.
type HeadTooLongError struct{}

// Error returns the limits.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("no response head within %d bytes and %d lines", maxHeadBytes, maxHeadLines)
}

// limitReader reads from reader until no bytes remain, or more lines than remain were
// read, and then returns a *HeadTooLongError, unlike io.LimitReader, which returns io.EOF as a
// complete body would. Lines count only while the bytes are limited.
type limitReader struct {
	reader           io.Reader
	remaining, lines int64
}

// Read implements io.Reader.
func (limited *limitReader) Read(p []byte) (int, error) {
	if limited.remaining <= 0 || limited.remaining != unlimited && limited.lines < 0 {
		return 0, &HeadTooLongError{}
	}
	n, err := limited.reader.Read(p[:min(int64(len(p)), limited.remaining)])
	if limited.remaining != unlimited {
		limited.remaining -= int64(n)
		limited.lines -= int64(bytes.Count(p[:n], []byte{'\n'}))
	}
	return n, err
}

// MaxHeaderBytes bounds the header of a response, for an http.Transport.
const MaxHeaderBytes = maxHeadBytes

// LimitBodies returns a RoundTripper like transport whose response bodies fail with an
// *http.MaxBytesError after so many bytes.
func LimitBodies(transport http.RoundTripper, bytes int64) http.RoundTripper {
	return &limitedTransport{RoundTripper: transport, bytes: bytes}
}

// limitedTransport bounds the bodies of responses.
type limitedTransport struct {
	http.RoundTripper
	bytes int64
}

// RoundTrip implements http.RoundTripper.
func (transport *limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := transport.RoundTripper.RoundTrip(r)
	if err == nil {
		response.Body = http.MaxBytesReader(nil, response.Body, transport.bytes)
	}
	return response, err
}
