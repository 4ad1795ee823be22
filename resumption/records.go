package resumption

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

// keySize is the size of a Key in bytes.
const keySize = 16

// Key identifies an attempt at a stream within the organisation of its caller.
// Callers choose the IDs of attempts, and an organisation must not find the
// attempts of another one. The zero Key identifies none.
type Key [keySize]byte

// NewKey returns the key of the attempt with the given ID, of a caller of the
// organisation, which is empty for a caller without a key.
func NewKey(organisation, attempt string) Key {
	if attempt == "" {
		return Key{}
	}
	hash := sha256.New()
	_, _ = hash.Write([]byte(organisation))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(attempt))
	return Key(hash.Sum(nil)[:keySize])
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the endpoint, and Incarnation the name of
	// its incarnation as the instance knew it. Incarnation is empty if only the
	// version is known.
	Version, Incarnation string
}

// maxRecords bounds the origins that an instance holds, of some 200 bytes each.
const maxRecords = 1 << 14

// record is the origin of one attempt.
type record struct {
	origin     Origin
	recordedAt time.Time
	// conflicting is set if two origins were recorded for the attempt.
	conflicting bool
}

// Records holds the origins of the streams that were recorded last. It is safe
// for concurrent use.
type Records struct {
	clock clock.Clock

	mu      sync.Mutex
	records *simplelru.LRU[Key, record]
}

// NewRecords returns Records without any origin.
func NewRecords(clk clock.Clock) *Records {
	// NewLRU fails only for a size that is not positive.
	lru, _ := simplelru.NewLRU[Key, record](maxRecords, nil)
	return &Records{clock: clk, records: lru}
}

// Put records the origin of the attempt. If another service or version is recorded
// for it, the attempt has no known origin from then on: a caller has used its ID
// twice. The zero Key is ignored.
func (records *Records) Put(key Key, origin Origin) {
	if key == (Key{}) {
		return
	}
	records.mu.Lock()
	defer records.mu.Unlock()
	known, ok := records.records.Get(key)
	if !ok {
		records.records.Add(key, record{origin: origin, recordedAt: records.clock.Now()})
		return
	}
	if known.origin.Service != origin.Service || known.origin.Version != origin.Version {
		known.conflicting = true
		records.records.Add(key, known)
	}
}

// Get returns what is recorded of the attempt.
func (records *Records) Get(key Key) Finding {
	records.mu.Lock()
	defer records.mu.Unlock()
	known, ok := records.records.Get(key)
	if !ok {
		return Finding{}
	}
	return Finding{Origin: known.origin, Found: !known.conflicting, Conflicting: known.conflicting, Age: records.clock.Now().Sub(known.recordedAt)}
}
