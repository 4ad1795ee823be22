package entrypeer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/wagtaildrum/wagtaildrum/store"
)

// NewOwner returns a name for the incarnation of an instance that starts at
// now. The names of the resources that the incarnation owns begin with it. A
// random part makes it unique even for two starts in the same millisecond.
func NewOwner(instance string, now time.Time) string {
	return fmt.Sprintf("%s-%x-%08x", instance, now.UnixMilli(), rand.Uint32())
}

// incarnation is the parsed form of a name that NewOwner returned.
type incarnation struct {
	instance  string
	startedAt int64 // Unix milliseconds by the instance's own clock
}

// parseOwner parses a name that NewOwner returned, and returns false for any
// other.
func parseOwner(owner string) (incarnation, bool) {
	prefix, _, ok := cutAtLastHyphen(owner)
	if !ok {
		return incarnation{}, false
	}
	instance, stamp, ok := cutAtLastHyphen(prefix)
	if !ok {
		return incarnation{}, false
	}
	startedAt, err := strconv.ParseInt(stamp, 16, 64)
	return incarnation{instance: instance, startedAt: startedAt}, err == nil
}

// cutAtLastHyphen splits s around its last hyphen. If there is none it returns
// s, "" and false.
func cutAtLastHyphen(s string) (before, after string, found bool) {
	at := strings.LastIndexByte(s, '-')
	if at < 0 {
		return s, "", false
	}
	return s[:at], s[at+1:], true
}

// accountOwner returns the owner part of a budget account's name, and "" if it
// has none.
func accountOwner(account string) string {
	return account[:max(strings.LastIndexByte(account, '.'), 0)]
}

// OwnerTerminated implements account.Owners. It reports whether a later incarnation is
// recorded of the instance that owns an account. A crashed instance that has
// not restarted is not reported as gone, since it may just be partitioned.
// Changes of the directory may arrive late, so the recorded incarnation may
// also be the earlier of the two.
func (client *Client) OwnerTerminated(account string) bool {
	owner := accountOwner(account)
	previous, ok := parseOwner(owner)
	if !ok {
		return false
	}
	current, ok := client.directory.currentOwner(previous.instance)
	if !ok || current == owner {
		return false
	}
	latest, ok := parseOwner(current)
	return ok && latest.startedAt > previous.startedAt
}

// currentOwner returns the owner name of the recorded incarnation of an
// instance, and false if the directory has no such instance.
func (directory *Directory) currentOwner(instance string) (string, bool) {
	if instance == directory.self.Name {
		return directory.self.Owner, true
	}
	directory.mu.Lock()
	defer directory.mu.Unlock()
	recorded, ok := directory.instances[store.Name(instance)]
	return recorded.Owner, ok
}
