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

// ErrNotRunning is an instance whose process has ended: what it held is lost.
var ErrNotRunning = errors.New("the instance does not run")

// ErrStopping is an instance that has handed its buckets over, or is about to,
// and ends.
var ErrStopping = errors.New("the instance stops")

// isOver reports whether an instance said, or its machine, that it is no home any
// more.
func isOver(err error) bool {
	return errors.Is(err, ErrNotRunning) || errors.Is(err, ErrStopping)
}

// suspect is an instance that did not answer.
type suspect struct {
	since, until time.Time
	pause        time.Duration
	// confirmed: another instance does not reach it either, or it is over.
	confirmed bool
}

// confirm notes that another instance does not reach those either that are
// suspected here and would be the organisation's home.
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

// answered notes whether an instance answered; err is nil if it did.
func (limiter *Limiter) answered(home string, err error) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	if err == nil {
		delete(limiter.suspects, home)
		limiter.met(now)
		return
	}
	if isOver(err) {
		limiter.met(now) // its machine is in reach
	} else {
		limiter.unanswered[home] = struct{}{}
	}
	known := limiter.suspects[home]
	known.confirmed = known.confirmed || isOver(err)
	if now.Before(known.until) {
		limiter.suspects[home] = known
		return // another request found out
	}
	pause := min(max(2*known.pause, firstSuspicion), mostSuspicion)
	limiter.suspects[home] = suspect{since: now, until: now.Add(pause), pause: pause, confirmed: known.confirmed}
	limiter.log.Info("home of quotas does not answer: the next instance is asked", "home", home, "for", pause, "err", err)
}

// met notes contact with another instance. The caller holds mu.
func (limiter *Limiter) met(now time.Time) {
	clear(limiter.unanswered)
	limiter.contact = now
}

// Beat is called every beatInterval while the instance runs. After an absence,
// in which another instance may have taken over, what lies here is out of date.
func (limiter *Limiter) Beat() {
	limiter.isAlone()
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.beaten = limiter.clock.Now()
}

// Probe calls the instances in whose place this one stands, so that they are
// the home again soon after they are back; and others if none was in contact of
// late: a home that is cut off must find out.
func (limiter *Limiter) Probe(ctx context.Context) {
	names := limiter.replaced()
	if limiter.isQuiet() {
		names = append(names, limiter.others()...)
	}
	for _, name := range names {
		limited, cancel := context.WithTimeout(ctx, handOverTimeout)
		_, err := limiter.peers.HandOver(limited, name, Transfer{From: limiter.peers.Self()})
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil || isOver(err) {
			limiter.answered(name, err)
			continue
		}
		limiter.mu.Lock()
		limiter.unanswered[name] = struct{}{}
		limiter.mu.Unlock()
	}
}

// isQuiet reports whether no other instance was in contact of late, while this
// one gives out quota or does not because of that.
func (limiter *Limiter) isQuiet() bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	if now.Sub(limiter.contact) < probeInterval {
		return false
	}
	for _, held := range limiter.buckets {
		if now.Sub(held.used) < mostAbsence {
			return true
		}
	}
	return limiter.isolated
}

// others returns some other instances, different ones each time.
func (limiter *Limiter) others() []string {
	self := limiter.peers.Self()
	names := limiter.peers.Homes(strconv.FormatInt(limiter.clock.Now().UnixNano(), 36), true)
	return slices.DeleteFunc(names, func(name string) bool { return name == self })
}

// replaced returns the suspects that would be home of a bucket that lies here.
func (limiter *Limiter) replaced() []string {
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

// isSilent reports whether instances do not answer, and none was in contact of
// late.
func (limiter *Limiter) isSilent() bool {
	limiter.mu.Lock()
	unanswered, silence := len(limiter.unanswered), limiter.clock.Now().Sub(limiter.contact)
	limiter.mu.Unlock()
	if unanswered == 0 || silence <= isolatingTime {
		return false
	}
	others := len(limiter.others())
	return others > 0 && unanswered >= min(others, isolatingSilence)
}

// isAlone reports whether no other instance can be reached, and gives up the
// buckets that lie here after an absence.
func (limiter *Limiter) isAlone() bool {
	isolated := limiter.isSilent()
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	absent := now.Sub(limiter.beaten)
	if absent > mostAbsence || limiter.isolated && !isolated {
		limiter.log.Info("back after an absence: quotas are asked for again", "absent", absent, "isolated", limiter.isolated, "organisations", len(limiter.buckets))
		clear(limiter.buckets)
		limiter.present, limiter.beaten = now, now
	}
	limiter.isolated = isolated
	return isolated
}

func (limiter *Limiter) sincePresent() time.Duration {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.clock.Now().Sub(limiter.present)
}

// Watch probes the instances in whose place this one stands until ctx ends;
// then it reports on done.
func (limiter *Limiter) Watch(ctx context.Context, done chan<- error) {
	clock.Every(ctx, probeInterval, func(time.Time) { limiter.Probe(ctx) }, done)
}
