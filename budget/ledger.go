package budget

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wagtaildrum/wagtaildrum/codec"
)

// maxDescribed bounds the accounts in a description, and so the length of a
// log line: most programs have one to three.
const maxDescribed = 6

// Account is one instance's part of a program's budget, in tokens.
type Account struct {
	// Granted may be handed out by the instance without asking again.
	Granted int64 `cbor:"g"`
	// Used is what it had handed out, or its turns in flight might hand out,
	// when the row was written.
	Used int64 `cbor:"u"`
	// Escrowed tells an account that an escrow implied: what of it is used is
	// known only to its owner.
	Escrowed bool `cbor:"h,omitempty"`
	// Stopped tells that the owner has stopped and left turns in flight
	// elsewhere, Reserved what these may still ask other accounts for.
	Stopped  bool  `cbor:"s,omitempty"`
	Reserved int64 `cbor:"r,omitempty"`
}

// Ledger is the durable state of a program's budget: an account for each
// start of an entry instance that served a turn of it.
type Ledger struct {
	Accounts map[string]Account `cbor:"a"`
}

// DecodeLedger reads a ledger as Encode wrote it. No bytes are an empty
// ledger.
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

// Encode returns the ledger's bytes.
func (ledger *Ledger) Encode() ([]byte, error) {
	data, err := codec.Marshal(ledger)
	return data, eris.Wrap(err, "encode budget ledger")
}

// String describes the accounts for logs, by name, maxDescribed at most.
func (ledger *Ledger) String() string {
	names := slices.Sorted(maps.Keys(ledger.Accounts))
	described := make([]string, 0, maxDescribed)
	for _, name := range names[:min(len(names), maxDescribed)] {
		account := ledger.Accounts[name]
		described = append(described, fmt.Sprintf("%s(granted=%d used=%d reserved=%d)", name, account.Granted, account.Used, account.Reserved))
	}
	return fmt.Sprintf("accounts=%d %s", len(names), strings.Join(described, " "))
}

// unused reports whether an escrow implied the account, and the row tells of no
// token that it handed out. Its owner writes what it handed out before it forgets
// the program or releases the escrow.
func (account Account) unused() bool {
	return account.Escrowed && account.Used == 0 && account.Granted > 0
}

// without returns a copy that lacks the account of a name.
func (ledger *Ledger) without(name string) *Ledger {
	accounts := maps.Clone(ledger.Accounts)
	delete(accounts, name)
	return &Ledger{Accounts: accounts}
}

// Disown returns a copy without an account that an escrow implied, and whether
// there is one that handed out nothing.
func (ledger *Ledger) Disown(name string) (*Ledger, bool) {
	if !ledger.Accounts[name].unused() {
		return ledger, false
	}
	return ledger.without(name), true
}

// others returns what all accounts but the one of owner hold together.
func (ledger *Ledger) others(owner string) Account {
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

// takeReserved takes tokens off what stopped accounts reserve: another account
// grants them now, and they would count twice.
func (ledger *Ledger) takeReserved(tokens int64) {
	for _, name := range slices.Sorted(maps.Keys(ledger.Accounts)) {
		account := ledger.Accounts[name]
		taken := min(account.Reserved, tokens)
		account.Reserved -= taken
		tokens -= taken
		ledger.Accounts[name] = account
	}
}

// Holders returns the owners of the accounts, other than owner's, that grant
// anything. What they have used is as of when the row was written: turns
// that ended since may have left some over.
func (ledger *Ledger) Holders(owner string) []string {
	var holders []string
	for name, account := range ledger.Accounts {
		if name != owner && account.Granted > 0 {
			holders = append(holders, name)
		}
	}
	slices.Sort(holders)
	return holders
}

// Decision is what may happen to a turn.
type Decision int

//go:generate stringer -type=Decision -trimprefix=Decision

// Decisions.
const (
	// DecisionServe: the account already grants the turn.
	DecisionServe Decision = iota
	// DecisionGrant: the row has to be written first.
	DecisionGrant
	// DecisionWait: other instances hold what is left, and may give some
	// of it back.
	DecisionWait
	// DecisionSpent: the budget does not hold the turn.
	DecisionSpent
)

// A grant holds some headroom beside the turn, so that a program goes on for
// some turns while the store is away, and needs no write for each. What an
// instance was granted counts as spent if it dies, so headroom is kept small
// against what a program can lose: a turn spends about half of its most, and
// a budget is about 1.6 times the most of all turns.
const (
	// headroomShare: one part in headroomShare of what is left, for the
	// first account; the next accounts take a quarter of that, a ninth, and
	// so on: they are there while the first cannot be asked. With a third, programs of the usual three to eleven turns need no
	// second grant; with a quarter they do. A program whose lines come
	// through all instances, which then lose power together, keeps half of
	// what was left.
	headroomShare = 3
	// headroomTurns bounds the headroom to what some eighteen usual turns
	// spend, ten seconds or so.
	headroomTurns = 12
)

// decide returns the decision on a turn that needs the account of owner to
// grant need tokens now, and up to most if all its turns in flight hand out
// what they can, with total the program's budget. For DecisionServe and
// DecisionGrant it also returns the amount that the account grants then. A turn
// that the budget may not hold to its end is not begun; one that was begun has
// its rest if that is not granted to others.
func (ledger *Ledger) decide(owner string, need, most int64, turn Turn, total int64) (Decision, int64) {
	granted := ledger.Accounts[owner].Granted
	if need <= granted && most <= granted {
		return DecisionServe, granted
	}
	others := ledger.others(owner)
	if others.Used+others.Reserved+most > total && !turn.Rest {
		return DecisionSpent, 0
	}
	if need <= granted {
		return DecisionServe, granted
	}
	free := total - others.Granted
	if need > free {
		return DecisionWait, 0
	}
	// A row that is written grants its turns to their ends.
	need = max(need, min(most, free))
	left := free - need
	accounts := int64(len(ledger.Accounts))
	if _, own := ledger.Accounts[owner]; !own {
		accounts++
	}
	return DecisionGrant, need + min(left/(headroomShare*accounts*accounts), headroomTurns*turn.Part)
}
