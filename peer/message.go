package peer

import "time"

// Kind says what sort of endpoint a call is for.
type Kind int

//go:generate stringer -type=Kind -trimprefix=Kind

// Kinds of call.
const (
	KindEngine Kind = iota
	KindTool
	// KindForward is a caller's request passed from one entry instance to
	// the one that owns the program; Body is an encoded Forward.
	KindForward
)

// FrameType says what a Frame carries.
type FrameType int

//go:generate stringer -type=FrameType -trimprefix=Frame

// Frame types. A reply is zero or more FrameData, then exactly one FrameEnd
// or FrameRefused or FrameFailed. The reply to a forwarded request starts
// with a FrameHead.
const (
	// FrameData carries one piece of the endpoint's answer: for an engine,
	// the data of one server-sent event; for a tool, the whole body.
	FrameData FrameType = iota
	// FrameEnd closes a complete answer.
	FrameEnd
	// FrameRefused says the call was not run at all; it may be sent again
	// after RetryAfter.
	FrameRefused
	// FrameFailed says the call started and then failed; whether it took
	// effect is unknown.
	FrameFailed
	// FrameHead opens the answer to a forwarded request: an encoded Head.
	FrameHead
)

// Ends reports whether a frame of this type is a reply's last.
func (f FrameType) Ends() bool { return f != FrameData && f != FrameHead }

// Forward is a caller's HTTP request on its way to the program's owner.
type Forward struct {
	Method string            `msgpack:"m"`
	Path   string            `msgpack:"p"`
	Header map[string]string `msgpack:"h"`
	Body   []byte            `msgpack:"b"`
}

// Head is the status and header of the answer to a Forward.
type Head struct {
	Status int               `msgpack:"s"`
	Header map[string]string `msgpack:"h"`
}

// Call is one request from an entry instance to a sidecar.
type Call struct {
	Program  string `msgpack:"p"`
	Sequence uint64 `msgpack:"s"`
	// Fence is the fencing token of the owner's lease on the program. A
	// sidecar refuses a call whose fence is lower than one it has seen for
	// the program, so a deposed owner cannot act after its lease lapsed.
	Fence   uint64 `msgpack:"f"`
	Kind    Kind   `msgpack:"k"`
	Urgency int    `msgpack:"u"`
	// Tool is the tool name, for KindTool.
	Tool string `msgpack:"t,omitempty"`
	// IdempotencyKey is passed to tool services that honour it.
	IdempotencyKey string `msgpack:"i,omitempty"`
	// Deadline is when the caller stops waiting, as Unix milliseconds.
	Deadline int64  `msgpack:"d"`
	Body     []byte `msgpack:"b"`
}

// DeadlineTime returns Deadline as a time.
func (c *Call) DeadlineTime() time.Time { return time.UnixMilli(c.Deadline) }

// Frame is one message of a sidecar's reply.
type Frame struct {
	Type FrameType `msgpack:"y"`
	Data []byte    `msgpack:"d,omitempty"`
	// Reason is a short machine-readable cause for FrameRefused and
	// FrameFailed, such as "stale_fence" or "draining".
	Reason  string `msgpack:"r,omitempty"`
	Message string `msgpack:"m,omitempty"`
	// RetryAfter is when to send a refused call again, in milliseconds.
	RetryAfter int64 `msgpack:"a,omitempty"`
}
