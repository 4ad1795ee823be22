package account

import (
	"maps"
	"sync"
	"time"
)

// holderTimeout is how long the holder of an escrow may be silent before its witness
// releases the escrow. Holders call each acquireInterval.
const holderTimeout = 4 * acquireInterval

// witnessRecords holds what the escrows of other instances have granted to programs
// without a row, as far as this instance is their witness. Its zero value is ready for
// use.
type witnessRecords struct {
	mu       sync.Mutex
	shards   map[int]*witnessRecord
	programs int
	stopped  bool
	// heardAt is when each holder of an escrow was last heard from, and checkedAt when
	// lost was last called.
	heardAt   map[string]time.Time
	checkedAt time.Time
}

// witnessRecord holds the grants of one escrow, which follows from the version of its
// shard's row. Escrows of lower versions have ended.
type witnessRecord struct {
	version uint64
	// holder is the incarnation that holds the escrow, and account its account; both are
	// empty if they are unknown or the escrow has been released.
	holder, account string
	// sealed is set once the escrow may grant no more.
	sealed bool
	// granted holds the tokens granted to each program.
	granted map[string]int64
}

// record records a grant. It returns a *WitnessRefusedError if the escrow may not grant it
// any more.
func (records *witnessRecords) record(grant WitnessedGrant) error {
	records.mu.Lock()
	defer records.mu.Unlock()
	known := records.at(grant.Shard, grant.Version)
	_, isKnown := known.granted[grant.Program]
	switch {
	case known.version > grant.Version || known.sealed:
		return NewWitnessRefusedError(WitnessEscrowEnded)
	case records.stopped:
		return NewWitnessRefusedError(WitnessStopped)
	case !isKnown && records.programs >= maxWitnessed:
		return NewWitnessRefusedError(WitnessFull)
	case !isKnown:
		records.programs++
	}
	known.granted[grant.Program] = max(known.granted[grant.Program], grant.Tokens)
	return nil
}

// announce records the holder of escrows. It returns a *WitnessRefusedError if one of the
// escrows has ended.
func (records *witnessRecords) announce(holder string, shards []WitnessedShard, now time.Time) error {
	records.mu.Lock()
	defer records.mu.Unlock()
	for _, shard := range shards {
		known := records.at(shard.Shard, shard.Version)
		if known.version > shard.Version || known.sealed {
			return NewWitnessRefusedError(WitnessEscrowEnded)
		}
		known.holder, known.account = holder, shard.Account
	}
	if records.stopped {
		return NewWitnessRefusedError(WitnessStopped)
	}
	if records.heardAt == nil {
		records.heardAt = map[string]time.Time{}
	}
	records.heardAt[holder] = now
	return nil
}

// lost returns the shards of each account whose holder has terminated or was not heard
// from for holderTimeout. The time starts anew after a pause in which the holders' calls
// may have been missed.
func (records *witnessRecords) lost(now time.Time, hasTerminated func(account string) bool) map[string][]int {
	records.mu.Lock()
	defer records.mu.Unlock()
	if now.Sub(records.checkedAt) > holderTimeout/2 {
		for holder := range records.heardAt {
			records.heardAt[holder] = now
		}
	}
	records.checkedAt = now
	shards, held := map[string][]int{}, map[string]bool{}
	for shard, known := range records.shards {
		if known.holder == "" {
			continue
		}
		held[known.holder] = true
		if now.Sub(records.heardAt[known.holder]) >= holderTimeout || hasTerminated(known.account) {
			shards[known.account] = append(shards[known.account], shard)
		}
	}
	maps.DeleteFunc(records.heardAt, func(holder string, _ time.Time) bool { return !held[holder] })
	return shards
}

// release records that the escrow of an account has been released in shards.
func (records *witnessRecords) release(account string, shards []int) {
	records.mu.Lock()
	defer records.mu.Unlock()
	for _, shard := range shards {
		if known := records.shards[shard]; known != nil && known.account == account {
			records.programs -= len(known.granted)
			known.holder, known.account, known.sealed, known.granted = "", "", true, map[string]int64{}
		}
	}
}

// drop removes records of grants, unless their escrow has ended.
func (records *witnessRecords) drop(grants []WitnessedGrant) {
	records.mu.Lock()
	defer records.mu.Unlock()
	for _, grant := range grants {
		known := records.shards[grant.Shard]
		if known == nil || known.version != grant.Version || known.sealed {
			continue
		}
		if _, ok := known.granted[grant.Program]; ok {
			delete(known.granted, grant.Program)
			records.programs--
		}
	}
}

// at returns the record of a shard for the given version of its row, or for a higher one
// that is known. The caller holds mu.
func (records *witnessRecords) at(shard int, version uint64) *witnessRecord {
	known := records.shards[shard]
	if known != nil && known.version >= version {
		return known
	}
	if known != nil {
		records.programs -= len(known.granted)
	}
	if records.shards == nil {
		records.shards = map[int]*witnessRecord{}
	}
	known = &witnessRecord{version: version, granted: map[string]int64{}}
	records.shards[shard] = known
	return known
}

// seal ends the recording of grants of a shard's escrow, and returns those that were
// recorded. It returns false if a higher version of the shard's row is known, and a
// *WitnessRefusedError after stop unless the shard was sealed before: its holder may grant
// without records then.
func (records *witnessRecords) seal(shard int, version uint64) (granted map[string]int64, ok bool, err error) {
	records.mu.Lock()
	defer records.mu.Unlock()
	known := records.at(shard, version)
	switch {
	case known.version > version:
		return nil, false, nil
	case records.stopped && !known.sealed:
		return nil, false, NewWitnessRefusedError(WitnessStopped)
	}
	known.sealed = true
	return known.granted, true, nil
}

// stop ends the recording of grants and all takeovers that have not begun.
func (records *witnessRecords) stop() {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.stopped = true
}

// StopWitnessing makes this instance take over no more escrows, and tell their holders so.
// It is called when a shutdown begins, so that holders learn of it before the instance is
// gone.
func (manager *Manager) StopWitnessing() { manager.witnessed.stop() }

// WitnessedPrograms returns the number of programs whose grants this instance records for
// others.
func (manager *Manager) WitnessedPrograms() int {
	manager.witnessed.mu.Lock()
	defer manager.witnessed.mu.Unlock()
	return manager.witnessed.programs
}

// RecordGrant records a grant of another instance's escrow, of which the named incarnation
// is the witness. It returns a *WitnessRefusedError if the escrow may not grant it.
func (manager *Manager) RecordGrant(witness string, grant WitnessedGrant) error {
	if witness != manager.owner {
		return NewWitnessRefusedError(WitnessOtherIncarnation)
	}
	return manager.witnessed.record(grant)
}

// Announce records that the named holder runs, and the shards of its escrows of which the
// named incarnation is the witness. It returns a *WitnessRefusedError if that is another
// one or an escrow has ended.
func (manager *Manager) Announce(witness, holder string, shards []WitnessedShard) error {
	if witness != manager.owner {
		return NewWitnessRefusedError(WitnessOtherIncarnation)
	}
	return manager.witnessed.announce(holder, shards, manager.clock.Now())
}

// DropGrants drops the records of grants to programs whose rows record them.
func (manager *Manager) DropGrants(witness string, grants []WitnessedGrant) error {
	if witness != manager.owner {
		return NewWitnessRefusedError(WitnessOtherIncarnation)
	}
	manager.witnessed.drop(grants)
	return nil
}
