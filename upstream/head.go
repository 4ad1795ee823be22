package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// InvalidHeadError is the cause of an Error if what was received is not the head of a
// response as RFC 9112 defines it. It does not repeat what was received, which may hold
// secrets.
type InvalidHeadError struct {
	line   int // 0 if unknown
	reason string
}

// Error returns the number of the line, counted from 1, if it is known, and what is wrong with
// it.
func (e *InvalidHeadError) Error() string {
	if e.line == 0 {
		return "invalid response head: " + e.reason
	}
	return fmt.Sprintf("invalid response head: line %d: %s", e.line, e.reason)
}

// statusDigits is the number of digits of a status.
const statusDigits = 3

// IsFinalStatus reports whether status may be that of a final response.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= 599 }

// isInterimStatus reports whether status may be that of an interim response.
// http.StatusSwitchingProtocols may not: what follows is not HTTP/1, and no request asks for
// another protocol.
func isInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// IsField reports whether a header field may have the name and the value.
func IsField(name, value string) bool {
	return httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value)
}

// headReader checks the heads of the responses that are read from reader. net/http accepts
// more than the protocol allows: what it skips or drops would let the bytes that follow pass
// for a response, or for its body.
type headReader struct {
	reader io.Reader
	head   headChecker
}

// expect starts a head with the bytes received, which have been read already. It returns an
// *InvalidHeadError if they make it invalid.
func (r *headReader) expect(received []byte) error {
	r.head.start()
	return r.head.check(received)
}

// Read implements io.Reader. It returns an *InvalidHeadError in place of the data in which a
// head turns out to be invalid, and from then on without waiting for more.
func (r *headReader) Read(p []byte) (int, error) {
	if r.head.invalid != nil {
		return 0, r.head.invalid
	}
	n, err := r.reader.Read(p)
	if invalid := r.head.check(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// headChecker checks the lines of a final response's head, and of those of the interim
// responses before it, as their bytes arrive.
type headChecker struct {
	// isOpen is set from the start of a head to the end of that of the final response.
	isOpen bool
	// line holds the beginning of a line whose end has not arrived.
	line []byte
	// lines is the number of whole lines received of the head.
	lines int
	// minor and status are the minor version and the status of the first line.
	minor, status int
	// hasLength and hasCoding are set if fields of the head frame the body.
	hasLength, hasCoding bool
	// invalid is the error found. Readers keep returning it, since a bufio.Reader drops an
	// error that follows a part of a line.
	invalid error
}

// start makes the next byte the first one of a head.
func (head *headChecker) start() { *head = headChecker{isOpen: true} }

// check checks the next bytes received, which may go beyond the head. It returns an
// *InvalidHeadError if the head is invalid.
func (head *headChecker) check(data []byte) error {
	for head.isOpen && len(data) > 0 {
		line, rest, isWhole := bytes.Cut(data, []byte{'\n'})
		if !isWhole {
			head.line = append(head.line, line...)
			return nil
		}
		if len(head.line) > 0 {
			line = append(head.line, line...)
		}
		head.line, data = nil, rest
		head.lines++
		if reason := head.checkLine(string(bytes.TrimSuffix(line, []byte{'\r'}))); reason != "" {
			head.invalid = &InvalidHeadError{line: head.lines, reason: reason}
			return head.invalid
		}
	}
	return nil
}

// checkLine checks a line without its end and returns what is wrong with it, "" for nothing.
func (head *headChecker) checkLine(line string) (reason string) {
	switch {
	case head.lines == 1:
		return head.checkStatusLine(line)
	case line == "":
		return head.end()
	default:
		return head.checkField(line)
	}
}

// checkStatusLine checks the first line of a head.
func (head *headChecker) checkStatusLine(line string) (reason string) {
	version, rest, _ := strings.Cut(line, " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return "not a status line of HTTP/1"
	}
	head.minor = minor
	code, phrase, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, _ := strconv.ParseUint(code, 10, 16) // no valid status if it fails
	head.status = int(status)
	if len(code) != statusDigits || !isInterimStatus(head.status) && !IsFinalStatus(head.status) {
		return "invalid status"
	}
	if !httpguts.ValidHeaderFieldValue(phrase) { // the characters of both are the same
		return "invalid reason phrase"
	}
	return ""
}

// checkField checks a line after the first one. One that continues the line before it has no
// valid name; gateways may reject it (RFC 9112, section 5.2).
func (head *headChecker) checkField(line string) (reason string) {
	name, value, isField := strings.Cut(line, ":")
	if !isField || !IsField(name, value) {
		return "invalid field"
	}
	head.hasLength = head.hasLength || strings.EqualFold(name, "Content-Length")
	head.hasCoding = head.hasCoding || strings.EqualFold(name, "Transfer-Encoding")
	return ""
}

// end ends the head and returns what is wrong with the framing of its body. An interim
// response has no body: another head follows.
func (head *headChecker) end() (reason string) {
	switch {
	case head.hasCoding && head.minor == 0:
		return "transfer coding in a response of version 1.0"
	case head.hasCoding && head.hasLength:
		return "transfer coding and length"
	case isInterimStatus(head.status):
		head.start()
	default:
		head.isOpen = false
	}
	return ""
}
