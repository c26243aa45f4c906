package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/clock"
	"egretramp/internal/groups"
	"egretramp/internal/proxy"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
)

// permitNetwork passes the calls of entry VMs to one coordinator.
type permitNetwork struct {
	mu          sync.Mutex
	coordinator *coordinator
	cut         bool // calls fail
	calls       int
	gate        chan struct{} // calls wait until it is closed; nil for none
	// older makes the coordinator answer as one of a release without limits of upstreams.
	older bool
	// olderLoad makes it answer as one of a release that doesn't share the load at upstreams.
	olderLoad bool
}

func (n *permitNetwork) Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error) {
	n.mu.Lock()
	c, cut, older, olderLoad, gate := n.coordinator, n.cut, n.older, n.olderLoad, n.gate
	n.calls++
	n.mu.Unlock()
	if gate != nil {
		<-gate
	}
	if cut {
		return nil, errors.New("out of reach")
	}
	time.Sleep(time.Millisecond)
	answer, err := c.handle(ctx, vm, payload)
	if err == nil && (older || olderLoad) {
		grant, decodeErr := decode[quota.Grant](answer)
		if older {
			grant.Upstreams = nil
		}
		grant.Load = nil
		return encode(grant), decodeErr
	}
	return answer, err
}

func (*permitNetwork) Send(string, string, []byte) {}

func newPermitNetwork(entries int, term *atomic.Uint64) *permitNetwork {
	return &permitNetwork{coordinator: &coordinator{
		clock:      clock.Now,
		leadership: func() (uint64, string, bool) { return term.Load(), "c", true },
		entryCount: func() int { return entries }, recentEntryCount: func() int { return entries },
		table: func() *routing.Snapshot { return nil },
	}}
}

// limiter returns a limiter that is in contact with the coordinator.
func (n *permitNetwork) limiter(name string) *permitLimiter {
	p := &permitLimiter{
		self: name, table: func() *routing.Snapshot { return nil }, clock: clock.Now,
		groups: groups.NewDynamicClient(n, func(uint64) []string { return []string{"c"} }, permitAttemptTimeout),
		holder: quota.NewHolder(), waiting: map[string]int{}, upstreams: newUpstreamLimits(name),
	}
	p.exchange()
	return p
}

// exchange sends a request to the coordinator and waits for the result.
func (p *permitLimiter) exchange() {
	p.mu.Lock()
	round := p.startRound()
	p.mu.Unlock()
	<-round.done
}

func (p *permitLimiter) observe(u registry.Upstream, perSecond float64) {
	p.ObserveLimit(u, proxy.RateLimit{State: proxy.Limited, PerSecond: perSecond}, time.Now())
}

// takeFor returns the number of permits that n callers get within d.
func (p *permitLimiter) takeFor(u registry.Upstream, n int, d time.Duration) int64 {
	var taken atomic.Int64
	var wg sync.WaitGroup
	for end := time.Now().Add(d); n > 0; n-- {
		wg.Go(func() {
			for time.Now().Before(end) {
				room := p.UpstreamRoom(u)
				if room.Free && p.TakeUpstream(context.Background(), u) {
					taken.Add(1)
					continue
				}
				time.Sleep(max(room.Wait, time.Millisecond))
			}
		})
	}
	wg.Wait()
	return taken.Load()
}

// TestPermits_LimitIsForgotten guards against VMs that neither send to a limited upstream nor ask the
// coordinator for its limit again, after a new coordinator took over or forgot the limit.
func TestPermits_LimitIsForgotten(t *testing.T) {
	var term atomic.Uint64
	term.Store(1)
	network := newPermitNetwork(2, &term)
	a, b, u := network.limiter("a"), network.limiter("b"), registry.Upstream{ID: "u", Born: 1}
	const perSecond = 40
	a.observe(u, perSecond)
	require.Positive(t, a.takeFor(u, 3, 200*time.Millisecond))
	b.exchange()
	require.True(t, b.UpstreamRoom(u).Limited, "b learns the limit from the coordinator")
	other := registry.Upstream{ID: "other", Born: 1}
	a.observe(other, perSecond)
	for range 3 {
		a.exchange()
		b.exchange()
	}
	term.Store(2)
	a.exchange()
	a.exchange()
	require.True(t, network.limiter("joined").UpstreamRoom(other).Limited, "a new coordinator knows limits for which nobody asks")
	require.Greater(t, a.takeFor(u, 3, 500*time.Millisecond), int64(perSecond/5), "a new coordinator")
	b.exchange()
	b.exchange()
	network.coordinator.mu.Lock()
	network.coordinator.upstreams = quota.NewUpstreamCoordinator(clock.Now(), 2)
	network.coordinator.mu.Unlock()
	before := network.calls
	require.Greater(t, b.takeFor(u, 3, 500*time.Millisecond), int64(perSecond/5), "a coordinator that forgot the limit")
	require.Less(t, network.calls-before, 300, "calls to the coordinator")
	require.LessOrEqual(t, a.takeFor(u, 8, time.Second), int64(2*perSecond+1))
}

// TestPermits_LimitWithoutCoordinator: a VM without a coordinator, or with one of an earlier release, uses its
// share of the limit, and a failed request keeps no caller waiting.
func TestPermits_LimitWithoutCoordinator(t *testing.T) {
	var term atomic.Uint64
	for name, breakIt := range map[string]func(*permitNetwork){
		"out of reach": func(n *permitNetwork) { n.cut = true }, "earlier release": func(n *permitNetwork) { n.older = true },
	} {
		t.Run(name, func(t *testing.T) {
			const entries, perSecond = 4, 80
			network := newPermitNetwork(entries, &term)
			p, u := network.limiter("a"), registry.Upstream{ID: "u", Born: 1}
			p.observe(u, perSecond)
			require.True(t, p.TakeUpstream(context.Background(), u) || p.takeFor(u, 1, time.Second) > 0)
			network.mu.Lock()
			breakIt(network)
			network.mu.Unlock()
			stop := make(chan struct{})
			var renewals sync.WaitGroup
			renewals.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(permitInterval):
						p.exchange()
					}
				}
			})
			time.Sleep(quota.ContactTimeout + 2*permitInterval)
			began := time.Now()
			got := p.takeFor(u, 4, 2*time.Second)
			close(stop)
			renewals.Wait()
			require.Less(t, time.Since(began), 2500*time.Millisecond)
			share := 2.0 * perSecond / entries
			require.InDelta(t, share+perSecond/entries/2.0, float64(got), share/2+perSecond/entries/2.0)
		})
	}
}

// TestPermits_ConcurrentCallersShareRounds: callers that wait at the same time cost one call, not one each.
func TestPermits_ConcurrentCallersShareRounds(t *testing.T) {
	var term atomic.Uint64
	network := newPermitNetwork(1, &term)
	p := network.limiter("a")
	var upstreams []registry.Upstream
	for i := range 40 {
		u := registry.Upstream{ID: fmt.Sprint("u", i), Born: 1}
		p.observe(u, 100)
		upstreams = append(upstreams, u)
	}
	for _, u := range upstreams { // creates the buckets, which fill from now on
		p.TakeUpstream(context.Background(), u)
	}
	time.Sleep(100 * time.Millisecond)
	before, gate := network.calls, make(chan struct{})
	network.gate = gate
	var taken atomic.Int64
	var wg sync.WaitGroup
	for _, u := range upstreams {
		wg.Go(func() {
			if p.TakeUpstream(context.Background(), u) {
				taken.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.upstreams.waiting) == len(upstreams)
	}, permitAttemptTimeout/2, time.Millisecond, "all callers wait while the first call is under way")
	network.mu.Lock()
	network.gate = nil
	network.mu.Unlock()
	close(gate)
	wg.Wait()
	require.Equal(t, int64(len(upstreams)), taken.Load())
	require.LessOrEqual(t, network.calls-before, 2)
}

// TestPermits_LimitOfAnotherProcess guards against a limit that outlives its process: a later one under the same ID or
// at the same address has none until it states one.
func TestPermits_LimitOfAnotherProcess(t *testing.T) {
	var term atomic.Uint64
	p := newPermitNetwork(1, &term).limiter("a")
	u := registry.Upstream{ID: "u", Address: "10.0.0.1:1", Born: 1}
	p.observe(u, 5)
	p.exchange()
	require.True(t, p.UpstreamRoom(u).Limited)
	for _, later := range []registry.Upstream{{ID: "u", Address: u.Address, Born: 2}, {ID: "v", Address: u.Address, Born: 3}} {
		require.Equal(t, quota.Unlimited, p.UpstreamRoom(later))
		for range 50 {
			require.True(t, p.TakeUpstream(context.Background(), later))
		}
	}
	p.observe(registry.Upstream{ID: "v", Address: u.Address, Born: 3}, 9)
	rate, _ := p.upstreams.table.Rate(clock.Now(), u.Process())
	require.Equal(t, 5.0, rate.PerSecond)
}

// TestPermits_MalformedLimitIsObeyed guards against a value that can't be parsed, or a response that says nothing of
// the limit, which starts, changes or ends one.
func TestPermits_MalformedLimitIsObeyed(t *testing.T) {
	var term atomic.Uint64
	p := newPermitNetwork(1, &term).limiter("a")
	limited, other := registry.Upstream{ID: "u", Born: 1}, registry.Upstream{ID: "v", Born: 1}
	p.observe(limited, 5)
	for _, stated := range []proxy.RateLimit{{State: proxy.MalformedLimit, Text: "many"}, {State: proxy.LimitUnknown}} {
		for _, u := range []registry.Upstream{limited, other} {
			p.ObserveLimit(u, stated, time.Now())
			p.ObserveLimit(u, stated, time.Now())
		}
	}
	rate, _ := p.upstreams.table.Rate(clock.Now(), limited.Process())
	require.Equal(t, 5.0, rate.PerSecond)
	require.False(t, p.UpstreamRoom(other).Limited)
	require.Len(t, p.upstreams.malformed, 2, "logged once for each process")
	p.forgetUpstreams(&registry.View{})
	require.Empty(t, p.upstreams.malformed)
}
