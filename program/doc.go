// Package program is the core of a program's life at its owner entry
// instance: call order, budget reservation, conversation history and end.
// It does no input or output; the entry package drives it from sockets and
// timers, and passes time in through a Clock.
package program
