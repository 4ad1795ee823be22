// Package clock provides the current time through an interface, so that tests
// can control it, and functions that wait for time to pass.
package clock

import "time"

// Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// Real is the Clock of the system.
type Real struct{}

// Now returns the current time of the system.
func (Real) Now() time.Time { return time.Now() }
