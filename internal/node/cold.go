package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
)

// restoredRetention is how long the return of a zone to service is remembered, which is the longest cold time that
// follows from it.
const restoredRetention = 10 * time.Minute

// observeCold records what registrations say of upstreams that are cold, and which upstreams count as cold because
// they say nothing. table is the configuration with the rates of the services.
func (p *permitLimiter) observeCold(table *routing.Snapshot, upstreams []registry.Upstream) {
	if table == nil {
		return // entry.applyDocument reviews all upstreams with the configuration
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range upstreams {
		if service, ok := table.Service(upstreams[i].Service); ok {
			p.observeColdUpstream(&upstreams[i], service)
		}
	}
	p.countLimits()
}

// observeColdUpstream records what is known of one upstream. p.mu must be held.
func (p *permitLimiter) observeColdUpstream(u *registry.Upstream, service *routing.Service) {
	if u.State == registry.Gone && !u.Expired {
		return
	}
	now, process := p.clock(), u.Process()
	wasCold := p.upstreams.table.IsCold(now, process)
	fields := []zap.Field{
		zap.String("upstream", u.ID), zap.Int64("born", u.Born), zap.Int64("sequence", u.Sequence), zap.Float64("per_second", service.ColdPerSecond),
	}
	if !u.ColdStatedAt.IsZero() {
		remaining := time.Until(u.ColdUntil)
		state := quota.ColdState{
			PerSecond: service.ColdPerSecond, Until: now + remaining, Sequence: u.Sequence, StatedAt: now - time.Since(u.ColdStatedAt),
		}
		switch changed := p.upstreams.table.SetCold(now, process, state); {
		case changed && remaining > 0 && service.ColdPerSecond > 0:
			p.events.Emit(events.UpstreamCold, append(fields, zap.Duration("remaining", remaining))...)
		case changed && wasCold:
			p.events.Emit(events.UpstreamColdEnded, fields...)
		}
	}
	if remaining := p.assumedCold(u, service.ColdStart); remaining > 0 {
		if p.upstreams.table.AssumeCold(now, process, service.ColdPerSecond, now+remaining) {
			p.events.Emit(events.UpstreamCold, append(fields, zap.Duration("remaining", remaining), zap.Bool("assumed", true))...)
		}
	}
}

// assumedCold returns for how long an upstream counts as cold although no registration says so: since it was first
// seen, if its registrations don't say whether it is cold, and since its zone returned to service, unless a later
// registration says that it is not cold. p.mu must be held.
func (p *permitLimiter) assumedCold(u *registry.Upstream, coldStart time.Duration) time.Duration {
	var since time.Time
	if u.ColdStatedAt.IsZero() {
		since = u.FirstSeen
	}
	if restored := p.upstreams.restored[u.Zone]; restored.After(since) && !u.ColdStatedAt.After(restored) {
		since = restored
	}
	if since.IsZero() {
		return 0
	}
	return coldStart - time.Since(since)
}

// zoneRestored records that a zone returns to service: its upstreams were idle and may be cold. The directory's lock is
// taken before p.mu, as by Merge.
func (p *permitLimiter) zoneRestored(zone string) {
	p.mu.Lock()
	p.upstreams.restored[zone] = time.Now()
	p.mu.Unlock()
	p.events.Emit(events.ZoneRestored, zap.String("zone", zone))
	if p.review != nil {
		p.review(func(upstreams []registry.Upstream) { p.observeCold(p.table(), upstreams) })
	}
}

// forgetRestored removes the zones whose return was long ago. p.mu must be held.
func (p *permitLimiter) forgetRestored() {
	for zone, at := range p.upstreams.restored {
		if time.Since(at) > restoredRetention {
			delete(p.upstreams.restored, zone)
		}
	}
}

// countCold counts a request for a permit to send to a cold upstream.
func (p *permitLimiter) countCold(taken bool) {
	if taken {
		p.coldTaken.Add(1)
	} else {
		p.coldRefused.Add(1)
	}
}

// coldCount returns the number of upstreams that are limited because they are cold.
func (p *permitLimiter) coldCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstreams.table.ColdCount(p.clock())
}

// registerColdMetrics registers the metrics about cold upstreams.
func (p *permitLimiter) registerColdMetrics(r prometheus.Registerer) {
	count := func(result string, value func() int64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "egretramp_cold_permits_total", Help: "Requests of this VM for a permit to send to a cold upstream, by result.",
			ConstLabels: prometheus.Labels{"result": result},
		}, func() float64 { return float64(value()) })
	}
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "egretramp_upstreams_cold", Help: "Upstreams that are limited because they are cold, as far as this VM knows.",
		}, func() float64 { return float64(p.coldCount()) }),
		count("taken", p.coldTaken.Load), count("none", p.coldRefused.Load),
	)
}
