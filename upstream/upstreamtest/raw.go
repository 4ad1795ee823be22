// Package upstreamtest provides a stand-in for services whose responses are bytes that a test
// chooses, and responses that RFC 9112 allows or not.
package upstreamtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// Valid returns a response with body, after which the connection can be used again. The
// lines of fields are part of its head.
func Valid(fields, body string) string {
	return withLength("HTTP/1.1 200 OK\r\n"+fields, body)
}

// withLength returns the response with body whose head begins with head.
func withLength(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// withChunks returns the response with body, in one chunk, whose head begins with head.
func withChunks(head, body string) string {
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
}

// ValidResponses returns valid responses with the fields and body, rare ones among them, by
// name.
func ValidResponses(fields, body string) map[string]string {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	return map[string]string{
		"length":            Valid(fields, body),
		"chunks":            withChunks(ok, body),
		"until it closes":   ok + "Connection: close\r\n\r\n" + body,
		"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + Valid(fields, body),
		"rare names":        withLength(ok+"!#$%&'*+-.^_`|~09aZ: b\r\n", body),
		"version 1.0":       withLength("HTTP/1.0 200 OK\r\n"+fields, body),
	}
}

// InvalidResponses returns responses with the fields and body that RFC 9112 does not allow, by
// name.
func InvalidResponses(fields, body string) map[string]string {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	return map[string]string{
		"status 000":              withLength("HTTP/1.1 000 \r\n"+fields, body),
		"000, then a response":    "HTTP/1.1 000 \r\n\r\n" + Valid(fields, body),
		"099, then a response":    "HTTP/1.1 099 A\r\n\r\n" + Valid(fields, body),
		"status 600":              withLength("HTTP/1.1 600 A\r\n"+fields, body),
		"another protocol":        "HTTP/1.1 101 Switching Protocols\r\n\r\n" + Valid(fields, body),
		"HTTP/2.0":                withLength("HTTP/2.0 200 OK\r\n"+fields, body),
		"no name":                 withLength(ok+": b\r\n", body),
		"blank in a name":         withLength(ok+"X A: b\r\n", body),
		"blank after a name":      withLength(ok+"X-A : b\r\n", body),
		"blank before a name":     withLength(ok+"X-A: b\r\n X-B: c\r\n", body),
		"control byte in a name":  withLength(ok+"X\x01A: b\r\n", body),
		"control byte in a value": withLength(ok+"X-A: b\x01\r\n", body),
		"blank after the length":  ok + "Content-Length : 1\r\n\r\n" + body,
		"blank after the coding":  strings.Replace(withChunks(ok, body), "Encoding:", "Encoding :", 1),
		"chunks of version 1.0":   withChunks("HTTP/1.0 200 OK\r\n"+fields, body),
		"chunks and a length":     withChunks(ok+"Content-Length: 1\r\n", body),
		"invalid interim":         "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + Valid(fields, body),
		"invalid after interim":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + withLength(ok+"X A: b\r\n", body),
	}
}
