package program

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// wholeEvery is how often a checkpoint record holds the whole history
// instead of the turns since the record before it. It bounds what a new
// owner reads (at most wholeEvery records) without writing a history of
// 250,000 tokens again on each of 180 turns.
const wholeEvery = 16

// Checkpoint is one record of a program's durable log. Records are known by
// (program, epoch, Index) and never changed, so a write that is delayed and
// lands late cannot put an older state over a newer one.
type Checkpoint struct {
	// Index is the record's place in the log, from 0.
	Index uint64 `json:"index"`
	// Base is the index of the latest whole record, this one included.
	Base    uint64    `json:"base"`
	Spec    Spec      `json:"spec"`
	Created time.Time `json:"created"`
	State   State     `json:"state"`
	NextSeq uint64    `json:"next_sequence"`
	Spent   int64     `json:"spent_tokens"`
	// Messages is the whole history in a whole record, otherwise the
	// messages since the record before.
	Messages []Message `json:"messages,omitempty"`
	// Answer is the answer of call NextSeq-1, so a new owner can give it
	// again to a caller who never received it.
	Answer json.RawMessage `json:"answer,omitempty"`
}

// Whole reports whether the record stands on its own.
func (c *Checkpoint) Whole() bool { return c.Base == c.Index }

// Log decides what each checkpoint record of one program holds. A new Log
// starts with a whole record.
type Log struct {
	next   uint64
	base   uint64
	logged int
}

// Started reports whether a record is durable.
func (l *Log) Started() bool { return l.next > 0 }

// Record returns the record that brings the log up to p. The log moves on
// only when Committed is called, after the record is durable.
func (l *Log) Record(p *Program, answer json.RawMessage) Checkpoint {
	return l.record(p, answer, l.next == 0 || l.next-l.base >= wholeEvery)
}

// RecordWhole is Record with a whole record, which makes all before it
// superfluous.
func (l *Log) RecordWhole(p *Program, answer json.RawMessage) Checkpoint {
	return l.record(p, answer, true)
}

func (l *Log) record(p *Program, answer json.RawMessage, whole bool) Checkpoint {
	c := Checkpoint{Index: l.next, Base: l.base, Spec: p.spec, Created: p.created, State: p.state,
		NextSeq: p.nextSeq, Spent: p.spent, Answer: answer}
	if p.state == StateEnded {
		// Nothing reads an ended program's history again.
		c.Base = l.next
		return c
	}
	if whole {
		c.Base = l.next
		c.Messages = slices.Clone(p.history)
		return c
	}
	c.Messages = slices.Clone(p.history[l.logged:])
	return c
}

// Committed moves the log past record c, now durable.
func (l *Log) Committed(c *Checkpoint) {
	if c.Whole() {
		l.logged = len(c.Messages)
	} else {
		l.logged += len(c.Messages)
	}
	l.base = c.Base
	l.next = c.Index + 1
}

// LogError says a program's log cannot be replayed.
type LogError struct {
	program ID
	detail  string
}

// Error names the program and the fault.
func (e *LogError) Error() string { return fmt.Sprintf("program %s: log: %s", e.program, e.detail) }

// Replay returns the program that the records of one epoch describe, owned
// under fence, and the answer of its last call. The records run from the
// last whole one to the newest, in order; a missing or foreign record is a
// *LogError, never a shorter history.
func Replay(id ID, records []Checkpoint, fence uint64) (*Program, json.RawMessage, error) {
	if len(records) == 0 {
		return nil, nil, &LogError{program: id, detail: "no records"}
	}
	var history []Message
	for i := range records {
		c := &records[i]
		switch {
		case c.Spec.ID != id:
			return nil, nil, &LogError{program: id, detail: fmt.Sprintf("record %d belongs to %q", c.Index, c.Spec.ID)}
		case i == 0 && !c.Whole():
			return nil, nil, &LogError{program: id, detail: fmt.Sprintf("record %d is not whole", c.Index)}
		case i > 0 && (c.Index != records[i-1].Index+1 || c.Whole()):
			return nil, nil, &LogError{program: id, detail: fmt.Sprintf("record %d follows %d", c.Index, records[i-1].Index)}
		}
		history = append(history, c.Messages...)
	}
	last := &records[len(records)-1]
	p, err := New(last.Spec, last.Created, fence)
	if err != nil {
		return nil, nil, err
	}
	p.state, p.nextSeq, p.spent, p.history = last.State, max(last.NextSeq, 1), last.Spent, history
	return p, last.Answer, nil
}
