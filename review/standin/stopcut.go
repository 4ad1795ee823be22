//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop-cut"] = stopCut }

const (
	// stopTimeoutMs is the timeout of the route and the deadline of the requests.
	stopTimeoutMs = 4000
	stopEvents    = 19
	// stopPause times stopEvents is the time of a stream, 3.8 s.
	stopPause = 200 * time.Millisecond
	// thinkTime is the time from the end of a client's stream to its next request.
	thinkTime = 50 * time.Millisecond
	// stopClients begin their first streams at intervals of startInterval.
	stopClients   = 40
	startInterval = 100 * time.Millisecond
	// stopAfter is the time from the first client's start to SIGTERM, and stopGrace is
	// grace-s of the settings. Requests sent later than excusedAfter the signal are not
	// excused if they are cut off.
	stopAfter    = 6 * time.Second
	stopGrace    = 8 * time.Second
	excusedAfter = 3 * time.Second
)

// stopRun is a request of the case as seen by its client and its engine.
type stopRun struct {
	sentAt, runAt, endedAt time.Time
	clientError            error
	engineWritten          int
	engineDone             bool
}

// stopRuns collects the requests by ID.
type stopRuns struct {
	mu   sync.Mutex
	runs map[string]*stopRun
}

// with calls f with a request's state.
func (s *stopRuns) with(request string, f func(run *stopRun)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[request] == nil {
		s.runs[request] = &stopRun{}
	}
	f(s.runs[request])
}

// stopCut has clients take one stream after the other on connections that they keep open,
// and stops their instance by SIGTERM. It returns the number of requests that the
// instance passed on to an engine and cut off, though they were sent later than
// excusedAfter the signal and neither their deadline nor the route's timeout was reached.
func stopCut(s *site, trouble bool) (int, error) {
	if err := s.configure(streamRoute(stopTimeoutMs, false, false)); err != nil {
		return 0, err
	}
	runs := &stopRuns{runs: map[string]*stopRun{}}
	for i := range 6 {
		e := &engine{site: s, id: fmt.Sprintf("i-taslak-%d", i), events: stopEvents, pause: stopPause}
		e.received = func(engine, request, _, _, _ string) {
			s.record.printf("engine %s: runs request %s", engine, request)
			runs.with(request, func(run *stopRun) { run.runAt = time.Now() })
		}
		e.ended = func(engine, request string, written int, isWhole bool) {
			s.record.printf("engine %s: request %s ended after %d events, to its end %v", engine, request, written, isWhole)
			runs.with(request, func(run *stopRun) { run.engineWritten, run.engineDone = written, isWhole })
		}
		if _, err := s.addServer(e.id, "taslak", "ist-a", 64, e.ServeHTTP); err != nil {
			return 0, err
		}
	}
	e, err := s.addEntry("front-ist-a-1", "ist-a")
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	began := time.Now()
	for n := range stopClients {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * startInterval)
			streams(s, runs, e, n, stop)
		})
	}
	time.Sleep(time.Until(began.Add(stopAfter)))
	signalled := time.Now()
	if trouble {
		e.signal(syscall.SIGTERM)
	}
	time.Sleep(stopGrace)
	close(stop)
	clients.Wait()
	return judgeStop(s, runs, signalled, trouble)
}

// streams takes one stream after the other until stop is closed or the client's
// connection has ended: its next connection leads to another instance.
func streams(s *site, runs *stopRuns, e *entry, n int, stop <-chan struct{}) {
	c := &client{address: e.callers}
	defer c.close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		request := fmt.Sprintf("%04d%04d", n+1, i)
		s.record.printf("client %d: request %s sent, new connection %v", n, request, c.conn == nil)
		runs.with(request, func(run *stopRun) { run.sentAt = time.Now() })
		status, isLast, err := stream(c, request)
		s.record.printf("client %d: request %s: status %d, complete %v (%v), connection to be closed %v", n, request, status, err == nil, err, isLast)
		runs.with(request, func(run *stopRun) { run.clientError, run.endedAt = err, time.Now() })
		if err != nil || isLast {
			return
		}
		time.Sleep(thinkTime)
	}
}

// stream sends a request and reads its answer. isLast is set if the connection is not to
// be used again.
func stream(c *client, request string) (status int, isLast bool, err error) {
	header := map[string]string{"X-Request-Id": request, "X-Model": "m", "X-Deadline-Ms": fmt.Sprint(stopTimeoutMs), "X-Token-Count": "40,567", "X-Prompt-Prefix": "5c1e07a2:20,e4402b7d:20"}
	response, err := c.send(http.MethodPost, "/desk/a", header, "input\n")
	if err != nil {
		return 0, true, err
	}
	defer func() { _ = response.Body.Close() }() // read to its end below, or broken off
	events, _, err := readEvents(response.Body, func(int) {})
	if err == nil && response.StatusCode == http.StatusOK && len(events) != stopEvents {
		err = fmt.Errorf("%d events", len(events))
	}
	return response.StatusCode, response.Close, err
}

// judgeStop returns the number of requests that were cut off without excuse.
func judgeStop(s *site, runs *stopRuns, signalled time.Time, trouble bool) (int, error) {
	broken, whole := 0, 0
	for request, run := range runs.runs {
		sent, ended := run.sentAt.Sub(signalled), run.endedAt.Sub(signalled)
		switch {
		case run.clientError == nil:
			whole++
		case run.runAt.IsZero():
			s.record.printf("request %s, sent %.3f s after the signal, was not passed on: %v", request, sent.Seconds(), run.clientError)
		case trouble && sent <= excusedAfter:
			s.record.printf("request %s, sent %.3f s after the signal, was cut off %.3f s after it: excused", request, sent.Seconds(), ended.Seconds())
		case run.endedAt.Sub(run.sentAt) >= stopTimeoutMs*time.Millisecond:
			s.record.printf("request %s reached its timeout", request)
		default:
			broken++
			s.record.printf("request %s, sent %.3f s after the signal and passed on to an engine, ended %.3f s after the signal without a complete answer, %.3f s before its deadline and timeout: %v", request, sent.Seconds(), ended.Seconds(), (stopTimeoutMs*time.Millisecond - run.endedAt.Sub(run.sentAt)).Seconds(), run.clientError)
		}
	}
	if whole == 0 {
		return 0, fmt.Errorf("no request was answered")
	}
	return broken, nil
}
