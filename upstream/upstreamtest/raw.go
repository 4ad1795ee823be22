// Package upstreamtest provides a stand-in for services whose responses are bytes that a test
// chooses, and responses that RFC 9112 allows or not.
package upstreamtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Serve responds to the requests on each connection with the responses, one after another, and
// then closes it. It returns the address at which it listens until the test ends.
func Serve(t *testing.T, responses ...string) (address string) {
	t.Helper()
	return ServeFunc(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for _, raw := range responses {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, raw)
		}
	})
}

// ServeFunc calls serve for each connection and then closes it. It returns the address at which
// it listens until the test ends.
func ServeFunc(t *testing.T, serve func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// Valid returns a response with body, after which the connection can be used again.
func Valid(body string) string { return withLength("HTTP/1.1 200 OK\r\nX-A: b\r\n", body) }

// withLength returns the response with body whose head begins with head.
func withLength(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// chunks returns body in one chunk.
func chunks(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }

// ValidResponses returns valid responses with body, rare ones among them, by name.
func ValidResponses(body string) map[string]string {
	return map[string]string{
		"length":            Valid(body),
		"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body),
		"until it closes":   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + Valid(body),
		"rare names":        withLength("HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: b\r\n", body),
		"version 1.0":       withLength("HTTP/1.0 200 OK\r\n", body),
	}
}

// InvalidResponses returns responses with body that RFC 9112 does not allow, by name.
func InvalidResponses(body string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	return map[string]string{
		"status 000":             withLength("HTTP/1.1 000 \r\n", body),
		"status 600":             withLength("HTTP/1.1 600 A\r\n", body),
		"another protocol":       "HTTP/1.1 101 Switching Protocols\r\n\r\n" + Valid(body),
		"HTTP/2.0":               withLength("HTTP/2.0 200 OK\r\n", body),
		"blank in a name":        withLength(ok+"X A: b\r\n", body),
		"blank after a name":     withLength(ok+"X-A : b\r\n", body),
		"blank before a name":    withLength(ok+"X-A: b\r\n X-B: c\r\n", body),
		"control byte in a name": withLength(ok+"X\x01A: b\r\n", body),
		"blank after the length": ok + "Content-Length : 1\r\n\r\n" + body,
		"blank after the coding": ok + "Transfer-Encoding : chunked\r\n\r\n" + chunks(body),
		"chunks of version 1.0":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body),
		"chunks and a length":    ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body),
		"invalid interim":        "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + Valid(body),
		"invalid after interim":  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + withLength(ok+"X A: b\r\n", body),
	}
}
