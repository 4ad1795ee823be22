package store

import (
	"context"
	"time"
)

// Key names a row. Rows of one partition can be changed together at the
// least cost.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is a row as read. Version grows with each change anywhere in the
// store; it is 0 for a row that does not exist.
type Row struct {
	Key     Key
	Value   []byte
	Version uint64
	// Removed is set in a feed for a row that was deleted.
	Removed bool
}

// Condition requires a row to have a version; 0 requires that it is absent.
type Condition struct {
	Key     Key
	Version uint64
}

// Put writes a row.
type Put struct {
	Key   Key
	Value []byte
}

// Transaction is applied as a whole, if all its conditions hold, or not at
// all.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// partition returns the partition of the transaction's first row; those of
// this product have one.
func (tx *Transaction) partition() string {
	switch {
	case len(tx.Puts) > 0:
		return tx.Puts[0].Key.Partition
	case len(tx.Deletes) > 0:
		return tx.Deletes[0].Partition
	case len(tx.Conditions) > 0:
		return tx.Conditions[0].Key.Partition
	}
	return ""
}

// Page is an answer about rows.
type Page struct {
	Rows []Row
	// Version is the newest version in the store at the moment of reading.
	Version uint64
	// More is set if rows beyond these match.
	More bool
}

// Range selects rows of a partition: names from From (included) to To
// (excluded); an empty bound is open. Limit 0 means as many as an answer
// holds.
type Range struct {
	Table     string
	Partition string
	From, To  string
	Limit     int
}

// Store is the durable store. Every error is a *Error.
type Store interface {
	// Commit applies a transaction and returns its version.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
	// Read returns the rows of a range as of one moment.
	Read(ctx context.Context, r Range) (Page, error)
	// Watch returns the rows of a table changed after a version, in order,
	// waiting up to wait for the first.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// Get reads one row through s. A missing row has Version 0.
func Get(ctx context.Context, s Store, key Key) (Row, error) {
	page, err := s.Read(ctx, Range{Table: key.Table, Partition: key.Partition, From: key.Name, To: key.Name + "\x00", Limit: 1})
	if err != nil {
		return Row{}, err
	}
	if len(page.Rows) == 0 {
		return Row{Key: key}, nil
	}
	return page.Rows[0], nil
}
