// Package balance chooses the endpoint that is expected to begin a request's
// answer soonest: from what this instance has in flight there, what the
// endpoint last told of its load, the parts of the prompt that it is
// expected to have read already, and its data centre. It does no input or
// output.
package balance
