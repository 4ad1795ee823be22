// Package shutdown holds the time limits of a process that was asked to stop and is
// killed when its grace period ends.
package shutdown

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// balancerDelay is how long a stopping instance accepts connections at least.
	// The load balancer polls readiness every second and takes two failures to
	// redirect callers.
	balancerDelay = 3 * time.Second
	// releaseTime is the part of the grace period in which requests that outlast the
	// shutdown are aborted and the state of the process is released.
	releaseTime = 500 * time.Millisecond
	// leaveTime is the part of the grace period in which the process's entry is
	// removed, and exitTime the part in which the process exits.
	leaveTime = 300 * time.Millisecond
	exitTime  = 400 * time.Millisecond
	// All three take at most one part in endDivisor of the grace period. With a shorter
	// period each takes less, since responses may take the rest of it.
	endDivisor = 6
)

// Shutdown is the planned end of a process. All its time limits follow from the time
// at which it begins. It is safe for concurrent use.
type Shutdown struct {
	grace  time.Duration
	clock  clock.Clock
	begin  func()
	expire context.CancelFunc
	// begun ends when the shutdown begins, expired when responses are aborted.
	begun, expired context.Context
	// killed is when the grace period ends; it is set before begun ends.
	killed time.Time
}

// New returns a Shutdown that has not begun, of a process that is killed after the
// grace period.
func New(grace time.Duration, clk clock.Clock) *Shutdown {
	shutdown := &Shutdown{grace: grace, clock: clk}
	begun, begin := context.WithCancel(context.Background())
	shutdown.begun = begun
	shutdown.begin = sync.OnceFunc(func() {
		shutdown.killed = shutdown.clock.Now().Add(shutdown.grace)
		begin()
	})
	shutdown.expired, shutdown.expire = context.WithCancel(context.Background())
	return shutdown
}

// Begin begins the shutdown. Only the first call has an effect.
func (shutdown *Shutdown) Begin() { shutdown.begin() }

// Expire aborts the responses that are not complete.
func (shutdown *Shutdown) Expire() { shutdown.expire() }

// Begun returns a context that ends when the shutdown begins.
func (shutdown *Shutdown) Begun() context.Context { return shutdown.begun }

// Expired returns a context that ends when incomplete responses are aborted.
func (shutdown *Shutdown) Expired() context.Context { return shutdown.expired }

// HasBegun reports whether the shutdown has begun.
func (shutdown *Shutdown) HasBegun() bool { return shutdown.begun.Err() != nil }

// AcceptUntil returns until when the process accepts connections at least. It goes on
// while requests on these are in flight, up to RespondUntil. Like the other limits it is
// known once the shutdown has begun.
func (shutdown *Shutdown) AcceptUntil() time.Time {
	accept, respond := shutdown.killed.Add(balancerDelay-shutdown.grace), shutdown.RespondUntil()
	if respond.Before(accept) {
		return respond
	}
	return accept
}

// RespondUntil returns when incomplete responses are aborted.
func (shutdown *Shutdown) RespondUntil() time.Time {
	return shutdown.ReleaseUntil().Add(-shutdown.scale(releaseTime))
}

// ReleaseUntil returns when the process gives up releasing its state.
func (shutdown *Shutdown) ReleaseUntil() time.Time {
	return shutdown.LeaveUntil().Add(-shutdown.scale(leaveTime))
}

// LeaveUntil returns when the process gives up removing its entry.
func (shutdown *Shutdown) LeaveUntil() time.Time {
	return shutdown.killed.Add(-shutdown.scale(exitTime))
}

// scale returns the time for a part of the end of the grace period, which is shorter in a
// short one.
func (shutdown *Shutdown) scale(part time.Duration) time.Duration {
	const end = releaseTime + leaveTime + exitTime
	return min(part, part*(shutdown.grace/endDivisor)/end)
}

// Admits reports whether a request that ends by the given time ends before incomplete
// responses are aborted. It is true until the shutdown begins.
func (shutdown *Shutdown) Admits(end time.Time) bool {
	return !shutdown.HasBegun() || !end.After(shutdown.RespondUntil())
}
