// Package gateway serves callers' requests: it finds the route, keeps the
// program's budget and history, chooses an endpoint, sends the request
// there, passes the answer on, and settles. One request can be followed from
// top to bottom in serve.go.
package gateway
