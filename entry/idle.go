package entry

import "time"

// idlePoll is how often WaitIdle looks again.
const idlePoll = 10 * time.Millisecond

// WaitIdle returns once no owned program has a call in flight, or after
// timeout. A planned stop waits for it, so calls forwarded by other
// instances finish here before the peer server stops.
func (e *Entry) WaitIdle(timeout time.Duration) {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) && e.inFlight() > 0 {
		time.Sleep(idlePoll)
	}
}

func (e *Entry) inFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, o := range e.programs {
		o.mu.Lock()
		if o.cancel != nil || o.pending != nil {
			n++
		}
		o.mu.Unlock()
	}
	return n
}
