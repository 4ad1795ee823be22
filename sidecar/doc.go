// Package sidecar implements the process that runs next to one endpoint, which
// is an engine or a tool service. A sidecar receives calls from entry instances
// over the peer protocol and rejects calls with a stale fence or an earlier
// sequence number. It admits calls to the endpoint through its own gate, the
// most urgent first, because engines have no priorities. It cancels the
// endpoint's work when the caller cancels the call or disconnects, and drains
// before a planned stop.
package sidecar
