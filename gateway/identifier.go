package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strings"

	"github.com/wagtaildrum/wagtaildrum/balance"
)

const (
	// maxIdentifier is the length, in bytes, up to which callers' identifiers are kept as
	// they are. Longer ones are kept as digests.
	maxIdentifier = 128
	// maxSegments bounds the segments of a prompt that are distinguished.
	maxSegments = 64
)

// bound bounds the memory of what is kept of a request beyond its response: identifiers by which
// state is found later. All instances derive the same.
func (call *RequestInfo) bound() {
	for _, identifier := range []*string{&call.ID, &call.Program, &call.Session, &call.Previous, &call.Resumes} {
		*identifier = boundedIdentifier(*identifier)
	}
	call.Segments = boundedSegments(call.Segments)
}

// boundedIdentifier returns an identifier of up to maxIdentifier bytes for a caller's.
func boundedIdentifier(identifier string) string {
	if len(identifier) <= maxIdentifier {
		return identifier
	}
	digest := sha256.Sum256([]byte(identifier))
	return "sha256-" + hex.EncodeToString(digest[:])
}

// boundedSegments returns up to maxSegments segments, of which the last stands for the others. Their
// IDs share no memory with the header that they were read from.
func boundedSegments(segments []balance.Part) []balance.Part {
	if len(segments) > maxSegments {
		rest := balance.Part{}
		digest := sha256.New()
		for _, segment := range segments[maxSegments-1:] {
			_, _ = io.WriteString(digest, segment.ID+",") // never fails
			rest.Tokens += segment.Tokens
		}
		rest.ID = "sha256-" + hex.EncodeToString(digest.Sum(nil))
		segments = append(segments[:maxSegments-1:maxSegments-1], rest)
	}
	for n := range segments {
		segments[n].ID = strings.Clone(boundedIdentifier(segments[n].ID))
	}
	return segments
}
