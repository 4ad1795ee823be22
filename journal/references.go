package journal

import (
	"slices"

	"github.com/wagtaildrum/wagtaildrum/program"
)

// pins counts, for each batch, the programs that still need a record in
// it, so that a batch can be dropped when none does. It does no input or
// output and is not safe for concurrent use.
type pins struct {
	// users holds the programs that need each batch; byProgram the batches
	// each program needs, oldest first.
	users     map[uint64]map[program.ID]struct{}
	byProgram map[program.ID][]uint64
}

func newPins() *pins {
	return &pins{users: map[uint64]map[program.ID]struct{}{}, byProgram: map[program.ID][]uint64{}}
}

// add notes that batch number holds the records, and returns the batches
// that nobody needs any more: a whole record replaces its program's earlier
// ones.
func (p *pins) add(number uint64, records []Record) (unused []uint64) {
	p.users[number] = map[program.ID]struct{}{}
	for i := range records {
		r := &records[i]
		if r.Checkpoint.Whole() {
			unused = append(unused, p.release(r.Program)...)
		}
		if _, ok := p.users[number][r.Program]; !ok {
			p.users[number][r.Program] = struct{}{}
			p.byProgram[r.Program] = append(p.byProgram[r.Program], number)
		}
	}
	// A batch may have been released while it was filled.
	return slices.DeleteFunc(unused, func(n uint64) bool { return n == number })
}

// release notes that the program needs no batch any more, and returns the
// batches that nobody needs.
func (p *pins) release(id program.ID) (unused []uint64) {
	for _, n := range p.byProgram[id] {
		delete(p.users[n], id)
		if len(p.users[n]) == 0 {
			unused = append(unused, n)
		}
	}
	delete(p.byProgram, id)
	return unused
}

// forget drops batches that were deleted.
func (p *pins) forget(numbers []uint64) {
	for _, n := range numbers {
		if len(p.users[n]) == 0 {
			delete(p.users, n)
		}
	}
}

// before returns the programs that need a batch older than number.
func (p *pins) before(number uint64) []program.ID {
	var out []program.ID
	for id, numbers := range p.byProgram {
		if numbers[0] < number {
			out = append(out, id)
		}
	}
	return out
}
