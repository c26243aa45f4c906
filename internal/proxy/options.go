package proxy

import (
	"context"
	"time"

	"egretramp/internal/callermem"
	"egretramp/internal/events"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/sharedload"
	"egretramp/internal/suspect"
	"egretramp/internal/turns"
	"egretramp/internal/upconn"
	"egretramp/internal/zonebytes"
)

// Ledger reserves and settles the tokens of turns, and stores conversations.
type Ledger interface {
	// Begin reserves the tokens of a turn. It returns an error if the outcome is unknown, and is
	// idempotent.
	Begin(ctx context.Context, b turns.Begin) (turns.Result, error)
	// End settles a turn and returns once it is recorded durably.
	End(ctx context.Context, e turns.End) (turns.Result, error)
	// EndLater settles a turn in the background, for turns whose response doesn't wait for it. done
	// is called with the result unless it is nil.
	EndLater(e turns.End, done func(turns.Result))
	// RecordStream records the origin of a stream and reports whether it is recorded durably. With an error, it may
	// be recorded later. It is idempotent.
	RecordStream(ctx context.Context, s turns.Stream) (recorded bool, err error)
}

// Limiter enforces the rate limits of client accounts across all VMs.
type Limiter interface {
	// Take takes a permit for one request. If none is available, retryAfter is the time until there
	// may be one. begins is set for a request that begins a program: while permits are scarce,
	// requests of active programs come first.
	Take(ctx context.Context, account *routing.Account, begins bool) (ok bool, retryAfter time.Duration)
}

// UpstreamLimiter enforces the rate limits that upstreams state in their responses, across all VMs.
type UpstreamLimiter interface {
	// ObserveLimit records what a response to a request that was sent at sentAt says of the limit.
	ObserveLimit(u registry.Upstream, stated RateLimit, sentAt time.Time)
	// UpstreamRoom returns without waiting what is left of an upstream's rate.
	UpstreamRoom(u registry.Upstream) quota.Room
	// TakeUpstream takes a permit to send one request, which may take a round trip to another VM.
	TakeUpstream(ctx context.Context, u registry.Upstream) bool
	// ReturnUpstream returns the permit of a request that was not sent.
	ReturnUpstream(u registry.Upstream)
}

// Options configures a Server.
type Options struct {
	Zone      string // this VM's
	Protocol  Protocol
	Table     func() *routing.Snapshot // returns nil before a configuration is received
	Directory *registry.Directory
	// Dial opens connections to upstreams; nil for upconn.Dial.
	Dial upconn.DialFunc
	// CutOff reports whether a partition separates this VM from all upstreams, so that it reaches them only through
	// other VMs; nil means never.
	CutOff func() bool
	// Detoured reports whether connections to an upstream's address should lead through another VM; nil means never.
	Detoured func(address string) bool
	Ledger   Ledger
	Limiter  Limiter
	// Upstreams enforces the rate limits of upstreams; nil for none.
	Upstreams UpstreamLimiter
	// Suspects counts the upstreams that requests crash; nil for a tracker of this server's own.
	Suspects *suspect.Tracker
	// Evacuated reports whether an availability zone is out of service, so that no request is sent to its upstreams; nil
	// means never.
	Evacuated func(zone string) bool
	// Isolated reports whether a partition separates this VM from the store; nil means never.
	Isolated func() bool
	// Load returns the load that the other VMs cause at an upstream, false if it isn't known; nil for never.
	Load func(u registry.Upstream) (sharedload.Upstream, bool)
	// LoadOrigins returns the attempts by zone, as of the same view; nil for none.
	LoadOrigins func() []sharedload.Origin
	// OverShare reports whether a client account has more than its share of the programs of all VMs while others are
	// refused; nil for never.
	OverShare func(account string) bool
	// ZoneMegabyteCost is the time of callers that a megabyte (10^6 bytes) between zones is worth; 0 for the
	// default, negative if it is worth nothing.
	ZoneMegabyteCost time.Duration
	// Drain is how long an upstream serves after it announced its shutdown.
	Drain time.Duration
	// Memory bounds what is held for callers; nil for no limit. Buffers of responses are a part of it.
	Memory  *callermem.Budget
	Events  *events.Logger
	Metrics *Metrics
	// Bytes counts the bytes of attempts; nil for none.
	Bytes *zonebytes.Meter
}
