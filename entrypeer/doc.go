// Package entrypeer implements the calls between entry instances: releasing a
// program's budget tokens to another instance, borrowing and repaying them,
// requesting quota credit and transferring quota buckets, fetching turns from
// memory, and relaying calls to the store for an instance that cannot reach it.
//
// Instances find each other through a table of the store. The calls are few and
// short, so they use plain HTTP/1.1 with CBOR bodies.
//
// A loan is a reservation of a program's tokens made at the program's home
// instance for a turn that another instance serves. The home of a program or
// organisation is the instance that rendezvous hashing picks to keep its
// account.
package entrypeer
