package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"egretramp/internal/events"
	"egretramp/internal/peer"
	"egretramp/internal/quota"
	"egretramp/internal/routing"
)

// steppedClock is a clock that the test sets while requests are in progress.
type steppedClock struct{ atomic.Int64 }

func newSteppedClock() *steppedClock {
	c := &steppedClock{}
	c.add(time.Hour)
	return c
}

func (c *steppedClock) now() time.Duration { return time.Duration(c.Load()) }

func (c *steppedClock) add(d time.Duration) { c.Add(int64(d)) }

// poolNetwork connects entry VMs to a coordinator, which can be cut off, and to the pools of two control VMs.
type poolNetwork struct {
	mu      sync.Mutex
	cut     bool
	hangs   map[string]bool // control VMs that don't respond
	earlier bool            // the control VMs run the previous release
	pools   map[string]*poolServer
	calls   map[string]int // requests to pools, by control VM
}

func (*poolNetwork) Send(string, string, []byte) {}

func (n *poolNetwork) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *poolNetwork) Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error) {
	n.mu.Lock()
	cut, hangs, pool := n.cut, n.hangs[vm], n.pools[vm]
	if method == methodPool {
		n.calls[vm]++
	}
	n.mu.Unlock()
	switch {
	case method == methodPermit && cut, hangs:
		<-ctx.Done()
		return nil, &peer.LostError{VM: vm, Cause: ctx.Err()}
	case method == methodPermit:
		return encode(quota.Grant{Permits: map[string]float64{}, Holders: 4}), nil
	case n.earlier:
		return nil, &peer.RemoteError{Code: "unknown_method", Message: method}
	}
	return pool.handle(ctx, "", payload)
}

func poolTestAccounts() []routing.Account {
	return []routing.Account{{Name: "a", Keys: []string{"key"}, Rate: 400, Burst: 400}}
}

func newPoolNetwork(t *testing.T, now func() time.Duration) *poolNetwork {
	n := &poolNetwork{hangs: map[string]bool{}, pools: map[string]*poolServer{}, calls: map[string]int{}}
	table, err := routing.Compile(routing.Table{Version: 1, Accounts: poolTestAccounts()})
	require.NoError(t, err)
	for _, vm := range []string{"c1", "c2"} {
		log := events.NewTo(vm, zapcore.ErrorLevel, &discard{})
		n.pools[vm] = newPoolServer(now, func() *routing.Snapshot { return table }, log)
	}
	return n
}

// lostMembers returns limiters of a fleet of four VMs that have lost the coordinator for ContactTimeout.
func lostMembers(t *testing.T, n *poolNetwork, clock *steppedClock, count int) []*permitLimiter {
	var limiters []*permitLimiter
	for i := range count {
		p := newTestLimiter(t, n, clock.now, poolTestAccounts())
		p.self = fmt.Sprint("e", i)
		p.pool = newPermitPool(n, func() []string { return []string{"c1", "c2"} })
		p.holder.ApplyGrant(clock.now(), quota.Grant{Holders: 4})
		limiters = append(limiters, p)
	}
	clock.add(quota.ContactTimeout + 50*time.Millisecond)
	n.set(func() { n.cut = true })
	for _, p := range limiters {
		p.mu.Lock()
		p.handleGrant(quota.Grant{}, context.DeadlineExceeded)
		require.True(t, p.coordinatorLost)
		p.mu.Unlock()
	}
	return limiters
}

// renewPools makes all members contact their pool.
func renewPools(limiters []*permitLimiter) {
	for _, p := range limiters {
		p.mu.Lock()
		round := p.startPoolRound()
		p.mu.Unlock()
		if round != nil {
			<-round.done
		}
	}
}

// TestPermitLimiter_PoolsShares: while the coordinator is lost, the callers at one VM get the shares of both members, and the
// coordinator's grants count again when it responds.
func TestPermitLimiter_PoolsShares(t *testing.T) {
	clock := newSteppedClock()
	n := newPoolNetwork(t, clock.now)
	limiters := lostMembers(t, n, clock, 2)
	renewPools(limiters)
	taken := 0
	for range 20 {
		clock.add(20 * time.Millisecond)
		renewPools(limiters)
		for range 4 {
			if ok, _ := limiters[0].Take(t.Context(), &poolTestAccounts()[0], false); ok {
				taken++
			}
		}
	}
	require.Equal(t, 80, taken, "200 a second for 0.4 s; the share of one VM is 100 a second")
	require.True(t, limiters[0].pool.joined.Load())
	require.Zero(t, n.calls["c2"], "all members ask the same control VM")
	n.set(func() { n.cut = false })
	p := limiters[0]
	p.mu.Lock()
	round := p.startRound()
	p.mu.Unlock()
	<-round.done
	p.mu.Lock()
	defer p.mu.Unlock()
	require.False(t, p.coordinatorLost)
	require.False(t, p.holder.InPool(clock.now()))
	require.False(t, p.pool.joined.Load())
}

// TestPermitLimiter_PoolFailsOnce: a control VM that doesn't respond costs a VM one timeout, and the next one pools.
func TestPermitLimiter_PoolFailsOnce(t *testing.T) {
	clock := newSteppedClock()
	n := newPoolNetwork(t, clock.now)
	limiters := lostMembers(t, n, clock, 2)
	renewPools(limiters)
	n.set(func() { n.hangs["c1"] = true })
	for range 10 {
		clock.add(20 * time.Millisecond)
		renewPools(limiters)
		_, _ = limiters[0].Take(t.Context(), &poolTestAccounts()[0], false)
	}
	for _, p := range limiters {
		require.Equal(t, "c2", p.pool.vm)
		require.EqualValues(t, 1, p.pool.failures.Load())
	}
	require.Equal(t, 2, n.pools["c2"].pool.Members(clock.now()))
	clock.add(poolRetry)
	n.set(func() { delete(n.hangs, "c1") })
	renewPools(limiters)
	require.Equal(t, "c1", limiters[0].pool.vm, "the VMs return, so that all meet at the same control VM")
}

// TestPermitLimiter_SlowCoordinator: a VM that has joined a pool because the coordinator was slow leaves it with the
// coordinator's answer, although the coordinator never counted as lost in the log.
func TestPermitLimiter_SlowCoordinator(t *testing.T) {
	clock := newSteppedClock()
	n := newPoolNetwork(t, clock.now)
	p := newTestLimiter(t, n, clock.now, poolTestAccounts())
	p.pool = newPermitPool(n, func() []string { return []string{"c1"} })
	p.holder.ApplyGrant(clock.now(), quota.Grant{Holders: 4})
	clock.add(quota.ContactTimeout - permitAttemptTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.round, p.roundStarted = &permitRound{}, clock.now()
	require.False(t, p.poolsShares())
	clock.add(permitAttemptTimeout + time.Millisecond)
	require.True(t, p.poolsShares())
	p.handlePoolGrant("c1", quota.Contribution{}, quota.PoolGrant{}, nil)
	require.True(t, p.pool.joined.Load())
	p.handleGrant(quota.Grant{Holders: 4}, nil)
	require.False(t, p.pool.joined.Load())
	require.False(t, p.poolsShares())
}

// TestPermitLimiter_ControlVMsOfThePreviousRelease: without a pool a VM uses its own share, at once.
func TestPermitLimiter_ControlVMsOfThePreviousRelease(t *testing.T) {
	clock := newSteppedClock()
	n := newPoolNetwork(t, clock.now)
	n.earlier = true
	p := lostMembers(t, n, clock, 1)[0]
	renewPools([]*permitLimiter{p}) // must not cost the share
	for range 50 {
		ok, _ := p.Take(t.Context(), &poolTestAccounts()[0], false)
		require.True(t, ok)
	}
	renewPools([]*permitLimiter{p})
	require.LessOrEqual(t, n.calls["c1"]+n.calls["c2"], 2, "not asked again for each request")
	require.False(t, p.pool.joined.Load())
}

// TestWatcher_PoolVMs: all VMs of a zone choose the same control VM of their zone, and go on with others when it is lost.
func TestWatcher_PoolVMs(t *testing.T) {
	zones := []string{"a", "b", "c"}
	var fleet fleetState
	for i := range 12 {
		fleet.Control = append(fleet.Control, vmInfo{VM: fmt.Sprint("c", i), Zone: zones[i%3]})
	}
	watcherIn := func(zone, vm string) *watcher {
		w := &watcher{self: vmInfo{VM: vm, Zone: zone}, contacts: map[string]*contact{}}
		for _, c := range fleet.Control {
			w.contacts[c.VM] = &contact{vm: c.VM, lastAnswered: time.Second, fleet: fleet}
		}
		return w
	}
	for zone := range zones {
		first := watcherIn(zones[zone], "10.9.0.1:7000")
		order := first.poolVMs()
		for i := range 8 {
			require.Equal(t, order, watcherIn(zones[zone], fmt.Sprintf("10.%d.0.1:7000", i)).poolVMs())
		}
		var near []string
		for i := zone; i < len(fleet.Control); i += 3 {
			near = append(near, fleet.Control[i].VM)
		}
		require.ElementsMatch(t, near, order[:len(near)])
		first.contacts[order[0]].lost = true
		require.Equal(t, slices.Concat(order[1:], order[:1]), first.poolVMs())
	}
}
