// Package store says what the product needs of the durable, transactional
// table store that all entry instances share: conditional transactions over
// rows, reads as of one moment, and a feed of changes. It does no input or
// output; an adapter implements Store.
package store
