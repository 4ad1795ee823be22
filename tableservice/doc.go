// Package tableservice is the client of the platform's services that
// wagtaildrum keeps its lasting state in: the transactional table service
// (get, compare-and-set on a version, scan by prefix), the object store,
// and the lagging instance list. It speaks their HTTP protocol via sling.
package tableservice
