// Package journal makes the turns of an entry instance's programs durable in the
// platform's store. A Writer collects the records of all programs that are due
// at the same time and writes them as one batch, because the store accepts
// several hundred writes a second while a burst brings thousands of turns.
//
// Each batch is written once under a unique name and never changed. Each entry
// process has its own journal. Another process reads it with a Reader when it
// takes over a program.
//
// A full record is a checkpoint record that holds all of a program's state; it
// replaces the program's earlier records (see program.Checkpoint.Whole).
package journal
