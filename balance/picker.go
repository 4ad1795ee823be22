package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/membership"
)

// Part is one part of a prompt; parts with the same ID after the same parts
// are the same text.
type Part struct {
	ID     string
	Tokens int64
}

// Request is what a choice depends on.
type Request struct {
	// DataCentre is where the request came in.
	DataCentre string
	// Parts of the prompt, in order; none for a plain service.
	Parts []Part
	// Capacity is an engine's memory in tokens; 0 for a plain service.
	Capacity int64
}

// Load is what an endpoint tells of itself.
type Load struct {
	Running, Waiting, Slots int
}

// Weights of the expected cost of an endpoint.
const (
	// yieldFactor: what is read takes the room of as much that has to be
	// read again. Without it conversations moved between full engines, and
	// these read 5,100 tokens a turn where 1,500 were new.
	yieldFactor = 2
	// slotCost is what one more request in the batch of an engine costs
	// each: a step takes 1.3 to 2.2 % longer per request, 4 to 6 ms over an
	// answer of 300 ms.
	slotCost = 5 * time.Millisecond
	// remoteCost is what another data centre costs: two ways of 0.9 ms, its
	// priced bytes, and those of the turns that follow where the
	// conversation is. It is worth eight requests in the batch. At 25 ms the
	// bytes cost 0.005 of a quiet day and 0.010 of a burst, at 40 ms 0.004
	// and 0.007, with as many programs in time.
	remoteCost = 40 * time.Millisecond
	// typicalService is a request's time at an endpoint before one was
	// measured.
	typicalService = 100 * time.Millisecond
	// serviceWeight is the weight of a new time in the mean.
	serviceWeight = 0.05
	// loadLifetime is how long a told load counts. Others' requests last
	// about that long.
	loadLifetime = 400 * time.Millisecond
	// toldWeight is the weight of a new told load in the means.
	toldWeight = 0.05
	// tellingAnswers without a word of load, and the endpoints of a service
	// tell none.
	tellingAnswers = 16
	// failureCooldown is how long an endpoint that cannot be reached is
	// left out, doubled with each failure in a row up to maxCooldown.
	failureCooldown = 250 * time.Millisecond
	maxCooldown     = 4 * time.Second
)

// Picker knows the load of the endpoints. It is safe for concurrent use.
type Picker struct {
	clock clock.Clock
	// draw returns a random number below n, for a choice among equals.
	draw func(n int) int

	mu        sync.Mutex
	endpoints map[string]*endpoint
	services  map[string]*service
	shared    *sharedParts
}

// service is what is usual at the endpoints of a service.
type service struct {
	// whole is the mean time of a request, head that to the head of its
	// answer without the reading of the prompt; 0 before the first answer.
	whole, head time.Duration
	reading     reading
	// busy is the mean share of an endpoint's slots that are taken, others that
	// taken by other instances' requests, as endpoints told.
	busy, others float64
	// told is how many loads were told, served how many requests were served.
	told, served int
}

type endpoint struct {
	inFlight int
	told     Load
	toldAt   time.Time
	// others is what was told beyond what this instance had there.
	others   int
	parts    *partCache
	failures int
	avoid    time.Time
	standing standing
}

// NewPicker returns a picker that knows nothing yet.
func NewPicker(clk clock.Clock) *Picker {
	return &Picker{clock: clk, draw: rand.IntN, endpoints: map[string]*endpoint{}, services: map[string]*service{}, shared: newSharedParts()}
}

// Choice is a request given to an endpoint, until Done.
type Choice struct {
	picker   *Picker
	endpoint *membership.Endpoint
	state    *endpoint
	began    time.Time
	answered bool
	// prompt tells that the request has a prompt to read.
	prompt bool
	// Missing is how many tokens of the prompt the endpoint is expected to
	// read anew.
	Missing int64
	// Cost is the expected cost that decided the choice.
	Cost time.Duration
}

// Endpoint returns the endpoint chosen.
func (choice *Choice) Endpoint() *membership.Endpoint { return choice.endpoint }

// Pick chooses one of candidates for request, leaving out those that skip
// names and, unless no others are left, those that failed just now. It
// returns nil if there is none.
func (picker *Picker) Pick(candidates []*membership.Endpoint, request *Request, skip func(id string) bool) *Choice {
	picker.mu.Lock()
	defer picker.mu.Unlock()
	now := picker.clock.Now()
	keepers := picker.keepers(candidates, request)
	var best Choice
	bestAvoided := false
	ties := 0
	for i, candidate := range candidates {
		if skip(candidate.ID) {
			continue
		}
		state := picker.state(candidate.Incarnation())
		avoided := now.Before(state.avoid)
		cost, missing := picker.cost(candidate, state, request, keepers.has(i), now)
		better := best.state == nil || bestAvoided && !avoided || bestAvoided == avoided && cost < best.Cost
		switch {
		case better:
			ties = 1
		case bestAvoided == avoided && cost == best.Cost:
			ties++
			better = picker.draw(ties) == 0
		}
		if better {
			best = Choice{picker: picker, endpoint: candidate, state: state, began: now, prompt: len(request.Parts) > 0, Missing: missing, Cost: cost}
			bestAvoided = avoided
		}
	}
	if best.state == nil {
		return nil
	}
	best.state.inFlight++
	best.state.standing.sent(now)
	best.state.parts.add(request.Parts, request.Capacity, now)
	return &best
}

// state returns what is known of one start of an endpoint.
func (picker *Picker) state(incarnation string) *endpoint {
	state, ok := picker.endpoints[incarnation]
	if !ok {
		state = &endpoint{parts: newPartCache()}
		picker.endpoints[incarnation] = state
	}
	return state
}

// keepers returns which candidates keep the part that the request shares
// with others, and nil if it shares none.
func (picker *Picker) keepers(candidates []*membership.Endpoint, request *Request) *keepers {
	if len(request.Parts) == 0 || len(candidates) == 0 {
		return nil
	}
	s := picker.shared.note(request.Parts[0], candidates)
	return &keepers{part: s, kept: picker.shared.kept(s, request.Capacity, picker.service(candidates[0].Service).taken())}
}

// cost returns how long candidate is expected to delay the request's answer.
func (picker *Picker) cost(candidate *membership.Endpoint, state *endpoint, request *Request, keeps bool, now time.Time) (time.Duration, int64) {
	slots := max(candidate.Slots, 1)
	usual := picker.service(candidate.Service)
	load := state.load(usual.others*float64(slots), now)
	cost := time.Duration(load * float64(slotCost))
	if queued := load - float64(slots) + 1; queued > 0 {
		cost += time.Duration(float64(usual.whole) * queued / float64(slots))
	}
	cost += state.standing.cost(usual.head, now)
	missing := state.parts.missing(request.Parts, keeps, now)
	// While an engine reads a prompt all that it has wait, too, and what it
	// reads pushes out what others need.
	cost += time.Duration(float64(usual.reading.time(missing)) * yieldFactor * (1 + load))
	if candidate.DataCentre != request.DataCentre {
		cost += remoteCost
	}
	return cost, missing
}

// load returns how many requests the endpoint is expected to hold, given how
// many others have at an endpoint in the mean: what it told counts less and
// less.
func (state *endpoint) load(usual float64, now time.Time) float64 {
	left := max(1-float64(now.Sub(state.toldAt))/float64(loadLifetime), 0)
	return float64(state.inFlight) + usual + (float64(state.others)-usual)*left
}

// taken returns the mean share of an endpoint's slots that is taken. Where
// none tells its load they may have all that they can do.
func (service *service) taken() float64 {
	if service.told == 0 && service.served >= tellingAnswers {
		return 1
	}
	return service.busy
}

// learn takes in what an endpoint told of its load, as shares of its slots.
func (service *service) learn(busy, others float64) {
	service.told++
	service.busy += max(1/float64(service.told), toldWeight) * (busy - service.busy)
	service.others += toldWeight * (others - service.others)
}

func (picker *Picker) service(name string) *service {
	usual, ok := picker.services[name]
	if !ok {
		usual = &service{whole: typicalService}
		picker.services[name] = usual
	}
	return usual
}

// Answered takes in that the head of the endpoint's answer came.
func (choice *Choice) Answered() {
	picker := choice.picker
	picker.mu.Lock()
	defer picker.mu.Unlock()
	now := picker.clock.Now()
	choice.answered = true
	choice.state.standing.settled(now, true)
	usual := picker.service(choice.endpoint.Service)
	took, expected := now.Sub(choice.began), usual.reading.time(choice.Missing)
	head := max(took-expected, 0)
	choice.state.standing.took(head, now)
	if usual.head == 0 {
		usual.head = head
	}
	if choice.prompt {
		usual.reading.learn(choice.Missing, min(took, outlierFactor*(usual.head+expected)))
	}
	usual.head += time.Duration(serviceWeight * float64(head-usual.head))
}

// Learn takes in that one start of an endpoint keeps a part of prompts, as
// another instance left it there.
func (picker *Picker) Learn(incarnation string, part Part) {
	picker.mu.Lock()
	defer picker.mu.Unlock()
	picker.state(incarnation).parts.learn(part, picker.clock.Now())
}

// Told takes in what the endpoint said of its load while it has the
// request.
func (choice *Choice) Told(load Load) {
	picker := choice.picker
	picker.mu.Lock()
	defer picker.mu.Unlock()
	state := choice.state
	state.told, state.toldAt = load, picker.clock.Now()
	state.others = max(load.Running+load.Waiting-state.inFlight, 0)
	if load.Slots > 0 {
		busy, others := float64(load.Running+load.Waiting)/float64(load.Slots), float64(state.others)/float64(load.Slots)
		picker.service(choice.endpoint.Service).learn(busy, others)
	}
}

// Outcome says how a request at an endpoint ended.
type Outcome int

//go:generate stringer -type=Outcome -trimprefix=Outcome

// Outcomes.
const (
	// OutcomeServed: the endpoint worked on it to the end.
	OutcomeServed Outcome = iota
	// OutcomeRefused: the endpoint did not run it.
	OutcomeRefused
	// OutcomeUnreachable: no connection, or the endpoint is another one now.
	OutcomeUnreachable
	// OutcomeBroken: the connection failed on the way.
	OutcomeBroken
	// OutcomeAbandoned: given up by the caller or its deadline.
	OutcomeAbandoned
	// OutcomeFailed: the endpoint answered with a failure of its own.
	OutcomeFailed
)

// Done ends the choice.
func (choice *Choice) Done(outcome Outcome) {
	picker := choice.picker
	picker.mu.Lock()
	defer picker.mu.Unlock()
	now := picker.clock.Now()
	state := choice.state
	state.inFlight--
	if !choice.answered {
		state.standing.settled(now, outcome == OutcomeRefused)
	}
	usual := picker.service(choice.endpoint.Service)
	took := now.Sub(choice.began)
	switch outcome {
	case OutcomeServed:
		state.failures = 0
		state.standing.ended(false, now)
		usual.served++
		usual.whole += time.Duration(serviceWeight * float64(took-usual.whole))
	case OutcomeBroken, OutcomeFailed:
		state.standing.ended(true, now)
	case OutcomeAbandoned:
		// Callers leave for reasons of their own, but they leave an endpoint
		// that hangs, too.
		if !choice.answered && took > allowance(usual.head) {
			state.standing.ended(true, now)
		}
	case OutcomeUnreachable:
		state.failures++
		state.avoid = now.Add(min(failureCooldown<<min(state.failures-1, 10), maxCooldown))
	}
}

// Forget drops the starts of endpoints that keep does not name and that have
// nothing in flight.
func (picker *Picker) Forget(keep func(incarnation string) bool) {
	picker.mu.Lock()
	defer picker.mu.Unlock()
	for incarnation, state := range picker.endpoints {
		if state.inFlight == 0 && !keep(incarnation) {
			delete(picker.endpoints, incarnation)
		}
	}
}

// View is one endpoint in a state dump.
type View struct {
	ID       string `json:"id"`
	InFlight int    `json:"in_flight"`
	Told     Load   `json:"told"`
	Parts    int    `json:"parts"`
}

// Views returns the endpoints known.
func (picker *Picker) Views() []View {
	picker.mu.Lock()
	defer picker.mu.Unlock()
	views := make([]View, 0, len(picker.endpoints))
	for id, state := range picker.endpoints {
		views = append(views, View{ID: id, InFlight: state.inFlight, Told: state.told, Parts: state.parts.len()})
	}
	return views
}
