package engine

// Load answers GET /load: what an engine last reported of its load. Engines
// report with a lag.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// CacheEventKind says what happened to a block of the prefix cache.
type CacheEventKind string

// Cache event kinds.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
)

// CacheEvent is one change of an engine's prefix cache. Sequence numbers
// count every event; engines publish late and leave some out, so a reader
// sees a gap in the numbers where events were lost.
type CacheEvent struct {
	Sequence uint64         `json:"seq"`
	Kind     CacheEventKind `json:"kind"`
	Block    uint64         `json:"block"`
}

// CacheEvents answers GET /cache-events?after=N: the published events after
// N, oldest first, and the highest sequence number published, lost events
// included.
type CacheEvents struct {
	Events    []CacheEvent `json:"events"`
	Published uint64       `json:"published"`
}

// CacheBlocks answers GET /cache-blocks: every block now held, and the
// sequence number of the event that led to this state.
type CacheBlocks struct {
	Sequence uint64   `json:"seq"`
	Blocks   []uint64 `json:"blocks"`
}

// LastEventHeader is the header a client resumes a stream with: the number
// of the last event it received.
const LastEventHeader = "Last-Event-ID"
