// Package config defines the deployment's configuration, stored in the
// platform's table service under the key "config": the list of endpoints with
// their role, their model or tools, and the address of their sidecar.
//
// It also computes the difference of two configurations, as a Plan that an
// operator confirms before it is written, and as a Delta that watchers apply
// to their copy. The package does no input or output.
package config
