package archive_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/history"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// cutStore is an instance's connection to a store, which rejects calls to some of the
// partitions.
type cutStore struct {
	store.Store
	rejects func(partition string) bool
}

func (cut *cutStore) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	if cut.rejects(tx.Puts[0].Key.Partition) {
		return 0, store.NewError(store.FailureRefused, "commit", "cut")
	}
	return cut.Store.Commit(ctx, tx)
}

func (cut *cutStore) Read(ctx context.Context, r store.Range) (store.Page, error) {
	if cut.rejects(r.Partition) {
		return store.Page{}, store.NewError(store.FailureRefused, "read", "cut")
	}
	return cut.Store.Read(ctx, r)
}

// saveTimeout bounds each Save of a lineage: a few attempts.
const saveTimeout = 60 * time.Millisecond

// lineage plays conversations at several instances while calls to the store fail and
// writes are applied late.
type lineage struct {
	t         *testing.T
	rng       *rand.Rand
	memory    *storetest.Memory
	instances fleet
	cuts      map[string]*cutStore
	// saved are the turns whose Save succeeded, with their input, and tried those
	// whose Save failed.
	saved, tried []*history.Turn
	found        int
}

func newLineage(t *testing.T, seed uint64) *lineage {
	l := &lineage{t: t, rng: rand.New(rand.NewPCG(seed, 5)), memory: storetest.New(), instances: fleet{}, cuts: map[string]*cutStore{}}
	for n := range 4 {
		name := fmt.Sprint(n)
		l.cuts[name] = &cutStore{Store: l.memory, rejects: func(string) bool { return false }}
		l.instances[name] = openIn(l.cuts[name], l.instances)
	}
	l.memory.SetFault(storetest.RandomFaults(l.rng, 0.4, storetest.Refuse, storetest.LoseResponse, storetest.LoseRequest))
	return l
}

// instance returns a random instance.
func (l *lineage) instance() *archive.Archive { return l.instances[l.name()] }

func (l *lineage) name() string { return fmt.Sprint(l.rng.IntN(len(l.instances))) }

// step plays one step: a turn is saved or read, an instance restarts or loses
// partitions, or lost writes are applied.
func (l *lineage) step(n int) {
	switch draw := l.rng.IntN(20); {
	case draw < 8:
		l.save(fmt.Sprintf("t%d", n))
	case draw < 15:
		if len(l.saved) > 0 {
			l.read(l.saved[l.rng.IntN(len(l.saved))])
		}
	case draw == 15:
		name := l.name()
		l.instances[name] = openIn(l.cuts[name], l.instances)
	case draw == 16:
		l.memory.ApplyLost()
	case draw == 17:
		l.memory.Compact()
	default:
		share := l.rng.IntN(2)
		salt := l.rng.IntN(48)
		l.cuts[l.name()].rejects = func(partition string) bool { return share > 0 && int(partition[len(partition)-1])%3 == salt%3 }
	}
}

// save saves a turn that continues a random saved one, once more if it fails.
func (l *lineage) save(id string) {
	next := turn(id)
	if len(l.saved) > 0 && l.rng.IntN(4) > 0 {
		next.Ancestors = l.saved[l.rng.IntN(len(l.saved))].Chain()
	}
	next.Input = l.input(id)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
		err := l.instance().Save(ctx, next)
		ended := ctx.Err() != nil
		cancel()
		if err == nil {
			l.saved = append(l.saved, next)
			return
		}
		assert.True(l.t, ended, "Save of %s ended before its time: %v", id, err)
	}
	l.tried = append(l.tried, next)
}

// input returns the input of a turn: short, of several rows, or larger than a
// transaction.
func (l *lineage) input(id string) []byte {
	switch draw := l.rng.IntN(40); {
	case draw == 0:
		return randomBytes(l.rng, 900_000)
	case draw <= 5:
		return randomBytes(l.rng, 50<<10)
	}
	return []byte("input of " + id)
}

// randomBytes returns data that cannot be compressed.
func randomBytes(rng *rand.Rand, size int) []byte {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}

// read reads a saved turn, which must be found unless the store fails.
func (l *lineage) read(want *history.Turn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	chain, err := l.instance().Chain(ctx, "", want.ID, l.name(), unlimited{})
	if err != nil {
		assert.True(l.t, store.Unserved(err), "%s: %v", want.ID, err)
		return
	}
	l.found++
	assert.Equal(l.t, want.Chain(), ids(chain))
	assert.Equal(l.t, want.Input, chain[len(chain)-1].Input, want.ID)
}

// check checks that, once no call fails any more, every saved turn is found, and one
// that was not saved is found as it is or not at all.
func (l *lineage) check() {
	l.memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	l.memory.ApplyLost()
	for _, want := range l.saved {
		chain, err := open(l.memory).Chain(context.Background(), "", want.ID, "", unlimited{})
		require.NoError(l.t, err, want.ID)
		assert.Equal(l.t, want.Input, chain[len(chain)-1].Input, want.ID)
	}
	for _, want := range l.tried {
		chain, err := open(l.memory).Chain(context.Background(), "", want.ID, "", unlimited{})
		if err != nil {
			var unknown *archive.UnknownTurnError
			require.ErrorAs(l.t, err, &unknown, want.ID)
			require.NoError(l.t, open(l.memory).Save(context.Background(), want), "a repeat after the faults")
			continue
		}
		assert.Equal(l.t, want.Input, chain[len(chain)-1].Input, want.ID)
	}
}

// Guards against a turn that was saved and is unknown to an instance, or has other
// content, and against a Save that gives up while it has time left.
func TestSavedTurnIsFoundByEveryInstance(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			l := newLineage(t, seed)
			for n := range 300 {
				l.step(n)
			}
			l.check()
			t.Logf("%d turns saved, %d not, %d found", len(l.saved), len(l.tried), l.found)
		})
	}
}
