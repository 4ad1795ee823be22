package quota

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

// ErrNotRunning is returned for an instance whose process has ended. Its
// buckets are lost.
var ErrNotRunning = errors.New("no process of the instance is running")

// ErrStopping is returned by an instance that is stopping, and has transferred
// its buckets or is about to.
var ErrStopping = errors.New("the instance is stopping")

// isTerminated reports whether err says that the instance can no longer be a
// home, as reported by the instance or its machine.
func isTerminated(err error) bool {
	return errors.Is(err, ErrNotRunning) || errors.Is(err, ErrStopping)
}

// suspect is an instance that did not respond.
type suspect struct {
	// The suspicion lasts from since until until, a duration of backoff that
	// doubles with each further failure.
	since, until time.Time
	backoff      time.Duration
	// confirmed is set if another instance can't reach it either, or if it has
	// terminated.
	confirmed bool
}

// confirm records that another instance can't reach the suspects that precede
// this instance as the organisation's home.
func (limiter *Limiter) confirm(organisation string) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	for _, name := range limiter.peers.Homes(organisation, false) {
		if name == limiter.peers.Self() {
			return
		}
		if suspect, ok := limiter.suspects[name]; ok {
			suspect.confirmed = true
			limiter.suspects[name] = suspect
		}
	}
}

// responded records the result of a call to an instance. err is nil if it
// responded.
func (limiter *Limiter) responded(home string, err error) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	if err == nil {
		delete(limiter.suspects, home)
		limiter.recordContact(now)
		return
	}
	if isTerminated(err) {
		limiter.recordContact(now) // its machine is reachable
	} else {
		limiter.unresponsive[home] = struct{}{}
	}
	previous := limiter.suspects[home]
	previous.confirmed = previous.confirmed || isTerminated(err)
	if now.Before(previous.until) {
		limiter.suspects[home] = previous
		return // already suspected by another request
	}
	backoff := min(max(2*previous.backoff, initialSuspicion), maxSuspicion)
	limiter.suspects[home] = suspect{since: now, until: now.Add(backoff), backoff: backoff, confirmed: previous.confirmed}
	limiter.log.Info("quota home does not respond: requests go to the next candidate", "home", home, "for", backoff, "err", err)
}

// recordContact records contact with another instance. The caller must hold mu.
func (limiter *Limiter) recordContact(now time.Time) {
	clear(limiter.unresponsive)
	limiter.lastContact = now
}

// Heartbeat records a heartbeat, and must be called every heartbeatInterval
// while the instance runs. After a gap, in which another instance may have
// taken over, the buckets held here are outdated and are dropped.
func (limiter *Limiter) Heartbeat() {
	limiter.checkIsolation()
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.lastHeartbeat = limiter.clock.Now()
}

// Probe calls the instances that this one replaces as fallback, so that they
// become the home again soon after they are reachable. Without recent contact
// it calls other instances too, so that a partitioned home detects its
// isolation.
func (limiter *Limiter) Probe(ctx context.Context) {
	names := limiter.replacedHomes()
	if limiter.needsContact() {
		names = append(names, limiter.others()...)
	}
	for _, name := range names {
		limited, cancel := context.WithTimeout(ctx, transferWait)
		_, err := limiter.peers.TransferBuckets(limited, name, Transfer{From: limiter.peers.Self()})
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil || isTerminated(err) {
			limiter.responded(name, err)
			continue
		}
		limiter.mu.Lock()
		limiter.unresponsive[name] = struct{}{}
		limiter.mu.Unlock()
	}
}

// needsContact reports whether there was no recent contact with another
// instance, while this one grants quota or has stopped because it is isolated.
func (limiter *Limiter) needsContact() bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	if now.Sub(limiter.lastContact) < probeInterval {
		return false
	}
	for _, hosted := range limiter.buckets {
		if now.Sub(hosted.lastUsed) < maxHeartbeatGap {
			return true
		}
	}
	return limiter.isolated
}

// others returns some other instances, a different selection each time.
func (limiter *Limiter) others() []string {
	self := limiter.peers.Self()
	names := limiter.peers.Homes(strconv.FormatInt(limiter.clock.Now().UnixNano(), 36), true)
	return slices.DeleteFunc(names, func(name string) bool { return name == self })
}

// replacedHomes returns the suspects that would be the home of a bucket held
// here.
func (limiter *Limiter) replacedHomes() []string {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if len(limiter.suspects) == 0 {
		return nil
	}
	found := map[string]struct{}{}
	for organisation := range limiter.buckets {
		for _, name := range limiter.peers.Homes(organisation, true) {
			if name == limiter.peers.Self() {
				break
			}
			if _, ok := limiter.suspects[name]; ok {
				found[name] = struct{}{}
			}
		}
	}
	return slices.Collect(maps.Keys(found))
}

// isUnreachable reports whether other instances are unresponsive and there was
// no recent contact with any.
func (limiter *Limiter) isUnreachable() bool {
	limiter.mu.Lock()
	unresponsive, silence := len(limiter.unresponsive), limiter.clock.Now().Sub(limiter.lastContact)
	limiter.mu.Unlock()
	if unresponsive == 0 || silence <= isolationTime {
		return false
	}
	others := len(limiter.others())
	return others > 0 && unresponsive >= min(others, isolationPeers)
}

// checkIsolation reports whether no other instance can be reached. It drops the
// buckets held here if this instance was suspended or isolated, and while it is
// not listed, since the others then have another home.
func (limiter *Limiter) checkIsolation() bool {
	isolated, isListed := limiter.isUnreachable(), limiter.peers.Listed()
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	if !isListed && len(limiter.buckets) > 0 {
		limiter.log.Info("this instance is not listed: local quota balances dropped", "organisations", len(limiter.buckets))
		clear(limiter.buckets)
	}
	absent := now.Sub(limiter.lastHeartbeat)
	if absent > maxHeartbeatGap || limiter.isolated && !isolated {
		limiter.log.Info("contact restored after suspension or isolation: local quota balances dropped", "absent", absent, "isolated", limiter.isolated, "organisations", len(limiter.buckets))
		clear(limiter.buckets)
		limiter.activeSince, limiter.lastHeartbeat = now, now
	}
	limiter.isolated = isolated
	return isolated
}

// activeFor returns how long this instance has been running and in contact.
func (limiter *Limiter) activeFor() time.Duration {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.clock.Now().Sub(limiter.activeSince)
}

// Watch calls Probe every probeInterval until ctx ends, then reports on done.
func (limiter *Limiter) Watch(ctx context.Context, done chan<- error) {
	clock.Every(ctx, probeInterval, func(time.Time) { limiter.Probe(ctx) }, done)
}
