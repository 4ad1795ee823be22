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
	// maxRemovals bounds the removed rows that a Copy remembers. An instance
	// that has missed more of them reads the full table again.
	maxRemovals = 4096
	// confirmInterval is the minimum interval at which waiting readers are told
	// that the copy is current although nothing has changed.
	confirmInterval = 500 * time.Millisecond
)

// Copy holds the rows of a table as this instance last read them, for the
// instances that read the table from this one. It is safe for concurrent use.
// Use NewCopy.
type Copy struct {
	clock clock.Clock
	// same reports whether two values of a row have the same meaning.
	same func(a, b []byte) bool

	mu     sync.Mutex
	loaded bool
	rows   map[store.Key]store.Row
	// removals holds the rows removed last, in order of version.
	removals []store.Row
	// version is the version of the store up to which the copy is complete.
	// Changes up to the version floor are not known any more.
	version, floor uint64
	// confirmedAt is when the copy was last known to be current.
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

// NewCopy returns a Copy that holds no rows. A changed row whose value is the
// same as before, according to same, is not passed on; without same, values are
// compared byte by byte.
func NewCopy(same func(a, b []byte) bool, clk clock.Clock) *Copy {
	if same == nil {
		same = bytes.Equal
	}
	return &Copy{clock: clk, same: same, rows: map[store.Key]store.Row{}, changed: make(chan struct{})}
}

// All returns all rows and the state of the copy.
func (table *Copy) All() Update {
	table.mu.Lock()
	defer table.mu.Unlock()
	update := table.update()
	for _, row := range table.rows {
		update.Rows = append(update.Rows, row)
	}
	sortByVersion(update.Rows)
	return update
}

// Since returns the rows that changed after a version and the state of the copy,
// and a channel that is closed when either has changed.
func (table *Copy) Since(after uint64) (Update, <-chan struct{}) {
	table.mu.Lock()
	defer table.mu.Unlock()
	update := table.update()
	update.Compacted = after < table.floor
	if update.Compacted || after >= table.version {
		return update, table.changed
	}
	for _, row := range table.rows {
		if row.Version > after {
			update.Rows = append(update.Rows, row)
		}
	}
	for _, row := range table.removals {
		if row.Version > after {
			update.Rows = append(update.Rows, row)
		}
	}
	sortByVersion(update.Rows)
	return update, table.changed
}

// update returns an Update without rows. The caller holds mu.
func (table *Copy) update() Update {
	return Update{Version: table.version, Loaded: table.loaded, Failing: table.failing, ConfirmedAt: table.confirmedAt, RecoveredAt: table.recoveredAt}
}

// Replace records the complete table, read at version, and that it was current
// at confirmedAt. Readers of the copy receive the differences as changes.
func (table *Copy) Replace(rows []store.Row, version uint64, confirmedAt time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if !table.loaded {
		table.floor = version
	}
	present := make(map[store.Key]bool, len(rows))
	significant := !table.loaded
	for _, row := range rows {
		present[row.Key] = true
		significant = table.put(row) || significant
	}
	for key := range table.rows {
		if !present[key] {
			significant = table.remove(store.Row{Key: key, Version: max(version, table.version), Removed: true}) || significant
		}
	}
	table.loaded = true
	table.confirm(version, confirmedAt, significant)
}

// Apply records changed rows, complete up to version, and that the table was
// current at confirmedAt. It returns the rows whose meaning changed, in order.
func (table *Copy) Apply(rows []store.Row, version uint64, confirmedAt time.Time) []store.Row {
	table.mu.Lock()
	defer table.mu.Unlock()
	var changed []store.Row
	for _, row := range rows {
		if row.Removed && table.remove(row) || !row.Removed && table.put(row) {
			changed = append(changed, row)
		}
	}
	table.confirm(version, confirmedAt, len(changed) > 0)
	return changed
}

// put records a row and reports whether its meaning changed. The caller holds
// mu.
func (table *Copy) put(row store.Row) bool {
	previous, ok := table.rows[row.Key]
	if ok && (row.Version <= previous.Version || table.same(previous.Value, row.Value)) {
		return false
	}
	if !ok && table.removedSince(row) {
		return false
	}
	row.Removed = false
	table.rows[row.Key] = row
	return true
}

// removedSince reports whether the removal of a row is known that is later than
// the given version of it. The caller holds mu.
func (table *Copy) removedSince(row store.Row) bool {
	if row.Version > table.version {
		return false
	}
	return slices.ContainsFunc(table.removals, func(removal store.Row) bool { return removal.Key == row.Key && removal.Version >= row.Version })
}

// remove records the removal of a row and reports whether the copy held it. The
// caller holds mu.
func (table *Copy) remove(removal store.Row) bool {
	previous, ok := table.rows[removal.Key]
	if !ok || removal.Version < previous.Version {
		return false
	}
	delete(table.rows, removal.Key)
	removal.Value = nil
	table.removals = append(table.removals, removal)
	if excess := len(table.removals) - maxRemovals; excess > 0 {
		table.floor = max(table.floor, table.removals[excess-1].Version)
		table.removals = slices.Delete(table.removals, 0, excess)
	}
	return true
}

// confirm records that the copy is complete up to version and was current at
// confirmedAt. It wakes the waiting readers after a significant change, and
// otherwise once each confirmInterval. The caller holds mu.
func (table *Copy) confirm(version uint64, confirmedAt time.Time, significant bool) {
	now := table.clock.Now()
	table.version = max(table.version, version)
	if confirmedAt.After(table.confirmedAt) {
		table.confirmedAt = confirmedAt
	}
	if table.failing {
		table.failing, table.recoveredAt, significant = false, now, true
	}
	if significant || now.Sub(table.notifiedAt) >= confirmInterval {
		table.notify(now)
	}
}

// SetFailing records that the table cannot be read at the moment.
func (table *Copy) SetFailing() {
	table.mu.Lock()
	defer table.mu.Unlock()
	if !table.failing {
		table.failing = true
		table.notify(table.clock.Now())
	}
}

// ConfirmedAt returns when the copy was last known to be current.
func (table *Copy) ConfirmedAt() time.Time {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.confirmedAt
}

// notify wakes the waiting readers. The caller holds mu.
func (table *Copy) notify(now time.Time) {
	close(table.changed)
	table.changed, table.notifiedAt = make(chan struct{}), now
}

// sortByVersion sorts rows in the order in which they changed.
func sortByVersion(rows []store.Row) {
	slices.SortStableFunc(rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
}
