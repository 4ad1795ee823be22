package account

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// lostTimeout is how long the owner of an account may not respond to requests to
	// release tokens before the account counts as lost. An instance that is
	// suspended or cut off for a moment keeps what it holds.
	lostTimeout = 2 * time.Second
	// maxUnresponsive bounds the owners recorded as unresponsive: the incarnations of
	// some hundred instances that terminated lately. Of further ones it is not
	// known how long they have not responded.
	maxUnresponsive = 1 << 10
	// silenceTTL is how long after the last request without a response an owner may be
	// forgotten. A program that still needs its tokens asks again sooner.
	silenceTTL = time.Minute
)

// unresponsiveOwners holds since when the owners of accounts have not responded to
// requests to release tokens. Its zero value is ready for use.
type unresponsiveOwners struct {
	mu     sync.Mutex
	silent map[string]silence // by owner
}

// silence tells when an owner first and last did not respond.
type silence struct{ since, last time.Time }

// record records which of the accounts that were requested to release tokens got no
// response.
func (owners *unresponsiveOwners) record(requested, unanswered []string, now time.Time) {
	owners.mu.Lock()
	defer owners.mu.Unlock()
	silent := map[string]bool{}
	for _, account := range unanswered {
		silent[accountOwner(account)] = true
	}
	for _, account := range requested {
		owner := accountOwner(account)
		if !silent[owner] {
			delete(owners.silent, owner)
			continue
		}
		known, ok := owners.silent[owner]
		if !ok && len(owners.silent) >= maxUnresponsive {
			maps.DeleteFunc(owners.silent, func(_ string, of silence) bool { return now.Sub(of.last) >= silenceTTL })
		}
		if !ok && len(owners.silent) >= maxUnresponsive {
			continue
		}
		if !ok {
			known.since = now
		}
		known.last = now
		if owners.silent == nil {
			owners.silent = map[string]silence{}
		}
		owners.silent[owner] = known
	}
}

// isLost reports whether the owner of an account has not responded for lostTimeout.
func (owners *unresponsiveOwners) isLost(account string, now time.Time) bool {
	owners.mu.Lock()
	defer owners.mu.Unlock()
	known, ok := owners.silent[accountOwner(account)]
	return ok && now.Sub(known.since) >= lostTimeout
}

// accountName returns the name of an account of an incarnation.
func accountName(owner string, number uint64) string { return fmt.Sprintf("%s.%d", owner, number) }

// accountOwner returns the incarnation that owns an account.
func accountOwner(account string) string {
	return account[:max(strings.LastIndexByte(account, '.'), 0)]
}

// recordUnresponsive records which accounts of p's budget are lost or silent, after the
// owners of unanswered did not respond to a request to release tokens.
func (manager *Manager) recordUnresponsive(p *program, unanswered []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, holders := manager.clock.Now(), p.usage.Holders()
	manager.unresponsive.record(holders, unanswered, now)
	var lost, silent []string
	for _, account := range holders {
		switch {
		case manager.holders.OwnerTerminated(account) || manager.unresponsive.isLost(account, now):
			lost = append(lost, account)
		case slices.Contains(unanswered, account):
			silent = append(silent, account)
		}
	}
	p.usage.SetUnresponsive(lost, silent)
}
