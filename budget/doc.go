// Package budget decides how much a program may still spend when its turns
// come through any entry instance. Each instance has an account in the
// program's row: what it may hand out (granted) and what it has handed out
// or is about to (used). An instance hands out only what its account grants
// durably, and the grants of a row never add up to more than the budget. A
// program without a row has an account at its home alone, if that has an escrow: the
// right to a part of the budgets of all programs whose home it is. A turn may
// begin with a part and ask for the rest; a home that stops leaves the rest of
// turns in flight elsewhere reserved in the row, for other accounts to grant.
// The package does no input or output.
package budget
