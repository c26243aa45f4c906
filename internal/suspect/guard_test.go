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

// wires connects guards within the test. VMs own fingerprints in the order of their names.
type wires struct {
	mu     sync.Mutex
	guards map[string]*Guard
	dead   map[string]bool
	side   map[string]int // of a cut; all 0 without one
	seen   bool           // whether the VMs see the cut
	now    time.Duration
}

type port struct {
	*wires
	vm string
}

// members puts the VMs into three zones.
func (w *wires) members() (all []Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for vm := range w.guards {
		n := vm[len(vm)-1] - '0'
		all = append(all, Member{VM: vm, Zone: fmt.Sprint("zone", (n-1)/2)})
	}
	return all
}

// advance lets time pass, with the guards' rounds.
func (w *wires) advance(d time.Duration) {
	for ; d > 0; d -= interval {
		w.mu.Lock()
		w.now += interval
		w.mu.Unlock()
		for vm := range w.guards {
			if g := (port{w, vm}).get(vm); g != nil {
				g.round()
			}
		}
	}
}

func newWires(vms ...string) *wires {
	w := &wires{guards: map[string]*Guard{}, dead: map[string]bool{}, side: map[string]int{}}
	for _, vm := range vms {
		w.join(vm)
	}
	return w
}

func (w *wires) join(vm string) *Guard {
	g := NewGuard(Options{
		VM: vm, Network: port{w, vm}, Events: events.FromZap(zap.NewNop()),
		Others:  func() []string { return w.others(vm) },
		Members: w.members,
		Clock: func() time.Duration {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.now
		},
		Rank: func(_ string, vms []string) []string { slices.Sort(vms); return vms },
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.guards[vm] = g
	return g
}

func (w *wires) others(vm string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []string
	for name := range w.guards {
		if name != vm && !w.dead[name] && (!w.seen || w.side[name] == w.side[vm]) {
			all = append(all, name)
		}
	}
	return all
}

// get returns a VM's guard, nil if the VM is dead or on another side of a cut.
func (p port) get(vm string) *Guard {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead[vm] || p.side[vm] != p.side[p.vm] {
		return nil
	}
	return p.guards[vm]
}

// cut separates the sides from each other; seen says whether the VMs see it.
func (w *wires) cut(seen bool, sides ...[]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = seen
	for i, vms := range sides {
		for _, vm := range vms {
			w.side[vm] = i
		}
	}
}

func (w *wires) kill(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead[vm] = true
}

// Send implements Network.
func (p port) Send(vm, kind string, payload []byte) {
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
func (p port) Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error) {
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

func enter(t *testing.T, g *Guard) *Leave {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	l, err := g.Enter(ctx, print1, "a request")
	require.NoError(t, err)
	return l
}

func TestGuard_StrikesOutliveTheirOwner(t *testing.T) {
	w := newWires("vm1", "vm2", "vm3")
	enter(t, w.guards["vm2"]).End(Lost, "e1@1")
	w.kill("vm1")
	w.advance(StopTime + interval)
	l := enter(t, w.guards["vm3"])
	require.True(t, l.Alone())
	l.End(Lost, "e2@1")
	for _, vm := range []string{"vm2", "vm3"} {
		_, err := w.guards[vm].Enter(context.Background(), print1, "")
		require.ErrorIs(t, err, ErrQuarantined, vm)
	}
	late := w.join("vm0") // it owns the fingerprint from now on and knows nothing
	for range 3 {
		w.guards["vm2"].round()
	}
	_, err := late.Enter(context.Background(), print1, "")
	require.ErrorIs(t, err, ErrQuarantined)
}

func TestGuard_NewOwnerLearnsOfRunsUnderWay(t *testing.T) {
	w := newWires("vm1", "vm2", "vm3")
	running := enter(t, w.guards["vm3"])
	w.kill("vm1")
	w.guards["vm3"].round()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := w.guards["vm2"].Enter(ctx, print1, "")
	require.ErrorIs(t, err, ErrWaited)
	running.End(Succeeded, "e1@1")
	w.guards["vm2"].round()
}

// TestGuard_ThroughEveryVMAtOnce has many callers send a request that crashes what runs it.
func TestGuard_ThroughEveryVMAtOnce(t *testing.T) {
	w := newWires("vm1", "vm2", "vm3", "vm4")
	var mu sync.Mutex
	lost := 0
	var wg conc.WaitGroup
	for i := range 40 {
		g := w.guards[[]string{"vm1", "vm2", "vm3", "vm4"}[i%4]]
		wg.Go(func() {
			for range 3 {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				l, err := g.Enter(ctx, print1, "")
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

func TestGuard_SuccessLetsTheOthersGo(t *testing.T) {
	w := newWires("vm1", "vm2")
	first := enter(t, w.guards["vm2"])
	var wg conc.WaitGroup
	for range 8 {
		wg.Go(func() { enter(t, w.guards["vm1"]) })
	}
	first.End(Succeeded, "e1@1")
	wg.Wait()
}
