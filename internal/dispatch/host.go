package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/clock"
	"egretramp/internal/config"
	"egretramp/internal/events"
	"egretramp/internal/message"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
	"egretramp/internal/upstream/wire"
)

// Network carries messages and calls between VMs.
type Network interface {
	Send(vm, kind string, payload []byte)
	Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error)
}

// Locator looks up the zones and their live VMs.
type Locator interface {
	// Dispatchers returns the live VMs of the pool's zone, the pool's dispatcher first.
	Dispatchers(pool upstream.Pool) []string
	// Zones returns the zones with live VMs.
	Zones() []string
}

// HostOptions configures a Host.
type HostOptions struct {
	VM      string
	Zone    string
	Network Network
	Locator Locator
	// Concurrency returns the concurrency bound of a service; 0 if there is none.
	Concurrency func(service string) int
	Events      *events.Logger
	Clock       func() time.Duration // default clock.Now
}

// ErrStopped is returned after the host has stopped.
var ErrStopped = errors.New("dispatch: the host has stopped")

const (
	eventQueueSize = 1024
	tickInterval   = 100 * time.Millisecond
)

// Host runs the pools of this VM on one goroutine.
type Host struct {
	opts   HostOptions
	events chan func()
	done   chan struct{}

	directory     *upstream.Directory
	pools         map[upstream.Pool]*pool
	lastSummaryAt time.Duration // when the last summary was sent
	sentLoads     map[upstream.Pool]sentLoad
	relayRounds   uint64 // summaries sent to other zones
	drains        drains
}

type pool struct {
	*schedule.Pool
	*requests
	health *health
}

// request is the dispatcher's state of one request.
type request struct {
	from        string
	enqueue     Enqueue
	queuedAt    time.Duration
	refreshedAt time.Duration
	reply       Reply
}

// NewHost returns a host; Run processes its events.
func NewHost(opts HostOptions) *Host {
	if opts.Clock == nil {
		opts.Clock = clock.Now
	}
	return &Host{
		opts:      opts,
		events:    make(chan func(), eventQueueSize),
		done:      make(chan struct{}),
		directory: upstream.NewDirectory(),
		pools:     map[upstream.Pool]*pool{},
		sentLoads: map[upstream.Pool]sentLoad{},
		drains:    drains{},
	}
}

// Run processes events and ticks until ctx ends.
func (h *Host) Run(ctx context.Context) {
	defer close(h.done)
	timer := time.NewTimer(clock.Align(tickInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-h.events:
			event()
		case <-timer.C:
			timer.Reset(clock.Align(tickInterval))
			h.tick()
		}
	}
}

// post queues an event; it is dropped once the host has stopped.
func (h *Host) post(event func()) {
	select {
	case h.events <- event:
	case <-h.done:
	}
}

func (h *Host) pool(key upstream.Pool) *pool {
	p, ok := h.pools[key]
	if !ok {
		p = &pool{Pool: schedule.New(schedule.Options{}), requests: newRequests(), health: newHealth()}
		h.pools[key] = p
	}
	return p
}

func (h *Host) handleAnnouncement(a wire.Announcement) {
	now := h.opts.Clock()
	change, err := h.directory.Update(now, a)
	if errors.Is(err, upstream.ErrNameTaken) {
		h.opts.Events.Emit(events.UpstreamNameTaken, zap.String("upstream", a.Upstream), zap.String("class", a.Class))
	}
	if err != nil {
		return
	}
	switch {
	case change.Removed && change.Previous != nil:
		h.opts.Events.Emit(events.UpstreamLeft, zap.String("upstream", a.Upstream))
	case !change.Removed && change.Previous == nil:
		h.opts.Events.Emit(events.UpstreamJoined, zap.String("upstream", a.Upstream), zap.String("zone", a.Zone))
	}
	h.apply(now, change)
}

// apply applies a change of the directory to the pools. The upstream is removed from the pools that
// it no longer serves, whether it departed or serves something else now.
func (h *Host) apply(now time.Duration, c upstream.Change) {
	serving := map[upstream.Pool]bool{}
	if !c.Removed {
		for _, key := range c.Record.Pools() {
			serving[key] = true
			p := h.pool(key)
			p.health.recordAnnouncement(now, c.Record.Upstream, c.Record.Incarnation)
			p.SetReplica(now, h.replica(now, p, c.Record, key))
			h.plan(now, key, p)
		}
	}
	if c.Previous == nil {
		return
	}
	for _, key := range c.Previous.Pools() {
		if serving[key] {
			continue
		}
		p := h.pool(key)
		p.health.remove(c.Record.Upstream)
		p.RemoveReplica(now, c.Record.Upstream)
		h.plan(now, key, p)
		h.rejectQueued(now, p)
	}
}

// rejectQueued answers the queued requests of a pool without usable upstreams with
// StateNoUpstream, so that their entry VMs try other pools.
func (h *Host) rejectQueued(now time.Duration, p *pool) {
	if !p.health.allExcluded(now) {
		return
	}
	for id, r := range p.byID {
		if r.reply.State != StateQueued {
			continue
		}
		p.Cancel(now, id)
		p.drop(id)
		h.opts.Network.Send(r.from, KindGrant, message.Encode(Reply{RequestID: id, State: StateNoUpstream}))
	}
}

func (h *Host) replica(now time.Duration, p *pool, r upstream.Record, key upstream.Pool) schedule.Replica {
	slots := r.Limits.Slots
	if r.Kind == config.KindService && h.opts.Concurrency != nil {
		if bound := h.opts.Concurrency(key.Name); bound > 0 && (slots == 0 || bound < slots) {
			slots = bound
		}
	}
	slots = p.health.slots(now, r.Upstream, slots)
	if h.drains.inForce(now, key, r.Upstream, r.Incarnation) {
		slots = 0
	}
	return schedule.Replica{
		Name:         r.Upstream,
		Incarnation:  r.Incarnation,
		Slots:        slots,
		KVTokens:     r.Limits.KVTokens,
		Running:      r.Load.Running,
		Waiting:      r.Load.Waiting,
		KVTokensUsed: r.Load.KVTokensUsed,
		ReportedAt:   r.LastSeen,
	}
}

func (h *Host) enqueue(from string, e Enqueue) {
	now := h.opts.Clock()
	p := h.pool(e.Pool)
	if known, ok := p.byID[e.Request.ID]; ok {
		known.refreshedAt = now
		return
	}
	if p.health.allExcluded(now) {
		return
	}
	p.add(&request{
		from:        from,
		enqueue:     e,
		queuedAt:    now,
		refreshedAt: now,
		reply:       Reply{RequestID: e.Request.ID, State: StateQueued},
	})
	p.Enqueue(now, e.Request)
	h.plan(now, e.Pool, p)
}

func (h *Host) replyTo(e Enqueue) Reply {
	r, ok := h.pool(e.Pool).byID[e.Request.ID]
	if !ok {
		return Reply{RequestID: e.Request.ID, State: StateNoUpstream}
	}
	return r.reply
}

// plan runs the pool's scheduler and sends the grants and refusals that it decides.
func (h *Host) plan(now time.Duration, key upstream.Pool, p *pool) {
	plan := p.Plan(now)
	for _, g := range plan.Grants {
		h.grant(now, key, p, g)
	}
	for _, refused := range plan.Refused {
		h.refuse(p, refused)
	}
}

func (h *Host) grant(now time.Duration, key upstream.Pool, p *pool, g schedule.Grant) {
	r, ok := p.byID[g.Request.ID]
	if !ok {
		return
	}
	record, _ := h.directory.Get(g.Replica)
	r.reply = Reply{RequestID: g.Request.ID, State: StateGranted, Grant: &Grant{
		RequestID:   g.Request.ID,
		Pool:        key,
		Upstream:    g.Replica,
		Incarnation: record.Incarnation,
		Address:     record.Address,
		CanResume:   record.CanResume,
		ServesAs:    record.ServesAs[key.Name],
		QueuedFor:   now - r.queuedAt,
	}}
	h.opts.Network.Send(r.from, KindGrant, message.Encode(r.reply))
}

func (h *Host) refuse(p *pool, refused schedule.Refused) {
	r, ok := p.byID[refused.Request.ID]
	if !ok {
		return
	}
	if refused.Reason == schedule.ReasonNoReplica {
		// This is not a refusal: the entry VM tries the other zones.
		p.drop(refused.Request.ID)
		h.opts.Network.Send(r.from, KindGrant, message.Encode(Reply{RequestID: refused.Request.ID, State: StateNoUpstream}))
		return
	}
	r.reply = Reply{
		RequestID:    refused.Request.ID,
		State:        StateRefused,
		Reason:       refused.Reason,
		RetryAfterMS: refused.RetryAfter.Milliseconds(),
	}
	h.opts.Network.Send(r.from, KindGrant, message.Encode(r.reply))
}

func (h *Host) finish(key upstream.Pool, id string, o schedule.Outcome) {
	p, ok := h.pools[key]
	if !ok {
		return
	}
	now := h.opts.Clock()
	r := p.byID[id]
	p.drop(id)
	p.Cancel(now, id)
	p.Finish(now, id, o)
	if r != nil && r.reply.Grant != nil {
		h.recordOutcome(now, key, p, r.reply.Grant, o)
	}
	h.plan(now, key, p)
}

// recordOutcome records a call's outcome in the upstream's health, unless the upstream has
// restarted since the grant.
func (h *Host) recordOutcome(now time.Duration, key upstream.Pool, p *pool, g *Grant, o schedule.Outcome) {
	record, ok := h.directory.Get(g.Upstream)
	if !ok || record.Incarnation != g.Incarnation || !p.health.recordOutcome(now, g.Upstream, o) {
		return
	}
	h.opts.Events.Emit(events.UpstreamEjected, zap.String("upstream", g.Upstream),
		zap.String("pool", key.String()), zap.Bool("unreachable", o.Unreachable))
	p.SetReplica(now, h.replica(now, p, record, key))
	h.rejectQueued(now, p)
}

// refreshSlots updates the slots of upstreams whose ejection is over or that are in slow start.
func (h *Host) refreshSlots(now time.Duration, key upstream.Pool, p *pool) {
	for name, c := range p.health.upstreams {
		if c.returnedAt == 0 || now-c.returnedAt > slowStart+time.Second {
			continue
		}
		if record, ok := h.directory.Get(name); ok {
			p.SetReplica(now, h.replica(now, p, record, key))
		}
	}
}

// adopt adds a running call that another dispatcher granted, or refreshes one that is known.
func (h *Host) adopt(now time.Duration, from string, held RunningCall) {
	p := h.pool(held.Pool)
	known, ok := p.byID[held.Request.ID]
	if ok {
		known.refreshedAt = now
		if known.reply.State == StateGranted {
			return
		}
	}
	p.add(&request{
		from:        from,
		enqueue:     Enqueue{Pool: held.Pool, Request: held.Request},
		queuedAt:    now,
		refreshedAt: now,
		reply:       Reply{RequestID: held.Request.ID, State: StateGranted, Grant: &Grant{Upstream: held.Upstream, Incarnation: held.Incarnation}},
	})
	p.Adopt(now, held.Request, held.Upstream)
}

func (h *Host) tick() {
	now := h.opts.Clock()
	for _, gone := range h.directory.Expire(now) {
		h.opts.Events.Emit(events.UpstreamSilent, zap.String("upstream", gone.Record.Upstream))
		h.apply(now, gone)
	}
	h.endDrains(now)
	for key, p := range h.pools {
		h.expireRequests(now, key, p)
		h.refreshSlots(now, key, p)
		h.plan(now, key, p)
	}
	if now-h.lastSummaryAt >= SummaryInterval {
		h.lastSummaryAt = now
		h.sendSummary(now)
	}
}

// expireRequests drops requests whose entry VM no longer refreshes them, and the pool itself if it
// has no state left.
func (h *Host) expireRequests(now time.Duration, key upstream.Pool, p *pool) {
	for id, r := range p.byID {
		if now-r.refreshedAt > RequestExpiry {
			h.finish(key, id, schedule.Outcome{})
		}
	}
	if len(p.byID) == 0 && p.Load() == (schedule.Load{}) {
		delete(h.pools, key)
	}
}
