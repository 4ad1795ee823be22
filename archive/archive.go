package archive

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/history"
	"github.com/wagtaildrum/wagtaildrum/retry"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	table = "turns"
	// partitions spread the turns, as those of package account spread the
	// programs, and apart from them.
	partitions = 48
	// rowShare of the largest row is used: a row's value may be counted in
	// its encoded form, a third longer.
	rowShare = 0.7
	// firstPause and maxPause are between tries to keep a turn while the
	// store does not take it.
	firstPause = 20 * time.Millisecond
	maxPause   = 200 * time.Millisecond
	// parallelReads bounds the reads of one chain at a time.
	parallelReads = 8
)

// UnknownTurnError is a turn that was never kept.
type UnknownTurnError struct {
	id string
}

// Error names the turn.
func (e *UnknownTurnError) Error() string { return "no turn " + e.id }

// TakenError is a turn whose ID another turn has.
type TakenError struct {
	id string
}

// Error names the turn.
func (e *TakenError) Error() string { return "turn " + e.id + " was kept with other content" }

// Archive keeps turns. It is safe for concurrent use.
type Archive struct {
	store    store.Store
	peers    Peers
	rowBytes int
	cache    *cache
	log      *slog.Logger

	kept, read, hits, retried, fetched, missed tally.Counter
}

// New returns an archive over s, whose rows hold rowBytes, with cacheBytes
// of memory for turns.
func New(s store.Store, peers Peers, rowBytes, cacheBytes int, log *slog.Logger, scope tally.Scope) *Archive {
	return &Archive{store: s, peers: peers, rowBytes: int(rowShare * float64(rowBytes)), cache: newCache(cacheBytes), log: log,
		kept: scope.Counter("turns_kept"), read: scope.Counter("turns_read"), hits: scope.Counter("turns_in_memory"), retried: scope.Counter("turn_write_retries"),
		fetched: scope.Counter("turns_fetched"), missed: scope.Counter("turn_fetches_missed")}
}

// Chain returns the turn of an ID and its ancestors, oldest first, if they are
// the organisation's; "" for none. It asks holder, an instance that may have
// them in memory, before it reads the store; "" if none is known. It returns an
// *UnknownTurnError if the store holds no such turn of the organisation, else
// the store's *store.Error.
func (archive *Archive) Chain(ctx context.Context, organisation, id, holder string) ([]*history.Turn, error) {
	archive.fetch(ctx, id, holder)
	last, err := archive.turn(ctx, id)
	if err != nil {
		return nil, err
	}
	if last.Organisation != organisation {
		return nil, &UnknownTurnError{id: id}
	}
	chain := make([]*history.Turn, len(last.Ancestors)+1)
	chain[len(last.Ancestors)] = last
	if err := archive.ancestors(ctx, last.Ancestors, chain); err != nil {
		return nil, err
	}
	return chain, nil
}

// ancestors reads the turns of ids into chain, several at a time.
func (archive *Archive) ancestors(ctx context.Context, ids []string, chain []*history.Turn) error {
	type result struct {
		at   int
		turn *history.Turn
		err  error
	}
	results := make(chan result, len(ids))
	places := make(chan struct{}, parallelReads)
	reading := 0
	for i, id := range ids {
		if turn := archive.cache.get(id); turn != nil {
			archive.hits.Inc(1)
			chain[i] = turn
			continue
		}
		reading++
		go func() {
			places <- struct{}{}
			defer func() { <-places }()
			turn, err := archive.turn(ctx, id)
			results <- result{at: i, turn: turn, err: err}
		}()
	}
	var first error
	for range reading {
		got := <-results
		if got.err != nil && first == nil {
			first = got.err
			if unknown, ok := first.(*UnknownTurnError); ok {
				// A turn is kept only after its ancestors: this is not the
				// caller's error.
				first = store.NewError(store.FailureInvalid, "read turn", "ancestor missing: "+unknown.id)
			}
		}
		chain[got.at] = got.turn
	}
	return first
}

func (archive *Archive) turn(ctx context.Context, id string) (*history.Turn, error) {
	if turn := archive.cache.get(id); turn != nil {
		archive.hits.Inc(1)
		return turn, nil
	}
	parts, err := archive.rows(ctx, id)
	if err != nil {
		return nil, err
	}
	if len(parts) == 0 {
		return nil, &UnknownTurnError{id: id}
	}
	turn, err := history.Decode(id, parts)
	if err != nil {
		return nil, store.NewError(store.FailureInvalid, "read turn", err.Error())
	}
	archive.read.Inc(1)
	archive.cache.put(turn)
	return turn, nil
}

// rows reads the values of a turn's rows, in order: those of the turn's own
// partition, else of its other one. That there are none is certain only if
// both were read.
func (archive *Archive) rows(ctx context.Context, id string) ([][]byte, error) {
	own, other := homes(id)
	parts, err := archive.rowsIn(ctx, own, id)
	if err == nil && len(parts) > 0 {
		return parts, nil
	}
	elsewhere, otherErr := archive.rowsIn(ctx, other, id)
	if otherErr != nil {
		return nil, otherErr
	}
	if len(elsewhere) > 0 {
		return elsewhere, nil
	}
	return nil, err
}

func (archive *Archive) rowsIn(ctx context.Context, partition, id string) ([][]byte, error) {
	var parts [][]byte
	from := rowName(id, 0)
	for {
		page, err := archive.store.Read(ctx, store.Range{Table: table, Partition: partition, From: from, To: rowEnd(id)})
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			if row.Key.Name == rowName(id, len(parts)) {
				parts = append(parts, row.Value)
			}
			from = row.Key.Name + " "
		}
		if !page.More || len(page.Rows) == 0 {
			return parts, nil
		}
	}
}

// Keep makes turn durable. It tries until ctx ends, since a turn that is
// not kept is lost to its caller: a try whose answer was lost may have been
// done, and doing it again changes nothing. It returns a *TakenError if the
// ID belongs to another turn, else the last error of the store.
func (archive *Archive) Keep(ctx context.Context, turn *history.Turn) error {
	parts, err := turn.Encode(archive.rowBytes)
	if err != nil {
		return err
	}
	backoff := retry.Backoff{First: firstPause, Most: maxPause}
	for {
		own, other := homes(turn.ID)
		err := archive.write(ctx, own, turn.ID, parts)
		if store.Unserved(err) {
			// A part of the partitions may be away while others are served.
			err = archive.write(ctx, other, turn.ID, parts)
		}
		if err == nil {
			archive.kept.Inc(1)
			archive.cache.put(turn)
			return nil
		}
		if store.Is(err, store.FailureConflict) {
			return archive.same(ctx, turn, parts)
		}
		if store.Is(err, store.FailureInvalid) {
			return err
		}
		archive.retried.Inc(1)
		if !clock.Sleep(ctx, firstPause/2+backoff.Next()) {
			return err
		}
	}
}

func (archive *Archive) write(ctx context.Context, partition, id string, parts [][]byte) error {
	tx := store.Transaction{Conditions: []store.Condition{{Key: store.Key{Table: table, Partition: partition, Name: rowName(id, 0)}}}}
	for i, part := range parts {
		tx.Puts = append(tx.Puts, store.Put{Key: store.Key{Table: table, Partition: partition, Name: rowName(id, i)}, Value: part})
	}
	_, err := archive.store.Commit(ctx, tx)
	return err
}

// same returns nil if the rows that stand are those of turn.
func (archive *Archive) same(ctx context.Context, turn *history.Turn, parts [][]byte) error {
	stand, err := archive.rows(ctx, turn.ID)
	if err != nil {
		return err
	}
	if !slices.EqualFunc(stand, parts, bytes.Equal) {
		return &TakenError{id: turn.ID}
	}
	archive.kept.Inc(1)
	archive.cache.put(turn)
	return nil
}

// homes returns the two partitions that may hold a turn: its own, and the
// one that it is kept in while its own is away.
func homes(id string) (own, other string) {
	hash := xxhash.Sum64String(id)
	at := hash % partitions
	step := 1 + hash/partitions%(partitions-1)
	return partitionName(at), partitionName((at + step) % partitions)
}

func partitionName(at uint64) string { return fmt.Sprintf("turn-%02d", at) }

// rowName returns the name of row i of a turn. The rows of a turn follow one
// another: '!' comes before all that a name may hold.
func rowName(id string, i int) string {
	if i == 0 {
		return store.Name(id)
	}
	return fmt.Sprintf("%s!%03d", store.Name(id), i)
}

// rowEnd returns the name after the last row of a turn.
func rowEnd(id string) string { return store.Name(id) + "!~" }
