// Package store defines the interface to the durable, transactional table
// store that all entry instances share: conditional transactions over rows,
// consistent reads, and a feed of changes. The package performs no input or
// output of its own; adapters implement Store.
package store
