// Package route holds the configuration that operators put in force: which
// hosts and paths lead to which services, and what each route promises its
// callers. A Table is immutable; a Current only ever moves to a newer one.
// The package does no input or output.
package route
