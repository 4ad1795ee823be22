package quota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// taker is an instance that took a bucket.
type taker struct {
	by string
	at time.Time
}

// homeBucket is a bucket that lies here.
type homeBucket struct {
	// opening is held while the home before is asked for what it holds.
	opening sync.Mutex
	// bucket is nil until then. The limiter's mu guards it.
	bucket *Bucket
	used   time.Time
}

// held returns the place of an organisation's bucket here. The caller holds mu.
func (limiter *Limiter) held(organisation string) *homeBucket {
	held := limiter.buckets[organisation]
	if held == nil {
		held = &homeBucket{}
		limiter.buckets[organisation] = held
	}
	return held
}

// open makes the bucket with what the home before still held. Without its word
// it is empty: what that one gave out is not known.
func (limiter *Limiter) open(ctx context.Context, held *homeBucket, question Question) {
	held.opening.Lock()
	defer held.opening.Unlock()
	limiter.mu.Lock()
	isOpen := held.bucket != nil
	limiter.mu.Unlock()
	if isOpen {
		return
	}
	balance, before := limiter.inherited(ctx, question)
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	if held.bucket == nil { // else a home that stops gave it meanwhile
		held.bucket = NewBucket(limiter.tolerance, question.Limit, now)
	}
	if balance == nil {
		held.bucket.Doubt(now)
		balance = &Balance{}
	}
	held.bucket.Add(*balance, now)
	delete(limiter.taken, question.Organisation)
	limiter.opened.Inc(1)
	limiter.log.Info("home of a quota", "organisation", question.Organisation, "level", held.bucket.Level(now), "before", before, "rate", question.Limit.Rate, "burst", question.Limit.Burst, "configuration", question.Limit.Version)
}

// inherited returns what another instance held of an organisation's quota, nil
// if that is not known, and which instance that was. Any of those that may be
// the home may have been it: one that stood in for this one, or one in whose
// place this one stands. One that is alive but late then gives nothing out any
// more.
func (limiter *Limiter) inherited(ctx context.Context, question Question) (balance *Balance, before string) {
	self := limiter.peers.Self()
	all := limiter.peers.Homes(question.Organisation, true)
	isUnused := len(all) > 0 && all[0] == self
	names := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == self })
	if taker := limiter.takenBy(question.Organisation); taker != "" {
		isUnused = false
		if !slices.Contains(names, taker) {
			names = append(names, taker)
		}
	}
	for _, name := range names {
		found, at, never := limiter.follow(ctx, question.Organisation, name)
		if found != nil {
			return found, at
		}
		isUnused = isUnused && never
	}
	if !isUnused {
		return nil, ""
	}
	// What came since instances last joined or left: nobody has used it.
	return &Balance{Level: question.Limit.Rate * min(limiter.peers.Settled(), limiter.sincePresent()).Seconds()}, ""
}

// follow asks an instance for an organisation's bucket, and those that took it
// from there. It reports which it was had from, or that an instance answered
// which never had it.
func (limiter *Limiter) follow(ctx context.Context, organisation, from string) (balance *Balance, at string, isUnused bool) {
	for range mostMoves {
		given := limiter.fetch(ctx, from, organisation)
		if given == nil {
			return nil, from, false
		}
		if balance, ok := given.Balances[organisation]; ok {
			return &balance, from, false
		}
		next := given.Moved[organisation]
		if next == "" || next == limiter.peers.Self() {
			return nil, from, next == ""
		}
		from = next
	}
	return nil, from, false
}

// mostMoves bounds how often a bucket is looked for where it moved to.
const mostMoves = 3

// fetch asks an instance for an organisation's bucket, and waits handOverTimeout
// for it. One that is later must give it up all the same. It returns nil if
// there was no answer.
func (limiter *Limiter) fetch(ctx context.Context, from, organisation string) *Transfer {
	answered := make(chan *Transfer, 1)
	go func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), giveUpTimeout)
		defer cancel()
		given, err := limiter.peers.HandOver(limited, from, Transfer{From: limiter.peers.Self(), Wanted: []string{organisation}})
		if err != nil {
			answered <- nil
			return
		}
		limiter.answered(from, nil)
		answered <- &given
	}()
	timer := time.NewTimer(limiter.wait)
	defer timer.Stop()
	select {
	case given := <-answered:
		return given
	case <-timer.C:
		return nil
	}
}

// takenBy returns the instance that took the organisation's bucket from here,
// "" if none did.
func (limiter *Limiter) takenBy(organisation string) string {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.taken[organisation].by
}

// Transfer gives up the buckets that another home asks for, and takes those
// that it gives. It returns ErrStopping once this instance has given up all.
func (limiter *Limiter) Transfer(transfer Transfer) (Transfer, error) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	limiter.met(now)
	if limiter.stopped {
		return Transfer{}, ErrStopping
	}
	delete(limiter.suspects, transfer.From)
	if len(transfer.Balances) > 0 {
		// It stops, and its entry stands a little longer.
		limiter.suspects[transfer.From] = suspect{since: now, until: now.Add(mostSuspicion), pause: firstSuspicion, confirmed: true}
	}
	given := Transfer{Balances: map[string]Balance{}, Moved: map[string]string{}}
	for _, organisation := range transfer.Wanted {
		if held := limiter.buckets[organisation]; held != nil && held.bucket != nil {
			given.Balances[organisation] = held.bucket.Balance(now)
			held.bucket = nil
			delete(limiter.buckets, organisation)
		} else if taker, ok := limiter.taken[organisation]; ok {
			given.Moved[organisation] = taker.by
		}
		limiter.taken[organisation] = taker{by: transfer.From, at: now}
	}
	for organisation, balance := range transfer.Balances {
		held := limiter.held(organisation)
		if held.bucket == nil {
			held.bucket, held.used = NewBucket(limiter.tolerance, balance.Limit, now), now
		}
		held.bucket.Add(balance, now)
	}
	return given, nil
}

// Stop gives the buckets that lie here to the next homes.
func (limiter *Limiter) Stop(ctx context.Context) {
	limiter.mu.Lock()
	limiter.stopped = true
	now := limiter.clock.Now()
	balances := map[string]Balance{}
	for organisation, held := range limiter.buckets {
		if held.bucket != nil {
			balances[organisation] = held.bucket.Balance(now)
		}
	}
	clear(limiter.buckets)
	limiter.mu.Unlock()
	for range candidates {
		balances = limiter.handOver(ctx, balances)
		if len(balances) == 0 || ctx.Err() != nil {
			return
		}
	}
	limiter.log.Info("quotas not handed over: the next homes begin with nothing", "organisations", len(balances))
}

// handOver gives buckets to the next homes, and returns those that were not
// taken.
func (limiter *Limiter) handOver(ctx context.Context, balances map[string]Balance) (left map[string]Balance) {
	transfers := map[string]Transfer{}
	for organisation, balance := range balances {
		home, _, _ := limiter.home(organisation)
		if home == "" {
			continue
		}
		transfer, ok := transfers[home]
		if !ok {
			transfer = Transfer{From: limiter.peers.Self(), Balances: map[string]Balance{}}
			transfers[home] = transfer
		}
		transfer.Balances[organisation] = balance
	}
	var calls sync.WaitGroup
	var mu sync.Mutex
	left = map[string]Balance{}
	for home, transfer := range transfers {
		calls.Go(func() {
			limited, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_, err := limiter.peers.HandOver(limited, home, transfer)
			limiter.answered(home, err)
			if !isOver(err) {
				return // taken, perhaps: it must not be given twice
			}
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(left, transfer.Balances)
		})
	}
	calls.Wait()
	return left
}
