// Package operator carries out what an operator states with the ctl
// command: it reads the desired configuration, makes the plan against the
// configuration in force, and writes it only when the operator confirms,
// with a compare-and-set on the version the plan was made against. Of two
// operators racing, the second is told the configuration changed under
// them and must plan again; neither overwrites the other unseen.
package operator
