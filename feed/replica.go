package feed

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// maxRemovals bounds the removed rows that a Replica remembers. An instance
	// that has missed more of them reads the full table again.
	maxRemovals = 4096
	// confirmInterval is the minimum interval at which waiting readers are told
	// that the replica is current although nothing has changed.
	confirmInterval = 500 * time.Millisecond
)

// Replica holds the rows of a table as this instance last read them, for the
// instances that read the table from this one. It is safe for concurrent use.
// Use NewReplica.
type Replica struct {
	clock clock.Clock
	// same reports whether two values of a row have the same meaning.
	same func(a, b []byte) bool

	mu     sync.Mutex
	loaded bool
	rows   map[store.Key]store.Row
	// removals holds the rows removed last, in order of version.
	removals []store.Row
	// version is the version of the store up to which the replica is complete.
	// Changes up to the version floor are not known any more.
	version, floor uint64
	// confirmedAt is when the replica was last known to be current.
	confirmedAt time.Time
	// failing is set while the table cannot be read, and recoveredAt is when
	// that last ended.
	failing     bool
	recoveredAt time.Time
	// notifiedAt is when changed was last replaced. changed is closed at the
	// next change of any of this.
	notifiedAt time.Time
	changed    chan struct{}
}

// NewReplica returns a Replica that holds no rows. A changed row whose value is
// the same as before, according to same, is not passed on; without same, values are
// compared byte by byte.
func NewReplica(same func(a, b []byte) bool, clk clock.Clock) *Replica {
	if same == nil {
		same = bytes.Equal
	}
	return &Replica{clock: clk, same: same, rows: map[store.Key]store.Row{}, changed: make(chan struct{})}
}

// All returns all rows and the state of the replica.
func (replica *Replica) All() Update {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	update := replica.update()
	for _, row := range replica.rows {
		update.Rows = append(update.Rows, row)
	}
	sortByVersion(update.Rows)
	return update
}

// Since returns the rows that changed after a version and the state of the replica,
// and a channel that is closed when either has changed.
func (replica *Replica) Since(after uint64) (Update, <-chan struct{}) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	update := replica.update()
	update.Compacted = after < replica.floor
	if update.Compacted || after >= replica.version {
		return update, replica.changed
	}
	for _, row := range replica.rows {
		if row.Version > after {
			update.Rows = append(update.Rows, row)
		}
	}
	for _, row := range replica.removals {
		if row.Version > after {
			update.Rows = append(update.Rows, row)
		}
	}
	sortByVersion(update.Rows)
	return update, replica.changed
}

// update returns an Update without rows. The caller holds mu.
func (replica *Replica) update() Update {
	return Update{Version: replica.version, Loaded: replica.loaded, Failing: replica.failing, ConfirmedAt: replica.confirmedAt, RecoveredAt: replica.recoveredAt}
}

// Replace records the complete table, read at version, and that it was current
// at confirmedAt. Readers of the replica receive the differences as changes.
func (replica *Replica) Replace(rows []store.Row, version uint64, confirmedAt time.Time) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	if !replica.loaded {
		replica.floor = version
	}
	present := make(map[store.Key]bool, len(rows))
	significant := !replica.loaded
	for _, row := range rows {
		present[row.Key] = true
		significant = replica.put(row) || significant
	}
	for key := range replica.rows {
		if !present[key] {
			significant = replica.remove(store.Row{Key: key, Version: max(version, replica.version), Removed: true}) || significant
		}
	}
	replica.loaded = true
	replica.confirm(version, confirmedAt, significant)
}

// Apply records changed rows, complete up to version, and that the table was
// current at confirmedAt. It returns the rows whose meaning changed, in order.
func (replica *Replica) Apply(rows []store.Row, version uint64, confirmedAt time.Time) []store.Row {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	var changed []store.Row
	for _, row := range rows {
		if row.Removed && replica.remove(row) || !row.Removed && replica.put(row) {
			changed = append(changed, row)
		}
	}
	replica.confirm(version, confirmedAt, len(changed) > 0)
	return changed
}

// put records a row and reports whether its meaning changed. The caller holds
// mu.
func (replica *Replica) put(row store.Row) bool {
	previous, ok := replica.rows[row.Key]
	if ok && (row.Version <= previous.Version || replica.same(previous.Value, row.Value)) {
		return false
	}
	if !ok && replica.removedSince(row) {
		return false
	}
	row.Removed = false
	replica.rows[row.Key] = row
	return true
}

// removedSince reports whether the removal of a row is known that is later than
// the given version of it. The caller holds mu.
func (replica *Replica) removedSince(row store.Row) bool {
	if row.Version > replica.version {
		return false
	}
	return slices.ContainsFunc(replica.removals, func(removal store.Row) bool { return removal.Key == row.Key && removal.Version >= row.Version })
}

// remove records the removal of a row and reports whether the replica held it. The
// caller holds mu.
func (replica *Replica) remove(removal store.Row) bool {
	previous, ok := replica.rows[removal.Key]
	if !ok || removal.Version < previous.Version {
		return false
	}
	delete(replica.rows, removal.Key)
	removal.Value = nil
	replica.removals = append(replica.removals, removal)
	if excess := len(replica.removals) - maxRemovals; excess > 0 {
		replica.floor = max(replica.floor, replica.removals[excess-1].Version)
		replica.removals = slices.Delete(replica.removals, 0, excess)
	}
	return true
}

// confirm records that the replica is complete up to version and was current at
// confirmedAt. It wakes the waiting readers after a significant change, and
// otherwise once each confirmInterval. The caller holds mu.
func (replica *Replica) confirm(version uint64, confirmedAt time.Time, significant bool) {
	now := replica.clock.Now()
	replica.version = max(replica.version, version)
	if confirmedAt.After(replica.confirmedAt) {
		replica.confirmedAt = confirmedAt
	}
	if replica.failing {
		replica.failing, replica.recoveredAt, significant = false, now, true
	}
	if significant || now.Sub(replica.notifiedAt) >= confirmInterval {
		replica.notify(now)
	}
}

// SetFailing records that the table cannot be read at the moment.
func (replica *Replica) SetFailing() {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	if !replica.failing {
		replica.failing = true
		replica.notify(replica.clock.Now())
	}
}

// Version returns the version of the store up to which the replica is complete.
func (replica *Replica) Version() uint64 {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.version
}

// ConfirmedAt returns when the replica was last known to be current.
func (replica *Replica) ConfirmedAt() time.Time {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.confirmedAt
}

// notify wakes the waiting readers. The caller holds mu.
func (replica *Replica) notify(now time.Time) {
	close(replica.changed)
	replica.changed, replica.notifiedAt = make(chan struct{}), now
}

// sortByVersion sorts rows in the order in which they changed.
func sortByVersion(rows []store.Row) {
	slices.SortStableFunc(rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
}
