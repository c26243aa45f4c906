// Package dispatch runs the dispatchers of the pools that this VM is responsible for, and requests
// grants from the dispatchers of other VMs for calls that arrived here.
//
// A pool has one dispatcher among the live VMs of its zone. The queue is soft state: an entry VM
// periodically refreshes its waiting and running requests, so a dispatcher that takes over
// rebuilds both, and a request that is no longer refreshed expires.
package dispatch

import (
	"time"

	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

// Methods and kinds of messages between VMs.
const (
	MethodEnqueue = "dispatch.enqueue"
	MethodList    = "dispatch.list"
	KindGrant     = "dispatch.grant"
	KindCancel    = "dispatch.cancel"
	KindFinish    = "dispatch.finish"
	KindRefresh   = "dispatch.refresh"
	KindLacking   = "dispatch.lacking"
	KindAnnounce  = "dispatch.announce"
	KindSummary   = "dispatch.summary"
	// KindRelaySummary is a summary that the receiver forwards to all VMs of its zone.
	KindRelaySummary = "dispatch.relay_summary"
)

// Timing of the soft state.
const (
	// RefreshInterval is how often an entry VM refreshes its waiting and running requests.
	RefreshInterval = time.Second
	// RequestExpiry is how long a dispatcher keeps a request without a refresh.
	RequestExpiry = 4 * time.Second
	// SummaryInterval is how often a dispatcher sends a summary of its pools to the VMs of its
	// zone, and one of the pools whose load changed to one VM of each other zone, which relays it.
	SummaryInterval = 500 * time.Millisecond
	// SummaryAge is how long a summary of a pool in the own zone is valid.
	SummaryAge = 2500 * time.Millisecond
	// RemoteSummaryInterval is how often the VMs of other zones are sent the load of a pool that
	// has not changed.
	RemoteSummaryInterval = 2 * time.Second
	// RemoteSummaryAge is how long a summary of a pool in another zone is valid: two may be lost,
	// each relayed by a different VM. A zone without live VMs is left out at once.
	RemoteSummaryAge = 6500 * time.Millisecond
)

// State is the state of a request at its dispatcher.
type State string

// The states of a request.
const (
	StateQueued     State = "queued"
	StateGranted    State = "granted"
	StateRefused    State = "refused"
	StateNoUpstream State = "no_upstream"
)

// Enqueue requests a grant. Sent again with the same request ID it returns the current state.
type Enqueue struct {
	Pool    upstream.Pool    `json:"pool"`
	Request schedule.Request `json:"request"`
}

// Reply answers an Enqueue and is sent as KindGrant when a queued request's state changes.
type Reply struct {
	RequestID    string          `json:"request_id"`
	State        State           `json:"state"`
	Grant        *Grant          `json:"grant,omitempty"`
	Reason       schedule.Reason `json:"reason,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

// Grant permits a call to be sent to an upstream.
type Grant struct {
	RequestID   string        `json:"request_id"`
	Pool        upstream.Pool `json:"pool"`
	Upstream    string        `json:"upstream"`
	Incarnation int64         `json:"incarnation"`
	Address     string        `json:"address"`
	CanResume   bool          `json:"can_resume,omitempty"`
	// ServesAs is the upstream's own name for the model or service.
	ServesAs string `json:"serves_as,omitempty"`
	// QueuedFor is how long the request was queued at its dispatcher.
	QueuedFor time.Duration `json:"queued_for_ns"`
}

// Cancel withdraws a queued request or an unused grant.
type Cancel struct {
	Pool      upstream.Pool `json:"pool"`
	RequestID string        `json:"request_id"`
}

// Finish reports the end of a granted call.
type Finish struct {
	Pool      upstream.Pool    `json:"pool"`
	RequestID string           `json:"request_id"`
	Outcome   schedule.Outcome `json:"outcome"`
}

// Refresh lists the waiting and running requests of an entry VM in the pools of one dispatcher: as
// digests, and in full where the dispatcher reported that it lacks them.
type Refresh struct {
	Pools   []PoolRefresh `json:"pools,omitempty"`
	Waiting []Enqueue     `json:"waiting,omitempty"`
	Running []RunningCall `json:"running,omitempty"`
}

// PoolRefresh lists requests of one pool by the digests of their IDs.
type PoolRefresh struct {
	Pool    upstream.Pool `json:"pool"`
	Waiting digests       `json:"waiting,omitempty"`
	Running digests       `json:"running,omitempty"`
}

// Lacking answers a Refresh with the requests that the dispatcher has no state for, for example
// because it has just taken over the pool.
type Lacking struct {
	Pools []PoolLacking `json:"pools"`
}

// PoolLacking lists the missing requests of one pool by the digests of their IDs.
type PoolLacking struct {
	Pool     upstream.Pool `json:"pool"`
	Requests digests       `json:"requests"`
}

// RunningCall is a granted call that has not ended.
type RunningCall struct {
	Pool     upstream.Pool    `json:"pool"`
	Request  schedule.Request `json:"request"`
	Upstream string           `json:"upstream"`
	// Incarnation is the upstream's incarnation at the time of the grant.
	Incarnation int64 `json:"incarnation"`
}

// Summary reports the load of a dispatcher's pools to other VMs. Each VM receives many of them, so
// the encoding names each zone once and has short field names.
type Summary struct {
	// From is the dispatcher.
	From string
	// SentAt is the dispatcher's time since boot, so that a delayed summary does not replace a
	// later one.
	SentAt time.Duration
	Pools  []PoolSummary
}

// Listed is an upstream in a dispatcher's directory.
type Listed struct {
	Record upstream.Record `json:"record"`
	AgeMS  int64           `json:"age_ms"` // since its newest announcement
	// Condition is the upstream's worst condition in any of the dispatcher's pools.
	Condition Condition `json:"condition"`
}

// PoolSummary is the load of one pool.
type PoolSummary struct {
	Pool upstream.Pool `json:"pool"`
	Load schedule.Load `json:"load"`
}
