package suspect

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"egretramp/internal/events"
)

var errDead = errors.New("the VM is dead")

// testNetwork connects guards in memory. VMs are ranked by name for all fingerprints.
type testNetwork struct {
	mu       sync.Mutex
	guards   map[string]*Guard
	dead     map[string]bool
	side     map[string]int // side of a partition; all 0 without one
	detected bool           // whether the VMs detect the partition
	now      time.Duration
}

type endpoint struct {
	*testNetwork
	vm string
}

// members assigns the VMs to zones, two to each.
func (n *testNetwork) members() (all []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for vm := range n.guards {
		number := vm[len(vm)-1] - '0'
		all = append(all, Member{VM: vm, Zone: fmt.Sprint("zone", (number-1)/2)})
	}
	return all
}

// advance advances the time and executes the guards' rounds.
func (n *testNetwork) advance(d time.Duration) {
	for ; d > 0; d -= interval {
		n.mu.Lock()
		n.now += interval
		n.mu.Unlock()
		for vm := range n.guards {
			if g := (endpoint{n, vm}).get(vm); g != nil {
				g.round()
			}
		}
	}
}

func newTestNetwork(vms ...string) *testNetwork {
	w := &testNetwork{guards: map[string]*Guard{}, dead: map[string]bool{}, side: map[string]int{}}
	for _, vm := range vms {
		w.join(vm)
	}
	return w
}

func (n *testNetwork) join(vm string) *Guard {
	g := NewGuard(Options{
		VM: vm, Network: endpoint{n, vm}, Events: events.FromZap(zap.NewNop()),
		Others:  func() []string { return n.others(vm) },
		Members: n.members,
		Clock: func() time.Duration {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.now
		},
		Rank: func(_ string, vms []string) []string { slices.Sort(vms); return vms },
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.guards[vm] = g
	return g
}

func (n *testNetwork) others(vm string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []string
	for name := range n.guards {
		if name != vm && !n.dead[name] && (!n.detected || n.side[name] == n.side[vm]) {
			all = append(all, name)
		}
	}
	return all
}

// get returns a VM's guard, or nil if the VM is dead or on another side of a partition.
func (p endpoint) get(vm string) *Guard {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead[vm] || p.side[vm] != p.side[p.vm] {
		return nil
	}
	return p.guards[vm]
}

// partition separates the sides from each other; detected tells whether the VMs detect it.
func (n *testNetwork) partition(detected bool, sides ...[]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detected = detected
	for i, vms := range sides {
		for _, vm := range vms {
			n.side[vm] = i
		}
	}
}

func (n *testNetwork) kill(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[vm] = true
}

// Send implements Network.
func (p endpoint) Send(vm, kind string, payload []byte) {
	g := p.get(vm)
	if g == nil {
		return
	}
	switch kind {
	case KindEnd:
		g.HandleEnd(p.vm, payload)
	case KindHold:
		g.HandleHold(p.vm, payload)
	case KindRelease:
		g.HandleRelease(p.vm, payload)
	case KindHello:
		g.HandleHello(p.vm, payload)
	case KindState:
		g.HandleState(p.vm, payload)
	case KindRecords:
		g.HandleRecords(p.vm, payload)
	}
}

// Call implements Network.
func (p endpoint) Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error) {
	g := p.get(vm)
	switch {
	case g == nil:
		return nil, errDead
	case method == MethodEnd:
		return g.HandleLost(ctx, p.vm, payload)
	case method == MethodPoll:
		return g.HandlePoll(ctx, p.vm, payload)
	}
	return g.HandleAsk(ctx, p.vm, payload)
}

func enter(t *testing.T, g *Guard) *Permit {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	l, err := g.Enter(ctx, fp1, "a request")
	require.NoError(t, err)
	return l
}

func TestGuard_StrikesOutliveTheirOwner(t *testing.T) {
	w := newTestNetwork("vm1", "vm2", "vm3")
	enter(t, w.guards["vm2"]).End(Lost, "e1@1")
	w.kill("vm1")
	w.advance(StopTime + interval)
	l := enter(t, w.guards["vm3"])
	require.True(t, l.Alone())
	l.End(Lost, "e2@1")
	for _, vm := range []string{"vm2", "vm3"} {
		_, err := w.guards[vm].Enter(context.Background(), fp1, "")
		require.ErrorIs(t, err, ErrQuarantined, vm)
	}
	late := w.join("vm0") // owns the fingerprint from now on, with an empty state
	for range 3 {
		w.guards["vm2"].round()
	}
	_, err := late.Enter(context.Background(), fp1, "")
	require.ErrorIs(t, err, ErrQuarantined)
}

func TestGuard_NewOwnerReceivesRunsInProgress(t *testing.T) {
	w := newTestNetwork("vm1", "vm2", "vm3")
	running := enter(t, w.guards["vm3"])
	w.kill("vm1")
	w.guards["vm3"].round()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := w.guards["vm2"].Enter(ctx, fp1, "")
	require.ErrorIs(t, err, ErrWaited)
	running.End(Succeeded, "e1@1")
	w.guards["vm2"].round()
}

// TestGuard_ConcurrentRequestsThroughAllVMs sends a request that crashes its upstream from many callers
// through all VMs.
func TestGuard_ConcurrentRequestsThroughAllVMs(t *testing.T) {
	w := newTestNetwork("vm1", "vm2", "vm3", "vm4")
	var mu sync.Mutex
	lost := 0
	var wg conc.WaitGroup
	for i := range 40 {
		g := w.guards[[]string{"vm1", "vm2", "vm3", "vm4"}[i%4]]
		wg.Go(func() {
			for range 3 {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				l, err := g.Enter(ctx, fp1, "")
				cancel()
				if err != nil {
					return
				}
				mu.Lock()
				lost++
				name := string(rune('a' + lost))
				mu.Unlock()
				l.End(Lost, name)
			}
		})
	}
	wg.Wait()
	require.Equal(t, MaxLost, lost)
}

func TestGuard_SuccessReleasesWaitingRequests(t *testing.T) {
	w := newTestNetwork("vm1", "vm2")
	first := enter(t, w.guards["vm2"])
	var wg conc.WaitGroup
	for range 8 {
		wg.Go(func() { enter(t, w.guards["vm1"]) })
	}
	first.End(Succeeded, "e1@1")
	wg.Wait()
}
