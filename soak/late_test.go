package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

const (
	// lateCallers callers send one request after the other to an instance that stops.
	lateCallers = 110
	// beforeStop is how long they do so before the stop, and latePause the pause
	// between two requests.
	beforeStop = 1500 * time.Millisecond
	latePause  = 30 * time.Millisecond
	// refusedPause is the pause after a refusal. More requests would exceed the rate of
	// log lines.
	refusedPause = 300 * time.Millisecond
	// lateSlots is the number of slots of a model endpoint, so few that requests wait.
	lateSlots = 2
	// longTimeout is the timeout of the routes, within which a response outlasts the time
	// in which a stopping instance takes connections.
	longTimeout = 5 * time.Second
	// bodyParts is the number of parts of a body that arrives slowly.
	bodyParts = 10
)

// lateShape is a kind of request whose end may fall into a stop.
type lateShape struct {
	name, path string
	// work is the most that an endpoint takes for it, and bodyTime the time in which
	// its body arrives.
	work, bodyTime time.Duration
	// deadline is the caller's, 0 for none, and timeout the route's.
	deadline, timeout time.Duration
	// fails has some endpoints break the response off at its end.
	fails bool
	// isTurn has the request spend budget.
	isTurn bool
}

// lateShapes are played at a time by callers of their own.
var lateShapes = []lateShape{
	{name: "slow body", path: "/post/", work: 300 * time.Millisecond, bodyTime: 1500 * time.Millisecond, timeout: longTimeout},
	{name: "body beyond the deadline", path: "/post/", bodyTime: 4 * time.Second, deadline: time.Second, timeout: longTimeout},
	{name: "not idempotent", path: "/post/", work: 1800 * time.Millisecond, deadline: 2 * time.Second, timeout: longTimeout},
	{name: "not idempotent without deadline", path: "/post/", work: 1500 * time.Millisecond, timeout: longTimeout},
	{name: "short deadline", path: "/look/", work: 100 * time.Millisecond, deadline: 200 * time.Millisecond, timeout: 1200 * time.Millisecond},
	{name: "first endpoint fails late", path: "/look/", work: 700 * time.Millisecond, deadline: 1200 * time.Millisecond, timeout: 1200 * time.Millisecond, fails: true},
	{name: "stream of a full endpoint", path: "/chat/", work: 1500 * time.Millisecond, deadline: 3 * time.Second, timeout: longTimeout, isTurn: true},
	{name: "stream that breaks off", path: "/chat/", work: 500 * time.Millisecond, timeout: longTimeout, isTurn: true, fails: true},
	{name: "retained turn", path: "/keep/", work: 1200 * time.Millisecond, deadline: 3 * time.Second, timeout: longTimeout, isTurn: true},
	{name: "stream as long as a stop", path: "/chat/", work: 3500 * time.Millisecond, timeout: longTimeout, isTurn: true},
	{name: "call as long as a stop", path: "/post/", work: 4 * time.Second, timeout: longTimeout},
}

// stopVariant is a way in which an instance is stopped.
type stopVariant struct {
	name  string
	grace time.Duration
	// signals follow SIGTERM in quick succession.
	signals []syscall.Signal
	// isYoung has the instance stop as soon as it takes callers.
	isYoung bool
	// trouble disturbs the store within the stop.
	trouble func(s *site, stopping *front)
}

var stopVariants = []stopVariant{
	{name: "plain"},
	{name: "signals", signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}},
	{name: "young", isYoung: true},
	{name: "long grace", grace: 12 * time.Second},
	{name: "short grace", grace: 5 * time.Second},
	{name: "slow store", trouble: func(_ *site, stopping *front) { stopping.door.Delay(4 * slowStore) }},
	{name: "store turns one away", trouble: func(_ *site, stopping *front) { stopping.door.SetMode(platformtest.ServiceUnavailable) }},
	{name: "store turns the others away", trouble: func(s *site, stopping *front) {
		for _, f := range s.fronts {
			if f != stopping {
				f.door.SetMode(platformtest.ServiceUnavailable)
			}
		}
	}},
}

// lateRequest is a request of a shape as its caller saw it end.
type lateRequest struct {
	id     string
	shape  *lateShape
	status int
	err    error
	// sent is when its last byte was sent, begun when its first was.
	begun, sent, ended time.Time
}

// end names how the request ended.
func (request *lateRequest) end() string {
	limit := request.shape.timeout
	if request.shape.deadline > 0 {
		limit = min(limit, request.shape.deadline)
	}
	switch {
	case request.err == nil:
		return fmt.Sprint(request.status)
	case request.ended.Sub(request.begun) >= limit-50*time.Millisecond:
		return "cut at its deadline"
	}
	return "cut"
}

// latePlay has callers of each shape send requests while one instance is stopped.
type latePlay struct {
	site *site
	seed uint64
	over chan struct{}

	mu       sync.Mutex
	requests []*lateRequest
	// unconnected counts connections that were not made.
	unconnected int
}

// behave draws how long an endpoint takes, and whether it fails.
func (play *latePlay) behave(rng *rand.Rand, mu *sync.Mutex) func(*platformtest.ReceivedRequest) platformtest.Behaviour {
	return func(run *platformtest.ReceivedRequest) platformtest.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		for i := range lateShapes {
			shape := &lateShapes[i]
			if !strings.HasPrefix(run.ID, fmt.Sprintf("late%d-", i)) {
				continue
			}
			work := time.Duration(rng.Int64N(int64(shape.work) + 1))
			fails := shape.fails && rng.IntN(2) == 0
			if shape.isTurn {
				behaviour := platformtest.Behaviour{StallAfterFirst: work}
				if fails {
					behaviour.ResetAfter = 3
				}
				return behaviour
			}
			until := make(chan struct{})
			time.AfterFunc(work, func() { close(until) })
			behaviour := platformtest.Behaviour{Until: until}
			if fails {
				behaviour.ResponseSize, behaviour.CutAfter = 100, 10
			}
			return behaviour
		}
		return platformtest.Behaviour{}
	}
}

// call has a caller send requests of a shape to the instance until that is gone.
func (play *latePlay) call(n int, f *front) {
	rng := rand.New(rand.NewPCG(play.seed, 300+uint64(n)))
	shape := n % len(lateShapes)
	var kept *lateConn
	for round := 0; ; round++ {
		select {
		case <-play.over:
			if kept != nil {
				_ = kept.conn.Close() // nothing is under way on it
			}
			return
		case <-time.After(time.Duration(rng.Int64N(int64(latePause)))):
		}
		if kept == nil {
			var err error
			if kept, err = dialLate(f); err != nil {
				play.mu.Lock()
				play.unconnected++
				play.mu.Unlock()
				continue
			}
		}
		request := &lateRequest{id: fmt.Sprintf("late%d-%d-%d", shape, n, round), shape: &lateShapes[shape]}
		isOver := kept.send(request)
		play.mu.Lock()
		if !errors.Is(request.err, errClosedBefore) {
			play.requests = append(play.requests, request)
		}
		play.mu.Unlock()
		if request.status == http.StatusServiceUnavailable {
			time.Sleep(refusedPause)
		}
		if isOver {
			_ = kept.conn.Close() // its other end has closed it
			kept = nil
		}
	}
}

// errClosedBefore means that the connection was closed before the request was sent.
var errClosedBefore = errors.New("connection closed before the request was sent")

// lateConn is a connection on which one request is sent after the other.
type lateConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialLate(f *front) (*lateConn, error) {
	conn, err := net.DialTimeout("tcp", f.Callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &lateConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends the request and waits for its response. It reports whether the connection
// cannot be used again.
func (kept *lateConn) send(request *lateRequest) (isOver bool) {
	_ = kept.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := kept.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		request.err = errClosedBefore
		return true
	}
	_ = kept.conn.SetReadDeadline(time.Now().Add(keeperPatience + longTimeout))
	shape := request.shape
	method, body := http.MethodPost, strings.Repeat("x", bodyParts)
	if strings.HasPrefix(shape.path, "/look/") {
		method, body = http.MethodGet, ""
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %sx HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\n", method, shape.path, request.id)
	if body != "" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	if shape.deadline > 0 {
		fmt.Fprintf(&head, "X-Deadline-Ms: %d\r\n", shape.deadline.Milliseconds())
	}
	if shape.isTurn {
		fmt.Fprintf(&head, "X-Program: %s\r\nX-Session: %s\r\nX-Finish-Ms: 2500\r\nX-Token-Budget: %d\r\nX-Token-Count: 100,%d\r\n", request.id, request.id, usualBudget, mostTokens)
	}
	head.WriteString("\r\n")
	request.begun = time.Now()
	writing := make(chan struct{})
	go func() {
		defer close(writing)
		_, _ = io.WriteString(kept.conn, head.String()) // the response tells of a failure
		for i := range len(body) {
			time.Sleep(shape.bodyTime / bodyParts)
			if _, err := io.WriteString(kept.conn, body[i:i+1]); err != nil {
				return
			}
		}
	}()
	response, err := http.ReadResponse(kept.reader, &http.Request{Method: method})
	if err == nil {
		request.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		isOver = response.Close
	}
	request.err, request.ended = err, time.Now()
	if isOver || err != nil {
		_ = kept.conn.Close() // ends the writer
	}
	<-writing
	request.sent = time.Now()
	return isOver || err != nil
}

// requestLine finds the log line of a request and its reason.
var requestLine = regexp.MustCompile(`msg=request .*?reason=(\w+) .*?request=(\S+)`)

// report counts how the requests ended, and reports those without a response.
func (play *latePlay) report(variant *stopVariant, f *front, stopped time.Time) {
	t := play.site.t
	reasons := map[string]string{}
	for _, match := range requestLine.FindAllStringSubmatch(f.ReadLog(), -1) {
		reasons[match[2]] = match[1]
	}
	runs := play.site.runsByID()
	counts := map[string]int{}
	after := 0
	for _, request := range play.requests {
		if request.begun.After(stopped) {
			after++
		}
		end, isRun := request.end(), len(runs[request.id])
		counts[request.shape.name+": "+end]++
		if request.shape.path == "/post/" {
			assert.LessOrEqual(t, isRun, 1, "%s ran %d times", request.id, isRun)
		}
		if request.status == http.StatusServiceUnavailable || request.status == http.StatusRequestTimeout {
			assert.Zero(t, isRun, "%s was answered %d and ran", request.id, request.status)
		}
		if end != "cut" {
			continue
		}
		reason, isLogged := reasons[request.id]
		line := fmt.Sprintf("%s (%s), begun %s after the signal, ended %s after it, ran %d times, status %d: %v; log: %q", request.id, request.shape.name, request.begun.Sub(stopped).Round(time.Millisecond), request.ended.Sub(stopped).Round(time.Millisecond), isRun, request.status, request.err, reason)
		switch {
		case !isLogged && isRun == 0:
			counts["not read"]++
			t.Log(line)
		case reason == "EndpointFailed" && request.shape.fails: // the endpoint broke off the last attempt
			counts["endpoint broke off"]++
		default:
			t.Error(line)
		}
	}
	t.Logf("%s: %d requests, %d of them after the signal, %d without a connection", variant.name, len(play.requests), after, play.unconnected)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%6d %s", counts[name], name)
	}
	require.NotZero(t, after)
}

// lengthenTimeouts puts a configuration in force at an instance whose routes have longTimeout.
func (s *site) lengthenTimeouts(f *front) {
	version := s.configure() + 1
	document := platformtest.Configuration(version)
	for _, timeout := range []string{`"timeout-ms":3000`, `"timeout-ms":2000`} {
		document = bytes.ReplaceAll(document, []byte(timeout), fmt.Appendf(nil, `"timeout-ms":%d`, longTimeout.Milliseconds()))
	}
	platformtest.PutConfiguration(s.memory, document)
	require.Eventually(s.t, func() bool { return strings.Contains(f.state(), fmt.Sprintf(`"configuration": %d`, version)) }, 10*time.Second, time.Millisecond)
}

// playLate stops one instance while callers of all shapes send requests to it.
func playLate(t *testing.T, seed uint64, variant *stopVariant) {
	s := newSiteOf(t, seed, siteOptions{slots: lateSlots, events: streamEvents, eventDelay: 2 * slowEvent, grace: variant.grace})
	play := &latePlay{site: s, seed: seed, over: make(chan struct{})}
	rng, mu := rand.New(rand.NewPCG(seed, 7)), &sync.Mutex{}
	for _, e := range s.all() {
		e.SetBehaviour(play.behave(rng, mu))
	}
	f := s.fronts[int(seed)%len(s.fronts)]
	if variant.isYoung {
		s.restart(f, syscall.SIGKILL, 0)
		require.Eventually(t, f.IsReady, 10*time.Second, time.Millisecond)
	}
	s.lengthenTimeouts(f)
	var callers sync.WaitGroup
	for n := range lateCallers {
		callers.Go(func() { play.call(n, f) })
	}
	if !variant.isYoung {
		time.Sleep(beforeStop + longTimeout/2)
	}
	f.life.Lock()
	defer f.life.Unlock()
	stopped := time.Now()
	require.NoError(t, f.Signal(syscall.SIGTERM))
	if variant.trouble != nil {
		variant.trouble(s, f)
	}
	for _, signal := range variant.signals {
		time.Sleep(300 * time.Millisecond)
		require.NoError(t, f.Signal(signal))
	}
	code, err := f.Wait()
	took := time.Since(stopped)
	close(play.over)
	callers.Wait()
	require.NoError(t, err)
	assert.Zero(t, code)
	t.Logf("stopped within %s", took)
	play.report(variant, f, stopped)
	if t.Failed() && *logs != "" {
		s.keepLogs(fmt.Sprint("late-", variant.name, "-", seed))
	}
}

// Guards against requests that reach a stopping instance late, are sent to an endpoint and get no response: slow bodies, full endpoints, late failures, turns that wait for the store, and stops of several kinds.
func TestLateRequestsGetResponses(t *testing.T) {
	for n := range (*seeds + 1) / 2 {
		seed := *first + uint64(n)
		for i := range stopVariants {
			if !*power && uint64(i) != seed%uint64(len(stopVariants)) {
				continue
			}
			t.Run(fmt.Sprintf("%s-%d", stopVariants[i].name, seed), func(t *testing.T) { playLate(t, seed, &stopVariants[i]) })
		}
	}
}

const (
	// crossingCallers callers open a connection for each request, for crossingTime around
	// the moment at which a stopping instance closes its listener.
	crossingCallers = 300
	crossingTime    = 400 * time.Millisecond
	listenTime      = 3 * time.Second
)

// Guards against connections that a stopping instance has accepted, or its kernel for it, and that end without a response as the listener closes: their callers cannot tell whether a request ran.
func TestConnectionsThatCrossTheCloseGetResponses(t *testing.T) {
	s := newSite(t, *first)
	f := s.fronts[0]
	f.life.Lock()
	defer f.life.Unlock()
	require.NoError(t, f.Signal(syscall.SIGTERM))
	time.Sleep(listenTime - crossingTime/2)
	end := time.Now().Add(crossingTime)
	var mu sync.Mutex
	answered, unanswered := 0, 0
	var callers sync.WaitGroup
	for n := range crossingCallers {
		callers.Go(func() {
			for round := 0; time.Now().Before(end); round++ {
				kept, err := dialLate(f)
				if err != nil {
					continue
				}
				request := &lateRequest{id: fmt.Sprintf("crossing%d-%d", n, round), shape: &lateShape{path: "/none/", timeout: longTimeout}}
				kept.send(request)
				_ = kept.conn.Close() // one request each
				mu.Lock()
				if request.err == nil {
					answered++
				} else {
					unanswered++
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	code, err := f.Wait()
	require.NoError(t, err)
	assert.Zero(t, code)
	t.Logf("%d answered", answered)
	require.NotZero(t, answered)
	assert.Zero(t, unanswered)
}

const (
	// shortGrace is a grace period of which a fixed time to release state is a large part.
	shortGrace = 5 * time.Second
	// beforeLastSixth is how long an endpoint pauses in a stream that ends before the last
	// sixth of shortGrace.
	beforeLastSixth = 3400 * time.Millisecond
)

// Guards against a stream of before the stop that a process with a short grace period cuts before the last sixth of it, although the stream would have ended.
func TestStreamEndsWithinShortGrace(t *testing.T) {
	s := newSiteOf(t, *first, siteOptions{events: streamEvents, eventDelay: 2 * slowEvent, grace: shortGrace})
	for _, e := range s.all() {
		e.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
			return platformtest.Behaviour{StallAfterFirst: beforeLastSixth}
		})
	}
	f := s.fronts[0]
	s.lengthenTimeouts(f)
	kept, err := dialLate(f)
	require.NoError(t, err)
	request := &lateRequest{id: "r", shape: &lateShape{path: "/chat/", isTurn: true, timeout: longTimeout}}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		kept.send(request)
	}()
	time.Sleep(latePause)
	f.life.Lock()
	defer f.life.Unlock()
	stopped := time.Now()
	require.NoError(t, f.Signal(syscall.SIGTERM))
	<-ended
	_, err = f.Wait()
	require.NoError(t, err)
	assert.NoError(t, request.err, "%d, %s after the signal", request.status, request.ended.Sub(stopped))
}
