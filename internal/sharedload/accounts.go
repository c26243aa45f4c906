package sharedload

import (
	"slices"
	"time"

	"egretramp/internal/admission"
)

// overShareInterval is the time between two calculations of the accounts above their share.
const overShareInterval = 100 * time.Millisecond

// validAccounts returns the accounts of a report that may be true, and the number of the others.
func validAccounts(reported []Account) (accounts []Account, rejected int) {
	known := map[string]bool{}
	for _, a := range reported {
		if len(accounts) >= maxAccounts || known[a.Name] || len(a.Name) > maxAccountName ||
			a.Active < 0 || a.Active > maxCount || a.Refused < 0 || a.Refused > maxCount {
			rejected++
			continue
		}
		known[a.Name] = true
		accounts = append(accounts, a)
	}
	return accounts, rejected
}

// accountsOverShare returns the accounts above their share, at most overShareInterval old.
func (c *Coordinator) accountsOverShare(now time.Duration) []string {
	if now-c.overShareAt < overShareInterval {
		return c.overShare
	}
	c.overShareAt = now
	sums := map[string]admission.AccountCount{}
	for _, report := range c.vms {
		for _, a := range report.accounts {
			sum := sums[a.Name]
			sums[a.Name] = admission.AccountCount{Name: a.Name, Active: sum.Active + a.Active, Refused: sum.Refused + a.Refused}
		}
	}
	counts := make([]admission.AccountCount, 0, len(sums))
	for _, sum := range sums {
		counts = append(counts, sum)
	}
	over := admission.OverShare(counts, c.weight)
	c.overShare = over[max(0, len(over)-maxOverShare):] // those with the most programs come last
	return c.overShare
}

// OverShare reports whether a client account has more than its share of the programs while others are refused, false
// without a fresh view.
func (h *Holder) OverShare(now time.Duration, account string) bool {
	_, fresh := h.Age(now)
	return fresh && slices.Contains(h.overShare, account)
}
