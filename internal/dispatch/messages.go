// Package dispatch runs the dispatchers of the pools that this VM is responsible for, and asks
// the dispatchers of other VMs on behalf of calls that arrived here.
//
// A pool has one dispatcher among the live VMs of its zone. The queue is soft state: an entry VM
// repeats what it waits for and what it has under way, so a dispatcher that takes over learns
// of both, and one that no longer hears of a request forgets it.
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
	// KindRelaySummary is a summary for all VMs of the receiver's zone.
	KindRelaySummary = "dispatch.relay_summary"
)

// Timing of the soft state.
const (
	// RefreshInterval is how often an entry VM repeats what it waits for and has under way.
	RefreshInterval = time.Second
	// RequestExpiry is how long a dispatcher keeps a request that nobody repeats.
	RequestExpiry = 4 * time.Second
	// SummaryInterval is how often a dispatcher tells the VMs of its zone about its pools, and
	// those of the other zones, through one VM of each, about those with news.
	SummaryInterval = 500 * time.Millisecond
	// SummaryAge is how long a summary of the own zone is believed.
	SummaryAge = 2500 * time.Millisecond
	// RemoteSummaryInterval is how often the VMs of other zones are told of pools without news.
	RemoteSummaryInterval = 2 * time.Second
	// RemoteSummaryAge is how long a summary of another zone is believed: two may be lost, each
	// with another VM that passed it on. A zone without live VMs is left out at once.
	RemoteSummaryAge = 6500 * time.Millisecond
)

// State is where a request stands at its dispatcher.
type State string

// The states of a request.
const (
	StateQueued     State = "queued"
	StateGranted    State = "granted"
	StateRefused    State = "refused"
	StateNoUpstream State = "no_upstream"
)

// Enqueue asks for a grant. Sent again with the same request ID it returns the present state.
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

// Grant lets a call go to an upstream.
type Grant struct {
	RequestID   string        `json:"request_id"`
	Pool        upstream.Pool `json:"pool"`
	Upstream    string        `json:"upstream"`
	Incarnation int64         `json:"incarnation"`
	Address     string        `json:"address"`
	CanResume   bool          `json:"can_resume,omitempty"`
	// ServesAs is the upstream's own name of the model or service.
	ServesAs string `json:"serves_as,omitempty"`
	// QueuedFor is how long the request waited at its dispatcher.
	QueuedFor time.Duration `json:"queued_for_ns"`
}

// Cancel withdraws a request that waits or was granted but not used.
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

// Refresh repeats what an entry VM waits for and has under way in pools of one dispatcher: by
// digests, and whole where the dispatcher said that it lacks it.
type Refresh struct {
	Pools   []PoolRefresh `json:"pools,omitempty"`
	Waiting []Enqueue     `json:"waiting,omitempty"`
	Running []RunningCall `json:"running,omitempty"`
}

// PoolRefresh names requests in one pool by the digests of their IDs.
type PoolRefresh struct {
	Pool    upstream.Pool `json:"pool"`
	Waiting digests       `json:"waiting,omitempty"`
	Running digests       `json:"running,omitempty"`
}

// Lacking answers a Refresh with the requests that the dispatcher does not know, as one that has
// just taken over.
type Lacking struct {
	Pools []PoolLacking `json:"pools"`
}

// PoolLacking names the requests of one pool by the digests of their IDs.
type PoolLacking struct {
	Pool     upstream.Pool `json:"pool"`
	Requests digests       `json:"requests"`
}

// RunningCall is a granted call under way.
type RunningCall struct {
	Pool     upstream.Pool    `json:"pool"`
	Request  schedule.Request `json:"request"`
	Upstream string           `json:"upstream"`
	// Incarnation is the upstream's at the time of the grant.
	Incarnation int64 `json:"incarnation"`
}

// Summary tells other VMs what a dispatcher's pools look like. Each VM hears many of them, so
// its encoding names each zone once and has short names.
type Summary struct {
	// From is the dispatcher.
	From string
	// SentAt is the dispatcher's time since boot, so that one that was held up on its way does
	// not replace a later one.
	SentAt time.Duration
	Pools  []PoolSummary
}

// Listed is an upstream in a dispatcher's directory.
type Listed struct {
	Record upstream.Record `json:"record"`
	AgeMS  int64           `json:"age_ms"` // since its newest announcement
	// Condition is the worst that one of the dispatcher's pools has it in.
	Condition Condition `json:"condition"`
}

// PoolSummary is one pool in short.
type PoolSummary struct {
	Pool upstream.Pool `json:"pool"`
	Load schedule.Load `json:"load"`
}
