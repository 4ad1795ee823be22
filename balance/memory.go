package balance

// engineMemory counts the tokens that the requests in flight of this instance
// may occupy in an engine's key-value cache. An engine that holds more requests
// than its memory takes crashes or preempts them.
type engineMemory struct {
	// tokens counts the tokens of the requests without their first segments.
	tokens int64
	// firstSegments counts the requests by first segment, which they share.
	firstSegments map[Part]int
	// sharedTokens is the sum over firstSegments of their tokens.
	sharedTokens int64
}

// fits reports whether the engine has room for request beside the requests in
// flight. A request without a capacity always fits.
func (memory *engineMemory) fits(request *Request) bool {
	if request.Capacity <= 0 {
		return true
	}
	needed := ownTokens(request)
	if len(request.Segments) > 0 && memory.firstSegments[request.Segments[0]] == 0 {
		needed += request.Segments[0].Tokens
	}
	return memory.sharedTokens+memory.tokens+needed <= request.Capacity
}

// add counts request.
func (memory *engineMemory) add(request *Request) {
	memory.tokens += ownTokens(request)
	if len(request.Segments) == 0 {
		return
	}
	first := request.Segments[0]
	if memory.firstSegments == nil {
		memory.firstSegments = map[Part]int{}
	}
	if memory.firstSegments[first] == 0 {
		memory.sharedTokens += first.Tokens
	}
	memory.firstSegments[first]++
}

// remove ends the count of request.
func (memory *engineMemory) remove(request *Request) {
	memory.tokens -= ownTokens(request)
	if len(request.Segments) == 0 {
		return
	}
	first := request.Segments[0]
	if memory.firstSegments[first]--; memory.firstSegments[first] == 0 {
		delete(memory.firstSegments, first)
		memory.sharedTokens -= first.Tokens
	}
}

// ownTokens returns the number of tokens that a request occupies beside its
// first segment.
func ownTokens(request *Request) int64 {
	tokens := request.OutputTokens
	for i, segment := range request.Segments {
		if i > 0 {
			tokens += segment.Tokens
		}
	}
	return tokens
}
