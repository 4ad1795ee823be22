// Package resumption decides at which software version a stream may be resumed.
//
// Endpoints of several software versions may serve side by side in a service. A
// stream may only be resumed at the version that began it, mostly through another
// instance than the one that served it before. While a service has more than one
// version, the instance that begins a stream records its origin, also at other
// instances, before the caller receives the first event. While it has one, that
// version began every stream, and nothing is recorded. An origin that cannot be
// found is unknown and never guessed.
//
// The package does no input or output.
package resumption
