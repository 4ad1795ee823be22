package quota

import "time"

// WaitFor sets how long the limiter waits for a bucket held by a previous home.
// In simulated time calls take no time, whatever the load of the machine.
func (limiter *Limiter) WaitFor(d time.Duration) { limiter.wait = d }

// ToleranceShare is the share of the tolerated excess that one home may use.
const ToleranceShare = toleranceShare
