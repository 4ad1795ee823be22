package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// wholeResponse is a valid response to request 1.
const wholeResponse = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole"

// invalidHeads are what RFC 9112 does not allow as the head of a response, each with a body.
var invalidHeads = map[string]string{
	"status 000":                    "HTTP/1.1 000 \r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"status 099":                    "HTTP/1.1 099 A\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"status 600":                    "HTTP/1.1 600 A\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"status 999":                    "HTTP/1.1 999 A\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"status with a sign":            "HTTP/1.1 +20 A\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"status -00":                    "HTTP/1.1 -00 A\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"status of two digits":          "HTTP/1.1 20 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"status of four digits":         "HTTP/1.1 2000 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"no status":                     "HTTP/1.1\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"another protocol":              "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n" + wholeResponse,
	"000, then a response":          "HTTP/1.1 000 \r\n\r\n" + wholeResponse,
	"+20, then a response":          "HTTP/1.1 +20 \r\n\r\n" + wholeResponse,
	"000 after an interim":          "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 \r\n\r\n" + wholeResponse,
	"000 after another's":           "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nother" + "HTTP/1.1 000 \r\n\r\n" + wholeResponse,
	"HTTP/2.0":                      "HTTP/2.0 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"HTTP/0.9":                      "HTTP/0.9 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"blank in a name":               "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX A: b\r\nContent-Length: 5\r\n\r\nwhole",
	"blank after a name":            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A : b\r\nContent-Length: 5\r\n\r\nwhole",
	"tab after a name":              "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A\t: b\r\nContent-Length: 5\r\n\r\nwhole",
	"blank for a name":              "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n : b\r\n\r\nwhole",
	"no name":                       "HTTP/1.1 200 OK\r\nX-Id: 1\r\n: b\r\nContent-Length: 5\r\n\r\nwhole",
	"no colon":                      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A\r\nContent-Length: 5\r\n\r\nwhole",
	"control byte in a name":        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX\x01A: b\r\nContent-Length: 5\r\n\r\nwhole",
	"NUL in a name":                 "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX\x00A: b\r\nContent-Length: 5\r\n\r\nwhole",
	"CR in a name":                  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX\rA: b\r\nContent-Length: 5\r\n\r\nwhole",
	"separator in a name":           "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX(A): b\r\nContent-Length: 5\r\n\r\nwhole",
	"other character in a name":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX\xe9A: b\r\nContent-Length: 5\r\n\r\nwhole",
	"control byte in a value":       "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A: b\x01\r\nContent-Length: 5\r\n\r\nwhole",
	"CR in a value":                 "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A: b\rX-B: c\r\nContent-Length: 5\r\n\r\nwhole",
	"CR at the end of a value":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A: b\r\r\nContent-Length: 5\r\n\r\nwhole",
	"blank before the first name":   "HTTP/1.1 200 OK\r\n X-A: b\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"blank before a name":           "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A: b\r\n X-B: c\r\nContent-Length: 5\r\n\r\nwhole",
	"blank before the length":       "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A: b\r\n Content-Length: 5\r\n\r\nwhole",
	"line of blanks":                "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n  \r\n\r\nwhole",
	"blank after the length":        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length : 5\r\n\r\nwhole",
	"blank after the coding":        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"chunks of version 1.0":         "HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"chunks and a length":           "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 15\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"chunks, a field and a length":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nX-A: b\r\nContent-Length: 15\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"unknown coding":                "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"lengths that differ":           "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nwhole",
	"length with a sign":            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: +5\r\n\r\nwhole",
	"no length in its field":        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length:\r\n\r\nwhole",
	"blank in an interim's name":    "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + wholeResponse,
	"blank in a later interim":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + wholeResponse,
	"blank in another's name":       "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX A: b\r\nContent-Length: 5\r\n\r\nother" + wholeResponse,
	"blank in a name after another": "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\notherHTTP/1.1 200 OK\r\nX-Id: 1\r\nX A: b\r\nContent-Length: 5\r\n\r\nwhole",
	"control byte in reason":        "HTTP/1.1 200 O\x00K\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
}

// writers send a response at once, and byte by byte.
var writers = map[string]func(conn net.Conn, raw string){
	"at once": func(conn net.Conn, raw string) { _, _ = io.WriteString(conn, raw) },
	"in pieces": func(conn net.Conn, raw string) {
		for i := range len(raw) {
			time.Sleep(100 * time.Microsecond) // so that it arrives in pieces
			if _, err := conn.Write([]byte(raw[i : i+1])); err != nil {
				return
			}
		}
	},
}

// Guards against callers that receive as a response what is none by the rules of the protocol.
func TestInvalidHeadsAreNoResponse(t *testing.T) {
	for name, raw := range invalidHeads {
		for how, write := range writers {
			t.Run(name+"/"+how, func(t *testing.T) {
				t.Parallel()
				closed := make(chan struct{})
				address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
					switch id, _, _, _ := read(reader); id {
					case "1":
						write(conn, raw)
						_, _ = io.Copy(io.Discard, reader) // until the client closes the connection
						close(closed)
					case "2":
						respond(conn, id, "", "whole")
					}
				})
				client := upstream.NewClient()
				body, _, err := do(t, client, request(address, "1", "x"))
				require.Error(t, err, "received %q", body)
				assert.Equal(t, upstream.StageHead, stage(t, err), err)
				select {
				case <-closed:
				case <-time.After(time.Second):
					t.Error("the connection stays open")
				}
				body, _, err = do(t, client, request(address, "2", "x"))
				require.NoError(t, err, "the endpoint lives")
				assert.Equal(t, "whole", body)
			})
		}
	}
}

// Guards against a request that waits for the rest of a head that is known to be invalid.
func TestInvalidHeadFailsBeforeItsEnd(t *testing.T) {
	for how, write := range writers {
		address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			_, _, _, _ = read(reader)
			write(conn, "HTTP/1.1 000 \r\n")
			_, _ = io.Copy(io.Discard, reader)
		})
		began := time.Now()
		_, _, err := do(t, upstream.NewClient(), request(address, "1", "x"))
		assert.Equal(t, upstream.StageHead, stage(t, err), how)
		client := &http.Client{Transport: newTransport(t), Timeout: 3 * time.Second}
		_, err = post(client, address, 1)
		var invalid *upstream.InvalidHeadError
		assert.ErrorAs(t, err, &invalid, how)
		assert.Less(t, time.Since(began), 2*time.Second, how)
	}
}

// Guards against valid responses that are rejected.
func TestValidHeadsAreResponses(t *testing.T) {
	for name, raw := range map[string]string{
		"no reason":                  "HTTP/1.1 200 \r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"no space after the status":  "HTTP/1.1 200\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"status 599":                 "HTTP/1.1 599 A\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"reason of other characters": "HTTP/1.1 200 \tgr\xc3\xbc\xdfe!\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"version 1.0":                "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"later minor version":        "HTTP/1.2 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"lines that end with LF":     "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 5\n\nwhole",
		"interim responses":          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199 A\r\n\r\n" + wholeResponse,
		"after another's response":   "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 18\r\n\r\nHTTP/1.1 000 A\r\n\r\n" + wholeResponse,
		"names of rare characters":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\n!#$%&'*+-.^_`|~09aZ: b\r\nContent-Length: 5\r\n\r\nwhole",
		"values of rare characters":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A: \t\"(),/:;<=>?@[\\]{}\xe9 \t\r\nX-B:\r\nX-C:c\r\nContent-Length: 5\r\n\r\nwhole",
		"repeated length":            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
		"chunks":                     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: Chunked\r\n\r\n2;a=b\r\nwh\r\n3\r\nole\r\n0\r\nX-A: b\r\n\r\n",
		"colon in a value":           "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-A: b: c\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		for how, write := range writers {
			t.Run(name+"/"+how, func(t *testing.T) {
				t.Parallel()
				address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
					_, _, _, _ = read(reader)
					write(conn, raw)
					_, _ = io.Copy(io.Discard, reader)
				})
				body, _, err := do(t, upstream.NewClient(), request(address, "1", "x"))
				require.NoError(t, err)
				assert.Equal(t, "whole", body)
			})
		}
	}
}
