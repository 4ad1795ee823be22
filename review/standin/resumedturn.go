//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["resumed-turn"] = resumedTurn }

const (
	turnEvents = 10
	turnPause  = 80 * time.Millisecond
	// killAfter is the number of events after which the client's instance is killed.
	killAfter = 4
	// settleTime is the time from the start of the instances to the first turn.
	settleTime = 30 * time.Second
	// resumeDelay is how long the client waits before its next attempt.
	resumeDelay = 100 * time.Millisecond
)

// turnRuns collects the bodies that engines received, by request.
type turnRuns struct {
	mu     sync.Mutex
	bodies map[string]string
}

// resumedTurn has a client take two turns of a program on a route that retains turns and
// whose streams may be resumed. While the first turn is answered, the instance that
// serves it is killed, and the client resumes the stream at another one. It returns 1 if
// the engine received something else than the chain with the second turn.
func resumedTurn(s *site, trouble bool) (int, error) {
	if err := s.configure(streamRoute(4000, true, true)); err != nil {
		return 0, err
	}
	runs := &turnRuns{bodies: map[string]string{}}
	for i, zone := range []string{"ist-a", "ist-b", "ist-c"} {
		e := &engine{site: s, id: fmt.Sprintf("i-taslak-%d", i), events: turnEvents, pause: turnPause}
		e.received = func(engine, request, previous, lastEvent, body string) {
			s.record.printf("engine %s: runs request %s, X-Previous-Turn %q, Last-Event-Id %q, body %q", engine, request, previous, lastEvent, body)
			runs.mu.Lock()
			runs.bodies[request] = body
			runs.mu.Unlock()
		}
		e.ended = func(engine, request string, written int, isWhole bool) {
			s.record.printf("engine %s: request %s ended after %d events, to its end %v", engine, request, written, isWhole)
		}
		if _, err := s.addServer(e.id, "taslak", zone, 64, e.ServeHTTP); err != nil {
			return 0, err
		}
	}
	first, err := s.addEntry("front-ist-a-1", "ist-a")
	if err != nil {
		return 0, err
	}
	second, err := s.addEntry("front-ist-b-1", "ist-b")
	if err != nil {
		return 0, err
	}
	// Instances resume streams once they have followed the list of engines for a while.
	time.Sleep(settleTime)
	return playTurns(s, runs, first, second, trouble)
}

// playTurns plays the two turns.
func playTurns(s *site, runs *turnRuns, first, second *entry, trouble bool) (int, error) {
	const input, nextInput = "input of turn 1\n", "input of turn 2\n"
	request := "aaaaaaaaaaaaaaa1"
	events, last, err := takeTurn(s, first, request, "", "", input, func(n int) {
		if trouble && n == killAfter {
			first.signal(syscall.SIGKILL)
		}
	})
	if err != nil {
		s.record.printf("client: request %s broke off after event %q: %v", request, last, err)
		time.Sleep(resumeDelay)
		request = "aaaaaaaaaaaaaaa2"
		var rest []string
		if rest, _, err = takeTurn(s, second, request, "", last, input, func(int) {}); err != nil {
			return 0, fmt.Errorf("the stream was not resumed: %w", err)
		}
		events = append(events, rest...)
	}
	expected := input
	for i, data := range events {
		if data != eventData(input, i+1) {
			return 0, fmt.Errorf("event %d of turn 1 is %q", i+1, data)
		}
		expected += data + "\n"
	}
	s.record.printf("client: turn 1 is answered whole, %d events; its last attempt is %s", len(events), request)
	expected += nextInput
	next := "aaaaaaaaaaaaaaa3"
	if _, _, err := takeTurn(s, second, next, request, "", nextInput, func(int) {}); err != nil {
		return 0, fmt.Errorf("turn 2 was not answered: %w", err)
	}
	runs.mu.Lock()
	body := runs.bodies[next]
	runs.mu.Unlock()
	s.record.printf("body that the engine should get with turn 2: %q", expected)
	s.record.printf("body that the engine got with turn 2:        %q", body)
	if body != expected {
		return 1, nil
	}
	return 0, nil
}

// takeTurn sends one attempt at a turn and reads its answer. It returns the data of the
// events and the ID of the last, and an error if the answer is no complete success.
func takeTurn(s *site, e *entry, request, previous, lastEvent, input string, onEvent func(n int)) ([]string, string, error) {
	c := &client{address: e.callers}
	defer c.close()
	header := map[string]string{"X-Request-Id": request, "X-Model": "m", "X-Deadline-Ms": "4000", "X-Program": "3fa81c", "X-Session": "77d20b", "X-Finish-Ms": "5200",
		"X-Token-Budget": "4536", "X-Token-Count": "40,567", "X-Prompt-Prefix": "5c1e07a2:20,e4402b7d:20"}
	if previous != "" {
		header["X-Previous-Turn"] = previous
	}
	if lastEvent != "" {
		header["Last-Event-Id"] = lastEvent
	}
	s.record.printf("client: request %s to %s, X-Previous-Turn %q, Last-Event-Id %q, body %q", request, e.name, previous, lastEvent, input)
	response, err := c.send(http.MethodPost, "/desk/a", header, input)
	if err != nil {
		return nil, lastEvent, err
	}
	defer func() { _ = response.Body.Close() }() // read to its end below, or broken off
	if response.StatusCode != http.StatusOK {
		return nil, lastEvent, fmt.Errorf("status %d", response.StatusCode)
	}
	events, last, err := readEvents(response.Body, onEvent)
	s.record.printf("client: request %s: status %d, events %q, complete %v", request, response.StatusCode, events, err == nil)
	return events, last, err
}
