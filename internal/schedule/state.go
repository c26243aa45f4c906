package schedule

import "sort"

// State is the pool's state as reports show it.
type State struct {
	Granted  uint64 `json:"granted"`
	Refused  uint64 `json:"refused"`
	Shared   int    `json:"shared"`   // requests that any upstream may run
	Programs int    `json:"programs"` // remembered
	// MeanCallMS is how long calls ran lately. Milliseconds.
	MeanCallMS int64          `json:"mean_call_ms"`
	Upstreams  []ReplicaState `json:"upstreams"`
	// Accounts are the reportedAccounts with the most waiting requests.
	Accounts []AccountState `json:"accounts,omitempty"`
}

// ReplicaState is an upstream as the pool sees it.
type ReplicaState struct {
	Upstream string `json:"upstream"`
	Slots    int    `json:"slots"`
	// Outstanding calls are the pool's own; Foreign is an estimate of those of others.
	Outstanding int `json:"outstanding"`
	Foreign     int `json:"foreign"`
	// Held requests wait for this upstream.
	Held     int   `json:"held"`
	KVTokens int64 `json:"kv_tokens,omitempty"`
	// ReservedTokens is the KV memory that outstanding calls may take, PrefixTokens what idle
	// programs are taken to hold.
	ReservedTokens int64 `json:"reserved_tokens,omitempty"`
	PrefixTokens   int64 `json:"prefix_tokens,omitempty"`
	Leaving        bool  `json:"leaving,omitempty"`
}

// AccountState is an account with requests in the pool.
type AccountState struct {
	Account string  `json:"account"`
	Weight  float64 `json:"weight"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	// Lag is how far its service is behind that of the account granted last; negative if ahead.
	// Service per weight.
	Lag float64 `json:"lag"`
}

// maxReportedAccounts bounds the accounts of a State.
const maxReportedAccounts = 20

// State returns the pool's state.
func (p *Pool) State() State {
	s := State{
		Granted: p.counts.granted, Refused: p.counts.refused, Shared: p.shared.waiting,
		Programs: len(p.programs.byName), MeanCallMS: int64(p.estimate.meanSeconds * 1000),
	}
	for _, r := range p.sortedReplicas {
		s.Upstreams = append(s.Upstreams, ReplicaState{
			Upstream: r.Name, Slots: r.Slots, Outstanding: r.outstanding, Foreign: r.foreign, Held: r.lane.waiting,
			KVTokens: r.KVTokens, ReservedTokens: r.reserved, PrefixTokens: r.residentTokens, Leaving: r.removed,
		})
	}
	for _, a := range p.accounts {
		if a.waiting+a.running > 0 {
			s.Accounts = append(s.Accounts, AccountState{a.name, a.weight, a.waiting, a.running, p.virtualTime - a.counter})
		}
	}
	sort.Slice(s.Accounts, func(i, j int) bool {
		a, b := s.Accounts[i], s.Accounts[j]
		return a.Waiting > b.Waiting || a.Waiting == b.Waiting && a.Account < b.Account
	})
	s.Accounts = s.Accounts[:min(len(s.Accounts), maxReportedAccounts)]
	return s
}
