package suspect

import (
	"context"
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
}

type port struct {
	*wires
	vm string
}

func newWires(vms ...string) *wires {
	w := &wires{guards: map[string]*Guard{}, dead: map[string]bool{}}
	for _, vm := range vms {
		w.join(vm)
	}
	return w
}

func (w *wires) join(vm string) *Guard {
	g := NewGuard(Options{
		VM: vm, Network: port{w, vm}, Events: events.FromZap(zap.NewNop()),
		Others: func() []string { return w.others(vm) },
		Rank:   func(_ string, vms []string) []string { slices.Sort(vms); return vms },
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
		if name != vm && !w.dead[name] {
			all = append(all, name)
		}
	}
	return all
}

func (w *wires) get(vm string) *Guard {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead[vm] {
		return nil
	}
	return w.guards[vm]
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
