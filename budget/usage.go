package budget

import "fmt"

// Turn is what a turn asks of a budget.
type Turn struct {
	// Part is what it may hand out before it asks for more.
	Part int64
	// Most is what it may hand out in all, as far as the account has not
	// counted it: 0 for another part of a turn that the account began.
	Most int64
	// Rest tells another part of a turn that was begun, by whichever account.
	// That the budget holds the turn was found then.
	Rest bool
	// Taken tells a part whose tokens are off what a stopped account
	// reserves.
	Taken bool
}

// Whole returns a turn that asks for all at once.
func Whole(most int64) Turn { return Turn{Part: most, Most: most} }

// firstPercent of what a turn may generate is promised as it begins with a
// part: turns spend 34 to 36 % in the mean, and two in three no more than 40 %.
const firstPercent = 40

// FirstPart returns what a turn of most tokens begins with.
func FirstPart(most int64) Turn {
	return Turn{Part: (most*firstPercent + 99) / 100, Most: most}
}

// Usage is what one instance knows of one program's budget. It is not safe
// for concurrent use.
type Usage struct {
	owner   string
	ledger  *Ledger
	version uint64
	// settled tokens were handed out by turns that ended; promised ones may
	// be by turns in flight, which may ask for more, up to most.
	settled, promised, most int64
	// A release that was sent may be applied at any time while the row is
	// at version releasedAt: until it is known to have moved on, no more
	// than released is granted.
	releasing  bool
	releasedAt uint64
	released   int64
	// While the row is at version uncertainAt it may grant more than the ledger
	// tells: one that was sent and not answered may be applied, or what an
	// unused escrow was granted is left out here.
	uncertain   bool
	uncertainAt uint64
}

// NewUsage returns the usage of the account owner, which must never have been
// used before, with the program's row as read: version 0 for none.
func NewUsage(owner string, ledger *Ledger, version uint64) *Usage {
	return &Usage{owner: owner, ledger: ledger, version: version}
}

// Owner returns the name of the own account.
func (usage *Usage) Owner() string { return usage.owner }

// Version returns the version of the row that the usage builds on.
func (usage *Usage) Version() uint64 { return usage.version }

// Used returns what this instance has handed out or promised.
func (usage *Usage) Used() int64 { return usage.settled + usage.promised }

// Granted returns what the row grants this instance.
func (usage *Usage) Granted() int64 { return usage.ledger.Accounts[usage.owner].Granted }

// Holders returns the other accounts that may have something to give back.
func (usage *Usage) Holders() []string { return usage.ledger.Holders(usage.owner) }

// String describes the usage for logs: what its own turns hold, and the row.
func (usage *Usage) String() string {
	return fmt.Sprintf("own settled=%d promised=%d most=%d, row version=%d %s", usage.settled, usage.promised, usage.most, usage.version, usage.ledger)
}

// Idle reports whether no turn is in flight here.
func (usage *Usage) Idle() bool { return usage.promised == 0 }

// Escrowed reports whether the account is that of an escrow, and no other instance is
// known to have one.
func (usage *Usage) Escrowed() bool {
	return usage.ledger.Accounts[usage.owner].Escrowed && len(usage.ledger.Accounts) == 1
}

// Alone reports whether no other instance but that of an escrow has an
// account. If that one is gone for good, what is left is for this one, though
// it may be less than a turn can generate.
func (usage *Usage) Alone() bool {
	for name, account := range usage.ledger.Accounts {
		if name != usage.owner && !account.Escrowed {
			return false
		}
	}
	return true
}

// Decide says what may happen to a turn, or to a turn in flight that needs
// another part, under the budget total. For DecisionGrant it also returns the
// row that grants the part: that has to be made durable, then Written called,
// and the turn decided again. The two come from one look at the usage, since a
// turn that ends in between changes what is needed. What a stopped account
// reserves for a turn is taken off there as another account grants it, by a row
// also where that account holds it already.
func (usage *Usage) Decide(turn Turn, total int64) (Decision, *Ledger) {
	most := usage.settled + usage.most + turn.Most
	decision, amount := usage.ledger.decide(usage.owner, usage.Used()+turn.Part, most, turn, total)
	takes := turn.Rest && turn.Most > 0 && !turn.Taken && usage.ledger.others(usage.owner).Reserved > 0
	if decision == DecisionServe && takes {
		decision = DecisionGrant
	}
	if decision != DecisionGrant {
		return decision, nil
	}
	ledger := usage.with(Account{Granted: amount, Used: most})
	if takes {
		ledger.takeReserved(turn.Most)
	}
	return decision, ledger
}

// Fits reports whether the budget total may hold the turn once all others gave
// back what they do not use, but for the accounts that are gone: what these
// were granted counts as used.
func (usage *Usage) Fits(turn Turn, total int64, gone func(account string) bool) bool {
	used := usage.settled + usage.most + turn.Most
	for name, account := range usage.ledger.Accounts {
		switch {
		case name == usage.owner:
		case gone(name):
			used += account.Granted + account.Reserved
		default:
			used += account.Used + account.Reserved
		}
	}
	return used <= total
}

// Release returns the row that gives back what this instance was granted
// and does not use; nil if there is nothing to give back. From then on the
// usage grants no more than that, whether or not the row is known to be
// written: a write whose answer was lost may be applied seconds later, and
// what was handed out against the old grant in between would be spent twice.
// With last the instance stops: what its turns in flight elsewhere may still ask
// for is reserved, for other accounts to grant. After Unanswered or Disown
// there is a row to write though the ledger tells nothing to give back: once it is
// written, one without an answer is known, or void.
func (usage *Usage) Release(last bool) *Ledger {
	account := usage.ledger.Accounts[usage.owner]
	settled := Account{Granted: usage.Used(), Used: usage.settled + usage.most, Escrowed: account.Escrowed}
	if last {
		settled.Used, settled.Reserved = settled.Granted, usage.most-usage.promised
		if account.Stopped {
			// Others may have taken some of it since.
			settled.Reserved = min(settled.Reserved, account.Reserved)
		}
		settled.Stopped = account.Stopped || settled.Reserved > 0
	}
	if account == settled && !usage.releasing && !usage.uncertain {
		return nil
	}
	ledger := usage.with(settled)
	usage.releasing, usage.releasedAt, usage.released = true, usage.version, settled.Granted
	usage.ledger = ledger
	return ledger
}

// with returns the ledger with the own account set.
func (usage *Usage) with(account Account) *Ledger {
	next := usage.ledger.without(usage.owner)
	account.Escrowed = usage.ledger.Accounts[usage.owner].Escrowed
	if account != (Account{}) {
		next.Accounts[usage.owner] = account
	}
	return next
}

// Unanswered takes in that a row that Decide or Release returned was sent, and
// no answer came.
func (usage *Usage) Unanswered() {
	usage.uncertain, usage.uncertainAt = true, usage.version
}

// UnusedEscrows returns the other accounts that an escrow implied and that
// handed out nothing as far as the row tells.
func (usage *Usage) UnusedEscrows() []string {
	var unused []string
	for name, account := range usage.ledger.Accounts {
		if name != usage.owner && account.unused() {
			unused = append(unused, name)
		}
	}
	return unused
}

// Disown takes an account of UnusedEscrows out of the ledger, and with the next
// row out of the store. Its escrow must have handed out nothing of the program,
// and must not any more.
func (usage *Usage) Disown(name string) {
	if name == usage.owner {
		return
	}
	if ledger, ok := usage.ledger.Disown(name); ok {
		usage.ledger, usage.uncertain, usage.uncertainAt = ledger, true, usage.version
	}
}

// Written takes in that the row stands as ledger at version.
func (usage *Usage) Written(ledger *Ledger, version uint64) {
	if version != usage.uncertainAt {
		usage.uncertain = false
	}
	if usage.releasing && version == usage.releasedAt {
		account := ledger.Accounts[usage.owner]
		account.Granted = min(account.Granted, usage.released)
		usage.ledger = ledger
		usage.ledger = usage.with(account)
		return
	}
	usage.releasing = false
	usage.ledger, usage.version = ledger, version
}

// Begin promises what Decide said DecisionServe for.
func (usage *Usage) Begin(turn Turn) {
	usage.promised += turn.Part
	usage.most += turn.Most
}

// End settles a turn, with all that was promised to it, that handed out spent
// tokens.
func (usage *Usage) End(turn Turn, spent int64) {
	usage.promised -= turn.Part
	usage.most -= turn.Most
	usage.settled += spent
}
