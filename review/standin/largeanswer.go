//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["large-answer"] = largeAnswer }

// The traffic of the case: clients send one request after the other for playTime, the
// longest time for which a site file of a small deployment has servers break off answers.
const (
	answerBytes  = 1280 << 10
	brokenBytes  = 1152 << 10 // of an answer that the server breaks off
	brokenEvery  = 50         // of the answers of a faulty server: 0.02 of them
	largeServers = 7
	faultyCount  = 2 // of largeServers: a share of 0.29
	largeClients = 6
	playTime     = 5500 * time.Millisecond
)

// largeAnswer plays clients of an idempotent route while some servers break off some of
// their answers. It returns the number of successes whose body is not a server's answer.
func largeAnswer(s *site, trouble bool) (int, error) {
	err := s.configure(map[string]any{"version": 1, "services": []any{map[string]any{"name": "uygula", "health-path": "/health", "max-conns": 96, "proto": "h1", "tls": false}},
		"routes": []any{map[string]any{"name": "look", "host": host, "path-prefix": "/look/", "kind": "idempotent", "timeout-ms": 1200, "slo-ms": 120, "priority": 2, "backend": "uygula", "attempts": 2}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
	if err != nil {
		return 0, err
	}
	for i := range largeServers {
		isFaulty := trouble && i < faultyCount
		id := fmt.Sprintf("i-uygula-%d", i)
		if _, err := s.addServer(id, "uygula", "ist-a", 6, largeServer(s, id, isFaulty)); err != nil {
			return 0, err
		}
	}
	e, err := s.addEntry("front-ist-a-1", "ist-a")
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	var broken, served, failed atomic.Int64
	var running sync.WaitGroup
	ends := time.Now().Add(playTime)
	for n := range largeClients {
		running.Go(func() {
			c := &client{address: e.callers}
			defer c.close()
			for i := 0; time.Now().Before(ends); i++ {
				switch isWhole, isSuccess := look(s, c, fmt.Sprintf("%d%04d", n+1, i)); {
				case !isSuccess:
					failed.Add(1)
				case isWhole:
					served.Add(1)
				default:
					broken.Add(1)
				}
			}
		})
	}
	running.Wait()
	s.record.printf("whole answers %d, failures %d, successes with a body that is no server's answer %d", served.Load(), failed.Load(), broken.Load())
	if served.Load() == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	return int(broken.Load()), nil
}

// answerOf returns the whole answer of a server to a request.
func answerOf(server, request string) string {
	line := fmt.Sprintf("%s answers %s\n", server, request)
	return strings.Repeat(line, answerBytes/len(line)+1)[:answerBytes]
}

// largeServer returns the handler of a server. A faulty one breaks off each brokenEvery-th
// of its answers: it closes the connection.
func largeServer(s *site, id string, isFaulty bool) http.HandlerFunc {
	var count atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("X-Request-Id")
		text := answerOf(id, request)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		if n := count.Add(1); !isFaulty || n%brokenEvery != 0 {
			s.record.printf("server %s: runs request %s and answers it", id, request)
			_, _ = io.WriteString(w, text)
			return
		}
		s.record.printf("server %s: runs request %s and breaks off its answer after %d of %d bytes", id, request, brokenBytes, answerBytes)
		_, _ = io.WriteString(w, text[:brokenBytes])
		controller := http.NewResponseController(w)
		_ = controller.Flush()
		if conn, _, err := controller.Hijack(); err == nil {
			_ = conn.(*net.TCPConn).Close()
		}
	}
}

// look sends one request. It reports whether the answer is a success that ended as a
// complete one, and whether its body is the whole answer of the server in its stamp.
func look(s *site, c *client, id string) (isWhole, isSuccess bool) {
	s.record.printf("client: request %s sent", id)
	response, err := c.send(http.MethodGet, "/look/a", map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "1200"}, "")
	if err != nil {
		s.record.printf("client: request %s: no answer: %v", id, err)
		c.close()
		return false, false
	}
	defer func() { _ = response.Body.Close() }() // read to its end below, or broken off
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.record.printf("client: request %s: status %d, answer broken off after %d bytes: %v", id, response.StatusCode, len(body), err)
		c.close()
		return false, false
	}
	stamp := response.Header.Get("X-Server-Stamp")
	isSuccess = response.StatusCode == http.StatusOK
	for i := range largeServers {
		isWhole = isWhole || string(body) == answerOf(fmt.Sprintf("i-uygula-%d", i), id)
	}
	s.record.printf("client: request %s: status %d, stamp %s, complete answer of %d bytes, a server's whole answer: %v", id, response.StatusCode, stamp, len(body), isWhole)
	if isSuccess && !isWhole {
		for _, line := range strings.Split(string(body), "\n")[:1] {
			s.record.printf("client: request %s: the body begins with %q and ends with %q", id, line, body[max(0, len(body)-30):])
		}
	}
	if response.Close {
		c.close()
	}
	return isWhole, isSuccess
}
