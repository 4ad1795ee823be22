package peer

import "time"

// SetWriteTimeout sets the time limit for sending a frame and returns a function that resets it.
func SetWriteTimeout(d time.Duration) func() {
	before := writeTimeout
	writeTimeout = d
	return func() { writeTimeout = before }
}
