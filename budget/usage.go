package budget

import "fmt"

// Turn is the request of a turn for tokens of a budget.
type Turn struct {
	// Part is what the turn may spend before it requests more.
	Part int64
	// Most is the maximum that the turn may spend in total, as far as the
	// account has not counted it yet. It is 0 for a further part of a turn that
	// the same account started.
	Most int64
	// Rest is set for a further part of a turn that has started, at any
	// account. The check that the budget covers the turn was made at its start.
	Rest bool
	// Taken is set if the tokens of the part are already deducted from the
	// reservation of a stopped account.
	Taken bool
}

// FullTurn returns a turn that requests its maximum at once.
func FullTurn(maxTokens int64) Turn { return Turn{Part: maxTokens, Most: maxTokens} }

// initialPercent is the percentage of its maximum that a turn is promised when
// it starts with a partial grant. Turns spend 34 to 36 % on average, and two in
// three at most 40 %.
const initialPercent = 40

// InitialPart returns the request for the initial part of a turn of at most
// maxTokens tokens.
func InitialPart(maxTokens int64) Turn {
	return Turn{Part: (maxTokens*initialPercent + 99) / 100, Most: maxTokens}
}

// Usage is the view of one instance on the budget of one program. It is not
// safe for concurrent use.
type Usage struct {
	owner   string
	ledger  *Ledger
	version uint64
	// settled is what ended turns have spent. promised is what turns in flight
	// may spend now, and worstCase what they may spend in total, further parts
	// included.
	settled, promised, worstCase int64
	// A row sent by Release may be applied at any time while the row is at
	// version releasedAt. Until a newer version is read, no more than released
	// is granted.
	releasing  bool
	releasedAt uint64
	released   int64
	// unreleased is the ledger before the row of Release, nil if that may be applied
	// though the store reported that it was not.
	unreleased *Ledger
	// While the row is at version uncertainAt, the stored row may grant more
	// than ledger: a row sent without a response may have been applied, or
	// ledger omits the grant of an unused escrow.
	uncertain   bool
	uncertainAt uint64
	// hasWitness is set if a witness records what the escrow of the local account
	// grants, and witnessed is the number of tokens that it has recorded.
	hasWitness bool
	witnessed  int64
	// lost holds the accounts of other owners that can't release what they did not
	// use, and silent those whose owners did not respond for a moment.
	lost, silent map[string]bool
	// unaccounted is the part of settled that was granted to turns of which nobody knows
	// what they spent.
	unaccounted int64
	// largest is the largest maximum of a turn that has begun.
	largest int64
}

// NewUsage returns the usage of the account owner, which must never have been
// used before. ledger and version are the program's row as read, with version 0
// if there is no row.
func NewUsage(owner string, ledger *Ledger, version uint64) *Usage {
	return &Usage{owner: owner, ledger: ledger, version: version}
}

// Owner returns the name of the local account.
func (usage *Usage) Owner() string { return usage.owner }

// Version returns the version of the row on which the usage is based.
func (usage *Usage) Version() uint64 { return usage.version }

// Used returns what this instance has spent or promised.
func (usage *Usage) Used() int64 { return usage.settled + usage.promised }

// Granted returns what the row grants to this instance.
func (usage *Usage) Granted() int64 { return usage.ledger.Accounts[usage.owner].Granted }

// Holders returns the owners of other accounts that may have unused tokens to
// release.
func (usage *Usage) Holders() []string { return usage.ledger.Holders(usage.owner) }

// String describes the usage for logs: the local counts and the row.
func (usage *Usage) String() string {
	return fmt.Sprintf("own settled=%d promised=%d most=%d, lost=%d, row version=%d %s", usage.settled, usage.promised, usage.worstCase, usage.Lost(), usage.version, usage.ledger)
}

// SetUnresponsive records which accounts of other owners are lost, since their
// owners have terminated, and which ones have owners that did not respond for a
// moment. Nobody else knows what a lost account used of its grant.
func (usage *Usage) SetUnresponsive(lost, silent []string) {
	usage.lost, usage.silent = map[string]bool{}, map[string]bool{}
	for _, account := range lost {
		usage.lost[account] = account != usage.owner
	}
	for _, account := range silent {
		usage.silent[account] = account != usage.owner
	}
}

// Lost returns the number of tokens of which nobody knows whether they were spent: those
// granted to lost accounts, as of the row, and those of turns ended by EndLost.
func (usage *Usage) Lost() int64 {
	tokens := usage.unaccounted
	for name, account := range usage.ledger.Accounts {
		switch {
		case name == usage.owner:
		case usage.lost[name] && !account.Settled:
			tokens += account.Granted + account.Reserved
		default:
			tokens += account.Lost
		}
	}
	return tokens
}

// allowance returns by how much all grants together may exceed the budget: what
// lost accounts hold, up to the maximum of one turn. Lost grants were mostly not
// spent, and a program that loses instances now and then could not go on if all of
// them counted as spent for good. Since the allowance is part of the sum of all
// grants and not added for each loss, no program is handed more than its budget and
// one turn's maximum.
func (usage *Usage) allowance(turn Turn) int64 {
	return min(usage.Lost(), max(usage.largest, turn.Most))
}

// Idle reports whether no turn is in flight at this instance.
func (usage *Usage) Idle() bool { return usage.promised == 0 }

// Escrowed reports whether the local account is implied by an escrow and the
// ledger has no other account.
func (usage *Usage) Escrowed() bool {
	return usage.ledger.Accounts[usage.owner].Escrowed && len(usage.ledger.Accounts) == 1
}

// OthersEscrowed reports whether each other account is implied by an escrow. If the
// instance of that escrow is gone for good, the remaining tokens belong to this
// instance, though they may be less than a turn can generate.
func (usage *Usage) OthersEscrowed() bool {
	for name, account := range usage.ledger.Accounts {
		if name != usage.owner && !account.Escrowed {
			return false
		}
	}
	return true
}

// witnessSteps is the number of steps in which a witness records the grant of an escrow,
// unless a turn needs a larger one. If the owner crashes, at most the unspent part of one
// step is lost.
const witnessSteps = 8

// RequireWitness limits what the escrow of the local account grants to what Witnessed
// was called with.
func (usage *Usage) RequireWitness() { usage.hasWitness = true }

// ToWitness returns the number of tokens that the witness has to record before the escrow
// can grant the turn, and false if it need not record any or the escrow cannot grant the
// turn.
func (usage *Usage) ToWitness(turn Turn) (int64, bool) {
	account := usage.ledger.Accounts[usage.owner]
	need := usage.Used() + turn.Part
	wanted := min(max(need, usage.settled+usage.worstCase+turn.Most), account.Granted)
	if !usage.isWitnessed(account) || need > account.Granted || wanted <= usage.witnessed {
		return 0, false
	}
	return max(wanted, min(usage.witnessed+account.Granted/witnessSteps, account.Granted)), true
}

// Witnessed records that the witness has recorded the given number of tokens.
func (usage *Usage) Witnessed(tokens int64) { usage.witnessed = max(usage.witnessed, tokens) }

// IsRecorded reports whether the witness has recorded any tokens.
func (usage *Usage) IsRecorded() bool { return usage.witnessed > 0 }

// isWitnessed reports whether the local account may spend only what its witness has
// recorded: no row records that the account was used.
func (usage *Usage) isWitnessed(account Account) bool { return usage.hasWitness && account.unused() }

// usable returns how much of its grant the local account may spend.
func (usage *Usage) usable() int64 {
	account := usage.ledger.Accounts[usage.owner]
	if usage.isWitnessed(account) {
		return min(account.Granted, usage.witnessed)
	}
	return account.Granted
}

// Decide returns the decision on a turn, or on a further part of a turn in
// flight, under the budget total. For DecisionGrant it also returns the row
// that grants the part. The caller has to make the row durable, call SetRow,
// and decide again. Decision and row are made from the same state, since a turn
// that ends in between changes the required grant. Tokens that a stopped
// account reserves for the turn are deducted there when this account grants
// them, which takes a row even if the account already covers them.
func (usage *Usage) Decide(turn Turn, total int64) (Decision, *Ledger) {
	worstCase := usage.settled + usage.worstCase + turn.Most
	decision, amount := usage.ledger.decide(usage.owner, usage.usable(), usage.Used()+turn.Part, worstCase, turn, total, usage.allowance(turn))
	takesReserved := turn.Rest && turn.Most > 0 && !turn.Taken && usage.ledger.otherAccounts(usage.owner).Reserved > 0
	if decision == DecisionServe && takesReserved {
		decision = DecisionGrant
	}
	if decision != DecisionGrant {
		return decision, nil
	}
	ledger := usage.withAccount(Account{Granted: amount, Used: worstCase})
	if takesReserved {
		ledger.takeReserved(turn.Most)
	}
	return decision, ledger
}

// Fits reports whether the budget total may cover the turn once all other
// accounts have released their unused tokens. Lost accounts can't release any, and
// the owners of silent ones may turn out to have used nothing.
func (usage *Usage) Fits(turn Turn, total int64) bool {
	used := usage.settled + usage.worstCase + turn.Most
	for name, account := range usage.ledger.Accounts {
		switch {
		case name == usage.owner || usage.silent[name] && !account.Settled && !account.Stopped:
		case usage.lost[name]:
			used += account.Granted + account.Reserved
		default:
			used += account.Used + account.Reserved
		}
	}
	return used <= total+usage.allowance(turn)
}

// Release returns the row that releases the unused tokens granted to this
// instance, or nil if there are none. From then on the usage grants no more
// than the row, whether or not the write is confirmed: a write whose response
// was lost may be applied seconds later, and tokens spent in between under the
// old grant would be spent twice.
//
// If last is set, the instance is stopping, and what its turns in flight
// elsewhere may still request is reserved for other accounts to grant.
//
// After WriteUnconfirmed or RemoveUnused, Release returns a row even if the ledger shows
// nothing to release. Once that row is written, a preceding row without a
// response is either visible or void.
func (usage *Usage) Release(last bool) *Ledger {
	account := usage.ledger.Accounts[usage.owner]
	settled := Account{Granted: usage.Used(), Used: usage.settled + usage.worstCase, Escrowed: account.Escrowed, Lost: usage.unaccounted}
	if last {
		settled.Used, settled.Reserved = settled.Granted, max(usage.worstCase-usage.promised, 0)
		if account.Stopped {
			// Other accounts may have granted a part of the reservation since.
			settled.Reserved = min(settled.Reserved, account.Reserved)
		}
		settled.Stopped = account.Stopped || settled.Reserved > 0
	}
	settled.Settled = usage.Idle() && settled.Granted > 0 && settled.Reserved == 0
	if account == settled && !usage.releasing && !usage.uncertain {
		return nil
	}
	ledger := usage.withAccount(settled)
	usage.unreleased = nil
	if !usage.releasing {
		usage.unreleased = usage.ledger
	}
	usage.releasing, usage.releasedAt, usage.released = true, usage.version, settled.Granted
	usage.ledger = ledger
	return ledger
}

// ReleaseRejected records that the row of the last Release was not stored and will not be,
// so that its tokens may be used again.
func (usage *Usage) ReleaseRejected() {
	if usage.unreleased != nil {
		usage.ledger, usage.unreleased, usage.releasing = usage.unreleased, nil, false
	}
}

// NeedsSettling reports whether no turn is in flight at this instance, and the row does
// not show what ended turns have spent.
func (usage *Usage) NeedsSettling() bool {
	account := usage.ledger.Accounts[usage.owner]
	isSettled := account.Settled && account.Granted == usage.settled && !usage.releasing && !usage.uncertain
	hasRow := usage.version > 0 && account.Granted > 0 && !account.Escrowed
	return usage.Idle() && (usage.settled > 0 || hasRow) && !isSettled
}

// withAccount returns a copy of the ledger with the local account set.
func (usage *Usage) withAccount(account Account) *Ledger {
	next := usage.ledger.withoutAccount(usage.owner)
	account.Lost = usage.unaccounted
	account.Escrowed = usage.ledger.Accounts[usage.owner].Escrowed
	if account != (Account{}) {
		next.Accounts[usage.owner] = account
	}
	return next
}

// WriteUnconfirmed records that a row returned by Decide or Release was sent without
// a response.
func (usage *Usage) WriteUnconfirmed() {
	usage.unreleased = nil
	usage.uncertain, usage.uncertainAt = true, usage.version
}

// UnusedEscrows returns the owners of other accounts that are implied by an
// escrow and unused according to the row.
func (usage *Usage) UnusedEscrows() []string {
	var unused []string
	for name, account := range usage.ledger.Accounts {
		if name != usage.owner && account.unused() {
			unused = append(unused, name)
		}
	}
	return unused
}

// RemoveUnused removes an account returned by UnusedEscrows from the ledger, and with
// the next row from the store. Its escrow must not have granted any tokens of
// the program, and must not grant any later.
func (usage *Usage) RemoveUnused(name string) {
	if name == usage.owner {
		return
	}
	if ledger, ok := usage.ledger.RemoveUnused(name); ok {
		usage.ledger, usage.uncertain, usage.uncertainAt = ledger, true, usage.version
	}
}

// SetRow records that the stored row is ledger at version.
func (usage *Usage) SetRow(ledger *Ledger, version uint64) {
	usage.unreleased = nil
	if version != usage.uncertainAt {
		usage.uncertain = false
	}
	if usage.releasing && version == usage.releasedAt {
		account := ledger.Accounts[usage.owner]
		account.Granted = min(account.Granted, usage.released)
		usage.ledger = ledger
		usage.ledger = usage.withAccount(account)
		return
	}
	usage.releasing = false
	usage.ledger, usage.version = ledger, version
}

// Begin records the promise to a turn for which Decide returned DecisionServe.
func (usage *Usage) Begin(turn Turn) {
	usage.promised += turn.Part
	usage.worstCase += turn.Most
	usage.largest = max(usage.largest, turn.Most)
}

// End settles a turn that used spent tokens, and removes all that was promised
// to it.
func (usage *Usage) End(turn Turn, spent int64) {
	usage.promised -= turn.Part
	usage.worstCase -= turn.Most
	usage.settled += spent
}

// EndLost settles a turn of which nobody knows what it spent. All that was promised to it
// counts as spent, and as lost.
func (usage *Usage) EndLost(turn Turn) {
	usage.End(turn, turn.Part)
	usage.unaccounted += turn.Part
}
