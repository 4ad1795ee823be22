package archive

import (
	"bytes"
	"context"
	"errors"
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
	// table is the table of all turns.
	table = "turns"
	// partitions is the number of partitions that turns are spread over. They
	// are separate from the partitions of package account, which spread the
	// programs in the same way.
	partitions = 48
	// maxRowFill is the used fraction of the maximum row size: the store may
	// count the encoded form of a value, which is a third longer.
	maxRowFill = 0.7
	// initialWriteDelay and maxWriteDelay are the initial and the maximum
	// backoff between attempts to write a turn while the store doesn't accept
	// it.
	initialWriteDelay = 20 * time.Millisecond
	maxWriteDelay     = 200 * time.Millisecond
	// parallelReads is the maximum number of concurrent reads for one chain.
	parallelReads = 8
)

// TurnConflictError is returned for a turn whose ID another turn already has.
type TurnConflictError struct {
	id string
}

// Error returns a message with the ID of the turn.
func (e *TurnConflictError) Error() string {
	return "turn " + e.id + " was already stored with different content"
}

// Archive stores and reads turns. It is safe for concurrent use.
type Archive struct {
	store    store.Store
	peers    Peers
	rowBytes int
	cache    *cache
	work     *work
	log      *slog.Logger

	kept, read, hits, retried, fetched, missed tally.Counter
}

// New returns an Archive over s, whose rows hold up to rowBytes, with cacheBytes for a cache and
// for calls to s in progress. It fetches turns from peers before it reads s.
func New(s store.Store, peers Peers, rowBytes, cacheBytes int, log *slog.Logger, scope tally.Scope) *Archive {
	cache := newCache(int64(cacheBytes))
	cache.sizeGauge, cache.lentGauge = scope.Gauge("turn_cache_bytes"), scope.Gauge("turn_call_bytes")
	work := newWork(cache)
	return &Archive{store: &boundedStore{Store: s, work: work}, peers: peers, rowBytes: int(maxRowFill * float64(rowBytes)), cache: cache, work: work, log: log,
		kept: scope.Counter("turns_kept"), read: scope.Counter("turns_read"), hits: scope.Counter("turns_in_memory"), retried: scope.Counter("turn_write_retries"),
		fetched: scope.Counter("turns_fetched"), missed: scope.Counter("turn_fetches_missed")}
}

// Chain returns the turn id and its ancestors, oldest first, if the turn belongs
// to organisation, which is empty for callers without one. Unless the turn is
// cached, Chain first requests the turns from the instance holder, which may
// have them in memory and is empty if unknown, and reads the remaining ones from
// the store. It reserves memory for the turns before it reads them, or before it decodes the
// first of them, whose size is not known. Chain returns an *UnknownTurnError if the store holds no
// such turn of the organisation, a *ReadError if reading fails, and the error of memory.
func (archive *Archive) Chain(ctx context.Context, organisation, id, holder string, memory Memory) ([]*history.Turn, error) {
	fetched := archive.fetch(ctx, id, holder)
	chain, err := archive.chain(ctx, organisation, id, memory)
	if lookup := FailedLookup(err); lookup != nil {
		lookup.peer = fetched
	}
	return chain, err
}

// chain returns the turn id and its ancestors from the cache and the store.
func (archive *Archive) chain(ctx context.Context, organisation, id string, memory Memory) ([]*history.Turn, error) {
	reserved := &chainMemory{memory: memory}
	for {
		chain, err := archive.chainWithin(ctx, organisation, id, reserved)
		var noRoom *noRoomError
		if !errors.As(err, &noRoom) {
			return chain, err
		}
		if err := reserved.await(ctx, noRoom.needed); err != nil {
			return nil, err
		}
	}
}

// chainWithin is chain for a conversation that may need more memory than there is at the moment. It
// then returns a *noRoomError.
func (archive *Archive) chainWithin(ctx context.Context, organisation, id string, memory *chainMemory) ([]*history.Turn, error) {
	last, err := archive.turn(ctx, id, memory)
	if err != nil {
		return nil, err
	}
	if last.Organisation != organisation {
		return nil, &UnknownTurnError{lookup: &Lookup{turn: id, result: ResultOtherOrganisation}}
	}
	if err := memory.expect(last.AncestorBytes); err != nil {
		return nil, err
	}
	chain := make([]*history.Turn, len(last.Ancestors)+1)
	chain[len(last.Ancestors)] = last
	if err := archive.ancestors(ctx, last, chain, memory); err != nil {
		return nil, err
	}
	return chain, nil
}

// ancestors sets chain[i] to the ancestor i of last for all its ancestors, reading
// up to parallelReads turns at a time. It returns the first error.
func (archive *Archive) ancestors(ctx context.Context, last *history.Turn, chain []*history.Turn, memory *chainMemory) error {
	type result struct {
		index int
		turn  *history.Turn
		err   error
	}
	results := make(chan result, len(last.Ancestors))
	slots := make(chan struct{}, parallelReads)
	pending := 0
	var firstErr error
	for i, id := range last.Ancestors {
		if turn := archive.cached(id); turn != nil {
			if err := memory.use(turn.Memory()); err != nil {
				firstErr = err
				break
			}
			chain[i] = turn
			continue
		}
		pending++
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			turn, err := archive.turn(ctx, id, memory)
			results <- result{index: i, turn: turn, err: err}
		}()
	}
	for range pending {
		got := <-results
		if got.err != nil && firstErr == nil {
			firstErr = got.err
			lookup := FailedLookup(firstErr)
			if lookup == nil {
				continue // there is no room
			}
			lookup.descendant = last.ID
			if lookup.result == ResultNotStored {
				// A turn is written only after its ancestors, so a missing
				// ancestor is a fault of the stored data, not of the caller.
				firstErr = &ReadError{lookup: lookup, cause: store.NewError(store.FailureInvalid, "read turn", "ancestor missing: "+lookup.turn)}
			}
		}
		chain[got.index] = got.turn
	}
	return firstErr
}

// cached returns a turn from the cache, nil if it isn't there.
func (archive *Archive) cached(id string) *history.Turn {
	turn := archive.cache.get(id)
	if turn != nil {
		archive.hits.Inc(1)
	}
	return turn
}

// turn returns a turn from the cache or the store. It returns an
// *UnknownTurnError if the store has no rows of the turn, a *ReadError if
// reading or decoding them fails, and a *noRoomError if there is no memory for it at the moment.
func (archive *Archive) turn(ctx context.Context, id string, memory *chainMemory) (*history.Turn, error) {
	if turn := archive.cached(id); turn != nil {
		return turn, memory.use(turn.Memory())
	}
	var turn *history.Turn
	result, decoded := ResultUnread, int64(0)
	reads, err := archive.withRows(ctx, id, func(rows [][]byte) (err error) {
		if len(rows) == 0 {
			result = ResultNotStored
			return nil
		}
		result = ResultInvalid
		turn, err = history.DecodeWithin(id, rows, func(size int64) error {
			decoded = size
			return memory.use(size)
		})
		return err
	})
	var noRoom *noRoomError
	switch {
	case errors.As(err, &noRoom):
		return nil, err
	case err != nil && result == ResultInvalid:
		err = store.NewError(store.FailureInvalid, "read turn", err.Error())
		fallthrough
	case err != nil:
		return nil, &ReadError{lookup: &Lookup{turn: id, result: result, reads: reads}, cause: err}
	case turn == nil:
		return nil, &UnknownTurnError{lookup: &Lookup{turn: id, result: ResultNotStored, reads: reads}}
	}
	if err := memory.use(turn.Memory() - decoded); err != nil {
		return nil, err
	}
	archive.read.Inc(1)
	archive.cache.put(turn)
	return turn, nil
}

// withRows calls use with the values of a turn's rows, in order, from its primary partition or
// else from its secondary one. The rows are within the memory for calls until use returns. It
// returns the outcome of each read, and the error of use. It calls use with no rows only if it
// read both partitions.
func (archive *Archive) withRows(ctx context.Context, id string, use func(rows [][]byte) error) ([]partitionRead, error) {
	primary, secondary := turnPartitions(id)
	values, release, err := archive.rowsIn(ctx, primary, id)
	reads := []partitionRead{{partition: primary, rows: len(values), err: err}}
	if err == nil && len(values) > 0 {
		defer release()
		return reads, use(values)
	}
	secondaryValues, release, secondaryErr := archive.rowsIn(ctx, secondary, id)
	reads = append(reads, partitionRead{partition: secondary, rows: len(secondaryValues), err: secondaryErr})
	if secondaryErr != nil {
		return reads, secondaryErr
	}
	if len(secondaryValues) > 0 {
		defer release()
		return reads, use(secondaryValues)
	}
	if err != nil {
		return reads, err
	}
	return reads, use(nil)
}

// rowsIn returns the values of a turn's rows in one partition, in order. It returns
// none if the first row is missing, and ignores rows beyond those that the first row
// counts, since a writer may have abandoned them. If there are any, the caller must call release.
func (archive *Archive) rowsIn(ctx context.Context, partition, id string) (values [][]byte, release func(), err error) {
	// The first row is read alone, since only it tells how much memory the others take.
	release, err = archive.work.acquire(ctx, archive.readMemory(1))
	if err != nil {
		return nil, nil, err
	}
	page, err := archive.store.Read(ctx, store.Range{Table: table, Partition: partition, From: rowName(id, 0), To: rowEnd(id), Limit: 1})
	if err != nil || len(page.Rows) == 0 || page.Rows[0].Key.Name != rowName(id, 0) {
		release()
		return nil, nil, err
	}
	values = append(values, page.Rows[0].Value)
	count := history.RowCount(values[0])
	if count <= 1 || !page.More {
		return values, release, nil
	}
	release()
	if release, err = archive.work.acquire(ctx, archive.readMemory(count)); err != nil {
		return nil, nil, err
	}
	if values, err = archive.furtherRows(ctx, partition, id, values); err != nil {
		release()
		return nil, nil, err
	}
	return values, release, nil
}

// readMemory returns the memory that reading count rows takes at most, in bytes.
func (archive *Archive) readMemory(count int) int64 {
	values := int64(count) * int64(archive.rowBytes)
	return values + messageCopies*min(2*values, maxPageBytes) // as text, values are a third longer
}

// furtherRows returns the values of all rows of a turn, of which values has the first.
func (archive *Archive) furtherRows(ctx context.Context, partition, id string, values [][]byte) ([][]byte, error) {
	from := rowName(id, 0) + " "
	for {
		page, err := archive.store.Read(ctx, store.Range{Table: table, Partition: partition, From: from, To: rowEnd(id), Limit: history.RowCount(values[0])})
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			if row.Key.Name == rowName(id, len(values)) {
				values = append(values, row.Value)
			}
			if len(values) == history.RowCount(values[0]) {
				return values, nil
			}
			from = row.Key.Name + " "
		}
		if !page.More || len(page.Rows) == 0 {
			return values, nil
		}
	}
}

// CheckInput returns a *history.TooLargeError if a turn with the given input is too
// large to be stored.
func (archive *Archive) CheckInput(id string, input []byte) error {
	return history.CheckInput(id, input, archive.rowBytes)
}

// Save makes turn durable. It retries until ctx ends, since a turn that isn't
// stored is lost to its caller. Retries are idempotent: an attempt whose response
// was lost may have been applied. Save returns a *history.TooLargeError if the turn
// doesn't fit, and otherwise a *SaveError: its cause is a *TurnConflictError if the
// ID belongs to another turn, or the last error of the store.
func (archive *Archive) Save(ctx context.Context, turn *history.Turn) error {
	values, err := turn.Encode(archive.rowBytes)
	if err != nil {
		return err
	}
	primary, secondary := turnPartitions(turn.ID)
	primaryWriter := newWriter(archive.store, turn.ID, primary, values)
	var secondaryWriter *writer
	backoff := retry.Backoff{Initial: initialWriteDelay, Max: maxWriteDelay}
	for attempt := 1; ; attempt++ {
		err := primaryWriter.write(ctx)
		if store.Unserved(err) {
			// Some partitions may be unavailable while others are served.
			if secondaryWriter == nil {
				secondaryWriter = newWriter(archive.store, turn.ID, secondary, values)
			}
			err = secondaryWriter.write(ctx)
		}
		isFinal := store.Is(err, store.FailureInvalid)
		if store.Is(err, store.FailureConflict) {
			err = archive.verifyStored(ctx, turn.ID, values)
			isFinal = !store.Unserved(err)
		}
		if err == nil {
			archive.kept.Inc(1)
			archive.cache.put(turn)
			return nil
		}
		if !isFinal {
			archive.retried.Inc(1)
			isFinal = !clock.Sleep(ctx, initialWriteDelay/2+backoff.Next())
		}
		if isFinal {
			return &SaveError{id: turn.ID, attempts: attempt, primary: primary, secondary: secondary, cause: err}
		}
	}
}

// verifyStored returns nil if the stored rows of the turn id equal values, and a
// *TurnConflictError if they differ.
func (archive *Archive) verifyStored(ctx context.Context, id string, values [][]byte) error {
	_, err := archive.withRows(ctx, id, func(rows [][]byte) error {
		if !slices.EqualFunc(rows, values, bytes.Equal) {
			return &TurnConflictError{id: id}
		}
		return nil
	})
	return err
}

// turnPartitions returns the two partitions that may hold a turn: the primary
// one, and the secondary one, which is used while the primary is unavailable.
func turnPartitions(id string) (primary, secondary string) {
	hash := xxhash.Sum64String(id)
	index := hash % partitions
	step := 1 + hash/partitions%(partitions-1)
	return partitionName(index), partitionName((index + step) % partitions)
}

func partitionName(index uint64) string { return fmt.Sprintf("turn-%02d", index) }

// rowName returns the name of row i of a turn. All rows of a turn are adjacent in
// the store's order, since '!' sorts before all characters that names contain.
func rowName(id string, i int) string {
	if i == 0 {
		return store.Name(id)
	}
	return fmt.Sprintf("%s!%03d", store.Name(id), i)
}

// rowEnd returns a name after the names of all rows of a turn.
func rowEnd(id string) string { return store.Name(id) + "!~" }
