package connlimit

import "bytes"

// Memory that clients cost, in bytes. TestCostsCoverMemory measures each.
const (
	// connCost is the memory of an open connection: two buffers, a goroutine and
	// its stack.
	connCost = 20 << 10
	// byteCost and itemCost are the memory for each byte and for each item of a
	// request's head, as received, parsed and copied to be forwarded. An item ends with
	// a line or a comma, since lists of names are parsed, too.
	byteCost = 6
	itemCost = 320
)

// HeadCost returns the memory that a part of a request's head takes once parsed.
func HeadCost(p []byte) int64 {
	items := bytes.Count(p, []byte{'\n'}) + bytes.Count(p, []byte{','})
	return byteCost*int64(len(p)) + itemCost*int64(items)
}
