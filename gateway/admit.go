package gateway

import (
	"cmp"
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
	"github.com/wagtaildrum/wagtaildrum/overload"
)

const (
	// responseTimeFactor times the mean response time, and at least
	// minResponseShare of a request's remaining time, is reserved for the
	// response; the remainder may be spent waiting. One in a hundred responses
	// takes four times the mean.
	responseTimeFactor = 4
	minResponseShare   = 0.2
	// queueDelayFactor times its maximum wait is the queueing delay above which
	// a request is rejected at once. The factor allows for the number of
	// running requests to change that much while the request waits.
	queueDelayFactor = 3
	// maxWaiting bounds the requests waiting for one service. It is above the
	// number that one instance's callers send within the second or so that a
	// request waits.
	maxWaiting = 2000
	// maxPrograms bounds the programs whose state is cached.
	maxPrograms = 1 << 14
)

// serviceQueues holds the admission queue of each service and the state of
// recent programs. Requests wait here while their service is overloaded, so
// that the most urgent are sent first. It is safe for concurrent use.
type serviceQueues struct {
	clock clock.Clock

	mu       sync.Mutex
	services map[string]*serviceQueue
	programs *simplelru.LRU[string, programState]
}

// programState holds the cached state of a program whose turns were sent
// through this instance.
type programState struct {
	// priority is the rank of the program's turns, where 0 is the highest.
	// Calls to the program's tools get the same rank, because the program waits
	// for them. started is set once a turn was served.
	priority int
	started  bool
	// route is the name of the route of the program's latest turn.
	route string
}

// serviceQueue is the admission queue of one service.
type serviceQueue struct {
	// gate holds the waiting requests.
	gate *admission.Gate[admission.EarliestFinish]

	mu sync.Mutex
	// window determines how many requests gate lets run at once.
	window *admission.Window
}

// newServiceQueues returns queues for no service and no program yet.
func newServiceQueues(clk clock.Clock) *serviceQueues {
	queues := &serviceQueues{clock: clk, services: map[string]*serviceQueue{}}
	// NewLRU fails only for a size that is not positive.
	queues.programs, _ = simplelru.NewLRU[string, programState](maxPrograms, nil)
	return queues
}

// entry returns the admission queue of a service, which it creates on first use.
func (serviceQueues *serviceQueues) entry(service string) *serviceQueue {
	serviceQueues.mu.Lock()
	defer serviceQueues.mu.Unlock()
	queue, ok := serviceQueues.services[service]
	if !ok {
		window := admission.NewWindow(serviceQueues.clock)
		limits := admission.Limits{Running: window.Size(), Waiting: maxWaiting, Urgent: 1}
		queue = &serviceQueue{gate: admission.NewGate(admission.EarliestFinish{}, limits, serviceQueues.clock), window: window}
		serviceQueues.services[service] = queue
	}
	return queue
}

// state returns the state of all admission queues, sorted by service name, with what
// loads knows of other instances.
func (serviceQueues *serviceQueues) state(loads *overload.Meter) []ServiceState {
	serviceQueues.mu.Lock()
	defer serviceQueues.mu.Unlock()
	states := make([]ServiceState, 0, len(serviceQueues.services))
	for name, queue := range serviceQueues.services {
		running, waiting, _ := queue.gate.Stats()
		othersWaiting, _ := loads.WaitingShare(name)
		states = append(states, ServiceState{Name: name, Running: running, Waiting: waiting, Window: queue.gate.Limits().Running, OthersWaiting: othersWaiting})
	}
	slices.SortFunc(states, func(a, b ServiceState) int { return strings.Compare(a.Name, b.Name) })
	return states
}

// program returns the state of a program, given the priority of the request's
// route, and the name of that route for a turn. The program's priority is the
// highest of its turns and of this
// request; a turn's result is cached. A program that calls a tool has started,
// even if its turns were served by other instances.
func (serviceQueues *serviceQueues) program(id string, priority int, turnRoute string) programState {
	isTurn := turnRoute != ""
	state := programState{priority: priority, started: !isTurn, route: turnRoute}
	if id == "" {
		return state
	}
	serviceQueues.mu.Lock()
	defer serviceQueues.mu.Unlock()
	known, ok := serviceQueues.programs.Get(id)
	if ok {
		state.priority = min(state.priority, known.priority)
		state.started = state.started || known.started
		state.route = cmp.Or(turnRoute, known.route)
	}
	if isTurn {
		serviceQueues.programs.Add(id, programState{priority: state.priority, started: known.started, route: turnRoute})
	}
	return state
}

// hasStarted reports whether this instance has served a turn of the program.
func (serviceQueues *serviceQueues) hasStarted(program string) bool {
	serviceQueues.mu.Lock()
	defer serviceQueues.mu.Unlock()
	known, _ := serviceQueues.programs.Peek(program)
	return known.started
}

// started records that this instance served a turn of the program.
func (serviceQueues *serviceQueues) started(program string, priority int, route string) {
	serviceQueues.mu.Lock()
	defer serviceQueues.mu.Unlock()
	serviceQueues.programs.Add(program, programState{priority: priority, started: true, route: route})
}

// recordResponse updates the service's window with the queue length that an
// endpoint reports and the share of the other instances' requests that wait. An
// endpoint that reports no load is taken to have one slot, and one waiting request
// if it rejected the request. The response of an endpoint that the request was not
// meant for is ignored, unless it reports a load.
func (serviceQueue *serviceQueue) recordResponse(verdict ResponseInfo, others admission.WaitingShare) {
	load := balance.Load{Slots: 1}
	switch {
	case verdict.Load != nil:
		load = *verdict.Load
	case verdict.Misdirected:
		return
	case verdict.NotRun:
		load.Waiting = 1
	}
	running, waiting, _ := serviceQueue.gate.Stats()
	serviceQueue.mu.Lock()
	defer serviceQueue.mu.Unlock()
	serviceQueue.window.ObserveQueue(load.Waiting, load.Slots, running, waiting, serviceQueue.gate.MeanServiceTime(), others)
	serviceQueue.gate.SetRunning(serviceQueue.window.Size())
}

// othersWaiting returns the share of the other instances' requests of the service
// that wait in their queues.
func (e *exchange) othersWaiting() admission.WaitingShare {
	share, known := e.Loads.WaitingShare(e.service)
	return admission.WaitingShare{Value: share, Known: known}
}

// maxWait returns how long a request with the given remaining time may wait in
// the queue.
func (serviceQueue *serviceQueue) maxWait(remaining time.Duration) time.Duration {
	reserved := max(responseTimeFactor*serviceQueue.gate.MeanServiceTime(), time.Duration(minResponseShare*float64(remaining)))
	return max(remaining-reserved, 0)
}

// admit waits in the service's queue until the request may be sent, and sets
// releaseSlot. It returns a *refusal if the queue rejects the request or its time
// ends first.
func (e *exchange) admit(ctx context.Context) error {
	e.serviceQueue = e.serviceQueues.entry(e.service)
	now := e.Clock.Now()
	maxWait := e.serviceQueue.maxWait(e.deadline.Sub(now))
	ticket := admission.Ticket{Urgency: -e.priority, FirstCall: !e.programBegun, Arrived: now, Deadline: now.Add(queueDelayFactor * maxWait)}
	if e.call.Finish > 0 {
		ticket.Finish = e.arrived.Add(e.call.Finish)
	}
	ticket.Urgency = admission.EarliestFinish{}.Class(ticket.Urgency, &ticket)
	waiting, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	release, err := e.serviceQueue.gate.Acquire(waiting, ticket)
	waited := e.Clock.Now().Sub(now)
	e.queueTime += waited
	e.metrics.queue.RecordDuration(waited)
	var refused *admission.Error
	if errors.As(err, &refused) {
		return e.orEnded(ctx, refuse(ReasonEndpointsFull, http.StatusServiceUnavailable, max(refused.RetryAfter(), busyRetryAfter), err))
	}
	e.releaseSlot = release
	return nil
}
