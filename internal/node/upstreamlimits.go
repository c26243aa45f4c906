package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/proxy"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
)

const (
	// minUpstreamWait is the shortest time after which a VM asks again for a permit that it didn't get.
	minUpstreamWait = 10 * time.Millisecond
	// maxUpstreamRounds is how many rounds one request may wait for: the one in progress, one with a new
	// coordinator, one that reports the limit to it, and one more in case others took the permits.
	maxUpstreamRounds = 4
)

// upstreamLimits is the part of a permitLimiter that enforces the rate limits that upstreams state, and those of cold
// upstreams. The mutex of the permitLimiter protects it.
type upstreamLimits struct {
	table  *quota.LimitTable
	holder *quota.Holder
	// waiting is the number of requests that wait for a permit, by upstream process.
	waiting map[string]int
	// reported is the version of the table that the coordinator has acknowledged.
	reported uint64
	// epoch and version describe the statements that were received from the coordinator.
	epoch, version uint64
	// malformed holds the upstreams whose malformed statement was logged.
	malformed map[string]bool
	// failed is set while the last request to the coordinator failed.
	failed bool
	// restored is when zones returned to service, by zone.
	restored map[string]time.Time
}

// newUpstreamLimits returns the limits of the entry VM with the given address.
func newUpstreamLimits(vm string) *upstreamLimits {
	l := &upstreamLimits{
		table: quota.NewLimitTable(), holder: quota.NewUpstreamHolder(), waiting: map[string]int{}, malformed: map[string]bool{},
		restored: map[string]time.Time{},
	}
	l.holder.SetName(vm)
	return l
}

// request returns the part of a request for permits that concerns upstreams, and the version of the table
// that it reports.
func (l *upstreamLimits) request(now time.Duration) (*quota.UpstreamRequest, uint64) {
	limits, version := l.table.Since(now, l.reported)
	return &quota.UpstreamRequest{
		Wants: l.holder.UpstreamWants(now, l.waiting, l.table.Rates(now)), Limits: limits, Epoch: l.epoch, Version: l.version,
		Cold: l.table.ColdSince(now, l.reported),
	}, version
}

// handleGrant processes the response to a request that was sent at requestedAt and reported a version of the table.
func (l *upstreamLimits) handleGrant(now, requestedAt time.Duration, g quota.Grant, wants map[string]float64, reported uint64) {
	if g.Upstreams == nil {
		l.holder.SetHolders(g.Holders) // a coordinator of an earlier release: this VM uses its own share
		return
	}
	l.holder.UseColdShare(!g.Upstreams.GrantsCold)
	l.holder.ApplyGrantTo(now, requestedAt, quota.Grant{
		Permits: g.Upstreams.Permits, Waits: g.Upstreams.Waits, Levels: g.Upstreams.Levels, Holders: g.Holders,
	})
	l.reported = reported
	if l.epoch != g.Upstreams.Epoch {
		l.epoch, l.reported = g.Upstreams.Epoch, 0
	}
	for upstream := range wants {
		if _, known := g.Upstreams.Permits[upstream]; !known {
			l.reported = 0 // the coordinator has forgotten the limit
		}
	}
	l.table.Merge(now, g.Upstreams.Limits)
	l.table.MergeCold(now, g.Upstreams.Cold)
	l.version = g.Upstreams.Version
}

// ObserveLimit implements proxy.UpstreamLimiter.
func (p *permitLimiter) ObserveLimit(u registry.Upstream, stated proxy.RateLimit, sentAt time.Time) {
	if stated.State == proxy.LimitUnknown || stated.State == proxy.Unlimited && !p.limited.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now, process := p.clock(), u.Process()
	sent := now - time.Since(sentAt)
	fields := []zap.Field{zap.String("upstream", u.ID), zap.Int64("born", u.Born)}
	switch stated.State {
	case proxy.Limited:
		if p.upstreams.table.State(now, process, stated.PerSecond, sent) {
			p.events.Emit(events.UpstreamLimitStated, append(fields, zap.Float64("per_second", stated.PerSecond))...)
		}
	case proxy.Unlimited:
		if p.upstreams.table.End(now, process, sent) {
			p.events.Emit(events.UpstreamLimitEnded, fields...)
		}
	case proxy.MalformedLimit:
		if !p.upstreams.malformed[process] {
			p.upstreams.malformed[process] = true
			p.events.Emit(events.UpstreamLimitMalformed, append(fields, zap.String("value", stated.Text))...)
		}
	}
	p.countLimits()
}

// countLimits updates the number of limits, and what the fast path of requests reads. p.mu must be held.
func (p *permitLimiter) countLimits() {
	p.limitCount.Store(int64(p.upstreams.table.Len()))
	p.limited.Store(!p.upstreams.table.IsEmpty())
}

// UpstreamRoom implements proxy.UpstreamLimiter.
func (p *permitLimiter) UpstreamRoom(u registry.Upstream) quota.Room {
	if !p.limited.Load() {
		return quota.Unlimited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now, process := p.clock(), u.Process()
	limit, limited := p.upstreams.table.Rate(now, process)
	if !limited {
		return quota.Unlimited
	}
	room := p.upstreams.holder.Room(now, process, limit)
	if room.Free && p.upstreams.failed && !p.upstreams.holder.Held(now, process) && !p.upstreams.holder.UsesShare(now, limit) {
		room.Free, room.Wait = false, permitInterval
	}
	return room
}

// TakeUpstream implements proxy.UpstreamLimiter.
func (p *permitLimiter) TakeUpstream(ctx context.Context, u registry.Upstream) bool {
	if !p.limited.Load() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now, process := p.clock(), u.Process()
	limit, limited := p.upstreams.table.Rate(now, process)
	if !limited {
		return true
	}
	taken := p.upstreams.holder.Take(now, process, limit) ||
		!p.upstreams.holder.UsesShare(now, limit) && p.awaitUpstreamPermit(ctx, process)
	if limit.Cold {
		p.countCold(taken)
	}
	return taken
}

// awaitUpstreamPermit requests a permit from the coordinator and reports whether it got one. p.mu must be held.
func (p *permitLimiter) awaitUpstreamPermit(ctx context.Context, process string) bool {
	l := p.upstreams
	l.waiting[process]++
	defer func() {
		if l.waiting[process]--; l.waiting[process] == 0 {
			delete(l.waiting, process)
		}
	}()
	for range maxUpstreamRounds {
		round := p.startRound()
		p.mu.Unlock()
		select {
		case <-round.done:
		case <-ctx.Done():
		}
		p.mu.Lock()
		// The limit may have ended or become another one meanwhile.
		limit, limited := l.table.Rate(p.clock(), process)
		if !limited || l.holder.Take(p.clock(), process, limit) {
			return true
		}
		// The round may have begun before this request did, or others that wait took the permits.
		if ctx.Err() != nil || l.failed || round.upstreams[process] && l.holder.Short(process) {
			break
		}
	}
	l.holder.Postpone(p.clock(), process, minUpstreamWait)
	return false
}

// ReturnUpstream implements proxy.UpstreamLimiter.
func (p *permitLimiter) ReturnUpstream(u registry.Upstream) {
	if !p.limited.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if _, limited := p.upstreams.table.Rate(now, u.Process()); limited {
		p.upstreams.holder.Return(now, u.Process())
	}
}

// forgetUpstreams removes the limits of upstreams that are gone.
func (p *permitLimiter) forgetUpstreams(view *registry.View) {
	running := map[string]bool{}
	for _, list := range view.Services {
		for _, u := range list {
			running[u.Process()] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams.table.Prune(p.clock(), func(process string) bool { return running[process] })
	for process := range p.upstreams.malformed {
		if !running[process] {
			delete(p.upstreams.malformed, process)
		}
	}
	p.forgetRestored()
	p.countLimits()
}
