package store

import (
	"context"
	"encoding/base64"
	"time"
)

// Key identifies a row. Transactions over rows of one partition cost the
// least.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is a row as read from the store. Version increases with every change
// anywhere in the store; it is 0 for a row that does not exist.
type Row struct {
	Key     Key
	Value   []byte
	Version uint64
	// Removed is set, in results of Watch, for a row that was deleted.
	Removed bool
}

// Condition requires that a row has the given version; version 0 requires that
// the row does not exist.
type Condition struct {
	Key     Key
	Version uint64
}

// Put writes a value to a row.
type Put struct {
	Key   Key
	Value []byte
}

// Transaction is a set of writes that is applied completely if all its
// conditions hold, and not at all otherwise.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// Limits of a transaction. A store rejects a larger one with FailureInvalid.
const (
	// MaxTransactionEntries bounds the number of conditions, puts and deletes.
	MaxTransactionEntries = 100
	// MaxTransactionBytes bounds the encoded size, as returned by Size.
	MaxTransactionBytes = 1_000_000
)

// entryBytes is the size of an entry of an encoded transaction, or of a row of a
// page, beside its names and its value.
const entryBytes = 80

// Entries returns the number of conditions, puts and deletes of the transaction.
func (tx *Transaction) Entries() int { return len(tx.Conditions) + len(tx.Puts) + len(tx.Deletes) }

// Size returns an upper bound of the encoded size of the transaction, in bytes.
// Values are encoded in base64.
func (tx *Transaction) Size() int {
	size := entryBytes
	for _, condition := range tx.Conditions {
		size += condition.Key.size()
	}
	for _, put := range tx.Puts {
		size += put.Size()
	}
	for _, key := range tx.Deletes {
		size += key.size()
	}
	return size
}

// Size returns an upper bound of what the put adds to the encoded size of a
// transaction, in bytes.
func (put *Put) Size() int { return put.Key.size() + base64.StdEncoding.EncodedLen(len(put.Value)) }

// size returns an upper bound of the encoded size of an entry with the key and
// without a value.
func (key *Key) size() int { return entryBytes + len(key.Table) + len(key.Partition) + len(key.Name) }

// firstKey returns the key of the first row of the transaction, and the zero Key
// if it has none.
func (tx *Transaction) firstKey() Key {
	switch {
	case len(tx.Puts) > 0:
		return tx.Puts[0].Key
	case len(tx.Deletes) > 0:
		return tx.Deletes[0]
	case len(tx.Conditions) > 0:
		return tx.Conditions[0].Key
	}
	return Key{}
}

// partition returns the partition of the first row of the transaction. All
// transactions of this project stay within one partition.
func (tx *Transaction) partition() string { return tx.firstKey().Partition }

// Table returns the table of the first row of the transaction.
func (tx *Transaction) Table() string { return tx.firstKey().Table }

// Page is the result of Read or Watch.
type Page struct {
	Rows []Row
	// Version is the latest version of the store at the time of the read.
	Version uint64
	// More is set if further rows match.
	More bool
	// Age is how long ago the page was known to be current; 0 if it comes from
	// the store itself.
	Age time.Duration
}

// Range selects rows of one partition by name, from From (inclusive) to To
// (exclusive); an empty bound is open. A Limit of 0 returns as many rows as fit
// into a response.
type Range struct {
	Table     string
	Partition string
	From, To  string
	Limit     int
}

// Store is the durable store. All errors are of type *Error.
type Store interface {
	// Commit applies a transaction and returns its version. It fails with
	// FailureConflict if a condition does not hold.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
	Reader
}

// Reader reads tables. All errors are of type *Error.
type Reader interface {
	// Read returns the rows of a range from one consistent snapshot.
	Read(ctx context.Context, r Range) (Page, error)
	// Watch returns the rows of a table changed after a version, in order. If
	// there are none, it waits up to wait for the first, then returns an empty
	// page. It fails with FailureCompacted if the history no longer reaches back
	// to after.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// Get reads one row from s. A missing row has Version 0.
func Get(ctx context.Context, s Reader, key Key) (Row, error) {
	page, err := s.Read(ctx, Range{Table: key.Table, Partition: key.Partition, From: key.Name, To: key.Name + "\x00", Limit: 1})
	if err != nil {
		return Row{}, err
	}
	if len(page.Rows) == 0 {
		return Row{Key: key}, nil
	}
	return page.Rows[0], nil
}
