// Package upstream sends requests to endpoints over HTTP/1.1. It never retries
// a request, and its errors tell whether the request can have reached the
// endpoint.
//
// net/http's Transport is not used because it retries requests when a reused
// connection fails, does not report whether any bytes were sent, and takes a
// late extra response to an earlier request for the response to the next one.
package upstream
