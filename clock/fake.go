package clock

import (
	"sync"
	"time"
)

// Fake is a clock that tests move by hand.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a clock that stands at now.
func NewFake(now time.Time) *Fake { return &Fake{now: now} }

// Now returns the time the clock was moved to.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock on by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}
