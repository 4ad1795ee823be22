// Package budget decides how many tokens a program may still spend when its
// turns are served by any entry instance.
//
// Each instance has an account in the program's row, which holds the tokens
// granted to the instance and the tokens used, that is spent or promised to
// turns in flight. An instance spends only what its account grants durably, and
// the grants of a row never exceed the budget. A program without a row has an
// account at its home instance only, provided that the home has an escrow: the
// right to a part of the budgets of all programs of a shard.
//
// A turn may begin with a partial grant and request the remainder later. A home
// that stops leaves the remainder of turns in flight elsewhere reserved in the
// row, for other accounts to grant.
//
// The package does no input or output.
package budget
