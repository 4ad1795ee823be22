package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wagtaildrum/wagtaildrum/admission"
	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/route"
)

const (
	// answerFactor times the usual time of an answer, and answerShare of a
	// request's time at least, is kept for the answer: the rest may be spent
	// waiting. One in a hundred answers takes four times the usual.
	answerFactor = 4
	answerShare  = 0.2
	// delaySlack times its patience, and a request is turned away at once
	// if the requests before it are expected to take longer. How many run at
	// once changes by that much while it waits.
	delaySlack = 3
	// maxWaiting bounds the requests that wait for one service; it is above
	// what one instance's callers send within the second or so that any of
	// them waits.
	maxWaiting = 2000
	// maxPrograms bounds the programs that are remembered.
	maxPrograms = 1 << 14
)

// entrances hold requests back while the endpoints of their service have
// more than they can do, so that the most urgent go first.
type entrances struct {
	clock clock.Clock

	mu       sync.Mutex
	services map[string]*entrance
	programs *simplelru.LRU[string, programState]
}

// programState is what is remembered of a program whose turns came here.
type programState struct {
	// priority is that of its turns: the calls of its tools are as urgent as
	// the program that waits for them.
	priority int
	started  bool
}

// entrance is the way to one service.
type entrance struct {
	gate *admission.Gate[admission.InTime]

	mu     sync.Mutex
	window *admission.Window
}

func newEntrances(clk clock.Clock) *entrances {
	e := &entrances{clock: clk, services: map[string]*entrance{}}
	// The size is a positive constant, the only thing NewLRU refuses.
	e.programs, _ = simplelru.NewLRU[string, programState](maxPrograms, nil)
	return e
}

func (entrances *entrances) of(service string) *entrance {
	entrances.mu.Lock()
	defer entrances.mu.Unlock()
	e, ok := entrances.services[service]
	if !ok {
		window := admission.NewWindow(entrances.clock)
		limits := admission.Limits{Running: window.Size(), Waiting: maxWaiting, Urgent: 1}
		e = &entrance{gate: admission.NewGate(admission.InTime{}, limits, entrances.clock), window: window}
		entrances.services[service] = e
	}
	return e
}

// state returns the ways to all services, by name.
func (entrances *entrances) state() []ServiceState {
	entrances.mu.Lock()
	defer entrances.mu.Unlock()
	states := make([]ServiceState, 0, len(entrances.services))
	for name, e := range entrances.services {
		running, waiting, _ := e.gate.Stats()
		states = append(states, ServiceState{Name: name, Running: running, Waiting: waiting, Window: e.gate.Limits().Running})
	}
	slices.SortFunc(states, func(a, b ServiceState) int { return strings.Compare(a.Name, b.Name) })
	return states
}

// program returns what is known of the program of a request with the
// priority of its route. A program whose tools call has begun, whether or not
// its turns came here.
func (entrances *entrances) program(id string, priority int, isTurn bool) programState {
	state := programState{priority: priority, started: !isTurn}
	if id == "" {
		return state
	}
	entrances.mu.Lock()
	defer entrances.mu.Unlock()
	known, ok := entrances.programs.Get(id)
	if ok {
		state.priority = min(state.priority, known.priority)
		state.started = state.started || known.started
	}
	if isTurn {
		entrances.programs.Add(id, programState{priority: state.priority, started: known.started})
	}
	return state
}

// hasStarted reports whether a turn of the program was served here.
func (entrances *entrances) hasStarted(program string) bool {
	entrances.mu.Lock()
	defer entrances.mu.Unlock()
	known, _ := entrances.programs.Peek(program)
	return known.started
}

// started notes that a turn of the program was served.
func (entrances *entrances) started(program string, priority int) {
	entrances.mu.Lock()
	defer entrances.mu.Unlock()
	entrances.programs.Add(program, programState{priority: priority, started: true})
}

// answered takes in what an endpoint's answer tells of its queue. One that
// tells no load has a queue as long as its slots if it is full, else none.
func (entrance *entrance) answered(verdict Verdict) {
	load := balance.Load{Slots: 1}
	switch {
	case verdict.Load != nil:
		load = *verdict.Load
	case verdict.Misdirected:
		return
	case verdict.NotRun:
		load.Waiting = 1
	}
	running, waiting, _ := entrance.gate.Stats()
	entrance.mu.Lock()
	defer entrance.mu.Unlock()
	entrance.window.Told(load.Waiting, load.Slots, running, waiting, entrance.gate.Usual())
	entrance.gate.SetRunning(entrance.window.Size())
}

// patience returns how long a request may wait that has left time.
func (entrance *entrance) patience(left time.Duration) time.Duration {
	answer := max(answerFactor*entrance.gate.Usual(), time.Duration(answerShare*float64(left)))
	return max(left-answer, 0)
}

// admit waits until the request may go to its service, and returns what
// ends its stay there.
func (e *exchange) admit(ctx context.Context) (release func(), err error) {
	e.entrance = e.entrances.of(e.service)
	now := e.Clock.Now()
	patience := e.entrance.patience(e.until.Sub(now))
	of := e.entrances.program(e.program, route.Rank(e.organisation, e.route), e.spends())
	e.priority = of.priority
	ticket := admission.Ticket{Urgency: -of.priority, New: !of.started, Arrived: now, Deadline: now.Add(delaySlack * patience)}
	if e.call.Finish > 0 {
		ticket.Finish = e.arrived.Add(e.call.Finish)
	}
	ticket.Urgency = admission.InTime{}.Class(ticket.Urgency, &ticket)
	waiting, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	release, err = e.entrance.gate.Acquire(waiting, ticket)
	e.queued = e.Clock.Now().Sub(now)
	e.metrics.queue.RecordDuration(e.queued)
	var refused *admission.Error
	if errors.As(err, &refused) {
		return nil, e.orGone(ctx, refuse(ReasonEndpointsFull, http.StatusServiceUnavailable, max(refused.RetryAfter(), busyPause), err))
	}
	return release, nil
}
