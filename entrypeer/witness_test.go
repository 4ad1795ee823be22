package entrypeer_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/discovery"
	"github.com/wagtaildrum/wagtaildrum/entrypeer"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// recordingWitness implements entrypeer.WitnessServer for the incarnation "b-1-1".
type recordingWitness struct {
	mu      sync.Mutex
	grants  []account.WitnessedGrant
	account string
	shards  []int
	err     error
}

func (w *recordingWitness) RecordGrant(witness string, grant account.WitnessedGrant) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if witness != "b-1-1" {
		return account.NewWitnessRefusedError(account.WitnessOtherIncarnation)
	}
	w.grants = append(w.grants, grant)
	return w.err
}

func (w *recordingWitness) Announce(_, holder string, shards []account.WitnessedShard) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.account, w.shards = holder, nil
	for _, shard := range shards {
		w.shards = append(w.shards, shard.Shard)
	}
	return w.err
}

func (w *recordingWitness) DropGrants(_ string, grants []account.WitnessedGrant) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.grants = slices.DeleteFunc(w.grants, func(grant account.WitnessedGrant) bool {
		return slices.ContainsFunc(grants, func(dropped account.WitnessedGrant) bool { return dropped.Program == grant.Program })
	})
	return w.err
}

func (w *recordingWitness) TakeOver(_ context.Context, _, account string, shards []int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.account, w.shards = account, shards
	return w.err
}

// directoryOf returns a directory of self and others.
func directoryOf(t *testing.T, self entrypeer.Instance, others ...entrypeer.Instance) *entrypeer.Directory {
	t.Helper()
	directory := entrypeer.NewDirectory(self, clock.Real{})
	source := directory.Source(slog.New(slog.DiscardHandler))
	for _, other := range others {
		put(t, source, other)
	}
	return directory
}

// put applies the entry of an instance.
func put(t *testing.T, source discovery.Source, instance entrypeer.Instance) {
	t.Helper()
	value, err := codec.Marshal(&instance)
	require.NoError(t, err)
	source.Apply(store.Row{Key: store.Key{Table: "entries", Name: instance.Name}, Version: 1, Value: value})
}

// Guards against a witness in the data centre of the home while there is another one: a
// loss of the data centre would leave the escrow to nobody.
func TestWitnessIsInAnotherDataCentre(t *testing.T) {
	self := entrypeer.Instance{Name: "a", Owner: "a-1-1", DataCentre: "x"}
	alone := entrypeer.NewClient(directoryOf(t, self), tally.NoopScope)
	near := entrypeer.Instance{Name: "b", Owner: "b-1-1", DataCentre: "x"}
	pair := entrypeer.NewClient(directoryOf(t, self, near), tally.NoopScope)
	all := entrypeer.NewClient(directoryOf(t, self, near, entrypeer.Instance{Name: "c", Owner: "c-1-1", DataCentre: "y"}, entrypeer.Instance{Name: "d", Owner: "d-1-1", DataCentre: "y"}), tally.NoopScope)
	none := func(string) bool { return false }
	assert.Empty(t, alone.Witness(none))
	assert.Equal(t, "b-1-1", pair.Witness(none))
	remote := all.Witness(none)
	assert.Contains(t, []string{"c-1-1", "d-1-1"}, remote)
	assert.NotEqual(t, remote, all.Witness(func(owner string) bool { return owner == remote }), "it does not respond")
	assert.Equal(t, "b-1-1", all.Witness(func(owner string) bool { return owner[0] != 'b' }), "others do not respond")
	assert.True(t, all.IsCurrent("c-1-1"))
	assert.False(t, all.IsCurrent("c-2-1"))
	assert.False(t, all.IsCurrent("odd"))
}

// Guards against a grant that is taken as recorded although its witness refused it, is
// another incarnation or did not respond.
func TestGrantIsRecordedOnlyByItsWitness(t *testing.T) {
	witness := &recordingWitness{}
	server := httptest.NewServer((&entrypeer.Server{Witness: witness, Log: slog.New(slog.DiscardHandler)}).Handler())
	t.Cleanup(server.Close)
	directory := directoryOf(t, entrypeer.Instance{Name: "a", Owner: "a-1-1"}, entrypeer.Instance{Name: "b", Owner: "b-1-1", Address: server.Listener.Addr().String()})
	client := entrypeer.NewClient(directory, tally.NoopScope)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	grant := account.WitnessedGrant{Shard: 7, Version: 9, Program: "p", Tokens: 300}
	require.NoError(t, client.RecordGrant(ctx, "b-1-1", grant))
	assert.Equal(t, []account.WitnessedGrant{grant}, witness.grants)
	require.NoError(t, client.Announce(ctx, "b-1-1", "a-1-1", []account.WitnessedShard{{Shard: 5, Version: 8, Account: "a-1-1.1"}}))
	assert.Equal(t, []int{5}, witness.shards)
	require.NoError(t, client.DropGrants(ctx, "b-1-1", []account.WitnessedGrant{grant}))
	assert.Empty(t, witness.grants)
	require.NoError(t, client.TakeOver(ctx, "b-1-1", "c-1-1.4", []int{3, 4}))
	assert.Equal(t, "c-1-1.4", witness.account)
	assert.Equal(t, []int{3, 4}, witness.shards)
	var refused *account.WitnessRefusedError
	var unavailable *entrypeer.UnavailableError
	var status *entrypeer.StatusError
	require.ErrorAs(t, client.RecordGrant(ctx, "b-0-1", grant), &unavailable)
	require.Error(t, client.RecordGrant(ctx, "b-1-1", account.WitnessedGrant{Shard: 960, Program: "p"}))
	for _, reason := range []account.WitnessRefusal{account.WitnessEscrowEnded, account.WitnessStopped, account.WitnessOtherIncarnation} {
		witness.err = account.NewWitnessRefusedError(reason)
		require.ErrorAs(t, client.RecordGrant(ctx, "b-1-1", grant), &refused)
		assert.Equal(t, reason, refused.Reason())
	}
	witness.err = store.NewError(store.FailureRefused, "commit", "test")
	require.ErrorAs(t, client.TakeOver(ctx, "b-1-1", "c-1-1.4", []int{3}), &status)
}

// FuzzWitnessMessages checks that any body is either served or rejected with a status, and
// that a grant that is recorded is within range.
func FuzzWitnessMessages(f *testing.F) {
	for _, message := range []any{[]any{"b-1-1", 7, 9, "p", 300}, []any{"b-1-1", -1, 9, "p", 300}, map[string]any{"Witness": "b-1-1", "Account": "c.1", "Shards": []int{1, 960}}} {
		data, err := codec.Marshal(message)
		require.NoError(f, err)
		f.Add(data)
	}
	witness := &recordingWitness{}
	handler := (&entrypeer.Server{Witness: witness, Log: slog.New(slog.DiscardHandler)}).Handler()
	f.Fuzz(func(t *testing.T, data []byte) {
		witness.grants, witness.shards = nil, nil
		for _, path := range []string{"/entry/record-grant", "/entry/drop-grants", "/entry/announce", "/entry/take-over"} {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data)))
			assert.Contains(t, []int{http.StatusNoContent, http.StatusBadRequest, http.StatusConflict}, w.Code)
		}
		for _, grant := range witness.grants {
			assert.True(t, grant.Shard >= 0 && grant.Shard < 960 && grant.Tokens >= 0 && grant.Program != "")
		}
		for _, shard := range witness.shards {
			assert.True(t, shard >= 0 && shard < 960)
		}
	})
}
