// Package upstream sends requests to endpoints over HTTP/1.1. It never sends
// a request twice by itself, and tells for each failure whether the request
// can have reached the endpoint.
//
// net/http's Transport is not used since it repeats requests when a reused
// connection fails, does not tell whether bytes left, and takes a late extra
// answer of an earlier request for the answer of the next.
package upstream
