// Package sidecar is the process beside one endpoint (an engine or a tool
// service). It takes calls from entry instances over the peer protocol,
// refuses stale fences and out-of-order calls, admits calls to the
// endpoint most urgent first through its own gate (engines know no
// priorities), cancels the endpoint's work when the caller goes away, and
// drains before a planned stop.
package sidecar
