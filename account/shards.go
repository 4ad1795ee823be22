package account

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// escrowsTable holds one row for each shard that ever had an escrow, in
	// the partition of the shard's programs. The first row of a program is
	// therefore written on the condition that its shard's row has not changed,
	// at no cost besides the condition.
	escrowsTable = "escrows"
	// departureGrace is how long an instance that left membership still counts
	// as the home of its shards. A restarted instance is back within seconds;
	// if other instances acquired its shards meanwhile, all shards would move
	// twice.
	departureGrace = 30 * time.Second
	// maxRetryDelay bounds the delay between attempts to acquire shards that
	// other incarnations hold. The delay starts at acquireInterval and
	// doubles: a running incarnation transfers its shards within that time
	// after it discovers this instance, and a crashed one never does.
	maxRetryDelay = time.Minute
)

// escrows holds what this instance has recorded of the shards' escrows, and
// which of them belong to this incarnation.
type escrows struct {
	mu     sync.Mutex
	shards [budget.Shards]shard
	// rows holds the name hashes of programs that may have a row, so that they
	// take a write instead of a grant by escrow. Such a row was written before
	// this incarnation acquired the shard and lacks its escrow account, or it
	// belongs to a program that was evicted since. A program whose hash
	// collides with one of them takes a write as well.
	rows rowSet
	// lastSeen is when each instance, including this one, was last a member.
	// members are the instances that count as members, sorted, and homeShards
	// are the shards whose home among them is this instance, in ascending
	// order.
	lastSeen   map[string]time.Time
	members    []string
	homeShards []int
	// nextRetry is the time of the next attempt to acquire shards that others
	// hold, and retryDelay the delay after that attempt.
	nextRetry  time.Time
	retryDelay time.Duration
	stopped    bool
}

// shard is the recorded state of one shard.
type shard struct {
	escrow budget.Escrow
	// version is the version of the escrow's row.
	version uint64
	// maybeAcquired is set once a write of this incarnation may have acquired
	// the shard. usable is set while its escrow may grant tokens: it is in the
	// store, and all programs that had a row at acquisition are in
	// escrows.rows.
	maybeAcquired, usable bool
	// takeoverAt is when a takeover of another instance's escrow was last requested.
	takeoverAt time.Time
	// unwitnessed is set once the witness has stopped without having ended the escrow.
	unwitnessed bool
	// releasing is set once a write that releases the escrow was sent, which may be applied
	// later if it got no response.
	releasing bool
	// announced is set once the witness knows that it is one.
	announced bool
	// refused is set once the witness of this incarnation's escrow records no more of its
	// grants.
	refused bool
}

// get returns the last recorded escrow of a shard and the version of its row.
func (escrows *escrows) get(index int) (budget.Escrow, uint64) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	return escrows.shards[index].escrow, escrows.shards[index].version
}

// update records the row of a shard unless a newer version is recorded. An escrow that
// was taken over ends to be usable.
func (escrows *escrows) update(index int, escrow budget.Escrow, version uint64) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	if shard := &escrows.shards[index]; version >= shard.version {
		shard.usable = shard.usable && escrow.Account == shard.escrow.Account
		isSame := version == shard.version
		shard.unwitnessed = shard.unwitnessed && isSame
		shard.refused, shard.releasing, shard.announced = shard.refused && isSame, shard.releasing && isSame, shard.announced && isSame
		shard.escrow, shard.version = escrow, version
	}
}

// account returns the escrow account that may grant tokens of a program
// without a row, whether it has a witness, and whether there is one.
func (escrows *escrows) account(id string) (name string, hasWitness, ok bool) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	shard := &escrows.shards[budget.Shard(id)]
	if escrows.rows.has(rowNameHash(id)) || !shard.usable {
		return "", false, false
	}
	return shard.escrow.Account, shard.escrow.Witness != "", true
}

// mayTakeOver reports whether no takeover of the shard was requested within
// minShardReadInterval, and records the request.
func (escrows *escrows) mayTakeOver(index int, now time.Time) bool {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	if now.Sub(escrows.shards[index].takeoverAt) < minShardReadInterval {
		return false
	}
	escrows.shards[index].takeoverAt = now
	return true
}

// unannounced returns the witnesses of usable escrows, each with the shards that it has
// not been told of.
func (escrows *escrows) unannounced() map[string][]WitnessedShard {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	unannounced := map[string][]WitnessedShard{}
	for index := range escrows.shards {
		shard := &escrows.shards[index]
		if !shard.usable || shard.escrow.Witness == "" {
			continue
		}
		shards := unannounced[shard.escrow.Witness]
		if !shard.announced {
			shards = append(shards, WitnessedShard{Shard: index, Version: shard.version, Account: shard.escrow.Account})
		}
		unannounced[shard.escrow.Witness] = shards
	}
	return unannounced
}

// witnessedBy returns the shards of usable escrows with the given witness.
func (escrows *escrows) witnessedBy(witness string) []WitnessedShard {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	var shards []WitnessedShard
	for index := range escrows.shards {
		if shard := &escrows.shards[index]; shard.usable && shard.escrow.Witness == witness {
			shards = append(shards, WitnessedShard{Shard: index, Version: shard.version, Account: shard.escrow.Account})
		}
	}
	return shards
}

// setUnwitnessed records that the witness of shards has stopped without having ended their
// escrows.
func (escrows *escrows) setUnwitnessed(shards []WitnessedShard) {
	escrows.change(shards, func(shard *shard) { shard.unwitnessed = true })
}

// isUnwitnessed reports whether the escrow of a shard may grant without records, if the
// shard's row is still at version.
func (escrows *escrows) isUnwitnessed(index int, version uint64) bool {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	return escrows.shards[index].unwitnessed && escrows.shards[index].version == version
}

// setAnnounced records that the witness of shards was told of them.
func (escrows *escrows) setAnnounced(shards []WitnessedShard) {
	escrows.change(shards, func(shard *shard) { shard.announced = true })
}

// refuseWitness ends the use of all escrows with a witness that no longer is one.
func (escrows *escrows) refuseWitness(witness string) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	for index := range escrows.shards {
		if shard := &escrows.shards[index]; shard.usable && shard.escrow.Witness == witness {
			shard.usable, shard.refused = false, true
		}
	}
}

// refuse ends the use of a shard's escrow, since its witness records no more of its
// grants, if the shard's row is still at version.
func (escrows *escrows) refuse(index int, version uint64) {
	escrows.change([]WitnessedShard{{Shard: index, Version: version}}, func(shard *shard) { shard.usable, shard.refused = false, true })
}

// change calls f for those of shards whose rows are still at the given versions.
func (escrows *escrows) change(shards []WitnessedShard, f func(shard *shard)) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	for _, known := range shards {
		if shard := &escrows.shards[known.Shard]; shard.version == known.Version {
			f(shard)
		}
	}
}

// usableFor reports whether this incarnation holds a usable escrow of the
// program's shard.
func (escrows *escrows) usableFor(id string) bool {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	return escrows.shards[budget.Shard(id)].usable
}

// recordRow records that a program may have a row, which ends the use of the
// escrow for a new account of the program.
func (escrows *escrows) recordRow(id string) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	escrows.rows.add(rowNameHash(id))
}

// enable lets the escrows of shards grant tokens, unless the instance is
// stopping. rows are the hashes of the programs that have a row.
func (escrows *escrows) enable(shards []int, rows map[uint64]struct{}) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	for hash := range rows {
		escrows.rows.add(hash)
	}
	for _, index := range shards {
		shard := &escrows.shards[index]
		shard.usable = !escrows.stopped && !shard.refused && !shard.releasing
	}
}

// disable stops the escrows of shards from granting tokens to more programs.
func (escrows *escrows) disable(shards []int) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	for _, index := range shards {
		escrows.shards[index].usable = false
	}
}

// stop disables the escrows of all shards for good and returns the shards that
// this incarnation may have acquired.
func (escrows *escrows) stop() []int {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	escrows.stopped = true
	for index := range escrows.shards {
		escrows.shards[index].usable = false
	}
	return escrows.maybeAcquired()
}

// maybeAcquired returns the shards that this incarnation may have acquired.
// The caller holds mu.
func (escrows *escrows) maybeAcquired() []int {
	var maybeAcquired []int
	for index := range escrows.shards {
		if escrows.shards[index].maybeAcquired {
			maybeAcquired = append(maybeAcquired, index)
		}
	}
	return maybeAcquired
}

// setReleasing records that a write that releases shards is sent.
func (escrows *escrows) setReleasing(shards []int) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	for _, index := range shards {
		escrows.shards[index].releasing = true
	}
}

// setMaybeAcquired records whether a write of this incarnation may have
// acquired shards.
func (escrows *escrows) setMaybeAcquired(shards []int, maybeAcquired bool) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	for _, index := range shards {
		escrows.shards[index].maybeAcquired = maybeAcquired
	}
}

// plan returns the shards to transfer, whose home is now another instance, those to
// renew, whose escrow needs another witness, and those to acquire, given the names of
// the known instances. It returns none to acquire before nextRetry, after the remaining
// ones were found to be held by other incarnations.
func (escrows *escrows) plan(self string, names []string, now time.Time, needsWitness func(escrow budget.Escrow) bool) (toTransfer, toRenew, toAcquire []int) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	if escrows.stopped {
		return nil, nil, nil
	}
	escrows.updateHomeShards(self, names, now)
	for _, index := range escrows.maybeAcquired() {
		shard := &escrows.shards[index]
		_, isHome := slices.BinarySearch(escrows.homeShards, index)
		switch {
		case !isHome:
			toTransfer = append(toTransfer, index)
		case shard.refused || shard.releasing || shard.usable && needsWitness(shard.escrow):
			toRenew = append(toRenew, index)
		}
	}
	if now.Before(escrows.nextRetry) {
		return toTransfer, toRenew, nil
	}
	for _, index := range escrows.homeShards {
		if shard := &escrows.shards[index]; !shard.usable && !shard.refused && !shard.releasing {
			toAcquire = append(toAcquire, index)
		}
	}
	return toTransfer, toRenew, toAcquire
}

// updateHomeShards recomputes homeShards if the members have changed. The
// caller holds mu.
func (escrows *escrows) updateHomeShards(self string, names []string, now time.Time) {
	if escrows.lastSeen == nil {
		escrows.lastSeen = map[string]time.Time{}
	}
	for _, name := range append(slices.Clone(names), self) {
		escrows.lastSeen[name] = now
	}
	var members []string
	for name, lastSeen := range escrows.lastSeen {
		if now.Sub(lastSeen) >= departureGrace {
			delete(escrows.lastSeen, name)
			continue
		}
		members = append(members, name)
	}
	slices.Sort(members)
	if slices.Equal(members, escrows.members) {
		return
	}
	escrows.members, escrows.homeShards = members, budget.HomeShards(self, members)
	escrows.nextRetry, escrows.retryDelay = time.Time{}, 0
}

// postponeRetry delays the next attempt to acquire shards that others hold.
func (escrows *escrows) postponeRetry(now time.Time) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	escrows.nextRetry = now.Add(escrows.retryDelay)
	escrows.retryDelay = min(max(2*escrows.retryDelay, acquireInterval), maxRetryDelay)
}

// rowNameHash returns the hash of the name of a program's row.
func rowNameHash(id string) uint64 { return xxhash.Sum64String(store.Name(id)) }
