// Package admission holds the gate a sidecar puts in front of its
// endpoint. Engines know no priorities and admit requests as they arrive,
// so the gate keeps at most a fixed number of calls on the endpoint and
// lets the most urgent waiting call in first, oldest first within a class.
// It does no input or output.
package admission
