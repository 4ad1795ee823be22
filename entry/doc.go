// Package entry implements the entry instance. It serves the HTTP API for
// callers and owns programs: each program has one owner at a time, which
// holds a fenced lease in the platform's table service. The owner keeps the
// program's call order, conversation history and budget, and sends its calls
// over the peer protocol to the sidecar of the endpoint that the router
// selects. A request that arrives at another instance is forwarded to the
// owner.
//
// An instance adopts a program when the lease of the previous owner has
// ended: it acquires the lease, which raises the fencing token, and restores
// the program from the previous owner's journal.
package entry
