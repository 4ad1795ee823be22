// Package admission decides which waiting call goes to an endpoint next.
// Engines know no priorities and admit requests as they arrive, so the
// sidecar keeps the queue: a Gate lets a bounded number of calls through at
// once, the most urgent class first, and within a class in the order of an
// Order over whole programs. It does no input or output.
package admission
