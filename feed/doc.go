// Package feed spreads the tables that all instances follow over the instances
// of a data centre. Reading them from the store takes calls that grow with the
// number of instances times the number of changes; here one instance of a data
// centre reads a table and the others read it from each other, along a tree of
// bounded fan-out.
//
// Tree decides from which instance to read, and Replica holds what an instance
// has read and passes on. The package does no input or output.
package feed
