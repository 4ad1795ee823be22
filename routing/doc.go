// Package routing selects the endpoint that serves each call. It does no
// input or output: the entry package supplies the endpoints of the
// configuration, requests one endpoint for each call, and reports the outcome
// of the call.
//
// The contents of an endpoint's prefix cache are estimated from the calls
// sent to it, and corrected by the usage in its responses and by its
// sidecar's reports of evicted blocks.
package routing
