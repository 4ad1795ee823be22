package journal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/wagtaildrum/wagtaildrum/program"
)

// Record is one checkpoint record of one program. Epoch is the lease version at
// which the owner acquired the program: the records of a later epoch replace
// those of an earlier one.
type Record struct {
	Program    program.ID         `json:"program"`
	Epoch      uint64             `json:"epoch"`
	Checkpoint program.Checkpoint `json:"checkpoint"`
	// Urgent reports whether the record is written without waiting for the end
	// of the current interval.
	Urgent bool `json:"-"`
}

// Batch holds the records that are written together.
type Batch struct {
	Records []Record `json:"records"`
}

// keyPrefix returns the prefix of the keys of all batches of journal.
func keyPrefix(journal string) string { return "journal/" + journal + "/" }

// batchKey returns the key of the batch number of journal, in the table service
// and in the object store alike.
func batchKey(journal string, number uint64) string {
	return fmt.Sprintf("%s%012d", keyPrefix(journal), number)
}

// NameError is returned for a key below the prefix of a journal that is not the
// key of a batch.
type NameError struct{ name string }

// Error returns the key.
func (e *NameError) Error() string {
	return fmt.Sprintf("journal: %q is not the key of a batch", e.name)
}

// parseBatchKey returns the number of the batch of journal with key name. It
// returns a *NameError if name is not such a key.
func parseBatchKey(journal, name string) (uint64, error) {
	text, ok := strings.CutPrefix(name, keyPrefix(journal))
	if !ok {
		return 0, &NameError{name: name}
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &NameError{name: name}
	}
	return n, nil
}
