package overload

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/uber-go/tally/v4"
)

const (
	// minUtilisation is the utilisation below which all programs are admitted
	// without a call. It is below the lowest threshold of a Controller, so that the
	// instances of a fleet ask before a home would refuse.
	minUtilisation = 0.7
	// callTimeout bounds a call to a home, which responds from memory. The home of
	// another data centre is a few milliseconds away.
	callTimeout = 100 * time.Millisecond
)

// Peers gives access to the homes of programs.
type Peers interface {
	// Home returns the name of the program's home, "" if it is this instance.
	Home(program string) string
	// Begin has the home decide on a turn. It returns an error if the home does not
	// respond with a decision.
	Begin(ctx context.Context, home string, query Query) (Decision, error)
}

// Admitter has the homes of programs decide on their turns while capacity is
// short. It is safe for concurrent use.
type Admitter struct {
	controller *Controller
	meter      *Meter
	peers      Peers

	mu sync.Mutex
	// begun holds programs that a home said have begun or may begin.
	begun *simplelru.LRU[string, struct{}]

	asked, unanswered tally.Counter
	decisions         [VerdictRefused + 1]tally.Counter
}

// NewAdmitter returns an Admitter. controller decides on the programs whose home is
// this instance. The Admitter reports the metrics overload_asked,
// overload_unanswered, overload_begun, overload_admitted and overload_refused to
// scope.
func NewAdmitter(controller *Controller, meter *Meter, peers Peers, scope tally.Scope) *Admitter {
	admitter := &Admitter{controller: controller, meter: meter, peers: peers, asked: scope.Counter("overload_asked"), unanswered: scope.Counter("overload_unanswered")}
	// NewLRU only rejects a size that is not positive.
	admitter.begun, _ = simplelru.NewLRU[string, struct{}](maxPrograms, nil)
	admitter.decisions = [...]tally.Counter{VerdictUndecided: tally.NoopScope.Counter(""), VerdictBegun: scope.Counter("overload_begun"), VerdictAdmitted: scope.Counter("overload_admitted"), VerdictRefused: scope.Counter("overload_refused")}
	return admitter
}

// Admission is the decision on a turn and how it was made.
type Admission struct {
	Decision
	// Home is the other instance that was asked to decide; empty if none was. With
	// VerdictUndecided, it did not respond with a decision.
	Home string
	// Utilisation is that of the busiest service as observed by this instance.
	Utilisation Utilisation
}

// Admit decides on a turn. While capacity is not short it makes no call.
func (admitter *Admitter) Admit(ctx context.Context, query Query) Admission {
	utilisation := admitter.meter.Busiest(query.Services, query.Rank)
	if utilisation.Value < minUtilisation {
		return Admission{}
	}
	admission := Admission{Decision: Decision{Verdict: VerdictBegun}, Utilisation: utilisation}
	if !query.Begun && !admitter.hasBegun(query.Program) {
		admission.Decision, admission.Home = admitter.decide(ctx, query)
	}
	admitter.decisions[admission.Verdict].Inc(1)
	return admission
}

// decide has the program's home decide, and returns its name. It decides nothing if
// the home does not respond, since this instance does not know whether the program
// has begun.
func (admitter *Admitter) decide(ctx context.Context, query Query) (Decision, string) {
	home := admitter.peers.Home(query.Program)
	var decision Decision
	if home == "" {
		decision = admitter.controller.Decide(query)
	} else {
		decision = admitter.ask(ctx, home, query)
	}
	if decision.Verdict == VerdictBegun || decision.Verdict == VerdictAdmitted {
		admitter.mu.Lock()
		defer admitter.mu.Unlock()
		admitter.begun.Add(query.Program, struct{}{})
	}
	return decision, home
}

// ask calls the home and returns its decision, VerdictUndecided if it does not
// respond with one.
func (admitter *Admitter) ask(ctx context.Context, home string, query Query) Decision {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	admitter.asked.Inc(1)
	decision, err := admitter.peers.Begin(ctx, home, query)
	if err != nil || decision.Verdict < VerdictBegun || decision.Verdict > VerdictRefused {
		admitter.unanswered.Inc(1)
		return Decision{}
	}
	return decision
}

// hasBegun reports whether a home has said that the program may be served.
func (admitter *Admitter) hasBegun(program string) bool {
	admitter.mu.Lock()
	defer admitter.mu.Unlock()
	_, ok := admitter.begun.Get(program)
	return ok
}
