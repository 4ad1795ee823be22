package upstream

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// splitReader returns data in three parts.
type splitReader struct {
	data   string
	splits []int
}

// Read implements io.Reader.
func (reader *splitReader) Read(p []byte) (int, error) {
	end := len(reader.data)
	if len(reader.splits) > 0 {
		end, reader.splits = reader.splits[0], reader.splits[1:]
	}
	if end == 0 && len(reader.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, reader.data[:end])
	reader.data = reader.data[n:]
	return n, nil
}

// Guards against an invalid head that is taken for a response if it arrives in certain parts.
func TestInvalidHeadInAnyPartsIsNoResponse(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 000 \r\nContent-Length: 1\r\n\r\na",
		"HTTP/1.1 200 O\x00K\r\nContent-Length: 1\r\n\r\na",
		"HTTP/1.1 200 OK\nX A: b\nContent-Length: 1\n\na",
		"HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\nContent-Length: 1\r\n\r\na",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 1\nTransfer-Encoding: chunked\n\n1\r\na\r\n0\r\n\r\n",
	} {
		for first := range raw {
			for second := range raw[first:] {
				heads := &headReader{reader: &splitReader{data: raw, splits: []int{first, second}}}
				_ = heads.expect(nil)
				response, err := http.ReadResponse(bufio.NewReader(heads), nil)
				if !assert.Error(t, err, "%q, in parts of %d and %d", raw, first, second) {
					_ = response.Body.Close()
				}
			}
		}
	}
}

// Guards against a rule for heads that holds only since net/http checks it as well.
func TestHeadCheckerAlone(t *testing.T) {
	const length = "Content-Length: 5\r\n\r\n"
	for head, line := range map[string]int{
		"HTTP/1.1 200 OK\r\n" + length:               0,
		"HTTP/1.1 100 \r\n\r\nHTTP/1.1 200\r\n\r\n":  0,
		"HTTP/1.1 0200 OK\r\n" + length:              1,
		"HTTP/1.1 20 OK\r\n" + length:                1,
		"HTTP/1.1 2x0 OK\r\n" + length:               1,
		"HTTP/1.1 -20 OK\r\n" + length:               1,
		"HTTP/1.1\r\n" + length:                      1,
		"HTTP/1 200 OK\r\n" + length:                 1,
		"HTTP/2.0 200 OK\r\n" + length:               1,
		"http/1.1 200 OK\r\n" + length:               1,
		"HTTP/1.1 200 O\x7fK\r\n" + length:           1,
		"HTTP/1.1 200 OK\r\nX-A\r\n" + length:        2,
		"HTTP/1.1 200 OK\r\n: b\r\n" + length:        2,
		"HTTP/1.1 200 OK\r\nX-A: \x00\r\n" + length:  2,
		"HTTP/1.1 200 OK\r\nX-A: b\r\r\n" + length:   2,
		"HTTP/1.1 100 \r\n\r\nHTTP/1.1 000 \r\n\r\n": 1,
	} {
		var checker headChecker
		assert.NoError(t, checker.check([]byte("no head is expected")))
		checker.start()
		err := checker.check([]byte(head + "body\n"))
		if line == 0 {
			assert.NoError(t, err, "%q", head)
			assert.NoError(t, checker.check([]byte("rest\n")), "%q", head)
			continue
		}
		var invalid *InvalidHeadError
		if assert.ErrorAs(t, err, &invalid, "%q", head) {
			assert.Equal(t, line, invalid.line, "%q", head)
		}
		assert.Same(t, invalid, checker.invalid, "%q", head)
	}
}
