package schedule

import "time"

// Request is a call that waits for an upstream.
type Request struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// Weight is the account's weight in fair queueing; 0 counts as 1.
	Weight float64 `json:"weight"`
	// Program groups calls that share a prefix; empty for a standalone call.
	Program string `json:"program,omitempty"`
	// Root is the program's topmost ancestor; sub-agents of one program share it.
	Root string `json:"root,omitempty"`
	// Resident is the upstream that holds the program's prefix, as far as is known.
	Resident string `json:"resident,omitempty"`
	// ResidentIncarnation is the incarnation of Resident that holds it; 0 if not known.
	ResidentIncarnation int64 `json:"resident_incarnation,omitempty"`
	// PromptTokens and MaxTokens bound the call's size. Tokens.
	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	MaxTokens    int64 `json:"max_tokens,omitempty"`
	// PrefixTokens is the part of the prompt that Resident holds; 0 if not known. Tokens.
	PrefixTokens int64 `json:"prefix_tokens,omitempty"`
	// Attained is the service that the program has received so far; 0 if not known. Tokens.
	Attained int64 `json:"attained,omitempty"`
	// Avoid are upstreams that this call must not run on.
	Avoid []string `json:"avoid,omitempty"`
	// Alone requires an upstream that serves no other calls meanwhile.
	Alone bool `json:"alone,omitempty"`
}

// usesKV reports whether the call takes KV memory.
func (r *Request) usesKV() bool { return r.PromptTokens+r.MaxTokens > 0 }

// Replica describes an upstream and its last report.
type Replica struct {
	Name        string
	Incarnation int64
	// Slots is the number of calls that may run at once; with 0 the upstream gets no new calls.
	Slots int
	// KVTokens is the size of the KV cache; 0 if calls are not bounded by it. Tokens.
	KVTokens int64
	// Running, Waiting and KVTokensUsed are from the last report, ReportedAt is its time.
	Running      int
	Waiting      int
	KVTokensUsed int64
	ReportedAt   time.Duration
}

// Grant assigns a request to an upstream, where it may run now.
type Grant struct {
	Request Request
	Replica string
}

// Refused is a request that leaves the queue without a grant.
type Refused struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

// Reason is the reason for which a request was refused.
type Reason string

// Reasons for a refusal.
const (
	// ReasonQueueFull: the account has as many waiting requests as the queue has free places, or
	// too many requests wait to run alone.
	ReasonQueueFull Reason = "queue_full"
	// ReasonTooLarge: no upstream of the pool has the KV memory that the call may need.
	ReasonTooLarge Reason = "too_large"
	// ReasonAllAvoided: the call must avoid every upstream of the pool.
	ReasonAllAvoided Reason = "all_avoided"
	// ReasonWaitTooLong: the account's requests ahead take longer than MaxWait, or the request has
	// waited that long.
	ReasonWaitTooLong Reason = "wait_too_long"
	// ReasonNoReplica: the pool has no upstream.
	ReasonNoReplica Reason = "no_replica"
	// ReasonNoneIdle: no upstream became idle in time for a call that must run alone.
	ReasonNoneIdle Reason = "none_idle"
)

// Plan is the set of decisions that the host has to carry out.
type Plan struct {
	Grants  []Grant
	Refused []Refused
}

// Outcome is what is known of a call that ended.
type Outcome struct {
	// ServedTokens and CachedTokens are the engine's own counts: prompt plus answer, and the part
	// of the prompt that was not computed. Tokens.
	ServedTokens int64 `json:"served_tokens,omitempty"`
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	// CompletionTokens is the length of the answer; 0 if not known. Tokens.
	CompletionTokens int64 `json:"completion_tokens,omitempty"`
	// Failed means that the upstream aborted the call or did not answer.
	Failed bool `json:"failed,omitempty"`
	// Unreachable means that the upstream refused a connection.
	Unreachable bool `json:"unreachable,omitempty"`
	// Took is how long the upstream worked on the call; 0 if the duration is no measure of the
	// upstream's speed.
	Took time.Duration `json:"took_ns,omitempty"`
}

// Options configure a pool.
type Options struct {
	// MaxWaiting is the maximum number of waiting requests. Default DefaultMaxWaiting.
	MaxWaiting int
	// MaxWait is the longest time that a request waits. Default DefaultMaxWait.
	MaxWait time.Duration
	// MaxPrograms is the maximum number of programs on record. Default DefaultMaxPrograms.
	MaxPrograms int
	// Without disables parts of the policy, to measure their effect.
	Without Parts
}

// Parts selects parts of the scheduling policy.
type Parts struct {
	// Fairness is fair queueing among client accounts.
	Fairness bool
	// Order is the order by attained service within an account.
	Order bool
	// Affinity sends a program's calls to the upstream that holds its prefix.
	Affinity bool
	// GiveUp ends the wait for that upstream when recomputing the prefix costs less.
	GiveUp bool
	// KVAdmission limits the calls on an upstream by its KV memory.
	KVAdmission bool
}

// Defaults of Options.
const (
	DefaultMaxWaiting  = 4096
	DefaultMaxWait     = 30 * time.Second
	DefaultMaxPrograms = 16384
)

func (o *Options) setDefaults() {
	if o.MaxWaiting == 0 {
		o.MaxWaiting = DefaultMaxWaiting
	}
	if o.MaxWait == 0 {
		o.MaxWait = DefaultMaxWait
	}
	if o.MaxPrograms == 0 {
		o.MaxPrograms = DefaultMaxPrograms
	}
}

// Load is a summary of a pool's state.
type Load struct {
	Replicas int `json:"replicas"`
	Slots    int `json:"slots"`
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
	// WaitMS is how long a new request would wait if all accounts shared one queue. Milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
	// PrefillNS is the time to compute one prompt token. Nanoseconds.
	PrefillNS int64 `json:"prefill_ns,omitempty"`
}
