package journal

import (
	"slices"

	"github.com/wagtaildrum/wagtaildrum/program"
)

// references holds, for each batch, the programs that need a record in it. A
// batch that no program needs can be deleted. references does no input or output
// and is not safe for concurrent use.
type references struct {
	// users holds the programs that need a batch, by batch number.
	users map[uint64]map[program.ID]struct{}
	// byProgram holds the numbers of the batches that a program needs, oldest
	// first.
	byProgram map[program.ID][]uint64
}

// newReferences returns references without batches.
func newReferences() *references {
	return &references{users: map[uint64]map[program.ID]struct{}{}, byProgram: map[program.ID][]uint64{}}
}

// add records that the batch number holds records, and returns the batches that
// are no longer needed by any program as a result: a full record replaces the
// earlier records of its program.
func (p *references) add(number uint64, records []Record) (unused []uint64) {
	p.users[number] = map[program.ID]struct{}{}
	for i := range records {
		r := &records[i]
		if r.Checkpoint.Full() {
			unused = append(unused, p.release(r.Program)...)
		}
		if _, ok := p.users[number][r.Program]; !ok {
			p.users[number][r.Program] = struct{}{}
			p.byProgram[r.Program] = append(p.byProgram[r.Program], number)
		}
	}
	// With several records of one program in the batch, a later full record
	// may have released the batch itself.
	return slices.DeleteFunc(unused, func(n uint64) bool { return n == number })
}

// release removes all references of the program, and returns the batches that
// are no longer needed by any program as a result.
func (p *references) release(id program.ID) (unused []uint64) {
	for _, n := range p.byProgram[id] {
		delete(p.users[n], id)
		if len(p.users[n]) == 0 {
			unused = append(unused, n)
		}
	}
	delete(p.byProgram, id)
	return unused
}

// removeBatches removes the entries of batches that were deleted from the store.
func (p *references) removeBatches(numbers []uint64) {
	for _, n := range numbers {
		if len(p.users[n]) == 0 {
			delete(p.users, n)
		}
	}
}

// programsBefore returns the programs that need a batch with a lower number.
func (p *references) programsBefore(number uint64) []program.ID {
	var out []program.ID
	for id, numbers := range p.byProgram {
		if numbers[0] < number {
			out = append(out, id)
		}
	}
	return out
}
