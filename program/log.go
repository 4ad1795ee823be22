package program

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// fullRecordInterval is the number of records from one full record, which
// holds the complete history, to the next; those in between hold only the
// messages since their predecessor. It bounds the records that a new owner
// reads to fullRecordInterval, without a history of 250,000 tokens being
// written again on each of 180 turns.
const fullRecordInterval = 16

// Checkpoint is one record of a program's durable log. A record is identified
// by program, epoch and Index and is never changed, so a delayed write cannot
// replace a newer state by an older one.
type Checkpoint struct {
	// Index is the position of the record in the log, from 0.
	Index uint64 `json:"index"`
	// Base is the index of the latest full record up to and including this
	// one.
	Base    uint64    `json:"base"`
	Spec    Spec      `json:"spec"`
	Created time.Time `json:"created"`
	State   State     `json:"state"`
	NextSeq uint64    `json:"next_sequence"`
	Spent   int64     `json:"spent_tokens"`
	// Messages holds the complete history in a full record, and otherwise the
	// messages since the previous record.
	Messages []Message `json:"messages,omitempty"`
	// Answer is the answer to call NextSeq-1. A new owner replays it to a
	// caller that never received it.
	Answer json.RawMessage `json:"answer,omitempty"`
}

// Full reports whether the record is full, so that a replay can start with
// it.
func (c *Checkpoint) Full() bool { return c.Base == c.Index }

// Log determines the contents of each checkpoint record of one program. The
// first record of a new Log is full. The zero value is an empty log.
type Log struct {
	// nextIndex is the index of the next record, fullIndex that of the latest
	// full one, and loggedMessages the number of messages of the history that
	// are in durable records.
	nextIndex      uint64
	fullIndex      uint64
	loggedMessages int
}

// HasDurableRecord reports whether at least one record is durable.
func (l *Log) HasDurableRecord() bool { return l.nextIndex > 0 }

// Record returns the next record, which brings the log up to date with p. The
// log advances only when Advance is called after the record has become
// durable; until then Record returns the same index.
func (l *Log) Record(p *Program, answer json.RawMessage) Checkpoint {
	return l.record(p, answer, l.nextIndex == 0 || l.nextIndex-l.fullIndex >= fullRecordInterval)
}

// RecordFull returns the next record as a full one, which makes all records
// before it redundant.
func (l *Log) RecordFull(p *Program, answer json.RawMessage) Checkpoint {
	return l.record(p, answer, true)
}

// record returns the next record, as a full one if full is set.
func (l *Log) record(p *Program, answer json.RawMessage, full bool) Checkpoint {
	c := Checkpoint{Index: l.nextIndex, Base: l.fullIndex, Spec: p.spec, Created: p.created, State: p.state,
		NextSeq: p.nextSeq, Spent: p.spent, Answer: answer}
	if p.state == StateEnded {
		// The history of an ended program is not read again, so its last
		// record is full without messages.
		c.Base = l.nextIndex
		return c
	}
	if full {
		c.Base = l.nextIndex
		c.Messages = slices.Clone(p.history)
		return c
	}
	c.Messages = slices.Clone(p.history[l.loggedMessages:])
	return c
}

// Advance advances the log past record c, which has become durable.
func (l *Log) Advance(c *Checkpoint) {
	if c.Full() {
		l.loggedMessages = len(c.Messages)
	} else {
		l.loggedMessages += len(c.Messages)
	}
	l.fullIndex = c.Base
	l.nextIndex = c.Index + 1
}

// LogError is returned for a program's log that cannot be replayed.
type LogError struct {
	program ID
	detail  string
}

// Error returns "program ID: log: fault".
func (e *LogError) Error() string { return fmt.Sprintf("program %s: log: %s", e.program, e.detail) }

// Replay returns the program that the records of one epoch describe, owned
// under fence, and the answer of its last call. The records must run in order
// from the last full one to the newest. A missing record, or one of another
// program, results in a *LogError, never in a shorter history.
func Replay(id ID, records []Checkpoint, fence uint64) (*Program, json.RawMessage, error) {
	if len(records) == 0 {
		return nil, nil, &LogError{program: id, detail: "the log holds no records"}
	}
	var history []Message
	for i := range records {
		c := &records[i]
		switch {
		case c.Spec.ID != id:
			return nil, nil, &LogError{program: id, detail: fmt.Sprintf("record %d belongs to %q", c.Index, c.Spec.ID)}
		case i == 0 && !c.Full():
			return nil, nil, &LogError{program: id, detail: fmt.Sprintf("first record %d is not a full record", c.Index)}
		case i > 0 && (c.Index != records[i-1].Index+1 || c.Full()):
			return nil, nil, &LogError{program: id, detail: fmt.Sprintf("record %d follows record %d; a record is missing or repeated", c.Index, records[i-1].Index)}
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
