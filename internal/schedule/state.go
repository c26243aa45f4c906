package schedule

import "sort"

// State is a snapshot of a pool for status reports.
type State struct {
	Granted  uint64 `json:"granted"`
	Refused  uint64 `json:"refused"`
	Shared   int    `json:"shared"`   // requests that any upstream may run
	Programs int    `json:"programs"` // programs on record
	// MeanCallMS is the mean duration of recent calls. Milliseconds.
	MeanCallMS int64          `json:"mean_call_ms"`
	Upstreams  []ReplicaState `json:"upstreams"`
	// Accounts are the accounts with the most waiting requests, at most maxReportedAccounts.
	Accounts []AccountState `json:"accounts,omitempty"`
}

// ReplicaState is the state of an upstream in the pool.
type ReplicaState struct {
	Upstream string `json:"upstream"`
	Slots    int    `json:"slots"`
	// Outstanding is the number of the pool's own calls; Foreign estimates the calls that it did
	// not grant.
	Outstanding int `json:"outstanding"`
	Foreign     int `json:"foreign"`
	// Held is the number of requests that wait for this upstream.
	Held     int   `json:"held"`
	KVTokens int64 `json:"kv_tokens,omitempty"`
	// ReservedTokens is the KV memory reserved for outstanding calls; PrefixTokens is the memory
	// that the prefixes of idle programs are assumed to take.
	ReservedTokens int64 `json:"reserved_tokens,omitempty"`
	PrefixTokens   int64 `json:"prefix_tokens,omitempty"`
	Leaving        bool  `json:"leaving,omitempty"`
}

// AccountState is the state of an account with requests in the pool.
type AccountState struct {
	Account string  `json:"account"`
	Weight  float64 `json:"weight"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	// Lag is how far the account's counter is behind the virtual time; negative if it is ahead.
	// Service per unit of weight.
	Lag float64 `json:"lag"`
}

// maxReportedAccounts bounds the accounts in a State.
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
