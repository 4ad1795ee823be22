// Package program implements the state of one agent program at the entry
// instance that owns it: the order of its calls, the reservation of its token
// budget, its conversation history, its end, and the log from which another
// instance restores it. It does no input or output and reads no clock: the
// entry package drives it from connections and timers and passes the time as
// an argument.
package program
