// Package entry is the entry instance: it serves the callers' HTTP API,
// owns programs (one owner at a time, held by a fenced lease in the
// platform's table service), keeps each program's call order, history and
// budget, and sends its calls over the peer protocol to the sidecar of the
// endpoint the router picks.
package entry
