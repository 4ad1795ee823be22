package budget

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wagtaildrum/wagtaildrum/codec"
)

// maxDescribed bounds the number of accounts in a description, and thereby the
// length of a log line. Most programs have one to three accounts.
const maxDescribed = 6

// Account is the share of one instance in a program's budget, in tokens.
type Account struct {
	// Granted is what the instance may spend without a further grant.
	Granted int64 `cbor:"g"`
	// Used is, as of the time the row was written, what the instance had spent
	// plus the maximum that its turns in flight may spend.
	Used int64 `cbor:"u"`
	// Escrowed is set if the account is implied by an escrow. Only its owner
	// has a record of the tokens used.
	Escrowed bool `cbor:"h,omitempty"`
	// Stopped is set if the owner has stopped while it had turns in flight
	// elsewhere. Reserved is what these turns may still request from other
	// accounts.
	Stopped  bool  `cbor:"s,omitempty"`
	Reserved int64 `cbor:"r,omitempty"`
	// Settled is set if no turn of the owner was in flight when the row was written, so
	// that Used is what it spent. The owner spends nothing more without a new row.
	Settled bool `cbor:"e,omitempty"`
	// Lost is the part of Used that was granted to turns of which nobody knows what they
	// spent.
	Lost int64 `cbor:"l,omitempty"`
}

// Ledger is the durable state of a program's budget. It has an account for each
// incarnation of an entry instance that served a turn of the program.
type Ledger struct {
	Accounts map[string]Account `cbor:"a"`
}

// DecodeLedger decodes the output of Encode. It returns an empty ledger for
// empty data, and an error if the data is malformed.
func DecodeLedger(data []byte) (*Ledger, error) {
	ledger := &Ledger{}
	if len(data) > 0 {
		if err := codec.Unmarshal(data, ledger); err != nil {
			return nil, eris.Wrap(err, "decode budget ledger")
		}
	}
	if ledger.Accounts == nil {
		ledger.Accounts = map[string]Account{}
	}
	return ledger, nil
}

// Encode returns the encoded ledger.
func (ledger *Ledger) Encode() ([]byte, error) {
	data, err := codec.Marshal(ledger)
	return data, eris.Wrap(err, "encode budget ledger")
}

// String describes the accounts for logs, sorted by name and limited to
// maxDescribed.
func (ledger *Ledger) String() string {
	names := slices.Sorted(maps.Keys(ledger.Accounts))
	described := make([]string, 0, maxDescribed)
	for _, name := range names[:min(len(names), maxDescribed)] {
		account := ledger.Accounts[name]
		described = append(described, fmt.Sprintf("%s(granted=%d used=%d reserved=%d settled=%t)", name, account.Granted, account.Used, account.Reserved, account.Settled))
	}
	return fmt.Sprintf("accounts=%d %s", len(names), strings.Join(described, " "))
}

// unused reports whether the account is implied by an escrow and the row
// records no tokens used. The owner records the tokens it has used before it
// drops the program from memory or releases the escrow.
func (account Account) unused() bool {
	return account.Escrowed && account.Used == 0 && account.Granted > 0
}

// withoutAccount returns a copy of the ledger that lacks the named account.
func (ledger *Ledger) withoutAccount(name string) *Ledger {
	accounts := maps.Clone(ledger.Accounts)
	delete(accounts, name)
	return &Ledger{Accounts: accounts}
}

// IsUnused reports whether the account is implied by an escrow and its owner has recorded
// no use of it.
func (ledger *Ledger) IsUnused(name string) bool { return ledger.Accounts[name].unused() }

// RemoveUnused returns a copy of the ledger without the named account, and true, if
// the account is implied by an escrow and unused. Otherwise it returns the
// ledger itself and false.
func (ledger *Ledger) RemoveUnused(name string) (*Ledger, bool) {
	if !ledger.Accounts[name].unused() {
		return ledger, false
	}
	return ledger.withoutAccount(name), true
}

// otherAccounts returns the sum of all accounts but the owner's.
func (ledger *Ledger) otherAccounts(owner string) Account {
	var sum Account
	for name, account := range ledger.Accounts {
		if name != owner {
			sum.Granted += account.Granted
			sum.Used += account.Used
			sum.Reserved += account.Reserved
		}
	}
	return sum
}

// takeReserved deducts tokens from the reservations of stopped accounts.
// Another account grants the tokens now, and they would be counted twice.
func (ledger *Ledger) takeReserved(tokens int64) {
	for _, name := range slices.Sorted(maps.Keys(ledger.Accounts)) {
		account := ledger.Accounts[name]
		taken := min(account.Reserved, tokens)
		account.Reserved -= taken
		tokens -= taken
		ledger.Accounts[name] = account
	}
}

// Holders returns the sorted owners of accounts with a grant that is not settled,
// other than owner. Their recorded use dates from the last write of the row, so turns
// that have ended since may have left unused tokens.
func (ledger *Ledger) Holders(owner string) []string {
	var holders []string
	for name, account := range ledger.Accounts {
		if name != owner && account.Granted > 0 && !account.Settled {
			holders = append(holders, name)
		}
	}
	slices.Sort(holders)
	return holders
}

// Decision is the outcome of a turn's request for tokens.
type Decision int

//go:generate stringer -type=Decision -trimprefix=Decision

// Values of Decision.
const (
	// DecisionServe is returned when the account already covers the turn.
	DecisionServe Decision = iota
	// DecisionGrant is returned when a row with a larger grant has to be
	// written first.
	DecisionGrant
	// DecisionWait is returned when other instances hold the remaining tokens,
	// and may release some of them.
	DecisionWait
	// DecisionSpent is returned when the budget does not cover the turn.
	DecisionSpent
)

// A grant includes some headroom beyond the turn. It lets a program continue
// for some turns while the store is unavailable, and saves a write for each of
// them. The grant of a crashed instance counts as spent, so the headroom is
// small compared with what a program can afford to lose: a turn spends about
// half of its maximum, and a budget is about 1.6 times the maximum of all
// turns.
const (
	// headroomDivisor divides the unallocated remainder: the first account gets
	// one part in headroomDivisor as headroom, and the following accounts a
	// quarter of that, a ninth, and so on. These serve while the first is
	// unavailable. With a third, programs of the usual three to eleven turns
	// need no second grant; with a quarter they do. A program whose requests
	// arrive at all instances, which then lose power together, keeps half of
	// the remainder.
	headroomDivisor = 3
	// headroomTurns bounds the headroom to what about eighteen typical turns
	// spend, which is roughly ten seconds of work.
	headroomTurns = 12
)

// decide returns the decision on a turn of a program whose budget is total, of
// which the accounts may be granted allowance more together. The
// account of owner may spend usable tokens of its grant without a row. The turn
// requires the account of owner to grant need tokens now, and up to
// worstCase tokens if all its turns in flight spend their maximum. For
// DecisionServe and DecisionGrant it also returns the resulting grant of the
// account. A turn whose maximum may exceed the budget is not started. A turn
// that has started gets its remainder unless that is granted to others.
func (ledger *Ledger) decide(owner string, usable, need, worstCase int64, turn Turn, total, allowance int64) (Decision, int64) {
	granted := ledger.Accounts[owner].Granted
	if need <= usable && worstCase <= usable {
		return DecisionServe, granted
	}
	otherAccounts := ledger.otherAccounts(owner)
	if otherAccounts.Used+otherAccounts.Reserved+worstCase > total+allowance && !turn.Rest {
		return DecisionSpent, 0
	}
	if need <= usable {
		return DecisionServe, granted
	}
	free := total + allowance - otherAccounts.Granted
	if need > free {
		return DecisionWait, 0
	}
	// A written row grants its turns up to their maximum.
	need = max(need, min(worstCase, free))
	remaining := max(free-need-allowance, 0) // the allowance covers turns only
	accounts := int64(len(ledger.Accounts))
	if _, hasAccount := ledger.Accounts[owner]; !hasAccount {
		accounts++
	}
	return DecisionGrant, max(granted, need+min(remaining/(headroomDivisor*accounts*accounts), headroomTurns*turn.Part))
}
