// Package admission decides which waiting call goes to an endpoint next.
// Engines have no notion of priority and admit requests in order of arrival,
// so calls are queued in front of them. A Gate admits a bounded number of
// concurrent calls, the most urgent class first, and within a class by an
// Order over programs rather than single calls. A Window adapts this bound to
// the queues reported by endpoints. The package does no input or output.
package admission
