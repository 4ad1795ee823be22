package entry

import "time"

// idlePoll is the interval at which WaitIdle checks for calls in flight.
const idlePoll = 10 * time.Millisecond

// WaitIdle waits until no owned program has a call in flight or a pending
// record, for at most timeout. A planned stop calls it so that calls
// forwarded by other instances complete before the peer server stops.
func (e *Entry) WaitIdle(timeout time.Duration) {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) && e.inFlight() > 0 {
		time.Sleep(idlePoll)
	}
}

// inFlight returns the number of owned programs with a call in flight or a
// pending record.
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
