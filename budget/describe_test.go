package budget_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/budget"
)

func ExampleUsage_String() {
	ledger := &budget.Ledger{Accounts: map[string]budget.Account{"a.1": {Granted: 756, Used: 567}}}
	fmt.Println(budget.NewUsage("b.1", ledger, 7))
	// Output: own settled=0 promised=0 most=0, lost=0, row version=7 accounts=1 a.1(granted=756 used=567 reserved=0 settled=false)
}

// Guards against log lines that grow with the number of accounts.
func TestDescriptionOfLedgerIsBounded(t *testing.T) {
	ledger := &budget.Ledger{Accounts: map[string]budget.Account{}}
	for n := range 100 {
		ledger.Accounts[fmt.Sprint("a.", n)] = budget.Account{Granted: 1}
	}
	assert.Less(t, len(ledger.String()), 400)
}
