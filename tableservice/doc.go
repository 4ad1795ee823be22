// Package tableservice is a client for the platform services that hold
// wagtaildrum's durable state: the transactional table service (get,
// compare-and-set on a version, scan by prefix), the object store, and the
// instance list, which is eventually consistent. The client uses the
// platform's HTTP protocol.
package tableservice
