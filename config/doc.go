// Package config is the deployment's configuration as the platform's
// table service keeps it under the key "config": which endpoints exist,
// their role, model or tools, and their sidecar's address. It also makes
// the plan of a change, the difference an operator confirms before it is
// written. It does no input or output.
package config
