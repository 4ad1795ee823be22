// Package history holds what programs and engines said to each other: a turn
// is a request's new input and the answer's events, and names the turn that
// it continues. A conversation is rebuilt from its turns, byte for byte. The
// package does no input or output.
package history
