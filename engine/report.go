package engine

// Load is the response to GET /load: the numbers of running and waiting requests
// that the engine last reported. Engines report with a lag.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// CacheEventKind is the kind of a CacheEvent: whether the block was stored in
// the prefix cache or removed from it.
type CacheEventKind string

// Cache event kinds.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
)

// CacheEvent is one change of an engine's prefix cache. Every event has the next
// sequence number. Engines publish events with a lag and may lose some; a gap
// in the sequence numbers shows a reader that events were lost.
type CacheEvent struct {
	Sequence uint64         `json:"seq"`
	Kind     CacheEventKind `json:"kind"`
	Block    uint64         `json:"block"`
}

// CacheEvents is the response to GET /cache-events?after=N: the published events
// with sequence numbers above N, oldest first, and the highest published
// sequence number, that of a lost event included.
type CacheEvents struct {
	Events    []CacheEvent `json:"events"`
	Published uint64       `json:"published"`
}

// CacheBlocks is the response to GET /cache-blocks: all blocks in the prefix
// cache, and the sequence number of the last event before this state.
type CacheBlocks struct {
	Sequence uint64   `json:"seq"`
	Blocks   []uint64 `json:"blocks"`
}

// LastEventHeader is the request header that resumes a stream: it holds the
// number of the last event that the client received.
const LastEventHeader = "Last-Event-ID"
