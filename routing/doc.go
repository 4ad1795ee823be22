// Package routing picks the endpoint for a call. It uses rendezvous
// (highest random weight) hashing of the program against each eligible
// endpoint, so a program's calls keep landing on the engine that holds
// its prefix in cache, and when an endpoint leaves only its programs move.
// It does no input or output.
package routing
