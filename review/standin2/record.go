//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the account of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

// newRecord returns a record that is written to file.
func newRecord(file *os.File) *record {
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}
}

// add adds a line with the time since the start.
func (record *record) add(format string, args ...any) {
	record.addAt(time.Now(), format, args...)
}

// addAt adds a line about something at the given time.
func (record *record) addAt(at time.Time, format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	_, _ = fmt.Fprintf(record.out, "%8.3f  "+format+"\n", append([]any{at.Sub(record.started).Seconds()}, args...)...)
}

// close writes what is buffered.
func (record *record) close() error {
	record.mu.Lock()
	defer record.mu.Unlock()
	if err := record.out.Flush(); err != nil {
		return err
	}
	return record.file.Close()
}
