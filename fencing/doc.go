// Package fencing records, for each program, the highest lease fencing token
// and call sequence number that a sidecar has received, and refuses calls
// with lower ones. This prevents a former owner, whose lease expired while it
// was paused, from using an endpoint, including endpoints that ignore fencing
// tokens. The package does no input or output.
package fencing
