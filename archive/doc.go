// Package archive stores the turns of conversations in the durable store and
// caches the recently used ones in memory. A turn is stored before its caller
// receives the end of the response. A failure of instances therefore never loses
// a turn that a caller may continue from.
package archive
