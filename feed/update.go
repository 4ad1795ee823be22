package feed

import (
	"fmt"
	"time"

	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// MaxPollWait is how long a request for changes is held open if nothing
	// changes and the table is not confirmed either.
	MaxPollWait = 1400 * time.Millisecond
	// minPollWait is the shortest time after which a confirmation alone ends a
	// request. Since a request ends with the confirmation, the next instance
	// down the tree is confirmed at the same time.
	minPollWait = 450 * time.Millisecond
	// maxAge is the age from which the table of another instance counts as
	// outdated. A table in use is confirmed about once a second.
	maxAge = 2 * time.Second
)

// Update describes the state of a Replica and what changed in it after a version.
type Update struct {
	// Rows are the changed rows in order of version.
	Rows []store.Row
	// Version is the version up to which Rows is complete.
	Version uint64
	// Compacted is set if the changes after the given version are not known;
	// the full table must be read.
	Compacted bool
	// Loaded is unset until the table was read.
	Loaded bool
	// Failing is set while the table cannot be read.
	Failing bool
	// ConfirmedAt is when the replica was last known to be current.
	ConfirmedAt time.Time
	// RecoveredAt is when the table last became readable again; zero if it
	// always was.
	RecoveredAt time.Time
}

// IsDue reports whether to send update now in response to a request for changes
// that started at started, instead of waiting for more.
func (update Update) IsDue(started time.Time) bool {
	isCurrent := update.Loaded && !update.Failing && !update.Compacted
	return !isCurrent || len(update.Rows) > 0 || update.ConfirmedAt.Sub(started) >= minPollWait
}

// OutdatedReason returns why the table of another instance is not current at
// now, and "" if it is.
func (update Update) OutdatedReason(now time.Time) string {
	age := now.Sub(update.ConfirmedAt)
	switch {
	case !update.Loaded:
		return "table not read yet"
	case update.Failing:
		return "store unavailable"
	case age > maxAge:
		return fmt.Sprintf("table confirmed %v ago", age)
	}
	return ""
}
