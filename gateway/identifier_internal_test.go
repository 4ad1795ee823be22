package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/balance"
)

// Guards against identifiers of unlimited length in tables that outlast their requests.
func TestIdentifiersAreBounded(t *testing.T) {
	short, long := strings.Repeat("x", maxIdentifier), strings.Repeat("x", maxIdentifier+1)
	assert.Equal(t, short, boundedIdentifier(short))
	assert.LessOrEqual(t, len(boundedIdentifier(long)), maxIdentifier)
	assert.NotEqual(t, boundedIdentifier(long), boundedIdentifier(long+"x"))
	call := RequestInfo{ID: long, Program: long, Session: long, Previous: long, Resumes: long}
	call.bound()
	for _, identifier := range []string{call.ID, call.Program, call.Session, call.Previous, call.Resumes} {
		assert.Equal(t, boundedIdentifier(long), identifier)
	}
}

// Guards against lists of parts without a bound, and against lists that differ in their last parts being taken for the same.
func TestSegmentsAreBounded(t *testing.T) {
	list := func(n int, last string) []balance.Part {
		var segments []balance.Part
		for number := range n - 1 {
			segments = append(segments, balance.Part{ID: fmt.Sprint(number), Tokens: 2})
		}
		return append(segments, balance.Part{ID: last, Tokens: 2})
	}
	assert.Equal(t, list(maxSegments, "a"), boundedSegments(list(maxSegments, "a")))
	bounded := boundedSegments(list(1000, "a"))
	assert.Len(t, bounded, maxSegments)
	var tokens int64
	for _, segment := range bounded {
		tokens += segment.Tokens
	}
	assert.EqualValues(t, 2000, tokens)
	assert.NotEqual(t, bounded, boundedSegments(list(1000, "b")))
	assert.LessOrEqual(t, len(boundedSegments(list(2, strings.Repeat("x", 1000)))[1].ID), maxIdentifier)
}
