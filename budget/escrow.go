package budget

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtaildrum/wagtaildrum/codec"
)

// escrowPercent is the percentage of a budget that may be granted by escrow. If
// the instance crashes, the remainder must cover what a program needs through
// rows. The hardest case is a program of a single turn, which may generate 63
// to 65 % of its budget. Turns spend a third of their maximum and begin with a
// partial grant. Under these conditions 30 % covers the first turn of 89 to 92
// of 100 short programs and 98 of 100 long ones, and all turns of 67 short and
// 78 to 88 long ones. 50 % covered all turns of 93 and 97, but after a power
// loss of all instances one program in five was rejected or aborted in the
// middle of its response.
const escrowPercent = 30

// Shards is the number of shards into which programs are divided by hash. All
// programs of a shard have the same home, and a shard has at most one escrow.
// An instance writes the escrows of its own shards only, so that instances that
// start together do not wait for each other. With fewer shards than instances,
// some instances would be the home of no program. Each shard costs its home two
// rows of a transaction at its start. The number is a multiple of the store's
// partitions, so that each shard lies in a single partition.
const Shards = 960

// Shard returns the shard of a program.
func Shard(program string) int { return int(xxhash.Sum64String(program) % Shards) }

// Escrow is the right of one incarnation of an entry instance to grant a part
// of the budgets of all programs of one shard that have no row yet, without
// writing a row. It ends when that incarnation releases it, or its witness does,
// which knows the tokens granted under it. The escrow of an instance that crashed
// together with its witness remains. The zero value is the escrow of a shard that no
// instance has acquired.
type Escrow struct {
	// Account is the account to which the right belongs. No other incarnation
	// of any instance may use it.
	Account string `cbor:"a"`
	// Instance is the name of the instance, which its next incarnation shares.
	Instance string `cbor:"i"`
	// Witness is the incarnation of another instance that records what the escrow
	// grants before it is granted; empty for none.
	Witness string `cbor:"w,omitempty"`
}

// DecodeEscrow decodes the output of Encode. It returns the zero value for
// empty data, and an error if the data is malformed.
func DecodeEscrow(data []byte) (Escrow, error) {
	var escrow Escrow
	if len(data) == 0 {
		return escrow, nil
	}
	err := codec.Unmarshal(data, &escrow)
	return escrow, eris.Wrap(err, "escrow")
}

// Encode returns the encoded escrow, which is never empty.
func (escrow Escrow) Encode() ([]byte, error) {
	data, err := codec.Marshal(escrow)
	return data, eris.Wrap(err, "escrow")
}

// Acquired reports whether an instance has acquired the escrow.
func (escrow Escrow) Acquired() bool { return escrow.Account != "" }

// ImpliedLedger returns the ledger of a program of the shard that has no row and a
// budget of total tokens.
func (escrow Escrow) ImpliedLedger(total int64) *Ledger {
	ledger := &Ledger{Accounts: map[string]Account{}}
	if escrow.Acquired() {
		ledger.Accounts[escrow.Account] = Account{Granted: total * escrowPercent / 100, Escrowed: true}
	}
	return ledger
}

// Score returns the weight of an instance in the rendezvous hashing of a shard.
func Score(shard int, instance string) uint64 {
	return shardScore(shard, xxhash.Sum64String(instance))
}

// shardScore returns Score for an instance given by the hash of its name.
func shardScore(shard int, instance uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], instance)
	binary.LittleEndian.PutUint64(key[8:], uint64(shard))
	return xxhash.Sum64(key[:])
}

// Home returns the home of a program among instances, by rendezvous hashing of
// its shard, or "" if there are no instances.
func Home(program string, instances []string) string {
	home, best, shard := "", uint64(0), Shard(program)
	for _, instance := range instances {
		if score := Score(shard, instance); home == "" || score > best {
			home, best = instance, score
		}
	}
	return home
}

// HomeShards returns, in ascending order, the shards of which instance is the
// home among instances.
func HomeShards(instance string, instances []string) []int {
	hashes := make([]uint64, 0, len(instances))
	for _, other := range instances {
		if other != instance {
			hashes = append(hashes, xxhash.Sum64String(other))
		}
	}
	ownHash := xxhash.Sum64String(instance)
	var shards []int
	for shard := range Shards {
		if isHome(shard, ownHash, hashes) {
			shards = append(shards, shard)
		}
	}
	return shards
}

// isHome reports whether ownHash has a higher score in the shard than each of
// the others.
func isHome(shard int, ownHash uint64, others []uint64) bool {
	score := shardScore(shard, ownHash)
	for _, other := range others {
		if shardScore(shard, other) >= score {
			return false
		}
	}
	return true
}
