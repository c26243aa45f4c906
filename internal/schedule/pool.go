// Package schedule decides which waiting call runs when and on which upstream. It is pure: the
// host feeds events with the time they happened at, asks for a Plan, and carries it out.
//
// A Pool is the queue of one model or service in one zone. All calls towards the pool's
// upstreams are counted here, so decisions rest on what was granted and not on the upstreams'
// lagging reports alone.
package schedule

import (
	"sort"
	"time"
)

// Request is a call that waits for an upstream.
type Request struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// Weight is the account's part in fair queueing, above 0.
	Weight float64 `json:"weight"`
	// Program groups calls that share a prefix; empty for a call of its own.
	Program string `json:"program,omitempty"`
	// Root is the program's topmost ancestor; sub-agents of one program share it.
	Root string `json:"root,omitempty"`
	// Resident is the upstream that holds the program's prefix, as far as is known.
	Resident string `json:"resident,omitempty"`
	// PromptTokens and MaxTokens bound the call's size. Tokens.
	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	MaxTokens    int64 `json:"max_tokens,omitempty"`
	// PrefixTokens is the part of the prompt that Resident holds. Tokens.
	PrefixTokens int64 `json:"prefix_tokens,omitempty"`
	// Attained is the service that the program has had so far. Tokens.
	Attained int64 `json:"attained,omitempty"`
	// Avoid are upstreams that this call must not run on.
	Avoid []string `json:"avoid,omitempty"`
	// Alone asks for an upstream that serves nothing else, before and while the call runs.
	Alone bool `json:"alone,omitempty"`
}

// Replica is an upstream as the pool sees it.
type Replica struct {
	Name        string
	Incarnation int64
	// Slots is how many calls may be under way at once; 0: it gets none for now.
	Slots int
	// KVTokens is the size of the KV cache; 0 if calls are not bounded by it. Tokens.
	KVTokens int64
	// Running, Waiting and KVTokensUsed are the last report, ReportedAt its time.
	Running      int
	Waiting      int
	KVTokensUsed int64
	ReportedAt   time.Duration
}

// Grant lets a request run on an upstream.
type Grant struct {
	Request Request
	Replica string
}

// Refused takes a request out of the queue without a grant.
type Refused struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	ReasonQueueFull Reason = "queue_full"
	ReasonTooLarge  Reason = "too_large"
	// ReasonAllAvoided: the request must not run on any of the pool's upstreams.
	ReasonAllAvoided Reason = "all_avoided"
)

// Plan is what the host has to carry out.
type Plan struct {
	Grants  []Grant
	Refused []Refused
}

// Outcome is what is known of a call that ended.
type Outcome struct {
	// ServedTokens and CachedTokens are the engine's own count. Tokens.
	ServedTokens int64 `json:"served_tokens,omitempty"`
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	// Failed says that the upstream broke the call off or did not answer.
	Failed bool `json:"failed,omitempty"`
	// Unreachable says that the upstream refused a connection.
	Unreachable bool `json:"unreachable,omitempty"`
	// Took is how long the upstream worked on the call; 0 if that says nothing about it.
	Took time.Duration `json:"took_ns,omitempty"`
}

// Options bound a pool.
type Options struct {
	// MaxWaiting is how many requests may wait. Default DefaultMaxWaiting.
	MaxWaiting int
}

// DefaultMaxWaiting bounds the queue of a pool.
const DefaultMaxWaiting = 4096

type running struct {
	request Request
	replica string
	since   time.Duration
}

type replicaState struct {
	Replica
	outstanding int
	// alone is the request that has the upstream to itself, or waits until the others there
	// have ended; empty if there is none.
	alone string
}

// Pool queues the requests of one model or service in one zone.
type Pool struct {
	opts     Options
	replicas map[string]*replicaState
	waiting  []Request
	running  map[string]running
}

// New returns an empty pool.
func New(opts Options) *Pool {
	if opts.MaxWaiting == 0 {
		opts.MaxWaiting = DefaultMaxWaiting
	}
	return &Pool{opts: opts, replicas: map[string]*replicaState{}, running: map[string]running{}}
}

// SetReplica adds an upstream or takes its new report.
func (p *Pool) SetReplica(now time.Duration, r Replica) {
	s, ok := p.replicas[r.Name]
	if !ok {
		s = &replicaState{}
		p.replicas[r.Name] = s
	}
	s.Replica = r
}

// RemoveReplica takes an upstream out; calls granted to it go on until they finish.
func (p *Pool) RemoveReplica(now time.Duration, name string) {
	delete(p.replicas, name)
}

// Enqueue adds a request; one that is known already is left as it is.
func (p *Pool) Enqueue(now time.Duration, r Request) {
	if _, ok := p.running[r.ID]; ok {
		return
	}
	for _, w := range p.waiting {
		if w.ID == r.ID {
			return
		}
	}
	p.waiting = append(p.waiting, r)
}

// Cancel forgets a waiting request.
func (p *Pool) Cancel(now time.Duration, id string) {
	for i, w := range p.waiting {
		if w.ID == id {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			p.endAlone(id)
			return
		}
	}
}

// Adopt counts a call that another dispatcher granted.
func (p *Pool) Adopt(now time.Duration, r Request, replica string) {
	if _, ok := p.running[r.ID]; ok {
		return
	}
	p.Cancel(now, r.ID)
	p.running[r.ID] = running{request: r, replica: replica, since: now}
	if s, ok := p.replicas[replica]; ok {
		s.outstanding++
		if r.Alone {
			s.alone = r.ID
		}
	}
}

// Finish frees what a granted call held.
func (p *Pool) Finish(now time.Duration, id string, o Outcome) {
	r, ok := p.running[id]
	if !ok {
		return
	}
	delete(p.running, id)
	p.endAlone(id)
	if s, ok := p.replicas[r.replica]; ok && s.outstanding > 0 {
		s.outstanding--
	}
}

// Plan decides what to grant and refuse now.
func (p *Pool) Plan(now time.Duration) Plan {
	var plan Plan
	var left []Request
	for _, r := range p.waiting {
		if p.allAvoided(r) {
			plan.Refused = append(plan.Refused, Refused{Request: r, Reason: ReasonAllAvoided})
			continue
		}
		if r.Alone {
			p.reserve(r)
		}
		best := p.pick(r)
		if best == nil {
			left = append(left, r)
			continue
		}
		best.outstanding++
		p.running[r.ID] = running{request: r, replica: best.Name, since: now}
		plan.Grants = append(plan.Grants, Grant{Request: r, Replica: best.Name})
	}
	if len(left) > p.opts.MaxWaiting {
		for _, r := range left[p.opts.MaxWaiting:] {
			plan.Refused = append(plan.Refused, Refused{Request: r, Reason: ReasonQueueFull, RetryAfter: time.Second})
		}
		left = left[:p.opts.MaxWaiting]
	}
	p.waiting = left
	return plan
}

func (p *Pool) allAvoided(r Request) bool {
	for name := range p.replicas {
		if !contains(r.Avoid, name) {
			return false
		}
	}
	return len(p.replicas) > 0
}

func (p *Pool) pick(r Request) *replicaState {
	names := make([]string, 0, len(p.replicas))
	for name := range p.replicas {
		names = append(names, name)
	}
	sort.Strings(names)
	var best *replicaState
	for _, name := range names {
		s := p.replicas[name]
		if s.outstanding >= s.Slots || contains(r.Avoid, name) || !s.admits(r) {
			continue
		}
		if best == nil || s.outstanding < best.outstanding || s.outstanding == best.outstanding && name == r.Resident {
			best = s
		}
	}
	return best
}

// admits reports whether a request keeps to the upstreams that are had alone.
func (s *replicaState) admits(r Request) bool {
	if r.Alone {
		return s.alone == r.ID && s.outstanding == 0
	}
	return s.alone == ""
}

// reserve keeps the least loaded upstream free for a request that has to run alone. At most half
// of the pool, and at least one upstream, is kept so.
func (p *Pool) reserve(r Request) {
	kept := 0
	var best *replicaState
	for _, s := range p.replicas {
		if s.alone == r.ID && s.Slots > 0 {
			return
		}
		if s.alone == r.ID {
			s.alone = ""
		}
		if s.alone != "" {
			kept++
			continue
		}
		if contains(r.Avoid, s.Name) || s.Slots == 0 {
			continue
		}
		if best == nil || s.outstanding < best.outstanding || s.outstanding == best.outstanding && s.Name < best.Name {
			best = s
		}
	}
	if best != nil && kept < max(1, len(p.replicas)/2) {
		best.alone = r.ID
	}
}

func (p *Pool) endAlone(id string) {
	for _, s := range p.replicas {
		if s.alone == id {
			s.alone = ""
		}
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Load is the pool's state in short.
type Load struct {
	Replicas int `json:"replicas"`
	Slots    int `json:"slots"`
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
}

// Load returns the pool's state in short.
func (p *Pool) Load() Load {
	l := Load{Replicas: len(p.replicas), Running: len(p.running), Waiting: len(p.waiting)}
	for _, s := range p.replicas {
		l.Slots += s.Slots
	}
	return l
}
