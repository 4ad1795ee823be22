package upstream

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

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
		assert.Same(t, invalid, checker.check([]byte("rest\n")), "%q", head)
	}
}
