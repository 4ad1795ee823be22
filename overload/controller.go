package overload

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

// Verdict is a decision on a turn of a program.
type Verdict int

//go:generate stringer -type=Verdict -trimprefix=Verdict

// Verdicts.
const (
	// VerdictUndecided means that no decision was needed, since capacity is not
	// short.
	VerdictUndecided Verdict = iota
	// VerdictBegun means that the program has begun, so its turns are served.
	VerdictBegun
	// VerdictAdmitted means that the program may begin.
	VerdictAdmitted
	// VerdictRefused means that the program may not begin now.
	VerdictRefused
)

// Query asks whether a turn of a program may be served.
type Query struct {
	// Program is the program's name, qualified by its organisation.
	Program string
	// Organisation is the caller's organisation, empty for a caller without one.
	// Weight is its share of the admissions relative to other organisations; 0
	// stands for 1.
	Organisation string
	Weight       float64
	// Rank is the priority of the program's turns; the lowest is first.
	Rank int
	// Services are the services that programs like this one use.
	Services []string
	// Begun is set if the asking instance knows that the program has begun.
	Begun bool
}

// Decision is the result of a Query.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which a refused program may expect to begin.
	RetryAfter time.Duration
}

// thresholds are the utilisations up to which all programs are admitted and from
// which on none is.
type thresholds struct{ all, none float64 }

// share returns the share of programs to admit at a utilisation.
func (thresholds thresholds) share(utilisation float64) float64 {
	return min(max((thresholds.none-utilisation)/(thresholds.none-thresholds.all), 0), 1)
}

// newThresholds are those of new programs. Engines serve a sixth more turns a second
// if a few more are in flight than there are slots, since reports are late and the
// next turn is there when a slot becomes free, and nine programs in ten end in time
// up to a utilisation of 1.35.
var newThresholds = thresholds{all: 1.1, none: 1.3}

// The thresholds of programs that return after a refusal are lower than those of new
// ones by up to returningMargin: they have less time left, and if all of them were
// admitted first, new ones would become late as well. The margin grows with the
// backlog, the refusals for each admission, from minBacklog to maxBacklog. A smaller
// backlog is worked off while all programs begin a little late.
const (
	returningMargin = 0.4
	minBacklog      = 0.2
	maxBacklog      = 0.6
)

const (
	// maxPrograms bounds the programs on record. At the target size a home has
	// 800 programs under way.
	maxPrograms = 1 << 14
	// refusalTTL is how long a refused program counts as returning. Callers retry a
	// turn for a few seconds.
	refusalTTL = 10 * time.Second
	// reportDelay is the time after which admissions show in the reported load, as
	// given by its moving average.
	reportDelay = loadTimeConstant
	// maxReportDelay also contains the time of a turn, with whose response the load is
	// reported.
	maxReportDelay = 2 * loadTimeConstant
	// minRetryAfter and maxRetryAfter bound the retry delay. A slot becomes free
	// within the mean time of a turn. Callers limit the delay to a third of their
	// remaining time, which is 1.3 s at the longest deadlines.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// Programs tells which programs have begun.
type Programs interface {
	// HasBegun reports whether this instance, as home of the program, has served
	// or allowed a turn of it.
	HasBegun(program string) bool
}

// Fleet tells the size of the deployment.
type Fleet interface {
	// Instances returns the number of entry instances, including this one.
	Instances() int
	// Slots returns the number of slots of all endpoints of a service.
	Slots(service string) int
}

// admission records when a program that uses the services was admitted.
type admission struct {
	at       time.Time
	services []string
}

// Controller decides which programs begin, for the programs whose home is this
// instance. It is safe for concurrent use.
type Controller struct {
	meter    *Meter
	fleet    Fleet
	programs Programs
	clock    clock.Clock
	// random returns a random number in [0, 1).
	random func() float64

	mu sync.Mutex
	// admitted holds programs that have begun. refused holds when programs were
	// last refused.
	admitted *simplelru.LRU[string, struct{}]
	refused  *simplelru.LRU[string, time.Time]
	// recent holds the admissions that the load does not show yet.
	recent []admission
	shares *shares
	// refusals counts refused new programs, admissions all admitted ones.
	refusals, admissions rate
}

// NewController returns a Controller that goes by the utilisation of meter. random
// returns random numbers in [0, 1).
func NewController(meter *Meter, fleet Fleet, programs Programs, clk clock.Clock, random func() float64) *Controller {
	controller := &Controller{meter: meter, fleet: fleet, programs: programs, clock: clk, random: random, shares: newShares(),
		refusals: rate{timeConstant: rateTimeConstant}, admissions: rate{timeConstant: rateTimeConstant}}
	// NewLRU only rejects a size that is not positive.
	controller.admitted, _ = simplelru.NewLRU[string, struct{}](maxPrograms, nil)
	controller.refused, _ = simplelru.NewLRU[string, time.Time](maxPrograms, nil)
	return controller
}

// Decide decides on a turn. A program that has begun or was admitted before is
// never refused.
func (controller *Controller) Decide(query Query) Decision {
	begun := query.Begun || controller.programs.HasBegun(query.Program)
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if begun || controller.admitted.Contains(query.Program) {
		controller.admitted.Add(query.Program, struct{}{})
		return Decision{Verdict: VerdictBegun}
	}
	now := controller.clock.Now()
	returning := controller.isReturning(query.Program, now)
	if controller.random() < controller.share(&query, returning, now) {
		controller.admitted.Add(query.Program, struct{}{})
		controller.refused.Remove(query.Program)
		controller.recent = append(controller.recent, admission{at: now, services: query.Services})
		controller.admissions.add(now)
		return Decision{Verdict: VerdictAdmitted}
	}
	if !returning {
		controller.refusals.add(now)
	}
	controller.refused.Add(query.Program, now)
	return Decision{Verdict: VerdictRefused, RetryAfter: controller.retryAfter(now)}
}

// isReturning reports whether the program was refused lately.
func (controller *Controller) isReturning(program string, now time.Time) bool {
	refusedAt, ok := controller.refused.Peek(program)
	return ok && now.Sub(refusedAt) <= refusalTTL
}

// share returns the probability with which the program may begin.
func (controller *Controller) share(query *Query, returning bool, now time.Time) float64 {
	service, utilisation := controller.utilisation(query, returning, now)
	if returning {
		excess := min(max((controller.backlog(now)-minBacklog)/(maxBacklog-minBacklog), 0), 1)
		return newThresholds.share(utilisation + returningMargin*excess)
	}
	key := shareKey{service: service, organisation: query.Organisation, rank: query.Rank}
	return controller.shares.share(key, query.Weight, newThresholds.share(utilisation), now)
}

// utilisation returns the busiest of the services and its utilisation, including the
// programs that this and, at the same rate, the other homes have admitted since the
// load was reported. Without these the load would oscillate: in a burst of six times
// the demand a tenth of all slots is filled within reportDelay. A returning program
// leaves room for all that new ones may have taken: after a burst the programs that
// return would otherwise fill the slots at once, and new ones be refused.
func (controller *Controller) utilisation(query *Query, returning bool, now time.Time) (service string, utilisation float64) {
	busiest := controller.meter.Busiest(query.Services, query.Rank)
	controller.recent = slices.DeleteFunc(controller.recent, func(admission admission) bool { return now.Sub(admission.at) >= maxReportDelay })
	unreported := 0.0
	for _, admission := range controller.recent {
		switch {
		case !slices.Contains(admission.services, busiest.Service):
		case returning:
			unreported++
		case now.Sub(admission.at) < reportDelay:
			// The moving average shows half of the admissions of its time constant.
			unreported += 0.5
		}
	}
	slots := controller.fleet.Slots(busiest.Service)
	if slots == 0 {
		return busiest.Service, busiest.Value
	}
	// A program keeps a slot of a service in use for a part of its time only.
	unreported *= busiest.relativeTime
	return busiest.Service, busiest.Value + unreported*float64(controller.fleet.Instances())/float64(slots)
}

// retryAfter returns the time in which as many programs begin as were refused
// lately.
func (controller *Controller) retryAfter(now time.Time) time.Duration {
	delay := time.Duration(controller.backlog(now) * float64(rateTimeConstant))
	return min(max(delay, minRetryAfter), maxRetryAfter)
}

// backlog returns the number of new programs refused lately for each admission.
func (controller *Controller) backlog(now time.Time) float64 {
	return controller.refusals.value(now) / max(controller.admissions.value(now), 1)
}
