// Package fencing keeps, per program, the highest lease fencing token and
// call sequence a sidecar has seen, and refuses calls behind them. It is
// what keeps a deposed owner (whose lease lapsed while it was paused) from
// acting on an endpoint, including endpoints that ignore fencing numbers.
// It does no input or output.
package fencing
