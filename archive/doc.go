// Package archive keeps the turns of conversations in the durable store, and
// the ones used lately in memory. A turn is kept before its caller learns of
// its end, so that no failure of instances loses a turn that a caller may
// continue from.
package archive
