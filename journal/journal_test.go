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

// writerFixture is a journal writer that writes to a platform stand-in, with the
// programs whose turns it records.
type writerFixture struct {
	t      *testing.T
	store  *standin.Platform
	client *tableservice.Client
	writer *journal.Writer
	logs   map[program.ID]*program.Log
	progs  map[program.ID]*program.Program
}

// newWriterFixture starts a writer and stops it at the end of the test.
func newWriterFixture(t *testing.T) *writerFixture {
	b := &writerFixture{t: t, store: standin.NewPlatform(0, time.Now), logs: map[program.ID]*program.Log{}, progs: map[program.ID]*program.Program{}}
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

// turn runs one turn of a program, creating the program for its first turn, and
// appends the record to the journal.
func (b *writerFixture) turn(id program.ID, epoch uint64, text string) *journal.Pending {
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
	b.logs[id].Advance(&c)
	return b.writer.Append(journal.Record{Program: id, Epoch: epoch, Checkpoint: c})
}

// waitDurable waits until p is durable and fails the test after 10 seconds.
func (b *writerFixture) waitDurable(p *journal.Pending) {
	select {
	case <-p.Durable():
	case <-time.After(10 * time.Second):
		b.t.Fatal("record not durable after 10 seconds")
	}
}

// replay returns the program as a new owner would restore it from the journal.
func (b *writerFixture) replay(id program.ID) *program.Program {
	log, err := journal.NewReader(b.client, clock.Real{}).Program(context.Background(), b.writer.Name(), id)
	require.NoError(b.t, err)
	p, _, err := program.Replay(id, log.Records, 99)
	require.NoError(b.t, err)
	return p
}

// TestConcurrentTurnsShareBatches checks that turns that end at the same time
// share few writes and are restored unchanged. With one write per turn, the
// store would throttle the writes of a burst and delay all programs. 500 programs
// each end a turn at the same time, some with a prompt too large for a row.
func TestConcurrentTurnsShareBatches(t *testing.T) {
	b := newWriterFixture(t)
	var pending []*journal.Pending
	for i := range 500 {
		text := fmt.Sprintf("turn of program %d", i)
		if i%50 == 0 {
			text = fmt.Sprintf("%d %020000d", i, i)
		}
		pending = append(pending, b.turn(program.ID(fmt.Sprint("p", i)), 1, text))
	}
	for _, p := range pending {
		b.waitDurable(p)
	}
	writes, _ := b.store.Counts()
	require.Less(t, writes, 50)
	for _, i := range []int{0, 1, 250, 499} {
		id := program.ID(fmt.Sprint("p", i))
		require.Equal(t, b.progs[id].History(), b.replay(id).History())
	}
}

// TestLostAcknowledgementsKeepAllTurns checks that a batch whose write succeeded
// but whose response was lost is written again under the same name with the same
// content. If a retry wrote other records under the name, a turn that was
// acknowledged to its caller would be missing after the owner crashed. The store
// loses two responses in each round of turns.
func TestLostAcknowledgementsKeepAllTurns(t *testing.T) {
	b := newWriterFixture(t)
	for turn := range 30 {
		b.store.LoseResponses(2)
		var pending []*journal.Pending
		for i := range 12 {
			pending = append(pending, b.turn(program.ID(fmt.Sprint("p", i)), 1, fmt.Sprint("turn ", turn)))
			time.Sleep(time.Millisecond) // spread the turns over several batches
		}
		for _, p := range pending {
			b.waitDurable(p)
		}
		// Compare after each turn, since a later full record would hide a
		// missing one.
		for id, p := range b.progs {
			require.Equal(t, p.History(), b.replay(id).History(), "history of %s after turn %d", id, turn)
		}
	}
}

// TestUnusedBatchesAreDeleted checks that batches that no program needs are
// deleted. Otherwise the store would fill up, and taking over a program would
// take minutes. One program runs 100 turns while another runs only one.
func TestUnusedBatchesAreDeleted(t *testing.T) {
	b := newWriterFixture(t)
	b.waitDurable(b.turn("quiet", 1, "one turn"))
	for turn := range 100 {
		b.waitDurable(b.turn("busy", 1, fmt.Sprint("turn ", turn)))
	}
	require.Eventually(t, func() bool { return b.writer.Stats().Live <= 17 }, 10*time.Second, 10*time.Millisecond,
		"one batch of the quiet program, and those since the last full record of the busy one")
	require.Equal(t, b.progs["quiet"].History(), b.replay("quiet").History())
	require.Equal(t, b.progs["busy"].History(), b.replay("busy").History())
}

// TestLaterEpochReplacesEarlierRecords checks that records of a former owner,
// even if they are written late, do not mix with those of the new owner.
func TestLaterEpochReplacesEarlierRecords(t *testing.T) {
	b := newWriterFixture(t)
	b.waitDurable(b.turn("p", 1, "first owner"))
	deposed := b.progs["p"]
	delete(b.progs, "p")
	b.waitDurable(b.turn("p", 5, "second owner"))
	successor := b.progs["p"]
	// The last record of the first owner is written late.
	b.progs["p"], b.logs["p"] = deposed, &program.Log{}
	b.waitDurable(b.turn("p", 1, "late"))
	require.Equal(t, successor.History(), b.replay("p").History())
}
