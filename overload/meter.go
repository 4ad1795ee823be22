package overload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// loadTimeConstant is the time constant of the moving averages of reported
	// loads. At 40 turns a second an instance receives twelve reports in it, which
	// leaves a deviation of some 0.07 in the utilisation.
	loadTimeConstant = 300 * time.Millisecond
	// maxLoadAge is the age beyond which a load is not used. The state of a burst
	// changes within a second.
	maxLoadAge = time.Second
	// trendFactor multiplies the difference between the moving average and its own
	// moving average, which is the change of the load in one loadTimeConstant. Once
	// makes up for the lag of the average. Twice would also make up for the age of the
	// reports, but refused short programs in a burst that the engines could serve.
	trendFactor = 1
	// maxDigestEntries bounds the services of a digest, and maxServices those of
	// which loads are kept.
	maxDigestEntries = 8
	maxServices      = 256
	// rankTimeConstant is the time constant of the requests counted by rank.
	rankTimeConstant = time.Second
	// maxRanks bounds the ranks counted for each service. Requests of further ranks
	// are not counted.
	maxRanks = 64
	// minRequests is the number of recent requests from which on their ranks count.
	minRequests = 4
)

// ServiceLoad is the load of one service at one instance: the requests that the
// instance has in flight at the service and those that wait in its queue.
type ServiceLoad struct {
	Service          string
	Running, Waiting int
}

// average is a moving average over time.
type average struct {
	value float64
	at    time.Time
}

// observe adds an observation made at now.
func (average *average) observe(value float64, now time.Time) {
	weight := 1.0
	if !average.at.IsZero() && now.Sub(average.at) < maxLoadAge {
		weight = 1 - math.Exp(-float64(now.Sub(average.at))/float64(loadTimeConstant))
	}
	average.value += weight * (value - average.value)
	average.at = now
}

// serviceLoad holds what an instance knows of the load of a service.
type serviceLoad struct {
	// reported is the mean load of endpoints as a share of their slots, and lagging
	// the moving average of reported.
	reported, lagging average
	// own is this instance's load at ownAt. running and waiting are the means over
	// the other instances.
	own              ServiceLoad
	ownAt            time.Time
	running, waiting average
	// serviceTime is the mean duration of a request, 0 if unknown.
	serviceTime time.Duration
	// ranks counts the requests of this instance by rank. The counts decay.
	ranks map[int]*rate
}

// Meter estimates the utilisation of services. It is safe for concurrent use.
type Meter struct {
	clock clock.Clock

	mu       sync.Mutex
	services map[string]*serviceLoad
}

// NewMeter returns a Meter without observations.
func NewMeter(clk clock.Clock) *Meter {
	return &Meter{clock: clk, services: map[string]*serviceLoad{}}
}

// service returns the load of a service, nil if too many services were observed
// within maxLoadAge.
func (meter *Meter) service(name string, now time.Time) *serviceLoad {
	load, ok := meter.services[name]
	if !ok {
		if len(meter.services) >= maxServices {
			maps.DeleteFunc(meter.services, func(_ string, load *serviceLoad) bool { return now.Sub(load.ownAt) > maxLoadAge })
		}
		if len(meter.services) >= maxServices {
			return nil
		}
		load = &serviceLoad{ranks: map[int]*rate{}}
		meter.services[name] = load
	}
	return load
}

// ObserveEndpoint records the load that an endpoint reported, and this instance's
// own load of the service.
func (meter *Meter) ObserveEndpoint(running, waiting, slots int, own ServiceLoad) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	now := meter.clock.Now()
	load := meter.service(own.Service, now)
	if load == nil || slots <= 0 {
		return
	}
	load.reported.observe(float64(running+waiting)/float64(slots), now)
	load.lagging.observe(load.reported.value, now)
	load.own, load.ownAt = own, now
}

// ObserveServiceTime records the mean duration of a request of a service.
func (meter *Meter) ObserveServiceTime(service string, mean time.Duration) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	if load := meter.service(service, meter.clock.Now()); load != nil {
		load.serviceTime = mean
	}
}

// ObserveRequest counts a request of a rank that is to be served.
func (meter *Meter) ObserveRequest(service string, rank int) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	now := meter.clock.Now()
	load := meter.service(service, now)
	if load == nil {
		return
	}
	count, ok := load.ranks[rank]
	if !ok {
		if len(load.ranks) >= maxRanks {
			return
		}
		count = &rate{timeConstant: rankTimeConstant}
		load.ranks[rank] = count
	}
	count.add(now)
}

// rankShare returns the share of the requests that have the given rank or precede
// it. It returns 1 if no requests were counted lately.
func (load *serviceLoad) rankShare(rank int, now time.Time) float64 {
	upTo, all := 0.0, 0.0
	for other, count := range load.ranks {
		value := count.value(now)
		all += value
		if other <= rank {
			upTo += value
		}
	}
	if all < minRequests {
		return 1
	}
	return upTo / all
}

// ObserveInstance records the digest of another instance.
func (meter *Meter) ObserveInstance(digest []ServiceLoad) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	now := meter.clock.Now()
	for _, entry := range digest[:min(len(digest), maxDigestEntries)] {
		// A service that is unknown here would take up memory for nothing.
		if load := meter.services[entry.Service]; load != nil {
			load.running.observe(float64(entry.Running), now)
			load.waiting.observe(float64(entry.Waiting), now)
		}
	}
}

// Digest returns the load of this instance, the busiest services first.
func (meter *Meter) Digest() []ServiceLoad {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	now := meter.clock.Now()
	var digest []ServiceLoad
	for _, load := range meter.services {
		if now.Sub(load.ownAt) <= maxLoadAge {
			digest = append(digest, load.own)
		}
	}
	slices.SortFunc(digest, func(a, b ServiceLoad) int {
		return cmp.Or(cmp.Compare(b.Running+b.Waiting, a.Running+a.Waiting), cmp.Compare(a.Service, b.Service))
	})
	return digest[:min(len(digest), maxDigestEntries)]
}

// WaitingShare returns the share of the other instances' requests of a service
// that wait in their queues, and false if none reported lately.
func (meter *Meter) WaitingShare(service string) (float64, bool) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	load := meter.services[service]
	if load == nil || meter.clock.Now().Sub(load.running.at) > maxLoadAge || load.running.value+load.waiting.value <= 0 {
		return 0, false
	}
	return load.waiting.value / (load.running.value + load.waiting.value), true
}

// Utilisation is the estimated utilisation of a service: requests at its endpoints
// and in the queues of instances, as a share of the slots.
type Utilisation struct {
	Service string  `json:"service"`
	Value   float64 `json:"utilisation"`
	// Age is the time since the latest report of an endpoint.
	Age time.Duration `json:"age_ns"`
	// relativeTime is the mean duration of the service's requests relative to the
	// longest one of the services in question.
	relativeTime float64
}

// Busiest returns the highest utilisation among the given services by requests of
// the given rank and those that precede it, as far as the services were observed
// within maxLoadAge, and the zero value if none was. Requests of later ranks don't
// count, since they wait for those of this rank.
//
// What exceeds a utilisation of 1 is the wait of a request relative to its duration.
// It counts in proportion to the mean duration of the service's requests relative to
// the longest one: a queue of calls that take 20 ms delays a program by little whose
// turns take half a second.
func (meter *Meter) Busiest(services []string, rank int) Utilisation {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	now := meter.clock.Now()
	longest := time.Duration(0)
	for _, service := range services {
		if load, ok := meter.services[service]; ok {
			longest = max(longest, load.serviceTime)
		}
	}
	var busiest Utilisation
	for _, service := range services {
		load, ok := meter.services[service]
		if !ok || now.Sub(load.reported.at) > maxLoadAge {
			continue
		}
		relativeTime := 1.0
		if load.serviceTime > 0 {
			relativeTime = float64(load.serviceTime) / float64(longest)
		}
		value := load.utilisation(now) * load.rankShare(rank, now)
		value = min(value, 1) + max(value-1, 0)*relativeTime
		if value > busiest.Value {
			busiest = Utilisation{Service: service, Value: value, Age: now.Sub(load.reported.at), relativeTime: relativeTime}
		}
	}
	return busiest
}

// Utilisations returns the utilisation of each service that was observed within
// maxLoadAge, sorted by the name of the service.
func (meter *Meter) Utilisations() []Utilisation {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	now := meter.clock.Now()
	var utilisations []Utilisation
	for name, load := range meter.services {
		if age := now.Sub(load.reported.at); age <= maxLoadAge {
			utilisations = append(utilisations, Utilisation{Service: name, Value: load.utilisation(now), Age: age})
		}
	}
	slices.SortFunc(utilisations, func(a, b Utilisation) int { return cmp.Compare(a.Service, b.Service) })
	return utilisations
}

// current returns the load of endpoints at present, as it follows from the reported
// load and its trend.
func (load *serviceLoad) current() float64 {
	return max(load.reported.value+trendFactor*(load.reported.value-load.lagging.value), 0)
}

// utilisation returns the load of endpoints, increased by the requests that wait at
// instances in proportion to those in flight.
func (load *serviceLoad) utilisation(now time.Time) float64 {
	running, waiting := float64(load.own.Running), float64(load.own.Waiting)
	if now.Sub(load.running.at) <= maxLoadAge {
		running, waiting = running+load.running.value, waiting+load.waiting.value
	}
	if running < 1 {
		return load.current()
	}
	return load.current() * (1 + waiting/running)
}
