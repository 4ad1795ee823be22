// Package soak holds a randomized test that runs entry instances as separate
// processes, injects faults from outside them, and checks the product's
// promises from what callers and endpoints see. Each seed is one run:
//
//	go test ./soak -run TestSoak -soak.seeds 50 -soak.first 1 -soak.time 20s
package soak
