package entry

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/settings"
	"github.com/wagtaildrum/wagtaildrum/standin"
)

// TestTurnEndedWhileRecordPendingIsPersisted guards against the loss of a
// turn that ended while another record of its program was pending: after a
// crash of the owner, the last answered turn was missing. A call runs; the
// maintenance goroutine stages a full record of the program, which had been
// idle; the call ends and is answered before that record is durable. The
// fault is a second record under the index of the pending one.
func TestTurnEndedWhileRecordPendingIsPersisted(t *testing.T) {
	store := httptest.NewServer(standin.NewPlatform(0, time.Now).Handler())
	defer store.Close()
	s := &settings.Entry{Common: settings.Common{InstanceID: "entry-1"}, Platform: store.URL, LeaseTTL: time.Hour, JournalInterval: 20 * time.Millisecond}
	e := New(s, clock.Real{}, slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go e.WriteJournal(ctx, done)
	defer func() {
		cancel()
		require.NoError(t, <-done)
	}()
	p, err := program.New(program.Spec{ID: "jur-quiet", BudgetTokens: 1000}, time.Now(), 1)
	require.NoError(t, err)
	o := &ownedProgram{prog: p, epoch: 1, leaseVer: 1, leaseExpires: time.Now().Add(time.Hour)}
	for seq := uint64(1); seq <= 3; seq++ {
		require.NoError(t, p.Begin(seq, 1, time.Now()))
		if seq > 1 {
			o.mu.Lock()
			e.stageFull(o)
			o.mu.Unlock()
		}
		ans := caller.Response{Program: "jur-quiet", Sequence: seq}
		require.NoError(t, e.finish(ctx, o, ans, 1, program.Message{Role: "user", Content: "turn"}))
		log, err := e.journals.Program(ctx, e.journal.Name(), "jur-quiet")
		require.NoError(t, err)
		got, _, err := program.Replay("jur-quiet", log.Records, 2)
		require.NoError(t, err)
		require.Equal(t, p.History(), got.History(), "after call %d", seq)
		require.Equal(t, p.NextSequence(), got.NextSequence())
	}
}
