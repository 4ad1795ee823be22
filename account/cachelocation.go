package account

import "slices"

// Place is the location of an engine cache that holds a segment of a program's
// prompts: a conversation, or the prefix that a helper's prompt shares with
// it. The program's home records the locations, since its turns come through
// several instances. An instance without the location would have the engine
// compute the conversation again, 5,000 tokens and more.
type Place struct {
	// Part is the ID of the prompt segment.
	Part string
	// Endpoint names one incarnation of the endpoint; the next one starts with
	// an empty cache.
	Endpoint string
	// Tokens is the length of the segment when it was cached.
	Tokens int64
	// Instance is the entry instance that served the turn and holds the
	// segment in memory.
	Instance string
}

// maxLocations bounds the locations recorded for a program: its own
// conversation and those of the helpers that work at one time.
const maxLocations = 8

// locations holds the cache locations of one program, the newest last.
type locations []Place

// add records a location, replaces an earlier one of the same segment and
// drops the oldest beyond maxLocations.
func (locations *locations) add(location Place) {
	if location.Part == "" {
		return
	}
	*locations = slices.DeleteFunc(*locations, func(old Place) bool { return old.Part == location.Part })
	*locations = append(*locations, location)
	if len(*locations) > maxLocations {
		*locations = slices.Delete(*locations, 0, 1)
	}
}

// forSegments returns the locations of the named segments.
func (locations locations) forSegments(segments []string) []Place {
	var found []Place
	for _, location := range locations {
		if slices.Contains(segments, location.Part) {
			found = append(found, location)
		}
	}
	return found
}
