package standin

import (
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// withLock calls f with p.mu held.
func (p *Platform) withLock(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// SetOutage starts an outage, in which every call fails with status 503, or
// ends it if on is false.
func (p *Platform) SetOutage(on bool) { p.withLock(func() { p.outage = on }) }

// LoseResponses makes the next n writes take effect but respond with status 503,
// which simulates a response lost after the commit.
func (p *Platform) LoseResponses(n int) { p.withLock(func() { p.lostResponses = n }) }

// FailLeaseReads makes the next n reads of lease records fail with status 503.
func (p *Platform) FailLeaseReads(n int) { p.withLock(func() { p.failLeaseReads = n }) }

// RejectWritesAfter lets the next n writes take effect and rejects all later
// ones with status 503 and without effect, which simulates an outage that
// starts between two writes. A negative n ends the rejection. Deletions
// outside a transaction and updates of the instance list are not affected.
func (p *Platform) RejectWritesAfter(n int) { p.withLock(func() { p.writesBeforeRefusal = n }) }

// refuseWrite reports whether the current write must be rejected, and
// otherwise counts down the writes before rejection. p.mu must be held.
func (p *Platform) refuseWrite() bool {
	switch {
	case p.writesBeforeRefusal == 0:
		return true
	case p.writesBeforeRefusal > 0:
		p.writesBeforeRefusal--
	}
	return false
}

// Limits holds the platform's rate limits and response times. The zero value
// means no rate limits and no added response time.
type Limits struct {
	// WritesPerSecond and ReadsPerSecond are rate limits, or 0 for no limit.
	// Calls that exceed them fail with status 429.
	WritesPerSecond, ReadsPerSecond int
	// TableLatency and ObjectLatency are the durations of a call to the table service and
	// to the object store.
	TableLatency, ObjectLatency time.Duration
}

// SetLimits sets the platform's limits. The token buckets allow bursts of a
// quarter of a second.
func (p *Platform) SetLimits(l Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l
	p.writeRate = rate.NewLimiter(rateLimit(l.WritesPerSecond), max(1, l.WritesPerSecond/4))
	p.readRate = rate.NewLimiter(rateLimit(l.ReadsPerSecond), max(1, l.ReadsPerSecond/4))
}

// rateLimit returns the limit of perSecond calls, where 0 means no limit.
func rateLimit(perSecond int) rate.Limit {
	if perSecond == 0 {
		return rate.Inf
	}
	return rate.Limit(perSecond)
}

// applyLimits reports whether r is within the rate limits, and if so, sleeps
// for the duration of a call to the service.
func (p *Platform) applyLimits(r *http.Request) bool {
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
		time.Sleep(limits.ObjectLatency)
	} else {
		time.Sleep(limits.TableLatency)
	}
	return true
}

// withFaults returns a handler that applies the outage and the limits before
// it calls next.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		down := p.outage
		p.mu.Unlock()
		if down {
			writeUnavailable(w, "outage")
			return
		}
		if !p.applyLimits(r) {
			writeJSON(w, http.StatusTooManyRequests, tableservice.ErrorBody{Error: "too many calls"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// writeUnavailable writes a response with status 503 and the reason why.
func writeUnavailable(w http.ResponseWriter, why string) {
	writeJSON(w, http.StatusServiceUnavailable, tableservice.ErrorBody{Error: why})
}

// countWrite counts a write and reports whether its response must be lost.
// p.mu must be held.
func (p *Platform) countWrite() bool {
	p.writes++
	if p.lostResponses > 0 {
		p.lostResponses--
		return true
	}
	return false
}
