package archive

import (
	"bytes"
	"context"
	"errors"

	"github.com/wagtaildrum/wagtaildrum/store"
)

// writer writes the rows of one turn to one partition. All rows become visible with
// the first one, since readers ignore the others without it.
//
// Rows that fit into one transaction are written by one. Of a larger turn, the last
// rows are staged by earlier transactions, and the final one, which writes the first
// row, requires that they are still as they were staged. An abandoned writer leaves
// rows that nobody reads; another one of the same turn uses them, and one of another
// turn replaces them. A transaction that is applied late fails, or stages rows that a
// writer replaces.
type writer struct {
	store         store.Store
	id, partition string
	values        [][]byte
	// lead is the number of rows that the final transaction writes.
	lead int
	// versions are the versions of the rows as last seen, 0 for a row that doesn't
	// exist, and staged tells which rows have their value at that version.
	versions []uint64
	staged   []bool
}

// maxTransactions bounds the transactions of one attempt. The largest turn takes
// eight, and each may have to replace rows of other writers.
const maxTransactions = 32

// newWriter returns a writer of the rows values of the turn id.
func newWriter(s store.Store, id, partition string, values [][]byte) *writer {
	w := &writer{store: s, id: id, partition: partition, values: values, lead: len(values), versions: make([]uint64, len(values)), staged: make([]bool, len(values))}
	if len(values) == 1 {
		return w
	}
	if tx := w.final(); fits(&tx) {
		return w
	}
	// As few rows as possible are staged: each row that the final transaction puts
	// makes it larger.
	w.lead = 1
	for w.lead < len(values) {
		w.lead++
		if tx := w.final(); !fits(&tx) {
			w.lead--
			break
		}
	}
	return w
}

// fits reports whether the store accepts a transaction of that size.
func fits(tx *store.Transaction) bool {
	return tx.Entries() <= store.MaxTransactionEntries && tx.Size() <= store.MaxTransactionBytes
}

// write makes the turn visible in the partition. It fails with store.FailureConflict
// if the partition already has a turn with this ID. It can be repeated, and then
// continues where it failed.
func (w *writer) write(ctx context.Context) error {
	for range maxTransactions {
		tx, staging := w.next()
		version, err := w.store.Commit(ctx, tx)
		switch {
		case err == nil && len(staging) == 0:
			return nil
		case err == nil:
			for _, i := range staging {
				w.versions[i], w.staged[i] = version, true
			}
		case w.lead == len(w.values) || !store.Is(err, store.FailureConflict):
			return err
		default:
			if exists := w.update(&tx, err); exists {
				return err
			}
		}
	}
	return store.NewError(store.FailureRefused, "commit", "other writers keep replacing the rows of the turn")
}

// next returns the next transaction and the rows that it stages, none for the final
// one.
func (w *writer) next() (store.Transaction, []int) {
	if w.lead == len(w.values) {
		return w.final(), nil
	}
	tx := store.Transaction{Conditions: []store.Condition{w.condition(0)}}
	var staging []int
	for i := w.lead; i < len(w.values); i++ {
		if w.staged[i] {
			continue
		}
		larger := tx
		larger.Conditions, larger.Puts = append(tx.Conditions, w.condition(i)), append(tx.Puts, w.put(i))
		if !fits(&larger) {
			break
		}
		tx, staging = larger, append(staging, i)
	}
	if len(staging) == 0 {
		return w.final(), nil
	}
	return tx, staging
}

// final returns the transaction that makes the turn visible.
func (w *writer) final() store.Transaction {
	tx := store.Transaction{Conditions: []store.Condition{w.condition(0)}}
	for i := range w.values {
		if i < w.lead {
			tx.Puts = append(tx.Puts, w.put(i))
		} else {
			tx.Conditions = append(tx.Conditions, w.condition(i))
		}
	}
	return tx
}

func (w *writer) key(i int) store.Key {
	return store.Key{Table: table, Partition: w.partition, Name: rowName(w.id, i)}
}

func (w *writer) put(i int) store.Put { return store.Put{Key: w.key(i), Value: w.values[i]} }

// condition requires that row i is as last seen; the first row must not exist.
func (w *writer) condition(i int) store.Condition {
	return store.Condition{Key: w.key(i), Version: w.versions[i]}
}

// update records the rows in the conditions of tx, which failed with conflict. It
// reports whether the first row exists, and thereby a turn with this ID.
func (w *writer) update(tx *store.Transaction, conflict error) bool {
	var failure *store.Error
	errors.As(conflict, &failure)
	current := map[store.Key]store.Row{}
	for _, row := range failure.Rows() {
		current[row.Key] = row
	}
	if current[w.key(0)].Version != 0 {
		return true
	}
	checked := map[store.Key]bool{}
	for _, condition := range tx.Conditions {
		checked[condition.Key] = true
	}
	for i := w.lead; i < len(w.values); i++ {
		key := w.key(i)
		if checked[key] {
			w.versions[i] = current[key].Version
			w.staged[i] = w.versions[i] != 0 && bytes.Equal(current[key].Value, w.values[i])
		}
	}
	return false
}
