//go:build review

package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// eventData returns the data of event n, counted from 1, of the answer to a prompt. The
// answer follows from the prompt, so a run that goes on after an event continues it.
func eventData(prompt string, n int) string {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, prompt) // writing to a hash cannot fail
	return fmt.Sprintf("piece %d of the answer %08x", n, sum.Sum32())
}

// engine is the handler of a model engine, whose streams have events with a pause before
// each. It notes each run by ended, with the number of events that it wrote.
type engine struct {
	site   *site
	id     string
	events int
	pause  time.Duration
	// received is called with each request and its body; ended when its run is over.
	received func(engine, request, previous, lastEvent, body string)
	ended    func(engine, request string, written int, isWhole bool)
}

// ServeHTTP runs a request. It goes on after the event in Last-Event-Id.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request, last := r.Header.Get("X-Request-Id"), r.Header.Get("Last-Event-Id")
	e.received(e.id, request, r.Header.Get("X-Previous-Turn"), last, string(body))
	first := 1
	if n, err := strconv.Atoi(last); err == nil {
		first = n + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	controller := http.NewResponseController(w)
	written := 0
	for n := first; n <= e.events; n++ {
		select {
		case <-r.Context().Done():
			e.ended(e.id, request, written, false)
			return
		case <-time.After(e.pause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(string(body), n)); err != nil {
			e.ended(e.id, request, written, false)
			return
		}
		_ = controller.Flush()
		written++
	}
	e.ended(e.id, request, written, true)
}

// readEvents reads the data of the events of a stream and calls onEvent after each. It
// returns the events read and the ID of the last, and an error if the stream broke off.
func readEvents(body io.Reader, onEvent func(n int)) (data []string, last string, err error) {
	reader := bufio.NewReader(body)
	id := ""
	for {
		line, err := reader.ReadString('\n')
		switch line = strings.TrimRight(line, "\r\n"); {
		case err == io.EOF && line == "":
			return data, last, nil
		case err != nil:
			return data, last, err
		case strings.HasPrefix(line, "id: "):
			id = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "data: "):
			data = append(data, strings.TrimPrefix(line, "data: "))
		case line == "":
			last = id
			onEvent(len(data))
		}
	}
}

// streamRoute returns a configuration with one stream route at /desk/ and one service of
// model engines.
func streamRoute(timeoutMs int, retain, resumable bool) map[string]any {
	return map[string]any{"version": 1,
		"services": []any{map[string]any{"name": "taslak", "health-path": "/health", "max-conns": 360, "proto": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv-capacity": 1053547, "chunk-tokens": 27}}},
		"routes": []any{map[string]any{"name": "desk", "host": host, "path-prefix": "/desk/", "kind": "stream", "timeout-ms": timeoutMs, "slo-ms": 200, "priority": 1,
			"backend": "taslak", "attempts": 1, "retain": retain, "retain-s": 60.0, "sticky": true, "resumable": resumable, "gap-aim-ms": 200}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
}
