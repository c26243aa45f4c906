package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"egretramp/internal/events"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
)

// coldLimiter returns a limiter with a directory, for a configuration in which the service s has a limit for cold
// upstreams and plain has none. No assumed cold time ends by itself during a test, even on a slow machine.
func (n *permitNetwork) coldLimiter(t *testing.T, name string) (*permitLimiter, *registry.Directory) {
	table, err := routing.Compile(routing.Table{Version: 1, Services: []routing.Service{
		{Name: "s", ColdStart: time.Minute, ColdPerSecond: 25}, {Name: "plain", ColdStart: time.Minute},
	}})
	require.NoError(t, err)
	p, d := n.limiter(name), registry.NewDirectory(nil)
	p.table, p.review = func() *routing.Snapshot { return table }, d.Review
	p.events = events.NewTo(name, zapcore.ErrorLevel, &discard{})
	d.Observe(func(upstreams []registry.Upstream) { p.observeCold(table, upstreams) })
	return p, d
}

// coldRegistration returns a registration of a process of u that is cold for d; below 0, it doesn't say so.
func coldRegistration(born, sequence int64, d time.Duration) registry.Upstream {
	u := registry.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 6, Born: born, Sequence: sequence, Registered: time.Hour}
	if d >= 0 {
		u.Cold, u.ColdStated = d, 1
	}
	return u
}

// TestPermits_ColdUpstream: a VM learns from the registration that an upstream is cold, another one from the coordinator;
// the limit ends with the stated time, or with a later registration.
func TestPermits_ColdUpstream(t *testing.T) {
	var term atomic.Uint64
	term.Store(1)
	network := newPermitNetwork(2, &term)
	a, d := network.coldLimiter(t, "a")
	b, _ := network.coldLimiter(t, "b")
	u := coldRegistration(1, 1, 3*time.Second)
	require.Equal(t, quota.Unlimited, a.UpstreamRoom(u))
	d.Merge("c", []registry.Upstream{u})
	require.True(t, a.UpstreamRoom(u).Cold)
	a.exchange()
	b.exchange()
	require.True(t, b.UpstreamRoom(u).Cold, "from the coordinator")
	require.LessOrEqual(t, a.takeFor(u, 8, time.Second), int64(25))
	require.Positive(t, a.coldTaken.Load())
	require.Equal(t, 1, a.coldCount())

	d.Merge("c", []registry.Upstream{coldRegistration(1, 2, 0)})
	require.Equal(t, quota.Unlimited, a.UpstreamRoom(u), "it says that it is no longer cold")
	d.Merge("c", []registry.Upstream{coldRegistration(1, 4, 2*time.Second)})
	require.True(t, a.UpstreamRoom(u).Cold, "cold again")
	d.Merge("c", []registry.Upstream{coldRegistration(1, 3, time.Hour)})
	require.Eventually(t, func() bool { return a.UpstreamRoom(u) == quota.Unlimited }, 10*time.Second, 10*time.Millisecond, "a late registration")
	require.True(t, a.TakeUpstream(context.Background(), u))
}

// TestPermits_ColdWithoutLimit guards against limits of services that state no rate for cold upstreams.
func TestPermits_ColdWithoutLimit(t *testing.T) {
	var term atomic.Uint64
	p, d := newPermitNetwork(1, &term).coldLimiter(t, "a")
	for _, service := range []string{"plain", "unknown"} {
		u := coldRegistration(1, 1, 3*time.Second)
		u.Service, u.ID = service, service
		d.Merge("c", []registry.Upstream{u})
		require.Equal(t, quota.Unlimited, p.UpstreamRoom(u))
	}
	p.zoneRestored("z")
	require.False(t, p.limited.Load())
}

// TestPermits_ColdIfUnstated: a process that is new counts as cold if its registrations don't say; one that was first
// registered long ago doesn't.
func TestPermits_ColdIfUnstated(t *testing.T) {
	var term atomic.Uint64
	p, d := newPermitNetwork(1, &term).coldLimiter(t, "a")
	u := coldRegistration(1, 1, -1)
	d.Merge("c", []registry.Upstream{u})
	require.Equal(t, quota.Unlimited, p.UpstreamRoom(u), "new to this VM only")
	u = coldRegistration(2, 1, -1)
	u.Registered = 10 * time.Millisecond
	d.Merge("c", []registry.Upstream{u})
	require.True(t, p.UpstreamRoom(u).Cold)
	d.Merge("c", []registry.Upstream{coldRegistration(2, 2, 0)})
	require.Equal(t, quota.Unlimited, p.UpstreamRoom(u), "a later registration says that it is not cold")
}

// TestPermits_ZoneRestored guards against the whole load for upstreams that were idle while their zone was out of service:
// they count as cold until a registration that was received later says that they are not.
func TestPermits_ZoneRestored(t *testing.T) {
	var term atomic.Uint64
	p, d := newPermitNetwork(1, &term).coldLimiter(t, "a")
	u := coldRegistration(1, 1, 0)
	d.Merge("c", []registry.Upstream{u})
	p.zoneRestored("elsewhere")
	require.Equal(t, quota.Unlimited, p.UpstreamRoom(u))
	p.zoneRestored("z")
	require.True(t, p.UpstreamRoom(u).Cold)
	p.exchange()
	require.Eventually(t, func() bool {
		return p.TakeUpstream(t.Context(), u)
	}, 10*time.Second, 10*time.Millisecond, "the coordinator grants permits")
	require.Positive(t, p.coldTaken.Load())
	before := coldRegistration(1, 2, 0)
	before.ColdStated = time.Minute
	d.Merge("c", []registry.Upstream{before})
	require.True(t, p.UpstreamRoom(u).Cold, "received before the zone returned")
	d.Merge("c", []registry.Upstream{coldRegistration(1, 3, 0)})
	require.Equal(t, quota.Unlimited, p.UpstreamRoom(u))
	later := coldRegistration(5, 1, -1)
	d.Merge("c", []registry.Upstream{later})
	require.True(t, p.UpstreamRoom(later).Cold, "known only after the zone returned")
	p.upstreams.restored["z"] = time.Now().Add(-2 * restoredRetention)
	p.forgetUpstreams(d.View())
	require.NotContains(t, p.upstreams.restored, "z")
}

// TestPermits_ColdBesideEarlierRelease: a coordinator of an earlier release grants no permits for cold upstreams, so the VM
// uses its share.
func TestPermits_ColdBesideEarlierRelease(t *testing.T) {
	var term atomic.Uint64
	network := newPermitNetwork(1, &term)
	p, d := network.coldLimiter(t, "a")
	u := coldRegistration(1, 1, 10*time.Second)
	d.Merge("c", []registry.Upstream{u})
	p.mu.Lock()
	p.upstreams.handleGrant(p.clock(), p.clock(), quota.Grant{Holders: 1, Upstreams: &quota.UpstreamGrant{}}, nil, 0)
	p.mu.Unlock()
	require.InDelta(t, 20, float64(p.takeFor(u, 2, time.Second)), 10)
}

// TestPermits_ColdMetrics: the names that OPERATIONS.md gives.
func TestPermits_ColdMetrics(t *testing.T) {
	var term atomic.Uint64
	p, d := newPermitNetwork(1, &term).coldLimiter(t, "a")
	d.Merge("c", []registry.Upstream{coldRegistration(1, 1, 10*time.Second)})
	metrics := prometheus.NewRegistry()
	p.registerColdMetrics(metrics)
	families, err := metrics.Gather()
	require.NoError(t, err)
	values := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			values[f.GetName()] += m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	require.Equal(t, map[string]float64{"egretramp_upstreams_cold": 1, "egretramp_cold_permits_total": 0}, values)
}

// TestPermits_ZoneRestoredDuringMerge guards against an upstream that escapes the limit because it is reported in the moment
// in which its zone returns to service: too early to be limited, and too late to be in the list that is reviewed.
func TestPermits_ZoneRestoredDuringMerge(t *testing.T) {
	var term atomic.Uint64
	p, d := newPermitNetwork(1, &term).coldLimiter(t, "a")
	restored := make(chan struct{})
	d.Observe(func(upstreams []registry.Upstream) {
		p.observeCold(p.table(), upstreams)
		go func() {
			p.zoneRestored("z")
			close(restored)
		}()
		select {
		case <-restored:
		case <-time.After(200 * time.Millisecond): // it waits for the directory
		}
	})
	u := coldRegistration(1, 1, 0)
	d.Merge("c", []registry.Upstream{u})
	<-restored
	require.True(t, p.UpstreamRoom(u).Cold)
}
