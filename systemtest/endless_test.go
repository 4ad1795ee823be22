package systemtest

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

var (
	endlessCallers = flag.Int("endless.callers", 100, "how many requests at a time get responses without end")
	endlessAll     = flag.Bool("endless.all", false, "whether all kinds of responses without end are played")
)

const (
	// endlessHead is the head of a valid response, to which header fields or a body
	// follow.
	endlessHead = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
	// endlessDeadline is that of the requests whose responses have no end.
	endlessDeadline = 1500 * time.Millisecond
	// otherCallers send requests beside these.
	otherCallers = 4
)

// smallFields are header fields within the limit of a head, as many as fit.
func smallFields() string {
	var fields strings.Builder
	for n := 0; fields.Len() < 63<<10; n++ {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	return fields.String()
}

// sendEndless sends a request and reads the response until it ends, or nothing of it
// before the request's deadline has passed.
func sendEndless(f *frontProcess, path, id string, reads bool) {
	conn, err := net.DialTimeout("tcp", f.Callers, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // the response has no end
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 1\r\n\r\nx", path, id, endlessDeadline.Milliseconds())
	_ = conn.SetReadDeadline(time.Now().Add(2 * endlessDeadline))
	if !reads {
		time.Sleep(endlessDeadline)
	}
	_, _ = io.Copy(io.Discard, conn) // ends with the connection
}

// Guards against instances that are killed since many responses at a time take more memory than is counted: events that their callers do not read, long IDs of events, and heads of many fields.
func TestManyResponsesStayWithinMemory(t *testing.T) {
	chunked := endlessHead + "Transfer-Encoding: chunked\r\n\r\n"
	large := strings.Repeat("x", 900<<10)
	for _, shape := range []struct {
		name, raw, endless string
		paths              []string
		// ignored has callers not read the response.
		ignored bool
		// isBrief is set for what is played without -endless.all.
		isBrief bool
	}{
		{name: "plain body", raw: endlessHead + "\r\n", endless: strings.Repeat("x", 32<<10), paths: []string{"/look/", "/post/"}},
		{name: "plain body unread", raw: endlessHead + "\r\n", endless: strings.Repeat("x", 32<<10), paths: []string{"/look/", "/post/"}, ignored: true},
		{name: "events", raw: endlessHead + "\r\n", endless: strings.Repeat("id: 1\ndata: x\n\n", 100), paths: []string{"/chat/", "/keep/"}},
		{name: "large events", raw: endlessHead + "\r\n", endless: "data: " + large + "\n\n", paths: []string{"/chat/", "/keep/"}},
		{name: "large events unread", raw: endlessHead + "\r\n", endless: "data: " + large + "\n\n", paths: []string{"/chat/"}, ignored: true, isBrief: true},
		{name: "events of two lines unread", raw: endlessHead + "\r\n", endless: "data: " + large[:450<<10] + "\ndata: " + large[:450<<10] + "\n\n", paths: []string{"/chat/"}, ignored: true},
		{name: "long fields of kept events", raw: endlessHead + "\r\n", endless: "note: " + large + "\ndata: x\n\n", paths: []string{"/keep/"}},
		{name: "long IDs", raw: endlessHead + "\r\n", endless: "id: " + large + "\ndata: x\n\n", paths: []string{"/chat/"}},
		{name: "long IDs unread", raw: endlessHead + "\r\n", endless: "id: " + large + "\ndata: x\n\n", paths: []string{"/chat/"}, ignored: true},
		{name: "long ID and silence", raw: endlessHead + "\r\nid: " + large + "\ndata: x\n\n", paths: []string{"/chat/"}, isBrief: true},
		{name: "small fields and silence", raw: endlessHead + smallFields() + "\r\ndata: x\n\n", paths: []string{"/chat/", "/look/", "/post/", "/keep/"}, isBrief: true},
		{name: "chunk extensions", raw: chunked, endless: "1;" + strings.Repeat("x", 1000) + "\r\na\r\n", paths: []string{"/chat/", "/look/", "/post/"}},
		{name: "chunk extension", raw: chunked + "1;", endless: strings.Repeat("x", 32<<10), paths: []string{"/chat/", "/look/", "/post/"}},
		{name: "trailers", raw: chunked + "0\r\n", endless: strings.Repeat("X-A: b\r\n", 1000), paths: []string{"/chat/", "/look/", "/post/"}},
		{name: "interim responses", raw: "HTTP/1.1 103 Early Hints\r\n\r\n", endless: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 500), paths: []string{"/chat/", "/look/", "/post/"}},
	} {
		if !shape.isBrief && !*endlessAll {
			continue
		}
		t.Run(shape.name, func(t *testing.T) {
			s := newSite(t, 1)
			behave := func(run *platformtest.ReceivedRequest) platformtest.Behaviour {
				if strings.Contains(run.Path, "endless") {
					return platformtest.Behaviour{Raw: shape.raw, Endless: shape.endless}
				}
				return platformtest.Behaviour{}
			}
			s.model.SetBehaviour(behave)
			s.tool.SetBehaviour(behave)
			s.playEndless(shape.paths, !shape.ignored)
		})
	}
}

// playEndless sends requests for the paths at a time, and others beside them, and checks the
// peak memory of the instance.
func (s *site) playEndless(paths []string, reads bool) {
	t, f := s.t, s.fronts[0]
	var endless, others sync.WaitGroup
	for n := range *endlessCallers {
		endless.Go(func() { sendEndless(f, paths[n%len(paths)]+"endless", fmt.Sprint("e", n), reads) })
	}
	ended := make(chan struct{})
	var mu sync.Mutex
	statuses, longest := map[int]int{}, time.Duration(0)
	for n := range otherCallers {
		others.Go(func() {
			client := alone()
			for round := 0; ; round++ {
				select {
				case <-ended:
					return
				default:
				}
				began := time.Now()
				status, _, _ := f.post(client, []string{"/post/", "/chat/"}[n%2]+"x", fmt.Sprintf("o%d-%d", n, round), "x", nil)
				mu.Lock()
				statuses[status]++
				longest = max(longest, time.Since(began))
				mu.Unlock()
			}
		})
	}
	endless.Wait()
	close(ended)
	others.Wait()
	status, _, err := f.post(alone(), "/post/x", "r", "x", nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	peak := peakMemory(t, f.PID())
	t.Logf("%d MB; other requests by status: %v, the longest took %s", peak>>20, statuses, longest.Round(time.Millisecond))
	assert.Less(t, peak, int64(memoryLimit))
	assert.Zero(t, statuses[0], "requests without a response")
}

// dripInterval is the time between two bytes of a response that comes slowly.
const dripInterval = 20 * time.Millisecond

// Guards against memory that responses to health checks and watches take, which come on connections without a request, and responses of which one byte comes at a time.
func TestConnectionsWithoutEndStayWithinMemory(t *testing.T) {
	for name, respond := range map[string]func(conn net.Conn, r *http.Request){
		"from the start":        nil,
		"to health checks":      func(conn net.Conn, r *http.Request) { writeEndless(conn, r.URL.Path == "/health", 0) },
		"head of a byte a time": func(conn net.Conn, _ *http.Request) { writeEndless(conn, true, dripInterval) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
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
						if respond == nil {
							writeEndless(conn, true, 0)
							return
						}
						if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
							respond(conn, r)
						}
					}()
				}
			}()
			for _, service := range []string{"model", "tool"} {
				faulty := platformtest.NewEndpoint("i-faulty-"+service, service, service == "model")
				t.Cleanup(faulty.Close)
				faulty.Public = listener.Addr().String()
				faulty.Register(s.memory, "a", "ready")
			}
			time.Sleep(200 * time.Millisecond) // until the instance knows them
			s.playEndless([]string{"/chat/", "/look/", "/keep/"}, true)
		})
	}
}

// writeEndless writes bytes to a connection until that is closed, one for each interval unless
// it is 0. It closes the connection at once unless responds is set.
func writeEndless(conn net.Conn, responds bool, interval time.Duration) {
	part := strings.Repeat("x", 32<<10)
	if interval > 0 {
		part = "x"
	}
	for responds {
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		time.Sleep(interval)
	}
}
