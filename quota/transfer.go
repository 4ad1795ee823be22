package quota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// recipient is the instance to which a bucket was transferred, and the time.
type recipient struct {
	instance string
	at       time.Time
}

// hostedBucket is a bucket for which this instance is the home.
type hostedBucket struct {
	// openMu is held while the balance is fetched from the previous home.
	openMu sync.Mutex
	// bucket is nil until the balance is fetched. It is guarded by Limiter.mu.
	bucket   *Bucket
	lastUsed time.Time
}

// hosted returns the record of an organisation's bucket at this instance, and
// creates it if there is none. The caller must hold mu.
func (limiter *Limiter) hosted(organisation string) *hostedBucket {
	hosted := limiter.buckets[organisation]
	if hosted == nil {
		hosted = &hostedBucket{}
		limiter.buckets[organisation] = hosted
	}
	return hosted
}

// openBucket creates the bucket with the balance that remained at the previous
// home. If that home does not report, the bucket starts empty, since the amount
// that it granted is unknown.
func (limiter *Limiter) openBucket(ctx context.Context, hosted *hostedBucket, request HomeRequest) {
	hosted.openMu.Lock()
	defer hosted.openMu.Unlock()
	limiter.mu.Lock()
	isOpen := hosted.bucket != nil
	limiter.mu.Unlock()
	if isOpen {
		return
	}
	balance, previous := limiter.inheritedBalance(ctx, request)
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	if hosted.bucket == nil { // otherwise a stopping home has transferred it meanwhile
		hosted.bucket = NewBucket(limiter.tolerance, request.Limit, now)
	}
	if balance == nil {
		hosted.bucket.AssumeOutstanding(now)
		balance = &Balance{}
	}
	hosted.bucket.Add(*balance, now)
	delete(limiter.transferred, request.Organisation)
	limiter.opened.Inc(1)
	limiter.log.Info("became the home of an organisation's quota", "organisation", request.Organisation, "level", hosted.bucket.Level(now), "before", previous, "rate", request.Limit.Rate, "burst", request.Limit.Burst, "configuration", request.Limit.Version)
}

// inheritedBalance returns the balance that another instance held of an
// organisation's quota, and the name of that instance. The balance is nil if it
// is unknown. Any candidate may have been the home: as fallback for this
// instance, or as the home for which this instance is the fallback. A candidate
// that runs but responds after the timeout has given up the bucket once it
// handles the request.
func (limiter *Limiter) inheritedBalance(ctx context.Context, request HomeRequest) (balance *Balance, previous string) {
	self := limiter.peers.Self()
	all := limiter.peers.Homes(request.Organisation, true)
	isUnused := len(all) > 0 && all[0] == self
	names := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == self })
	if recipient := limiter.transferredTo(request.Organisation); recipient != "" {
		isUnused = false
		if !slices.Contains(names, recipient) {
			names = append(names, recipient)
		}
	}
	for _, name := range names {
		found, holder, neverHeld := limiter.traceBucket(ctx, request.Organisation, name)
		if found != nil {
			return found, holder
		}
		isUnused = isUnused && neverHeld
	}
	if !isUnused {
		return nil, ""
	}
	// The credit accrued since the set of instances last changed can't have
	// been used by any of them.
	return &Balance{Level: request.Limit.Rate * min(limiter.peers.StableFor(), limiter.activeFor()).Seconds()}, ""
}

// traceBucket requests an organisation's bucket from an instance, and then from
// the instances to which it was transferred. It returns the balance and its
// holder. isUnused is set if the last instance responded and had never held the
// bucket.
func (limiter *Limiter) traceBucket(ctx context.Context, organisation, from string) (balance *Balance, holder string, isUnused bool) {
	for range maxMoves {
		response := limiter.fetchBucket(ctx, from, organisation)
		if response == nil {
			return nil, from, false
		}
		if balance, ok := response.Balances[organisation]; ok {
			return &balance, from, false
		}
		next := response.Moved[organisation]
		if next == "" || next == limiter.peers.Self() {
			return nil, from, next == ""
		}
		from = next
	}
	return nil, from, false
}

// maxMoves bounds the number of instances that traceBucket calls.
const maxMoves = 3

// fetchBucket requests an organisation's bucket from an instance and waits at
// most transferWait. The call itself continues after that, because the instance
// has to give up the bucket even if it responds too late. It returns nil if
// there was no response.
func (limiter *Limiter) fetchBucket(ctx context.Context, from, organisation string) *Transfer {
	responded := make(chan *Transfer, 1)
	go func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), transferTimeout)
		defer cancel()
		response, err := limiter.peers.TransferBuckets(limited, from, Transfer{From: limiter.peers.Self(), Wanted: []string{organisation}})
		if err != nil {
			responded <- nil
			return
		}
		limiter.responded(from, nil)
		responded <- &response
	}()
	timer := time.NewTimer(limiter.wait)
	defer timer.Stop()
	select {
	case response := <-responded:
		return response
	case <-timer.C:
		return nil
	}
}

// transferredTo returns the instance to which the organisation's bucket was
// transferred from here, or "" if there is none.
func (limiter *Limiter) transferredTo(organisation string) string {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.transferred[organisation].instance
}

// Transfer releases the buckets that another home requests, and adds the
// balances that it transfers to this instance. It returns ErrStopping once Stop
// has been called.
func (limiter *Limiter) Transfer(transfer Transfer) (Transfer, error) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.clock.Now()
	limiter.recordContact(now)
	if limiter.stopped {
		return Transfer{}, ErrStopping
	}
	delete(limiter.suspects, transfer.From)
	if len(transfer.Balances) > 0 {
		// The sender is stopping, but remains in the membership for a short
		// time.
		limiter.suspects[transfer.From] = suspect{since: now, until: now.Add(maxSuspicion), backoff: initialSuspicion, confirmed: true}
	}
	response := Transfer{Balances: map[string]Balance{}, Moved: map[string]string{}}
	for _, organisation := range transfer.Wanted {
		if hosted := limiter.buckets[organisation]; hosted != nil && hosted.bucket != nil {
			response.Balances[organisation] = hosted.bucket.Balance(now)
			hosted.bucket = nil
			delete(limiter.buckets, organisation)
		} else if recipient, ok := limiter.transferred[organisation]; ok {
			response.Moved[organisation] = recipient.instance
		}
		limiter.transferred[organisation] = recipient{instance: transfer.From, at: now}
	}
	for organisation, balance := range transfer.Balances {
		hosted := limiter.hosted(organisation)
		if hosted.bucket == nil {
			hosted.bucket, hosted.lastUsed = NewBucket(limiter.tolerance, balance.Limit, now), now
		}
		hosted.bucket.Add(balance, now)
	}
	return response, nil
}

// Stop transfers the buckets held here to the next homes.
func (limiter *Limiter) Stop(ctx context.Context) {
	limiter.mu.Lock()
	limiter.stopped = true
	now := limiter.clock.Now()
	balances := map[string]Balance{}
	for organisation, hosted := range limiter.buckets {
		if hosted.bucket != nil {
			balances[organisation] = hosted.bucket.Balance(now)
		}
	}
	clear(limiter.buckets)
	limiter.mu.Unlock()
	for range maxAttempts {
		balances = limiter.transferBuckets(ctx, balances)
		if len(balances) == 0 || ctx.Err() != nil {
			return
		}
	}
	limiter.log.Info("quota balances not transferred: the next homes start with empty buckets", "organisations", len(balances))
}

// transferBuckets transfers balances to the next homes, and returns those that
// were certainly not received.
func (limiter *Limiter) transferBuckets(ctx context.Context, balances map[string]Balance) (remaining map[string]Balance) {
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
	remaining = map[string]Balance{}
	for home, transfer := range transfers {
		calls.Go(func() {
			limited, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			_, err := limiter.peers.TransferBuckets(limited, home, transfer)
			limiter.responded(home, err)
			if !isTerminated(err) {
				return // it may have been received, and must not be transferred twice
			}
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(remaining, transfer.Balances)
		})
	}
	calls.Wait()
	return remaining
}
