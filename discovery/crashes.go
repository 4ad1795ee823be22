package discovery

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
	"github.com/wagtaildrum/wagtaildrum/retry"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// crashTable holds a row for each instance with the crashes that it knows of.
	crashTable = "crashes"
	// crashWatchWait is how long the store holds a watch of the table open. Instances
	// tell each other of crashes; the table serves those that start or were cut off.
	crashWatchWait = 30 * time.Second
	// maxRowCrashes bounds the crashes of a row, the latest of all.
	maxRowCrashes = 200
	// maxIncarnationName bounds the length of an incarnation's name in bytes.
	maxIncarnationName = 200
	// initialCrashBackoff and maxCrashBackoff bound the delay between attempts to write
	// the row, and maxCrashBackoff that between attempts to read the table.
	initialCrashBackoff = 100 * time.Millisecond
	maxCrashBackoff     = 2 * time.Second
)

// crashRow is the value of a row.
type crashRow struct {
	_ struct{} `cbor:",toarray"`
	// WrittenMillis is when the row was written, in milliseconds since 1970.
	WrittenMillis int64
	Crashes       []rowCrash
}

// rowCrash is a crash of a row. The ages are those at the time of writing.
type rowCrash struct {
	_             struct{} `cbor:",toarray"`
	Key           []byte
	Attempt       uint64
	Incarnation   string
	SentAgeMillis int64
	AgeMillis     int64
}

// encodeCrashes returns the value of a row written at now.
func encodeCrashes(reports []quarantine.Report, now time.Time) ([]byte, error) {
	row := crashRow{WrittenMillis: now.UnixMilli()}
	for _, report := range reports {
		row.Crashes = append(row.Crashes, rowCrash{Key: report.Key[:], Attempt: report.Attempt, Incarnation: report.Incarnation, SentAgeMillis: now.Sub(report.SentAt).Milliseconds(), AgeMillis: now.Sub(report.At).Milliseconds()})
	}
	return codec.Marshal(&row)
}

// decodeCrashes returns the crashes of a row read at now. Those with a field out of range
// are left out. The times of day of instances may differ by seconds, which matters little
// for how long a crash is remembered.
func decodeCrashes(value []byte, now time.Time) ([]quarantine.Report, error) {
	var row crashRow
	if err := codec.Unmarshal(value, &row); err != nil {
		return nil, eris.Wrap(err, "decode crashes")
	}
	since := min(max(now.UnixMilli()-row.WrittenMillis, 0), quarantine.Lifetime.Milliseconds())
	var reports []quarantine.Report
	for _, crash := range row.Crashes[:min(len(row.Crashes), maxRowCrashes)] {
		isValid := len(crash.Key) == len(quarantine.Key{}) && crash.Incarnation != "" && len(crash.Incarnation) <= maxIncarnationName && crash.AgeMillis >= 0 && crash.SentAgeMillis >= crash.AgeMillis && crash.SentAgeMillis < time.Hour.Milliseconds()
		if !isValid {
			continue
		}
		age := func(millis int64) time.Time { return now.Add(-time.Duration(millis+since) * time.Millisecond) }
		reports = append(reports, quarantine.Report{Key: quarantine.Key(crash.Key), Attempt: crash.Attempt, Incarnation: crash.Incarnation, State: quarantine.StateCrashed, SentAt: age(crash.SentAgeMillis), At: age(crash.AgeMillis)})
	}
	return reports, nil
}

// Crashes keeps the crashes that a guard knows of in the store, so that they outlive the
// instances, and reads those of other instances. Use NewCrashes.
type Crashes struct {
	guard *quarantine.Guard
	store store.Store
	key   store.Key
	clock clock.Clock
	log   *slog.Logger
	// version is the version of this instance's row, as far as is known; 0 for none.
	version uint64
}

// NewCrashes returns Crashes of guard, whose row is that of the named instance.
func NewCrashes(guard *quarantine.Guard, s store.Store, instance string, clk clock.Clock, log *slog.Logger) *Crashes {
	guard.UseStore()
	return &Crashes{guard: guard, store: s, key: store.Key{Table: crashTable, Name: store.Name(instance)}, clock: clk, log: log}
}

// Source returns the source that passes the rows of all instances on to the guard.
func (crashes *Crashes) Source() Source {
	apply := func(row store.Row) {
		if row.Removed {
			return
		}
		reports, err := decodeCrashes(row.Value, crashes.clock.Now())
		if err != nil {
			crashes.log.Error("crashes of another instance cannot be decoded; ignoring them", "row", row.Key.Name, "err", err)
			return
		}
		crashes.guard.Load(reports)
	}
	return Source{Table: crashTable, WatchTimeout: crashWatchWait, MaxBackoff: maxCrashBackoff, OnUnavailable: func() {}, OnAvailable: func() {}, Apply: apply, ReplaceAll: func(rows []store.Row) {
		for _, row := range rows {
			apply(row)
		}
		crashes.guard.Load(nil) // there may be no rows
	}}
}

// Run writes the row of this instance whenever an endpoint crashed under one of its
// requests, until ctx ends, then sends nil on done.
func (crashes *Crashes) Run(ctx context.Context, done chan<- error) {
	defer func() { done <- nil }()
	backoff := retry.Backoff{Initial: initialCrashBackoff, Max: maxCrashBackoff}
	for {
		select {
		case <-ctx.Done():
			return
		case <-crashes.guard.Changed():
		}
		for {
			err := crashes.keep(ctx)
			if err == nil {
				backoff = retry.Backoff{Initial: initialCrashBackoff, Max: maxCrashBackoff}
				break
			}
			crashes.log.Warn("crashes not written; retrying", "err", err)
			if !clock.Sleep(ctx, initialCrashBackoff/2+backoff.Next()) {
				return
			}
		}
	}
}

// keep writes the row, twice if its version was not known.
func (crashes *Crashes) keep(ctx context.Context) error {
	end := crashes.guard.StartKeeping()
	defer end()
	err := crashes.write(ctx)
	if store.Is(err, store.FailureConflict) {
		err = crashes.write(ctx)
	}
	return err
}

// write writes the row. A write without a response may be applied later, so each one is
// made conditional on the version that it replaces.
func (crashes *Crashes) write(ctx context.Context) error {
	value, err := encodeCrashes(crashes.guard.Crashes(maxRowCrashes), crashes.clock.Now())
	if err != nil {
		return err
	}
	version, err := crashes.store.Commit(ctx, store.Transaction{Conditions: []store.Condition{{Key: crashes.key, Version: crashes.version}}, Puts: []store.Put{{Key: crashes.key, Value: value}}})
	if err == nil {
		crashes.version = version
		return nil
	}
	row, readErr := store.Get(ctx, crashes.store, crashes.key)
	if readErr == nil {
		crashes.version = row.Version
	}
	return err
}
