package archive_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/history"
	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// largeTurn returns a turn whose rows don't fit into one transaction.
func largeTurn(id string, size int) *history.Turn {
	large := turn(id)
	large.Input = randomBytes(rand.New(rand.NewPCG(uint64(size), 1)), size)
	return large
}

// Guards against a turn that runs and then breaks off because its rows exceed what
// the store takes in one transaction.
func TestSaveTurnLargerThanTransaction(t *testing.T) {
	ctx := context.Background()
	for _, size := range []int{1_000, 600_000, 800_000, 1_600_000, 4 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			memory := storetest.New()
			server := platformtest.NewStoreServer(memory)
			defer server.Close()
			client := platform.NewStore(server.Address(), tally.NoopScope)
			large := largeTurn("t1", size)
			require.NoError(t, open(client).Save(ctx, large))
			t.Logf("%d transactions", memory.Commits())
			if size <= 600_000 {
				assert.Equal(t, 1, memory.Commits(), "what fits takes one transaction")
			}
			require.NoError(t, open(client).Save(ctx, large), "a repeat")
			require.NoError(t, open(client).Save(ctx, turn("t2", "t1")))
			chain, err := open(client).Chain(ctx, "", "t2", "", unlimited{})
			require.NoError(t, err)
			assert.Equal(t, large.Input, chain[0].Input)
			other := largeTurn("t1", size+1)
			var conflict *archive.TurnConflictError
			require.ErrorAs(t, open(client).Save(ctx, other), &conflict)
		})
	}
}

// Guards against a turn that is too large to be stored and runs nevertheless, and
// against a refusal of one that can be stored with its response.
func TestCheckInputAcceptsWhatCanBeSaved(t *testing.T) {
	var tooLarge *history.TooLargeError
	a := open(storetest.New())
	assert.NoError(t, a.CheckInput("t1", make([]byte, 15<<20)), "it is compressed")
	assert.ErrorAs(t, a.CheckInput("t1", make([]byte, 17<<20)), &tooLarge)
	large := largeTurn("t1", 5<<20)
	require.ErrorAs(t, a.CheckInput("t1", large.Input), &tooLarge)
	require.ErrorAs(t, a.Save(context.Background(), large), &tooLarge)
	large = largeTurn("t2", 4_250_000)
	large.Events = [][]byte{randomBytes(rand.New(rand.NewPCG(1, 1)), 200_000)}
	require.NoError(t, a.CheckInput("t2", large.Input))
	require.NoError(t, a.Save(context.Background(), large))
}
