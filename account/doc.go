// Package account stores the token budgets of programs and grants their turns
// tokens. It reads and writes the rows on which package budget decides.
//
// A program's row is its ledger: one account for each incarnation of an entry
// instance that served a turn of the program. An incarnation may also hold the
// escrow of a shard of programs: the right to grant part of their budgets
// without writing a row. Another instance, the escrow's witness, records these
// grants before they are made, and releases the escrow if the incarnation is
// lost. A turn that is served by another instance than the
// program's home takes a loan: a reservation of the program's tokens made at
// the home instance, repaid with the number of tokens spent.
//
// A turn begins only after its tokens are granted durably, by the program's
// row or by the escrow of its home. Neither an instance failure nor a lost
// store response can therefore make a program spend more than its budget.
package account
