// Package operator implements the configuration changes of the ctl command: it
// reads the desired configuration from a file, reads the current one from the
// table service, and writes a confirmed plan with a compare-and-set on the
// version that the plan was made against. Of two concurrent changes the second
// fails with a StaleError and has to be planned again, which keeps operators
// from overwriting each other's changes unnoticed.
package operator
