package clock

import (
	"sync"
	"time"
)

// Fake is a Clock for tests. Its time changes only through Advance.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a Fake set to now.
func NewFake(now time.Time) *Fake { return &Fake{now: now} }

// Now returns the time set by NewFake and Advance.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the time forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}
