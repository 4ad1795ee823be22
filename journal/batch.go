package journal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/wagtaildrum/wagtaildrum/program"
)

// Record is one checkpoint record of one program. Epoch is the lease
// version at which the owner took the program over: the records of a later
// epoch replace those of an earlier one.
type Record struct {
	Program    program.ID         `json:"program"`
	Epoch      uint64             `json:"epoch"`
	Checkpoint program.Checkpoint `json:"checkpoint"`
	// Urgent records do not wait for the next interval.
	Urgent bool `json:"-"`
}

// Batch is what is written at once.
type Batch struct {
	Records []Record `json:"records"`
}

func prefixOf(journal string) string { return "journal/" + journal + "/" }

func batchKey(journal string, number uint64) string {
	return fmt.Sprintf("%s%012d", prefixOf(journal), number)
}

// NameError says a name in the store is not a batch's.
type NameError struct{ name string }

// Error quotes the name.
func (e *NameError) Error() string { return fmt.Sprintf("journal: unexpected name %q", e.name) }

func batchNumber(journal, name string) (uint64, error) {
	text, ok := strings.CutPrefix(name, prefixOf(journal))
	if !ok {
		return 0, &NameError{name: name}
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &NameError{name: name}
	}
	return n, nil
}
