package upstream

import (
	"fmt"
	"io"
	"math"
)

// unlimited is the number of remaining bytes of a limitReader without a limit.
const unlimited = math.MaxInt64

// HeadTooLongError is the cause of an Error if an endpoint sends too much before the head of
// its response is complete.
type HeadTooLongError struct{}

// Error returns the limit.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("no response head within %d bytes", maxHeadBytes)
}

// limitReader reads from reader until no bytes remain, and then returns a
// *HeadTooLongError, unlike io.LimitReader, which returns io.EOF as a complete body would.
type limitReader struct {
	reader    io.Reader
	remaining int64
}

// Read implements io.Reader.
func (limited *limitReader) Read(p []byte) (int, error) {
	if limited.remaining <= 0 {
		return 0, &HeadTooLongError{}
	}
	n, err := limited.reader.Read(p[:min(int64(len(p)), limited.remaining)])
	if limited.remaining != unlimited {
		limited.remaining -= int64(n)
	}
	return n, err
}
