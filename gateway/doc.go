// Package gateway serves callers' HTTP requests on an entry instance. For each
// request it matches a route, charges the organisation's quota, reserves budget
// for the program's turn, rebuilds the conversation, chooses an endpoint,
// relays the response and records the final usage. ServeHTTP in serve.go calls
// these steps in order.
//
// A turn is one request of a program to a model; it generates tokens that count
// against the program's budget.
package gateway
