// Package journal makes the turns of an entry instance's programs durable
// in the platform's store, many at a time: records of all its programs that
// are due together go out as one batch. The store takes several hundred
// writes a second, and a burst brings thousands of turns.
//
// Batches are written once under a name of their own and never changed.
// Each entry process has its own journal; another reads it when it takes a
// program over.
package journal
