package journal_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/journal"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/standin"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// bench is a journal writer against a platform stand-in.
type bench struct {
	t      *testing.T
	store  *standin.Platform
	client *tableservice.Client
	writer *journal.Writer
	logs   map[program.ID]*program.Log
	progs  map[program.ID]*program.Program
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, store: standin.NewPlatform(0, time.Now), logs: map[program.ID]*program.Log{}, progs: map[program.ID]*program.Program{}}
	srv := httptest.NewServer(b.store.Handler())
	b.client = tableservice.NewClient(srv.URL, time.Second)
	b.writer = journal.NewWriter("entry-1-a", b.client, 5*time.Millisecond, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go b.writer.Run(ctx, done)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
		srv.Close()
	})
	return b
}

// turn runs one turn of a program, creating it if need be, and hands its
// record to the journal.
func (b *bench) turn(id program.ID, epoch uint64, text string) *journal.Pending {
	p, ok := b.progs[id]
	if !ok {
		var err error
		p, err = program.New(program.Spec{ID: id, BudgetTokens: 1 << 40}, time.Unix(0, 0), epoch)
		require.NoError(b.t, err)
		b.progs[id], b.logs[id] = p, &program.Log{}
	}
	seq := p.NextSequence()
	require.NoError(b.t, p.Begin(seq, 1, time.Unix(0, 0)))
	p.Finish(seq, 1, program.Message{Role: "user", Content: text})
	c := b.logs[id].Record(p, nil)
	b.logs[id].Committed(&c)
	return b.writer.Append(journal.Record{Program: id, Epoch: epoch, Checkpoint: c})
}

func (b *bench) durable(p *journal.Pending) {
	select {
	case <-p.Durable():
	case <-time.After(10 * time.Second):
		b.t.Fatal("a record never became durable")
	}
}

// replay reads a program back as a successor would.
func (b *bench) replay(id program.ID) *program.Program {
	log, err := journal.NewReader(b.client, clock.Real{}).Program(context.Background(), b.writer.Name(), id)
	require.NoError(b.t, err)
	p, _, err := program.Replay(id, log.Records, 99)
	require.NoError(b.t, err)
	return p
}

// TestTurnsShareWrites: turns due together cost few writes, and each comes
// back as it was.
//
// Symptom: in a burst the store refuses calls for coming too fast, and
// every program stands still.
// Sequence: 500 programs each finish a turn at the same moment, some with a
// prompt too large for a row.
// Cause: a write per turn.
func TestTurnsShareWrites(t *testing.T) {
	b := newBench(t)
	var pending []*journal.Pending
	for i := range 500 {
		text := fmt.Sprintf("turn of program %d", i)
		if i%50 == 0 {
			text = fmt.Sprintf("%d %020000d", i, i)
		}
		pending = append(pending, b.turn(program.ID(fmt.Sprint("p", i)), 1, text))
	}
	for _, p := range pending {
		b.durable(p)
	}
	writes, _ := b.store.Counts()
	require.Less(t, writes, 50)
	for _, i := range []int{0, 1, 250, 499} {
		id := program.ID(fmt.Sprint("p", i))
		require.Equal(t, b.progs[id].History(), b.replay(id).History())
	}
}

// TestLostAcksLoseNoTurn: a batch whose answer was lost is written again
// under the same name, and nothing is lost or changed by it.
//
// Symptom: after an owner died, a turn is missing that was answered.
// Sequence: the store takes batches and loses two answers in each round of
// turns, while turns go on.
// Cause: a second try that puts other records under the name of the first.
func TestLostAcksLoseNoTurn(t *testing.T) {
	b := newBench(t)
	for turn := range 30 {
		b.store.LoseAcks(2)
		var pending []*journal.Pending
		for i := range 12 {
			pending = append(pending, b.turn(program.ID(fmt.Sprint("p", i)), 1, fmt.Sprint("turn ", turn)))
			time.Sleep(time.Millisecond) // some join a later batch
		}
		for _, p := range pending {
			b.durable(p)
		}
		// After each turn: a later whole record would hide what is missing.
		for id, p := range b.progs {
			require.Equal(t, p.History(), b.replay(id).History(), "history of %s after turn %d", id, turn)
		}
	}
}

// TestBatchesAreDropped: the journal holds what is needed, not what was
// written.
//
// Symptom: the store fills up, and taking a program over takes minutes.
// Sequence: one program runs 100 turns beside one that stays quiet; then
// the first ends.
// Cause: batches that are never dropped.
func TestBatchesAreDropped(t *testing.T) {
	b := newBench(t)
	b.durable(b.turn("quiet", 1, "one turn"))
	for turn := range 100 {
		b.durable(b.turn("busy", 1, fmt.Sprint("turn ", turn)))
	}
	require.Eventually(t, func() bool { return b.writer.Stats().Live <= 17 }, 10*time.Second, 10*time.Millisecond,
		"one batch of the quiet program, and those since the busy one's last whole record")
	require.Equal(t, b.progs["quiet"].History(), b.replay("quiet").History())
	require.Equal(t, b.progs["busy"].History(), b.replay("busy").History())
}

// TestLaterEpochStands: records of an owner that was deposed do not mix
// with its successor's.
func TestLaterEpochStands(t *testing.T) {
	b := newBench(t)
	b.durable(b.turn("p", 1, "first owner"))
	old := b.progs["p"]
	delete(b.progs, "p")
	b.durable(b.turn("p", 5, "second owner"))
	mine := b.progs["p"]
	// The first owner's last record lands late.
	b.progs["p"], b.logs["p"] = old, &program.Log{}
	b.durable(b.turn("p", 1, "late"))
	require.Equal(t, mine.History(), b.replay("p").History())
}
