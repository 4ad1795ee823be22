package budget_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/budget"
)

func TestEscrowImpliesAnAccount(t *testing.T) {
	escrow := budget.Escrow{Account: "a-1.1", Instance: "a"}
	assert.Equal(t, map[string]budget.Account{"a-1.1": {Granted: 300, Escrowed: true}}, escrow.ImpliedLedger(1001).Accounts)
	assert.Empty(t, budget.Escrow{}.ImpliedLedger(1001).Accounts)
	for _, one := range []budget.Escrow{escrow, {}} {
		data, err := one.Encode()
		require.NoError(t, err)
		require.NotEmpty(t, data, "the store rejects a row without a value")
		decoded, err := budget.DecodeEscrow(data)
		require.NoError(t, err)
		assert.Equal(t, one, decoded)
	}
	none, err := budget.DecodeEscrow(nil)
	require.NoError(t, err)
	assert.False(t, none.Acquired())
}

// Each shard has a single home in the view of every instance, and an instance
// that joins or leaves moves its own shards only.
func TestShardsHaveOneHome(t *testing.T) {
	var names []string
	for n := range 84 {
		names = append(names, fmt.Sprint("i", n))
	}
	homes := map[int]string{}
	largest := 0
	for _, name := range names {
		shards := budget.HomeShards(name, names)
		largest = max(largest, len(shards))
		for _, shard := range shards {
			require.Empty(t, homes[shard])
			homes[shard] = name
		}
	}
	assert.Len(t, homes, budget.Shards)
	assert.LessOrEqual(t, largest, 3*budget.Shards/len(names), "no instance has far more shards than the others")
	for n := range 200 {
		program := fmt.Sprint("p", n)
		assert.Equal(t, homes[budget.Shard(program)], budget.Home(program, names))
	}
	for _, name := range names[1:] {
		for _, shard := range budget.HomeShards(name, names[1:]) {
			assert.Contains(t, []string{name, names[0]}, homes[shard])
		}
	}
}

func FuzzDecodeEscrow(f *testing.F) {
	data, err := budget.Escrow{Account: "a-1.1", Instance: "a"}.Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		escrow, err := budget.DecodeEscrow(data)
		if err != nil {
			return
		}
		_ = escrow.ImpliedLedger(1000) // must not panic
		_, err = escrow.Encode()
		require.NoError(t, err)
	})
}
