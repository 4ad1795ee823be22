// Package routing decides which endpoint takes a call. It does no input or
// output: the entry package tells it the endpoints of the configuration,
// asks it to pick one for each call, and reports how the call went.
//
// What an endpoint holds in its prefix cache is known from the calls sent
// to it, and corrected by what its answers and its sidecar's reports say.
package routing
