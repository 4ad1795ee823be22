package standin

import (
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// locked runs f with the platform's lock held.
func (p *Platform) locked(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// SetOutage makes every call fail with 503 while on is true.
func (p *Platform) SetOutage(on bool) { p.locked(func() { p.outage = on }) }

// LoseAcks makes the next n writes take effect and then answer 503, as a
// platform whose answer is lost after the write committed.
func (p *Platform) LoseAcks(n int) { p.locked(func() { p.lostAcks = n }) }

// FailReads makes the next n reads of leases fail with 503.
func (p *Platform) FailReads(n int) { p.locked(func() { p.failReads = n }) }

// RefuseWritesAfter lets the next n writes take effect, then refuses every
// later write with 503 and no effect (an outage that starts between two
// writes), until called with a negative n.
func (p *Platform) RefuseWritesAfter(n int) { p.locked(func() { p.refuseAfter = n }) }

// refused reports whether the next write is refused, counting it down.
func (p *Platform) refused() bool {
	switch {
	case p.refuseAfter == 0:
		return true
	case p.refuseAfter > 0:
		p.refuseAfter--
	}
	return false
}

// Limits are how fast the platform answers and how much it takes. The zero
// value answers at once and takes everything.
type Limits struct {
	// WritesPerSecond and ReadsPerSecond are taken; more are answered 429.
	WritesPerSecond, ReadsPerSecond int
	// Table and Object are the times of a call to each service.
	Table, Object time.Duration
}

// SetLimits sets the platform's limits.
func (p *Platform) SetLimits(l Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l
	p.writeRate = rate.NewLimiter(limitOf(l.WritesPerSecond), max(1, l.WritesPerSecond/4))
	p.readRate = rate.NewLimiter(limitOf(l.ReadsPerSecond), max(1, l.ReadsPerSecond/4))
}

func limitOf(perSecond int) rate.Limit {
	if perSecond == 0 {
		return rate.Inf
	}
	return rate.Limit(perSecond)
}

// pace holds a call for as long as its service takes, and reports whether
// the call is within the rates.
func (p *Platform) pace(r *http.Request) bool {
	p.mu.Lock()
	limits, limiter := p.limits, p.readRate
	if r.Method != http.MethodGet {
		limiter = p.writeRate
	}
	p.mu.Unlock()
	if limiter != nil && !limiter.Allow() {
		p.mu.Lock()
		p.overRate++
		p.mu.Unlock()
		return false
	}
	if strings.HasPrefix(r.URL.Path, "/object") {
		time.Sleep(limits.Object)
	} else {
		time.Sleep(limits.Table)
	}
	return true
}

func (p *Platform) faults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		down := p.outage
		p.mu.Unlock()
		if down {
			unavailable(w, "outage")
			return
		}
		if !p.pace(r) {
			writeJSON(w, http.StatusTooManyRequests, tableservice.ErrorBody{Error: "too many calls"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func unavailable(w http.ResponseWriter, why string) {
	writeJSON(w, http.StatusServiceUnavailable, tableservice.ErrorBody{Error: why})
}

// ackLost counts a write and reports whether its answer is to be lost.
func (p *Platform) ackLost() bool {
	p.writes++
	if p.lostAcks > 0 {
		p.lostAcks--
		return true
	}
	return false
}
