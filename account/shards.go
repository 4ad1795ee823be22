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
	// escrowsTable holds a row for each shard that ever had an escrow, in the
	// partition of its programs: who makes a program's row does it on the
	// condition that its shard's row is the one that it knows, at no cost but
	// the condition.
	escrowsTable = "escrows"
	// departureGrace is how long an instance that left still counts as the
	// home of its shards. One that is replaced by its next start is back within
	// seconds; if others took them meanwhile, all would move twice.
	departureGrace = 30 * time.Second
	// longestLook is the longest pause between looks at shards that another
	// start has. The first come each acquireInterval, and twice as late each
	// time: one that lives hands its shards over within that of learning of this
	// instance, one that died never does.
	longestLook = time.Minute
)

// escrows are what is known of the shards' escrows, and which of them are
// this start's own.
type escrows struct {
	mu     sync.Mutex
	shards [budget.Shards]shard
	// rows are the hashes of programs that have a row: made before the own
	// escrow of their shard, whose account they lack, or by a usage that was
	// forgotten. A program that shares its hash with one of them takes a
	// write.
	rows map[uint64]struct{}
	// seen is when each instance was last known, this one included; home are
	// the shards whose home is this one among all of them.
	seen    map[string]time.Time
	members []string
	home    []int
	// look is when shards that others have are tried again, pause the time
	// from then to the next try.
	look    time.Time
	pause   time.Duration
	stopped bool
}

// shard is what is known of one.
type shard struct {
	escrow budget.Escrow
	// version is that of the escrow's row.
	version uint64
	// tried is set once a write of this start may have acquired the shard; usable
	// while its escrow may be used: it stands in the store, and the programs
	// that had a row by then are known.
	tried, usable bool
}

// known returns the escrow of a shard, as last seen, and its row's version.
func (escrows *escrows) known(at int) (budget.Escrow, uint64) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	return escrows.shards[at].escrow, escrows.shards[at].version
}

// take takes in a shard's row, if it is not older than what is known.
func (escrows *escrows) take(at int, escrow budget.Escrow, version uint64) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	if shard := &escrows.shards[at]; version >= shard.version {
		shard.escrow, shard.version = escrow, version
	}
}

// account returns the account that may be used of a program's budget without
// a row, and whether there is one.
func (escrows *escrows) account(id string) (string, bool) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	shard := &escrows.shards[budget.Shard(id)]
	if _, hasRow := escrows.rows[rowHash(id)]; hasRow || !shard.usable {
		return "", false
	}
	return shard.escrow.Account, true
}

// isEscrowed reports whether the escrow of the program's shard is held here.
func (escrows *escrows) isEscrowed(id string) bool {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	return escrows.shards[budget.Shard(id)].usable
}

// noteRow notes that a program may have a row.
func (escrows *escrows) noteRow(id string) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	if escrows.rows == nil {
		escrows.rows = map[uint64]struct{}{}
	}
	escrows.rows[rowHash(id)] = struct{}{}
}

// use hands out in shards whose escrows stand, given the programs that
// have a row.
func (escrows *escrows) use(shards []int, rows map[uint64]struct{}) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	if escrows.rows == nil {
		escrows.rows = map[uint64]struct{}{}
	}
	for hash := range rows {
		escrows.rows[hash] = struct{}{}
	}
	for _, at := range shards {
		escrows.shards[at].usable = !escrows.stopped
	}
}

// suspend has nothing handed out by escrow in shards from now on.
func (escrows *escrows) suspend(shards []int) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	for _, at := range shards {
		escrows.shards[at].usable = false
	}
}

// stop has nothing handed out by escrow any more, and returns the shards that this
// start may have acquired.
func (escrows *escrows) stop() []int {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	escrows.stopped = true
	for at := range escrows.shards {
		escrows.shards[at].usable = false
	}
	return escrows.tried()
}

// tried returns the shards that this start may have acquired. The caller holds
// mu.
func (escrows *escrows) tried() []int {
	var tried []int
	for at := range escrows.shards {
		if escrows.shards[at].tried {
			tried = append(tried, at)
		}
	}
	return tried
}

// setTried notes whether a write of this start may have acquired shards.
func (escrows *escrows) setTried(shards []int, tried bool) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	for _, at := range shards {
		escrows.shards[at].tried = tried
	}
}

// plan returns the shards to hand over, whose home is another instance now, and
// those to acquire, given the instances that are known. None are to be acquired
// while those left were found to be of other starts just now.
func (escrows *escrows) plan(self string, names []string, now time.Time) (away, toAcquire []int) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	if escrows.stopped {
		return nil, nil
	}
	escrows.settleHome(self, names, now)
	for _, at := range escrows.tried() {
		if _, isHome := slices.BinarySearch(escrows.home, at); !isHome {
			away = append(away, at)
		}
	}
	if now.Before(escrows.look) {
		return away, nil
	}
	for _, at := range escrows.home {
		if !escrows.shards[at].usable {
			toAcquire = append(toAcquire, at)
		}
	}
	return away, toAcquire
}

// settleHome finds out which shards have their home here. The caller holds mu.
func (escrows *escrows) settleHome(self string, names []string, now time.Time) {
	if escrows.seen == nil {
		escrows.seen = map[string]time.Time{}
	}
	for _, name := range append(slices.Clone(names), self) {
		escrows.seen[name] = now
	}
	var members []string
	for name, seen := range escrows.seen {
		if now.Sub(seen) >= departureGrace {
			delete(escrows.seen, name)
			continue
		}
		members = append(members, name)
	}
	slices.Sort(members)
	if slices.Equal(members, escrows.members) {
		return
	}
	escrows.members, escrows.home = members, budget.HomeShards(self, members)
	escrows.look, escrows.pause = time.Time{}, 0
}

// postpone has shards that others have looked at after a pause.
func (escrows *escrows) postpone(now time.Time) {
	escrows.mu.Lock()
	defer escrows.mu.Unlock()
	escrows.look = now.Add(escrows.pause)
	escrows.pause = min(max(2*escrows.pause, acquireInterval), longestLook)
}

// rowHash is the hash of a program's row name.
func rowHash(id string) uint64 { return xxhash.Sum64String(store.Name(id)) }
