package admission

import (
	"cmp"
	"slices"
	"time"
)

// refusedRetention is how long a refused program counts as waiting: its caller comes back within that time.
const refusedRetention = time.Second

// Accounts tracks which programs each client account has in progress on an entry VM, and which were refused. It is not
// safe for concurrent use.
type Accounts struct {
	byName  map[string]*accountPrograms
	sweptAt time.Duration
}

// accountPrograms holds the time of the last request by program.
type accountPrograms struct {
	active, refused map[string]time.Duration
}

// AccountCount is the number of an account's programs.
type AccountCount struct {
	Name    string
	Active  int // in progress
	Refused int // refused within the last second, and not in progress
}

// NewAccounts returns a tracker without programs.
func NewAccounts() *Accounts { return &Accounts{byName: map[string]*accountPrograms{}} }

func (a *Accounts) get(now time.Duration, account string) *accountPrograms {
	if now-a.sweptAt >= activeTimeout {
		a.sweep(now)
	}
	p := a.byName[account]
	if p == nil {
		p = &accountPrograms{active: map[string]time.Duration{}, refused: map[string]time.Duration{}}
		a.byName[account] = p
	}
	return p
}

// MarkActive records a request of a program that was admitted.
func (a *Accounts) MarkActive(now time.Duration, account, program string) {
	p := a.get(now, account)
	p.active[program] = now
	delete(p.refused, program)
}

// MarkRefused records that a program was not admitted.
func (a *Accounts) MarkRefused(now time.Duration, account, program string) {
	a.get(now, account).refused[program] = now
}

// Counts returns the accounts with programs, in the order of their names.
func (a *Accounts) Counts(now time.Duration) []AccountCount {
	a.sweep(now)
	counts := make([]AccountCount, 0, len(a.byName))
	for name, p := range a.byName {
		counts = append(counts, AccountCount{Name: name, Active: len(p.active), Refused: len(p.refused)})
	}
	slices.SortFunc(counts, func(x, y AccountCount) int { return cmp.Compare(x.Name, y.Name) })
	return counts
}

// sweep removes programs without a recent request.
func (a *Accounts) sweep(now time.Duration) {
	a.sweptAt = now
	for name, p := range a.byName {
		for program, at := range p.active {
			if now-at > activeTimeout {
				delete(p.active, program)
			}
		}
		for program, at := range p.refused {
			if now-at > refusedRetention {
				delete(p.refused, program)
			}
		}
		if len(p.active)+len(p.refused) == 0 {
			delete(a.byName, name)
		}
	}
}

// OverShare returns the names of the accounts that have more programs in progress than their share, by weighted max-min
// fairness: the programs in progress are divided among the accounts in proportion to their weights, and what an account
// doesn't ask for among the others. No account is above its share while none is refused. weight returns the weight of an
// account, 0 if it has none of its own: it then counts as the average of those that have one.
func OverShare(accounts []AccountCount, weight func(account string) float64) []string {
	weights := shareWeights(accounts, weight)
	demand := func(a AccountCount) float64 { return float64(a.Active+a.Refused) / weights[a.Name] }
	byDemand := slices.Clone(accounts)
	slices.SortFunc(byDemand, func(x, y AccountCount) int { return cmp.Compare(demand(x), demand(y)) })
	left, total := 0, 0.0
	for _, a := range byDemand {
		left += a.Active
		total += weights[a.Name]
	}
	var over []string
	for i, a := range byDemand {
		share := float64(left) / total // of an account with a weight of 1
		if demand(a) <= share {
			left -= a.Active + a.Refused
			total -= weights[a.Name]
			continue
		}
		// This account and those after it ask for more than the share that all of them get.
		for _, b := range byDemand[i:] {
			if float64(b.Active) > share*weights[b.Name] {
				over = append(over, b.Name)
			}
		}
		break
	}
	return over
}

// shareWeights returns the weights of accounts by name.
func shareWeights(accounts []AccountCount, weight func(account string) float64) map[string]float64 {
	weights, sum := make(map[string]float64, len(accounts)), 0.0
	for _, a := range accounts {
		if w := weight(a.Name); w > 0 {
			weights[a.Name] = w
			sum += w
		}
	}
	average := 1.0
	if len(weights) > 0 {
		average = sum / float64(len(weights))
	}
	for _, a := range accounts {
		if weights[a.Name] == 0 {
			weights[a.Name] = average
		}
	}
	return weights
}
