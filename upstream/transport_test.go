package upstream_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/tcp"
	"github.com/wagtaildrum/wagtaildrum/upstream"
	"github.com/wagtaildrum/wagtaildrum/upstream/upstreamtest"
)

// newTransport returns a transport that checks responses.
func newTransport(t *testing.T) http.RoundTripper {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return upstream.CheckResponses(transport, tcp.DefaultDialer())
}

// post sends a request with size bytes and returns the body of the response.
func post(client *http.Client, address string, size int) (string, error) {
	response, err := client.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against clients of other services that receive as a response what is none by the rules
// of the protocol, on a new connection or a used one.
func TestTransportReturnsNoInvalidResponse(t *testing.T) {
	valid := upstreamtest.Valid("", "first")
	for name, raw := range upstreamtest.InvalidResponses("", "whole") {
		client := &http.Client{Transport: newTransport(t)}
		var invalid *upstream.InvalidHeadError
		body, err := post(client, upstreamtest.Serve(t, raw), 1)
		assert.ErrorAs(t, err, &invalid, "%s: %q", name, body)
		address := upstreamtest.Serve(t, valid, valid, raw)
		for range 2 {
			body, err = post(client, address, 1)
			require.NoError(t, err, name)
			assert.Equal(t, "first", body, name)
		}
		body, err = post(client, address, 1)
		assert.ErrorAs(t, err, &invalid, "%s, on a used connection: %q", name, body)
		body, err = post(client, address, 1)
		assert.NoError(t, err, "%s: the next request has a connection of its own", name)
		assert.Equal(t, "first", body, name)
	}
	for name, raw := range upstreamtest.ValidResponses("", "whole") {
		client := &http.Client{Transport: newTransport(t)}
		address := upstreamtest.Serve(t, valid, raw)
		for _, want := range []string{"first", "whole"} {
			body, err := post(client, address, 1)
			require.NoError(t, err, name)
			assert.Equal(t, want, body, name)
		}
	}
}

// Guards against the same over TLS, where the bytes of a head are not seen.
func TestTransportReturnsNoInvalidResponseOverTLS(t *testing.T) {
	var raw string
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, raw)
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	transport := server.Client().Transport.(*http.Transport).Clone()
	t.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: upstream.CheckResponses(transport, tcp.DefaultDialer())}
	get := func() error {
		response, err := client.Get(server.URL)
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	invalid := upstreamtest.InvalidResponses("", "whole")
	for _, name := range []string{"status 000", "status 600", "another protocol", "blank in a name", "blank after a name", "control byte in a name", "blank after the length", "blank after the coding"} {
		raw = invalid[name]
		assert.Error(t, get(), name)
	}
	for name, response := range upstreamtest.ValidResponses("", "whole") {
		raw = response
		assert.NoError(t, get(), name)
	}
}

// Guards against clients of other services that receive a part of a response as a whole one: it
// has no length, and the connection is reset while the request is sent. One that ends in order
// is whole.
func TestTransportReturnsNoPartOfAnEarlyResponse(t *testing.T) {
	const upload = 12 << 20 // more than the kernel takes for a connection that is not read
	for _, isReset := range []bool{true, false} {
		for range 10 {
			address := upstreamtest.ServeFunc(t, func(conn *net.TCPConn) {
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(10 * time.Millisecond) // the response is read and the upload blocks
				if isReset {
					_ = conn.SetLinger(0)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
			})
			body, err := post(&http.Client{Transport: newTransport(t)}, address, upload)
			assert.Equal(t, isReset, err != nil, "%q", body)
		}
	}
}

// Guards against a connection that is used for a request while bytes arrive that belong to none.
func TestTransportIsFreeOfRacesWithUnrequestedBytes(t *testing.T) {
	address := upstreamtest.ServeFunc(t, func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, upstreamtest.Valid("", "first"))
		time.Sleep(time.Millisecond) // the response is read
		_, _ = io.WriteString(conn, upstreamtest.Valid("", "extra"))
	})
	client := &http.Client{Transport: newTransport(t)}
	for range 200 {
		_, _ = post(client, address, 0) // the race detector tells
		time.Sleep(time.Millisecond)
	}
}
