package quota

import "time"

// WaitFor sets how long the limiter waits for the bucket that another home
// holds: in simulated time calls take none, however busy the machine is.
func (limiter *Limiter) WaitFor(d time.Duration) { limiter.wait = d }

// ToleranceShare is the share of what operators tolerate that one home may use.
const ToleranceShare = toleranceShare
