package archive_test

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// logged returns the attributes of a lookup as they appear in a log line.
func logged(t *testing.T, err error) string {
	t.Helper()
	lookup := archive.FailedLookup(err)
	require.NotNil(t, lookup, "%v", err)
	var out bytes.Buffer
	slog.New(slog.NewTextHandler(&out, nil)).Info("request", "lookup", lookup)
	return out.String()
}

// refusePartition returns a function for Memory.SetFault that rejects the reads of
// one partition.
func refusePartition(refused string) func(op, partition string) storetest.Fault {
	return func(op, partition string) storetest.Fault {
		if op == "read" && partition == refused {
			return storetest.Refuse
		}
		return storetest.None
	}
}

// Guards against a turn that is not found without a trace of where it was looked
// for: the partitions, their outcome, and the other instance that was asked.
func TestFailedLookupTellsWhereTurnWasLookedFor(t *testing.T) {
	ctx := context.Background()
	memory := storetest.New()
	a := open(memory)
	_, err := a.Chain(ctx, "", "never", "", unlimited{})
	assert.Contains(t, logged(t, err), `lookup.turn=never lookup.result=NotStored lookup.partitions="turn-21: 0 rows; turn-27: 0 rows"`)
	_, err = openIn(memory, fleet{}).Chain(ctx, "", "never", "x", unlimited{})
	assert.Contains(t, logged(t, err), `lookup.peer=x lookup.peer_turns=0 lookup.peer_err="no such instance"`)
	memory.SetFault(refusePartition("turn-27"))
	_, err = a.Chain(ctx, "", "never", "", unlimited{})
	assert.True(t, store.Unserved(err), "%v", err)
	assert.Contains(t, logged(t, err), `lookup.result=Unread lookup.partitions="turn-21: 0 rows; turn-27: store read: Refused: test"`)
	memory.SetFault(refusePartition(""))
	owned := turn("owned")
	owned.Organisation = "y"
	require.NoError(t, a.Save(ctx, owned))
	_, err = a.Chain(ctx, "x", "owned", "", unlimited{})
	assert.Contains(t, logged(t, err), "lookup.result=OtherOrganisation")
}

// Guards against a conversation that cannot be continued without a trace of which of
// its turns is missing.
func TestFailedLookupNamesMissingAncestor(t *testing.T) {
	memory := storetest.New()
	require.NoError(t, open(memory).Save(context.Background(), turn("t2", "t1")))
	_, err := open(memory).Chain(context.Background(), "", "t2", "", unlimited{})
	require.True(t, store.Is(err, store.FailureInvalid), "%v", err)
	line := logged(t, err)
	assert.Contains(t, line, "lookup.turn=t1 lookup.result=NotStored")
	assert.Contains(t, line, "lookup.ancestor_of=t2")
}

// Guards against a turn that was not stored without a trace of how often and where
// it was tried.
func TestSaveErrorTellsAttempts(t *testing.T) {
	memory := storetest.New()
	memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err := open(memory).Save(ctx, turn("never"))
	var failed *archive.SaveError
	require.ErrorAs(t, err, &failed)
	assert.Regexp(t, `^turn never not stored in turn-21 or turn-27, attempts: [2-9], last failure: store commit: Refused: test$`, err.Error())
}
