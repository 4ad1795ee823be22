package balance

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/membership"
)

// Part is one segment of a prompt. Segments with the same ID that follow the
// same segments have the same text.
type Part struct {
	ID     string
	Tokens int64
}

// Request holds the properties of a request that the choice of an endpoint
// depends on.
type Request struct {
	// DataCentre is the data centre that received the request.
	DataCentre string
	// Segments holds the prompt segments in order; it is empty for a request
	// without a prompt.
	Segments []Part
	// OutputTokens is the maximum number of tokens that the request generates.
	OutputTokens int64
	// Capacity is the size of an engine's key-value cache in tokens; 0 for a
	// service that runs no language model.
	Capacity int64
}

// Load is the load that an endpoint reports: its running and waiting requests
// and its slots.
type Load struct {
	Running, Waiting, Slots int
}

// Weights of the terms of an endpoint's expected cost, and time constants of
// the statistics behind them.
const (
	// evictionFactor multiplies the prefill time, since each prefilled token
	// evicts a cached token that has to be prefilled again later. Without the
	// factor conversations moved between full engines, which prefilled 5,100
	// tokens a turn of which 1,500 were new.
	evictionFactor = 2
	// slotCost is the delay caused by each request in an engine's batch. A
	// decoding step takes 1.3 to 2.2 % longer per request, which is 4 to 6 ms
	// over a response of 300 ms.
	slotCost = 5 * time.Millisecond
	// remoteCost is the cost of an endpoint in another data centre: a round
	// trip of two times 0.9 ms, the price of the bytes transferred, and the
	// same for later turns, which follow the conversation's cache. It equals
	// the cost of eight requests in the batch. With 25 ms the bytes cost 0.005
	// of a quiet day and 0.010 of a burst, with 40 ms 0.004 and 0.007, and as
	// many programs met their deadlines. It is less while requests wait in the
	// own data centre and not in the other one.
	remoteCost = 40 * time.Millisecond
	// initialServiceTime is the assumed duration of a request at an endpoint
	// of a service before the first measurement.
	initialServiceTime = 100 * time.Millisecond
	// serviceTimeWeight is the weight of a new measurement in the exponentially
	// weighted means of service times.
	serviceTimeWeight = 0.05
	// loadReportTTL is the time over which a reported load loses its weight. It
	// is about the duration of the requests of other instances.
	loadReportTTL = 400 * time.Millisecond
	// loadReportWeight is the weight of a new load report in the exponentially
	// weighted means of a service.
	loadReportWeight = 0.05
	// minResponsesWithoutLoad is the number of served requests without any load
	// report after which the endpoints of a service count as reporting none.
	minResponsesWithoutLoad = 16
	// failureCooldown is how long an unreachable endpoint is avoided. It doubles
	// with each consecutive failure up to maxCooldown.
	failureCooldown = 250 * time.Millisecond
	maxCooldown     = 4 * time.Second
	// connectCost is the cost of opening a connection: about a round trip, and
	// less than slotCost, so that it decides only among endpoints with the same
	// number of requests.
	connectCost = time.Millisecond
)

// Picker chooses endpoints and keeps the load and health statistics that its
// choices depend on. It is safe for concurrent use.
type Picker struct {
	clock clock.Clock
	// randIntN returns a random number in [0, n); it breaks ties.
	randIntN func(n int) int
	// hasIdleConn reports whether an idle connection to an address is open; nil if
	// that is not known.
	hasIdleConn func(address string) bool

	mu        sync.Mutex
	endpoints map[string]*endpoint
	// states is the memory of lookUpStates.
	states   []*endpoint
	services map[string]*serviceStats
	prefixes *sharedPrefixes
}

// serviceStats holds the mean values over the endpoints of a service.
type serviceStats struct {
	// serviceTime is the mean duration of a request. headerTime is the mean
	// time to the response header without the prefill; 0 before the first
	// response.
	serviceTime, headerTime time.Duration
	prefill                 prefill
	generation              generation
	placement               placement
	// utilisation is the mean share of an endpoint's slots in use, otherLoad
	// the mean share in use by requests of other instances, both as reported
	// by endpoints.
	utilisation, otherLoad float64
	// loadReports counts the load reports, served the requests served.
	loadReports, served int
	// centres holds the loads by data centre.
	centres map[string]centreLoad
}

// endpoint is the state of one incarnation of an endpoint.
type endpoint struct {
	inFlight     int
	reportedLoad Load
	reportedAt   time.Time
	// otherLoad is the number of requests in the last report beyond those of
	// this instance.
	otherLoad  int
	cache      *segmentCache
	memory     engineMemory
	failures   int
	avoidUntil time.Time
	health     health
	speed      speed
	// weight is the weight that new conversations and replicas of shared
	// prefixes are placed by; 1 for an endpoint of the usual speed.
	weight float64
}

// NewPicker returns a picker without any statistics.
func NewPicker(clk clock.Clock) *Picker {
	return &Picker{clock: clk, randIntN: rand.IntN, endpoints: map[string]*endpoint{}, services: map[string]*serviceStats{}, prefixes: newSharedPrefixes()}
}

// PreferOpenConnections makes the picker choose, among endpoints of nearly equal
// cost, one for whose address hasIdleConn returns true. It must be called before
// the first Pick. The function is called while Pick runs and must not block or
// call the picker.
func (picker *Picker) PreferOpenConnections(hasIdleConn func(address string) bool) {
	picker.hasIdleConn = hasIdleConn
}

// Choice is the assignment of a request to an endpoint. It lasts until Done.
type Choice struct {
	picker    *Picker
	request   *Request
	endpoint  *membership.Endpoint
	state     *endpoint
	startedAt time.Time
	responded bool
	// headerAt is when the response header arrived. generated is the number of
	// tokens generated since; 0 if it is not known.
	headerAt  time.Time
	generated int64
	// MissingTokens is the number of prompt tokens that the endpoint is expected to
	// prefill.
	MissingTokens int64
	// Cost is the expected cost of the chosen endpoint.
	Cost time.Duration
}

// Endpoint returns the chosen endpoint.
func (choice *Choice) Endpoint() *membership.Endpoint { return choice.endpoint }

// Pick chooses the candidate with the lowest expected cost for request. It
// leaves out the candidates whose ID skip reports, those whose memory the
// request would exceed, and those that were unreachable a moment ago unless
// there are no others. It returns nil if no candidate remains.
func (picker *Picker) Pick(candidates []*membership.Endpoint, request *Request, skip func(id string) bool) *Choice {
	picker.mu.Lock()
	defer picker.mu.Unlock()
	if len(candidates) == 0 {
		return nil
	}
	now := picker.clock.Now()
	stats := picker.serviceStats(candidates[0].Service)
	states := picker.lookUpStates(candidates)
	placed := stats.isPlaced(states, request, now)
	replicas := picker.replicas(stats, candidates, states, request)
	locality := stats.locality(request.DataCentre, now)
	var best Choice
	bestAvoided := false
	ties := 0
	for i, candidate := range candidates {
		if skip(candidate.ID) {
			continue
		}
		state := states[i]
		if state.inFlight > 0 && !state.memory.fits(request) {
			continue
		}
		avoided := now.Before(state.avoidUntil)
		otherLoad, crossing := locality.endpointsIn(candidate.DataCentre, now)
		cost, missing := stats.cost(max(candidate.Slots, 1), state, request, otherLoad, replicas.has(i), placed, now)
		cost += crossing
		if best.state == nil || cost-connectCost <= best.Cost || bestAvoided && !avoided {
			cost -= picker.connectionCredit(candidate, state, request, now)
		}
		better := best.state == nil || bestAvoided && !avoided || bestAvoided == avoided && cost < best.Cost
		switch {
		case better:
			ties = 1
		case bestAvoided == avoided && cost == best.Cost:
			ties++
			better = picker.randIntN(ties) == 0
		}
		if better {
			best = Choice{picker: picker, request: request, endpoint: candidate, state: state, startedAt: now, MissingTokens: missing, Cost: cost}
			bestAvoided = avoided
		}
	}
	if best.state == nil {
		return nil
	}
	best.state.inFlight++
	best.state.memory.add(request)
	best.state.health.sent(now)
	best.state.cache.add(request.Segments, request.Capacity, now)
	return &best
}

// state returns the state of one incarnation of an endpoint, creating it if
// necessary.
func (picker *Picker) state(incarnation string) *endpoint {
	state, ok := picker.endpoints[incarnation]
	if !ok {
		state = &endpoint{cache: newSegmentCache(), weight: 1}
		picker.endpoints[incarnation] = state
	}
	return state
}

// lookUpStates returns the states of the candidates, in the same order, until the
// next call.
func (picker *Picker) lookUpStates(candidates []*membership.Endpoint) []*endpoint {
	picker.states = picker.states[:0]
	for _, candidate := range candidates {
		picker.states = append(picker.states, picker.state(candidate.Incarnation()))
	}
	return picker.states
}

// isPlaced reports whether the request is placed by the candidates' weights: it
// begins a conversation, of which no candidate is known to have a segment cached,
// and the weights differ. It updates the weights if they are due.
func (serviceStats *serviceStats) isPlaced(candidates []*endpoint, request *Request, now time.Time) bool {
	if len(request.Segments) == 0 {
		return false
	}
	if now.Sub(serviceStats.placement.updatedAt) >= weightInterval {
		serviceStats.placement.update(candidates, now)
	}
	if !serviceStats.placement.uneven {
		return false
	}
	for _, candidate := range candidates {
		if candidate.cache.hasAny(request.Segments[1:], now) {
			return false
		}
	}
	return true
}

// update updates the weights of the candidates.
func (placement *placement) update(candidates []*endpoint, now time.Time) {
	placement.updatedAt, placement.uneven = now, false
	changed := false
	for _, candidate := range candidates {
		weight := candidate.speed.placementWeight(candidate.weight, now)
		changed = changed || weight != candidate.weight
		candidate.weight = weight
		placement.uneven = placement.uneven || weight != candidates[0].weight
	}
	if changed {
		placement.version++
	}
}

// replicas returns the candidates that hold a replica of the request's shared
// prefix, nil if the request has no prompt.
func (picker *Picker) replicas(stats *serviceStats, candidates []*membership.Endpoint, states []*endpoint, request *Request) *replicas {
	if len(request.Segments) == 0 {
		return nil
	}
	weight := func(i int) float64 { return states[i].weight }
	entry := picker.prefixes.recordPrompt(request.Segments[0], candidates, stats.placement.version, weight)
	return &replicas{prefix: entry, replicaCounts: picker.prefixes.replicaCounts(entry, request.Capacity, stats.meanUtilisation())}
}

// cost returns how long an endpoint is expected to delay the response, without
// the cost of another data centre, and how many tokens of the prompt it is expected
// to prefill. otherLoad is the mean load by requests of other instances, as a share
// of the slots.
func (serviceStats *serviceStats) cost(slots int, state *endpoint, request *Request, otherLoad float64, prefixCached, placed bool, now time.Time) (time.Duration, int64) {
	load := state.load(otherLoad*float64(slots), now)
	queued := max(load-float64(slots)+1, 0)
	if placed {
		load, queued = load/state.weight, queued/state.weight
	}
	cost := time.Duration(load * float64(slotCost))
	cost += time.Duration(float64(serviceStats.serviceTime) * queued / float64(slots))
	cost += state.health.cost(serviceStats.headerTime, now)
	missing := state.cache.missing(request.Segments, prefixCached, now)
	// Prefill delays all running requests of an engine and evicts cached
	// tokens that other requests need.
	cost += time.Duration(float64(serviceStats.prefill.time(missing)) * evictionFactor * (1 + load))
	return cost, missing
}

// connectionCredit returns how much sooner a request is expected to start at an
// endpoint because an idle connection to it is open. For prompts that counts only
// as far as the endpoint's load is known. Otherwise, each instance kept to the
// engines that it had used last, and with 84 instances waits grew by 6 ms, though
// only 2 % more of the requests found an open connection.
func (picker *Picker) connectionCredit(candidate *membership.Endpoint, state *endpoint, request *Request, now time.Time) time.Duration {
	if picker.hasIdleConn == nil {
		return 0
	}
	credit := connectCost
	if len(request.Segments) > 0 {
		credit = time.Duration(state.reportFreshness(now) * float64(connectCost))
	}
	// hasIdleConn takes a lock, so it is not called where it makes no difference.
	if credit == 0 || !picker.hasIdleConn(candidate.Address) {
		return 0
	}
	return credit
}

// load returns the number of requests that the endpoint is expected to hold.
// The reported load of other instances loses its weight over loadReportTTL in
// favour of meanOtherLoad, their mean number of requests at an endpoint.
func (state *endpoint) load(meanOtherLoad float64, now time.Time) float64 {
	return float64(state.inFlight) + meanOtherLoad + (float64(state.otherLoad)-meanOtherLoad)*state.reportFreshness(now)
}

// reportFreshness returns the weight of the last reported load at now, from 1 to
// 0 after loadReportTTL.
func (state *endpoint) reportFreshness(now time.Time) float64 {
	return max(1-float64(now.Sub(state.reportedAt))/float64(loadReportTTL), 0)
}

// meanUtilisation returns the mean share of an endpoint's slots in use. It
// returns 1 for a service whose endpoints report no load, since they may be
// fully loaded.
func (serviceStats *serviceStats) meanUtilisation() float64 {
	if serviceStats.loadReports == 0 && serviceStats.served >= minResponsesWithoutLoad {
		return 1
	}
	return serviceStats.utilisation
}

// observeLoad records a load report of an endpoint, as shares of its slots.
func (serviceStats *serviceStats) observeLoad(utilisation, otherLoad float64) {
	serviceStats.loadReports++
	serviceStats.utilisation += max(1/float64(serviceStats.loadReports), loadReportWeight) * (utilisation - serviceStats.utilisation)
	serviceStats.otherLoad += loadReportWeight * (otherLoad - serviceStats.otherLoad)
}

// serviceStats returns the statistics of a service, creating them if necessary.
func (picker *Picker) serviceStats(name string) *serviceStats {
	stats, ok := picker.services[name]
	if !ok {
		stats = &serviceStats{serviceTime: initialServiceTime, centres: map[string]centreLoad{}}
		picker.services[name] = stats
	}
	return stats
}

// HeaderReceived records that the header of the endpoint's response arrived.
func (choice *Choice) HeaderReceived() {
	picker := choice.picker
	picker.mu.Lock()
	defer picker.mu.Unlock()
	now := picker.clock.Now()
	choice.responded, choice.headerAt = true, now
	choice.state.health.resolved(now, true)
	stats := picker.serviceStats(choice.endpoint.Service)
	took, expected := now.Sub(choice.startedAt), stats.prefill.time(choice.MissingTokens)
	headerTime := max(took-expected, 0)
	choice.state.health.took(headerTime, now)
	if stats.headerTime == 0 {
		stats.headerTime = headerTime
	}
	if len(choice.request.Segments) > 0 {
		stats.prefill.observe(choice.MissingTokens, min(took, outlierFactor*(stats.headerTime+expected)))
	}
	stats.headerTime += time.Duration(serviceTimeWeight * float64(headerTime-stats.headerTime))
}

// ReportGenerated records the number of tokens that the endpoint generated. It
// is called before Done; without it, the response tells nothing about the
// endpoint's speed.
func (choice *Choice) ReportGenerated(tokens int64) {
	choice.picker.mu.Lock()
	defer choice.picker.mu.Unlock()
	choice.generated = tokens
}

// RecordCached records that one incarnation of an endpoint has a prompt segment cached
// because of a request of another instance.
func (picker *Picker) RecordCached(incarnation string, segment Part) {
	picker.mu.Lock()
	defer picker.mu.Unlock()
	picker.state(incarnation).cache.record(segment, picker.clock.Now())
}

// ReportLoad records the load that the endpoint reported while it had the request.
func (choice *Choice) ReportLoad(load Load) {
	picker := choice.picker
	picker.mu.Lock()
	defer picker.mu.Unlock()
	state := choice.state
	state.reportedLoad, state.reportedAt = load, picker.clock.Now()
	state.otherLoad = max(load.Running+load.Waiting-state.inFlight, 0)
	if load.Slots > 0 {
		utilisation, otherLoad := float64(load.Running+load.Waiting)/float64(load.Slots), float64(state.otherLoad)/float64(load.Slots)
		stats := picker.serviceStats(choice.endpoint.Service)
		stats.observeLoad(utilisation, otherLoad)
		centre := stats.centres[choice.endpoint.DataCentre]
		centre.observe(otherLoad, float64(load.Waiting)/float64(load.Slots), state.reportedAt)
		stats.centres[choice.endpoint.DataCentre] = centre
	}
}

// Outcome is the result of a request at an endpoint.
type Outcome int

//go:generate stringer -type=Outcome -trimprefix=Outcome

// Outcomes of a request.
const (
	// OutcomeServed means that the endpoint completed the request.
	OutcomeServed Outcome = iota
	// OutcomeRefused means that the endpoint did not run the request.
	OutcomeRefused
	// OutcomeUnreachable means that no connection was established, or that the
	// address now belongs to another endpoint.
	OutcomeUnreachable
	// OutcomeBroken means that the connection failed during the exchange.
	OutcomeBroken
	// OutcomeAbandoned means that the caller left or its deadline passed.
	OutcomeAbandoned
	// OutcomeFailed means that the endpoint responded with an error.
	OutcomeFailed
)

// Done ends the choice and records its outcome.
func (choice *Choice) Done(outcome Outcome) {
	picker := choice.picker
	picker.mu.Lock()
	defer picker.mu.Unlock()
	now := picker.clock.Now()
	state := choice.state
	state.inFlight--
	state.memory.remove(choice.request)
	if !choice.responded {
		state.health.resolved(now, outcome == OutcomeRefused)
	}
	stats := picker.serviceStats(choice.endpoint.Service)
	took := now.Sub(choice.startedAt)
	switch outcome {
	case OutcomeServed:
		state.failures = 0
		state.health.recordOutcome(false, now)
		stats.served++
		stats.serviceTime += time.Duration(serviceTimeWeight * float64(took-stats.serviceTime))
		if choice.responded && choice.generated > 0 {
			elapsed := now.Sub(choice.headerAt)
			stats.generation.observe(elapsed, choice.generated)
			state.speed.observe(elapsed, stats.generation.time(choice.generated), now)
		}
	case OutcomeBroken, OutcomeFailed:
		state.health.recordOutcome(true, now)
	case OutcomeAbandoned:
		// Callers leave for various reasons, and one of them is an endpoint
		// that hangs.
		if !choice.responded && took > silenceTimeout(stats.headerTime) {
			state.health.recordOutcome(true, now)
		}
	case OutcomeUnreachable:
		state.failures++
		state.avoidUntil = now.Add(min(failureCooldown<<min(state.failures-1, 10), maxCooldown))
	}
}

// Retain drops the state of the incarnations that have no request in flight
// and for which keep returns false, and the loads of data centres without recent
// reports.
func (picker *Picker) Retain(keep func(incarnation string) bool) {
	picker.mu.Lock()
	defer picker.mu.Unlock()
	for incarnation, state := range picker.endpoints {
		if state.inFlight == 0 && !keep(incarnation) {
			delete(picker.endpoints, incarnation)
		}
	}
	now := picker.clock.Now()
	for _, stats := range picker.services {
		maps.DeleteFunc(stats.centres, func(_ string, centre centreLoad) bool { return centre.confidence(now) == 0 })
	}
}

// View is the state of one endpoint incarnation in a state dump.
type View struct {
	ID           string `json:"id"`
	InFlight     int    `json:"in_flight"`
	ReportedLoad Load   `json:"told"`
	Segments     int    `json:"parts"`
	// Speed is the endpoint's speed relative to its service, and Weight the
	// weight that new conversations are placed by.
	Speed  float64 `json:"speed"`
	Weight float64 `json:"weight"`
}

// Views returns the state of all endpoint incarnations, in no particular order.
func (picker *Picker) Views() []View {
	picker.mu.Lock()
	defer picker.mu.Unlock()
	now := picker.clock.Now()
	views := make([]View, 0, len(picker.endpoints))
	for id, state := range picker.endpoints {
		views = append(views, View{ID: id, InFlight: state.inFlight, ReportedLoad: state.reportedLoad, Segments: state.cache.len(), Speed: state.speed.relative(now), Weight: state.weight})
	}
	return views
}
