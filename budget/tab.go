package budget

// Tab is what one instance knows of one program's budget. It is not safe
// for concurrent use.
type Tab struct {
	owner   string
	ledger  *Ledger
	version uint64
	// settled tokens were handed out by turns that ended; promised ones may
	// be by turns in flight.
	settled, promised int64
	// A release that was sent may be applied at any time while the row is
	// at version releasedAt: until it is known to have moved on, no more
	// than released is granted.
	releasing  bool
	releasedAt uint64
	released   int64
}

// NewTab returns a tab on the account owner, which no other tab may ever
// have used, with the program's row as read: version 0 for none.
func NewTab(owner string, ledger *Ledger, version uint64) *Tab {
	return &Tab{owner: owner, ledger: ledger, version: version}
}

// Version returns the version of the row that the tab builds on.
func (tab *Tab) Version() uint64 { return tab.version }

// Used returns what this instance has handed out or promised.
func (tab *Tab) Used() int64 { return tab.settled + tab.promised }

// Granted returns what the row grants this instance.
func (tab *Tab) Granted() int64 { return tab.ledger.Accounts[tab.owner].Granted }

// Holders returns the other accounts that may have something to give back.
func (tab *Tab) Holders() []string { return tab.ledger.Holders(tab.owner) }

// Idle reports whether no turn is in flight here.
func (tab *Tab) Idle() bool { return tab.promised == 0 }

// Decide says what may happen to a turn that generates at most turn tokens,
// under the budget total. For DecisionGrant it also returns the row that
// grants the turn: that has to be made durable, then Written called, and the
// turn decided again. The two come from one look at the tab, since a turn
// that ends in between changes what is needed.
func (tab *Tab) Decide(turn, total int64) (Decision, *Ledger) {
	need := tab.Used() + turn
	decision, amount := tab.ledger.decide(tab.owner, need, turn, total)
	if decision != DecisionGrant {
		return decision, nil
	}
	return decision, tab.with(Account{Granted: amount, Used: need})
}

// Release returns the row that gives back what this instance was granted
// and does not use; nil if there is nothing to give back. From then on the
// tab grants no more than that, whether or not the row is known to be
// written: a write whose answer was lost may be applied seconds later, and
// what was handed out against the old grant in between would be spent twice.
func (tab *Tab) Release() *Ledger {
	account := tab.ledger.Accounts[tab.owner]
	settled := Account{Granted: tab.Used(), Used: tab.Used()}
	if account == settled && !tab.releasing {
		return nil
	}
	ledger := tab.with(settled)
	tab.releasing, tab.releasedAt, tab.released = true, tab.version, settled.Granted
	tab.ledger = ledger
	return ledger
}

func (tab *Tab) with(account Account) *Ledger {
	next := &Ledger{Accounts: make(map[string]Account, len(tab.ledger.Accounts)+1)}
	for name, other := range tab.ledger.Accounts {
		next.Accounts[name] = other
	}
	next.Accounts[tab.owner] = account
	return next
}

// Written takes in that the row stands as ledger at version.
func (tab *Tab) Written(ledger *Ledger, version uint64) {
	if tab.releasing && version == tab.releasedAt {
		account := ledger.Accounts[tab.owner]
		account.Granted = min(account.Granted, tab.released)
		tab.ledger = ledger
		tab.ledger = tab.with(account)
		return
	}
	tab.releasing = false
	tab.ledger, tab.version = ledger, version
}

// Begin promises a turn. Decide must have said DecisionServe.
func (tab *Tab) Begin(turn int64) { tab.promised += turn }

// End settles a promised turn that handed out spent tokens.
func (tab *Tab) End(turn, spent int64) {
	tab.promised -= turn
	tab.settled += spent
}
