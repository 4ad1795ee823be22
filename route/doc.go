// Package route holds the configuration activated by operators: which hosts
// and paths lead to which services, the properties of each route, and the
// organisations with their keys and quotas. A Table is immutable; a Current is
// only ever replaced by a newer Table. The package does no input or output.
package route
