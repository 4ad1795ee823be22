// Package quarantine decides when a request is no longer sent because endpoints
// crashed while they processed it.
//
// Each attempt of a caller has an ID of its own, so a request is recognised by what
// its attempts have in common. Crashes are rare: nothing is recorded of a request
// until an endpoint fails under it.
//
// The package does no input or output.
package quarantine
