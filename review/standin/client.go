//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// host is the host of all routes.
const host = "desk.example"

// client is a client with one connection, which it keeps open. It never sends a request
// twice.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// send writes a request and returns the head of the response; the body is still to be
// read.
func (c *client) send(method, path string, header map[string]string, body string) (*http.Response, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return nil, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	if _, err := c.conn.Write([]byte(text.String())); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// close closes the connection; the next request opens another one.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.reader = nil, nil
}
