package resumption

import "errors"

var (
	// errConflicting is the cause if different origins were recorded.
	errConflicting = errors.New("different origins were recorded for the attempt")
	// errNotRecorded is the cause if no instance that responded has the origin, or
	// knows that the service has had only one version.
	errNotRecorded = errors.New("no origin is recorded, and the service may have had several versions")
)
