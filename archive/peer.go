package archive

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/wagtaildrum/wagtaildrum/history"
)

const (
	// peerTimeout bounds a request for turns to another instance, and thereby
	// the delay it adds if the instance doesn't respond. Reading the store
	// instead takes 4 ms a call, in two sequential steps: the last turn, then
	// its ancestors.
	peerTimeout = 50 * time.Millisecond
	// maxHeldBytes bounds the turns returned in one response to another
	// instance. A link of 30 Mbit/s transfers this much in 35 ms, which is
	// within peerTimeout. Turns have a few KB each.
	maxHeldBytes = 128 << 10
	// maxHeldMemory bounds the memory of the turns that are encoded for one response, or
	// decoded from each turn of one.
	maxHeldMemory = 4 * maxHeldBytes
	// CachedMemory is the memory that Cached and sending its result take at most, in bytes.
	CachedMemory = maxHeldMemory + 2*maxHeldBytes
)

// errNotHeld is the error for a turn from another instance that is larger than any it should send.
var errNotHeld = errors.New("turn is too large to be sent by another instance")

// Peers requests turns from the caches of the other instances. The turns of a
// program are served by several instances, and without peers each instance would
// read the complete conversation from the store: 55 calls for a conversation of
// eleven turns.
type Peers interface {
	// Turns returns the turn id and its ancestors, as far as the given instance
	// has them in memory.
	Turns(ctx context.Context, instance, id string) ([]EncodedTurn, error)
}

// EncodedTurn is a turn in its stored form: its ID and the values of its rows.
type EncodedTurn struct {
	ID   string
	Rows [][]byte
}

// Cached returns the cached turns of the conversation that ends with the turn id,
// newest first, up to maxHeldBytes in total when encoded, and up to maxHeldMemory before. It returns
// nil if the turn id isn't cached. All turns returned are also in the store.
func (archive *Archive) Cached(id string) []EncodedTurn {
	last := archive.cache.get(id)
	if last == nil {
		return nil
	}
	var cached []EncodedTurn
	size, memory := 0, int64(0)
	for _, id := range slices.Backward(last.Chain()) {
		turn := archive.cache.get(id)
		if turn == nil {
			continue
		}
		if memory += turn.Memory(); memory > maxHeldMemory {
			break
		}
		rows, err := turn.Encode(archive.rowBytes)
		if err != nil {
			archive.log.Warn("turn not encoded for another instance; it will read the turn from the store", "turn", id, "err", err)
			continue
		}
		for _, row := range rows {
			size += len(row)
		}
		if size > maxHeldBytes {
			break
		}
		cached = append(cached, EncodedTurn{ID: id, Rows: rows})
	}
	return cached
}

// fetch requests the turn id and its ancestors from the instance holder and adds
// the turns received to the cache. It returns the outcome. The caller reads missing
// turns from the store.
func (archive *Archive) fetch(ctx context.Context, id, holder string) peerFetch {
	if holder == "" || archive.cache.get(id) != nil {
		return peerFetch{}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	received, err := archive.peers.Turns(ctx, holder, id)
	if err != nil || len(received) == 0 {
		archive.missed.Inc(1)
		archive.log.Debug("no turns from another instance; reading them from the store", "turn", id, "instance", holder, "err", err)
		return peerFetch{instance: holder, err: err}
	}
	for _, kept := range received {
		turn, err := history.DecodeWithin(kept.ID, kept.Rows, func(size int64) error {
			if size > maxHeldMemory {
				return errNotHeld
			}
			return nil
		})
		if err != nil {
			archive.log.Warn("cannot decode turn from another instance; reading it from the store", "turn", kept.ID, "instance", holder, "err", err)
			continue
		}
		archive.fetched.Inc(1)
		archive.cache.put(turn)
	}
	return peerFetch{instance: holder, turns: len(received)}
}
