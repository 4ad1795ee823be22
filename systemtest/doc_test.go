// Package systemtest runs the real entry, sidecar and stand-in components
// together on loopback ports inside one test binary and checks whole
// sessions against golden files, and failures against the brief's
// guarantees.
package systemtest
