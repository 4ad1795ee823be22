package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// rateTimeConstant is the time constant of counts of refusals and admissions.
	rateTimeConstant = time.Second
	// demandTimeConstant is that of the demand of organisations. With 2 s, in which
	// a home receives 17 programs of 83 organisations, those at eight times their
	// usual demand had only 1.6 times as many of their programs refused as others.
	demandTimeConstant = 10 * time.Second
	// minCount is the count below which an organisation is taken to ask for nothing,
	// half a minute after its last program.
	minCount = 0.05
	// priorPrograms is added to each count, see demand.estimate.
	priorPrograms = 1
	// maxDemands bounds the services, organisations and ranks whose demand is recorded.
	maxDemands = 1024
)

// rate is a count of events that decays with timeConstant.
type rate struct {
	count        float64
	last         time.Time
	timeConstant time.Duration
}

// add counts an event.
func (rate *rate) add(now time.Time) { rate.count, rate.last = rate.value(now)+1, now }

// value returns the decayed count.
func (rate *rate) value(now time.Time) float64 {
	return decay(rate.count, now.Sub(rate.last), rate.timeConstant)
}

// decay returns what is left of count after age.
func decay(count float64, age, timeConstant time.Duration) float64 {
	return count * math.Exp(-float64(age)/float64(timeConstant))
}

// shareKey identifies the programs of an organisation that have the same rank and
// the same busiest service.
type shareKey struct {
	service, organisation string
	rank                  int
}

// demand is the decayed number of new programs of one shareKey.
type demand struct {
	shareKey
	weight float64
	count  float64
	last   time.Time
}

// decayTo brings the count to now.
func (demand *demand) decayTo(now time.Time) {
	demand.count, demand.last = decay(demand.count, now.Sub(demand.last), demandTimeConstant), now
}

// shares divides the admissions for each service and rank between organisations. The
// division is weighted max-min fair: an organisation gets what it asks for up to a
// level that is proportional to its weight, and what it leaves raises the level of
// the others.
type shares struct {
	demands *simplelru.LRU[shareKey, *demand]
}

// newShares returns shares without any demand.
func newShares() *shares {
	// NewLRU only rejects a size that is not positive.
	demands, _ := simplelru.NewLRU[shareKey, *demand](maxDemands, nil)
	return &shares{demands: demands}
}

// share records a new program of key, and returns the share of its programs to
// admit if the share total of all programs of its rank can be admitted. A weight that is not
// positive stands for 1.
func (shares *shares) share(key shareKey, weight, total float64, now time.Time) float64 {
	own := shares.demand(key, weight, now)
	share := total
	if total > 0 && total < 1 {
		share = shares.divide(own, total, now)
	}
	own.count++
	return share
}

// demand returns the demand of key as of now.
func (shares *shares) demand(key shareKey, weight float64, now time.Time) *demand {
	if !(weight > 0) {
		weight = 1
	}
	own, ok := shares.demands.Get(key)
	if !ok {
		own = &demand{shareKey: key, last: now}
		shares.demands.Add(key, own)
	}
	own.decayTo(now)
	own.weight = weight
	return own
}

// divide returns the share of the programs of own to admit if the share total of
// the programs of its rank is divided between the demands for the same service.
func (shares *shares) divide(own *demand, total float64, now time.Time) float64 {
	offered := 0.0
	var demands []*demand
	for _, demand := range shares.demands.Values() {
		if demand.service != own.service || demand.rank != own.rank {
			continue
		}
		demand.decayTo(now)
		if demand == own || demand.count >= minCount {
			offered += demand.estimate()
			demands = append(demands, demand)
		}
	}
	return min(fairLevel(demands, total*offered)/own.perWeight(), 1)
}

// estimate returns the number of new programs that the demand stands for. It
// includes a part of the next one for all demands alike: if only the program to
// decide on counted towards its own demand, then each organisation of which a home
// receives a program in several seconds would seem to ask for more than others
// whenever it asks.
func (demand *demand) estimate() float64 { return demand.count + priorPrograms }

// perWeight returns the estimate relative to the demand's weight.
func (demand *demand) perWeight() float64 { return demand.estimate() / demand.weight }

// fairLevel returns the level up to which the perWeight of each demand is admitted
// if available is divided max-min fairly between demands. It sorts demands.
func fairLevel(demands []*demand, available float64) float64 {
	slices.SortFunc(demands, func(a, b *demand) int { return cmp.Compare(a.perWeight(), b.perWeight()) })
	weights, level := 0.0, 0.0
	for _, demand := range demands {
		weights += demand.weight
	}
	for _, demand := range demands {
		level = available / weights
		if demand.perWeight() >= level {
			break
		}
		available -= demand.estimate()
		weights -= demand.weight
	}
	return level
}
