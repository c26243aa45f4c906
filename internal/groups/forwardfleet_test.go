package groups

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"egretramp/internal/clock"
	"egretramp/internal/replica"
)

// zonedElectionTicks is long enough for a machine that is busy with other work: these tests don't concern elections.
const zonedElectionTicks = 60

// zonedFleet runs a group of replicas whose VMs' zones are the first letters of their names.
type zonedFleet struct {
	mu       sync.Mutex
	vms      map[string]*zonedVM
	frozen   map[string]bool // receive nothing and send nothing
	silent   map[string]bool // known to be unresponsive
	refuses  map[string]bool // don't pass on messages
	forwards int             // messages of KindForward
	between  int             // bytes of messages between zones
	messages int             // between zones
	former   bool            // messages are sent as by the release before
}

// zonedVM is a VM of a zonedFleet. Its messages are delivered in order.
type zonedVM struct {
	fleet     *zonedFleet
	name      string
	transport *ForwardingTransport
	replica   *replica.Replica
	inbox     chan func()
}

func (v *zonedVM) Send(vm, kind string, payload []byte) {
	f := v.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == KindForward {
		f.forwards++
	}
	if v.name[0] != vm[0] {
		f.between += len(payload)
		f.messages++
	}
	to := f.vms[vm]
	if f.frozen[v.name] || f.frozen[vm] || to == nil || kind == KindForward && f.refuses[vm] {
		return
	}
	deliver := func() {
		if kind == KindForward {
			to.transport.Forward(v.name, payload)
		} else if m, ok := to.transport.Receive(v.name, payload); ok {
			to.replica.Step(m)
		}
	}
	select {
	case to.inbox <- deliver:
	default: // a full queue drops messages
	}
}

func (v *zonedVM) Call(context.Context, string, string, []byte) ([]byte, error) { return nil, nil }
func (v *zonedVM) Compact(string) bool                                          { return !v.fleet.former }

func (v *zonedVM) Responds(vm string) bool {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return !v.fleet.silent[vm]
}

// counter is a state machine that counts commands.
type counter struct{ n int }

func (c *counter) Apply(uint64, []byte) []byte { c.n++; return nil }
func (c *counter) Snapshot() ([]byte, error)   { return []byte(fmt.Sprint(c.n)), nil }
func (c *counter) Restore(data []byte) error   { _, err := fmt.Sscan(string(data), &c.n); return err }

func startZonedFleet(t testing.TB, former bool, names ...string) *zonedFleet {
	t.Helper()
	f := &zonedFleet{
		former: former, vms: map[string]*zonedVM{}, frozen: map[string]bool{}, silent: map[string]bool{}, refuses: map[string]bool{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	zoneOf := func(vm string) string { return vm[:1] }
	for _, name := range names {
		v := &zonedVM{fleet: f, name: name, inbox: make(chan func(), 1024)}
		v.transport = NewForwardingTransport(v, zoneOf(name), zoneOf, clock.Now)
		r, err := replica.New(replica.Options{
			Group: 2, VM: name, Folder: t.TempDir(), InitialVMs: names, Machine: &counter{}, Transport: v.transport, CommitAtHeartbeat: !former,
			ElectionTicks: zonedElectionTicks,
		})
		require.NoError(t, err)
		v.replica = r
		f.mu.Lock()
		f.vms[name] = v
		f.mu.Unlock()
	}
	for _, v := range f.vms {
		wg.Go(func() { _ = v.replica.Run(ctx) })
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case deliver := <-v.inbox:
					deliver()
				}
			}
		})
	}
	return f
}

// leader returns the VM that leads.
func (f *zonedFleet) leader(t testing.TB) *zonedVM {
	t.Helper()
	var leader *zonedVM
	require.Eventually(t, func() bool {
		for _, v := range f.vms {
			f.mu.Lock()
			frozen := f.frozen[v.name]
			f.mu.Unlock()
			if !frozen && v.replica.Status().Role == "leader" && v.replica.Status().Commit > 1 {
				leader = v
				return true
			}
		}
		return false
	}, 30*time.Second, 10*time.Millisecond)
	return leader
}

// propose has commands acknowledged, by another leader if the one before is lost.
func (f *zonedFleet) propose(t *testing.T, count int) {
	t.Helper()
	for range count {
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := f.leader(t).replica.Propose(ctx, make([]byte, 2000))
			return err == nil
		}, 30*time.Second, time.Millisecond)
	}
}

// requireComplete requires that replicas hold all that the leader has committed.
func (f *zonedFleet) requireComplete(t *testing.T, vms ...string) {
	t.Helper()
	commit := f.leader(t).replica.Status().Commit
	for _, vm := range vms {
		require.Eventually(t, func() bool { return f.vms[vm].replica.Status().Commit >= commit }, 20*time.Second, 10*time.Millisecond, vm)
	}
}

// others returns the names of the VMs of a zone other than the leader's that has two of them.
func (f *zonedFleet) others(leader *zonedVM) []string {
	for _, zone := range []string{"a", "b", "c"} {
		var vms []string
		for name := range f.vms {
			if name[:1] == zone && zone != leader.name[:1] {
				vms = append(vms, name)
			}
		}
		if len(vms) == 2 {
			return vms
		}
	}
	return nil
}

// TestForwarding_Replicas guards against replicas that lack entries, and against commands that fail, while appends are passed
// on within zones: on good days, while a VM that is to pass them on is frozen, known to be or not yet, or ignores requests, and
// after it has returned.
func TestForwarding_Replicas(t *testing.T) {
	names := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	f := startZonedFleet(t, false, names...)
	f.propose(t, 50)
	f.requireComplete(t, names...)
	f.mu.Lock()
	require.Positive(t, f.forwards)
	f.mu.Unlock()

	set := func(of map[string]bool, vm string, value bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		of[vm] = value
	}
	for name, fault := range map[string]map[string]bool{"frozen": f.frozen, "ignores requests": f.refuses} {
		for i := range 2 {
			others := f.others(f.leader(t))
			require.Len(t, others, 2)
			slices.Sort(others)
			broken, intact := others[i], others[1-i]
			set(fault, broken, true)
			f.propose(t, 20)
			f.requireComplete(t, intact)
			set(f.silent, broken, true)
			f.propose(t, 20)
			f.requireComplete(t, intact)
			set(fault, broken, false)
			set(f.silent, broken, false)
			f.propose(t, 20)
			f.requireComplete(t, names...)
			t.Logf("%s: %s", broken, name)
		}
	}
}

// BenchmarkReplication reports the bytes and messages between zones for each command of a group of 6 replicas in 3 zones, with
// 500 bytes and 10 ms from one to the next.
func BenchmarkReplication(b *testing.B) {
	for name, former := range map[string]bool{"before": true, "now": false} {
		b.Run(name, func(b *testing.B) {
			f := startZonedFleet(b, former, "a1", "a2", "b1", "b2", "c1", "c2")
			leader := f.leader(b)
			f.mu.Lock()
			f.between, f.messages = 0, 0
			f.mu.Unlock()
			commands := 0
			for b.Loop() {
				for range 10 {
					if _, err := leader.replica.Propose(context.Background(), make([]byte, 500)); err != nil {
						b.Fatal(err)
					}
					time.Sleep(10 * time.Millisecond)
					commands++
				}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			b.ReportMetric(float64(f.between)/float64(commands), "B/command")
			b.ReportMetric(float64(f.messages)/float64(commands), "messages/command")
		})
	}
}
