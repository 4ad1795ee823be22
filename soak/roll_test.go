package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// keeperCount callers keep a connection each.
	keeperCount = 400
	// keeperWay is how far they are from the instances: a request and a close
	// cross if they set out within it.
	keeperWay = 40 * time.Millisecond
	// longestThought is the most between two requests on a connection. Most
	// are longer than a stopping instance takes connections.
	longestThought = 6 * time.Second
	// keeperPatience is how long an answer is waited for.
	keeperPatience = 5 * time.Second
	// askedEach and missesOut are how the platform finds out that an instance
	// takes no callers.
	askedEach = time.Second
	missesOut = 2
)

// Guards against requests without an answer, which their callers may not repeat, since instances are stopped while connections to them are kept and used.
func TestKeptConnectionsLoseRequestsToStops(t *testing.T) {
	for n := range max(*seeds/2, 1) {
		seed := *first + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { roll(t, seed) })
	}
}

func roll(t *testing.T, seed uint64) {
	s := newSite(t, seed)
	balancer := newRotation(s.fronts)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { balancer.run(ctx) })
	tally := &tally{promised: map[string]int{}}
	for n := range keeperCount {
		k := &keeper{name: fmt.Sprintf("k%d", n), balancer: balancer, tally: tally, rng: rand.New(rand.NewPCG(seed, 200+uint64(n)))}
		running.Go(func() { k.run(ctx) })
	}
	time.Sleep(time.Second)
	stop := func(fronts ...*front) {
		var stops sync.WaitGroup
		for _, f := range fronts {
			stops.Go(func() {
				s.restart(f, syscall.SIGTERM, 100*time.Millisecond)
				assert.Eventually(t, f.IsReady, 10*time.Second, 20*time.Millisecond, "%s", tail(f.ReadLog()))
			})
			time.Sleep(time.Duration(seed%4) * 200 * time.Millisecond) // overlapping, not at once
		}
		stops.Wait()
	}
	stop(s.fronts[0])
	stop(s.fronts[1])
	stop(s.fronts[2], s.fronts[3])
	stop(s.fronts...)
	time.Sleep(time.Second)
	cancel()
	running.Wait()
	t.Logf("%d answered, %d told that they do not run, %d without a connection, %d without an answer", tally.answered.Load(), len(tally.promised), tally.unconnected.Load(), len(tally.cut))
	runs := s.runsByID()
	for id, status := range tally.promised {
		assert.Empty(t, runs[id], "%s was answered %d and ran", id, status)
	}
	for _, cut := range tally.cut {
		t.Error(cut)
	}
	require.Greater(t, tally.answered.Load(), int64(keeperCount))
}

// tally is how requests ended.
type tally struct {
	answered, unconnected atomic.Int64

	mu       sync.Mutex
	promised map[string]int
	cut      []string
}

// rotation is the platform's balancer in front of all instances.
type rotation struct {
	fronts []*front
	in     []atomic.Bool
}

func newRotation(fronts []*front) *rotation {
	r := &rotation{fronts: fronts, in: make([]atomic.Bool, len(fronts))}
	for n := range fronts {
		r.in[n].Store(true)
	}
	return r
}

// run asks all instances until ctx ends.
func (rotation *rotation) run(ctx context.Context) {
	misses := make([]int, len(rotation.fronts))
	for ctx.Err() == nil {
		for n, f := range rotation.fronts {
			misses[n]++
			if f.IsReady() {
				misses[n] = 0
			}
			rotation.in[n].Store(misses[n] < missesOut)
		}
		select {
		case <-ctx.Done():
		case <-time.After(askedEach):
		}
	}
}

// pick returns an instance for a new connection: one of those in rotation, or
// of all if they are fewer than half.
func (rotation *rotation) pick(rng *rand.Rand) *front {
	var in []*front
	for n, f := range rotation.fronts {
		if rotation.in[n].Load() {
			in = append(in, f)
		}
	}
	if 2*len(in) < len(rotation.fronts) {
		in = rotation.fronts
	}
	return in[rng.IntN(len(in))]
}

// keeper is a caller that keeps its connection until it learns that it is
// closed.
type keeper struct {
	name     string
	balancer *rotation
	tally    *tally
	rng      *rand.Rand
	conn     *keptConn
}

func (keeper *keeper) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		keeper.send(fmt.Sprintf("%s-%d", keeper.name, n))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(keeper.rng.Int64N(int64(longestThought)))):
		}
	}
	keeper.drop()
}

// send sends one request that must not run twice, and counts how it ended.
func (keeper *keeper) send(id string) {
	if keeper.conn != nil && keeper.conn.isOver() {
		keeper.drop()
	}
	if keeper.conn == nil {
		conn, err := keep(keeper.balancer.pick(keeper.rng))
		if err != nil {
			keeper.tally.unconnected.Add(1)
			return
		}
		keeper.conn = conn
	}
	answer := keeper.conn.ask(id)
	if answer.err != nil || answer.close {
		defer keeper.drop()
	}
	tally := keeper.tally
	tally.mu.Lock()
	defer tally.mu.Unlock()
	switch {
	case answer.err != nil:
		tally.cut = append(tally.cut, fmt.Sprintf("%s at %s: %v", id, keeper.conn.front, answer.err))
	case answer.status == http.StatusOK:
		tally.answered.Add(1)
	case answer.status == http.StatusRequestTimeout, answer.status == http.StatusServiceUnavailable, answer.status == http.StatusTooManyRequests:
		tally.promised[id] = answer.status
	default:
		tally.cut = append(tally.cut, fmt.Sprintf("%s at %s: status %d", id, keeper.conn.front, answer.status))
	}
}

func (keeper *keeper) drop() {
	if keeper.conn != nil {
		_ = keeper.conn.conn.Close() // nothing is under way on it
		keeper.conn = nil
	}
}

// keptConn is a connection to an instance that is keeperWay off.
type keptConn struct {
	front   string
	conn    net.Conn
	answers chan keptAnswer
}

// keptAnswer is what came on a connection: an answer, or its end.
type keptAnswer struct {
	status int
	close  bool
	err    error
}

// unansweredError is a request that no answer came to in time.
type unansweredError struct{}

func (*unansweredError) Error() string { return "no answer in time" }

func keep(f *front) (*keptConn, error) {
	conn, err := net.DialTimeout("tcp", f.Callers, time.Second)
	if err != nil {
		return nil, err
	}
	kept := &keptConn{front: f.Name, conn: conn, answers: make(chan keptAnswer, 4)}
	go kept.read()
	return kept, nil
}

// read passes on what comes, a way later, and ends with the connection.
func (kept *keptConn) read() {
	defer close(kept.answers)
	reader := bufio.NewReader(kept.conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		answer := keptAnswer{err: err}
		if err == nil {
			_, answer.err = io.Copy(io.Discard, response.Body)
			answer.status, answer.close = response.StatusCode, response.Close
		}
		time.Sleep(keeperWay)
		kept.answers <- answer
		if answer.err != nil || answer.close {
			return
		}
	}
}

// isOver reports whether the caller knows that the connection is closed.
func (kept *keptConn) isOver() bool {
	select {
	case <-kept.answers: // an answer that nobody waits for, or the end
		return true
	default:
		return false
	}
}

// ask sends a request and waits for its answer.
func (kept *keptConn) ask(id string) keptAnswer {
	time.Sleep(keeperWay)
	r, err := http.NewRequest(http.MethodPost, "http://desk.example/post/x", strings.NewReader("x"))
	if err != nil {
		return keptAnswer{err: err}
	}
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "2000")
	writing := r.Write(kept.conn) // what was answered before counts even so
	select {
	case answer, ok := <-kept.answers:
		if !ok {
			answer.err = errors.Join(io.EOF, writing)
		}
		return answer
	case <-time.After(keeperPatience):
		return keptAnswer{err: &unansweredError{}}
	}
}
