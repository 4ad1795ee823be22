// Package storetest provides an in-memory store.Store for tests. It can inject
// the failures of a real store: rejected calls, lost responses, and writes that
// are applied late.
package storetest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/store"
)

// Memory is a store in memory. Its zero value is not usable; call New. The
// fields rows and log hold the current rows and the change history, compactedTo
// the version up to which the history was dropped, and lostCommits the
// transactions of requests lost by LoseRequest.
type Memory struct {
	mu          sync.Mutex
	rows        map[partitionKey]map[string]store.Row
	log         []store.Row
	compactedTo uint64
	version     uint64
	changed     chan struct{}
	fault       func(op, partition string) Fault
	commits     int
	lostCommits []store.Transaction
}

// partitionKey identifies a partition of a table.
type partitionKey struct{ table, partition string }

func partitionKeyOf(key store.Key) partitionKey {
	return partitionKey{table: key.Table, partition: key.Partition}
}

func (memory *Memory) row(key store.Key) (store.Row, bool) {
	row, ok := memory.rows[partitionKeyOf(key)][key.Name]
	return row, ok
}

func (memory *Memory) put(row store.Row) {
	partition := partitionKeyOf(row.Key)
	if memory.rows[partition] == nil {
		memory.rows[partition] = map[string]store.Row{}
	}
	memory.rows[partition][row.Key.Name] = row
}

// Fault is the treatment of one call.
type Fault int

// The faults that a test can inject.
const (
	// None serves the call.
	None Fault = iota
	// Refuse rejects the call with FailureRefused; nothing is done.
	Refuse
	// LoseResponse executes the call and fails it with FailureUnanswered.
	LoseResponse
	// LoseRequest fails the call with FailureUnanswered without executing it. A
	// transaction is kept and can be applied by ApplyLost.
	LoseRequest
)

// Limits of a page.
const (
	maxPageRows  = 500
	maxPageBytes = 1_000_000
)

// New returns an empty store that injects no faults.
func New() *Memory {
	return &Memory{rows: map[partitionKey]map[string]store.Row{}, changed: make(chan struct{}), fault: func(string, string) Fault { return None }}
}

// SetFault makes f decide the treatment of each call. Its op is "commit", "read"
// or "watch"; partition is empty for a watch.
func (memory *Memory) SetFault(f func(op, partition string) Fault) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.fault = f
}

// RandomFaults returns a function for SetFault that returns one of faults, chosen
// uniformly, with the probability share, and None otherwise.
func RandomFaults(rng *rand.Rand, share float64, faults ...Fault) func(string, string) Fault {
	var mu sync.Mutex
	return func(string, string) Fault {
		mu.Lock()
		defer mu.Unlock()
		if len(faults) == 0 || rng.Float64() >= share {
			return None
		}
		return faults[rng.IntN(len(faults))]
	}
}

// Commits returns the number of transactions applied.
func (memory *Memory) Commits() int {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.commits
}

// ApplyLost applies, in order, the transactions whose requests were lost, each
// only if its conditions hold now.
func (memory *Memory) ApplyLost() {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	for _, tx := range memory.lostCommits {
		_, _ = memory.apply(tx) // a transaction whose conditions fail has no effect
	}
	memory.lostCommits = nil
}

// Apply applies tx regardless of injected faults, as a writer does that doesn't
// use the instances' connections to the store.
func (memory *Memory) Apply(tx store.Transaction) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	_, err := memory.apply(tx)
	return err
}

// Compact drops the history of changes.
func (memory *Memory) Compact() {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.log, memory.compactedTo = nil, memory.version
	memory.notify()
}

// notify wakes pending watches. The caller holds mu.
func (memory *Memory) notify() {
	close(memory.changed)
	memory.changed = make(chan struct{})
}

// apply applies tx and returns its version. It fails with FailureConflict if a
// condition does not hold and with FailureInvalid if a put has no value or the
// transaction exceeds a limit of transactions. The caller holds mu.
func (memory *Memory) apply(tx store.Transaction) (uint64, error) {
	if tx.Entries() > store.MaxTransactionEntries || tx.Size() > store.MaxTransactionBytes {
		return 0, store.NewError(store.FailureInvalid, "commit", fmt.Sprintf("transaction too large: %d entries, %d bytes", tx.Entries(), tx.Size()))
	}
	var current []store.Row
	satisfied := true
	for _, put := range tx.Puts {
		if len(put.Value) == 0 {
			return 0, store.NewError(store.FailureInvalid, "commit", "row without a value")
		}
	}
	for _, condition := range tx.Conditions {
		row, _ := memory.row(condition.Key)
		row.Key = condition.Key
		current = append(current, row)
		satisfied = satisfied && row.Version == condition.Version
	}
	if !satisfied {
		return 0, store.NewConflict("commit", current)
	}
	memory.version++
	memory.commits++
	for _, put := range tx.Puts {
		row := store.Row{Key: put.Key, Value: slices.Clone(put.Value), Version: memory.version}
		memory.put(row)
		memory.log = append(memory.log, row)
	}
	for _, key := range tx.Deletes {
		if _, ok := memory.row(key); ok {
			delete(memory.rows[partitionKeyOf(key)], key.Name)
			memory.log = append(memory.log, store.Row{Key: key, Version: memory.version, Removed: true})
		}
	}
	memory.notify()
	return memory.version, nil
}

// Commit implements store.Store, subject to injected faults.
func (memory *Memory) Commit(_ context.Context, tx store.Transaction) (uint64, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	partition := ""
	if len(tx.Puts) > 0 {
		partition = tx.Puts[0].Key.Partition
	}
	switch memory.fault("commit", partition) {
	case Refuse:
		return 0, store.NewError(store.FailureRefused, "commit", "test")
	case LoseRequest:
		memory.lostCommits = append(memory.lostCommits, tx)
		return 0, store.NewError(store.FailureUnanswered, "commit", "test")
	case LoseResponse:
		_, _ = memory.apply(tx) // the response is lost, with it any error
		return 0, store.NewError(store.FailureUnanswered, "commit", "test")
	}
	return memory.apply(tx)
}

// Read implements store.Store, subject to injected faults.
func (memory *Memory) Read(_ context.Context, r store.Range) (store.Page, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	switch memory.fault("read", r.Partition) {
	case Refuse:
		return store.Page{}, store.NewError(store.FailureRefused, "read", "test")
	case LoseResponse, LoseRequest:
		return store.Page{}, store.NewError(store.FailureUnanswered, "read", "test")
	}
	page := store.Page{Version: memory.version}
	for name, row := range memory.rows[partitionKey{table: r.Table, partition: r.Partition}] {
		if name >= r.From && (r.To == "" || name < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b store.Row) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	if n := pageRows(page.Rows, r.Limit); n < len(page.Rows) {
		page.Rows, page.More = page.Rows[:n], true
	}
	return page, nil
}

// pageRows returns how many of rows fit into a page, and at least one if there are
// any. A limit of 0 is that of the store.
func pageRows(rows []store.Row, limit int) int {
	size := 0
	for n, row := range rows {
		put := store.Put{Key: row.Key, Value: row.Value}
		size += put.Size()
		if n > 0 && size > maxPageBytes || n == maxPageRows || limit > 0 && n == limit {
			return n
		}
	}
	return len(rows)
}

// Watch implements store.Store, subject to injected faults.
func (memory *Memory) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (store.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := memory.changes(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return store.Page{}, store.NewError(store.FailureUnanswered, "watch", ctx.Err().Error())
		case <-timer.C:
			return page, nil
		case <-changed:
		}
	}
}

// changes returns the changes of a table after a version, and a channel that is
// closed at the next change.
func (memory *Memory) changes(table string, after uint64) (store.Page, <-chan struct{}, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	switch memory.fault("watch", "") {
	case Refuse:
		return store.Page{}, nil, store.NewError(store.FailureRefused, "watch", "test")
	case LoseResponse, LoseRequest:
		return store.Page{}, nil, store.NewError(store.FailureUnanswered, "watch", "test")
	}
	if after < memory.compactedTo {
		return store.Page{}, nil, store.NewError(store.FailureCompacted, "watch", "test")
	}
	page := store.Page{Version: memory.version}
	for _, row := range memory.log {
		if row.Version > after && row.Key.Table == table {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, memory.changed, nil
}
