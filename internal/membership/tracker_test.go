package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulation drives trackers in virtual time. Messages take one to three steps.
type simulation struct {
	random      *rand.Rand
	now         time.Duration
	trackers    map[string]*Tracker
	names       []string
	vms         []VM
	isCut       func(from, to string) bool
	frozen      map[string]bool
	deliveries  map[time.Duration][]func()
	changes     []string // "observer vm state", each at the time in changeTimes
	changeTimes []time.Duration
}

const simulationStep = 5 * time.Millisecond

func newSimulation(seed uint64, zones, perZone int) *simulation {
	n := &simulation{
		random: rand.New(rand.NewPCG(seed, 3)), trackers: map[string]*Tracker{}, frozen: map[string]bool{},
		deliveries: map[time.Duration][]func(){}, isCut: func(string, string) bool { return false },
	}
	for z := range zones {
		for i := range perZone {
			vm := VM{Name: fmt.Sprintf("vm%d%02d", z, i), Zone: fmt.Sprintf("z%d", z)}
			n.vms = append(n.vms, vm)
			n.names = append(n.names, vm.Name)
		}
	}
	for i, vm := range n.vms {
		n.start(vm, 100, uint64(i))
	}
	return n
}

func (n *simulation) start(vm VM, incarnation, seed uint64) {
	t := NewTracker(TrackerOptions{VM: vm.Name, Zone: vm.Zone, Incarnation: incarnation, Seed: seed})
	t.SetVMs(n.now, n.vms)
	t.SetDigest([]byte(vm.Name))
	n.trackers[vm.Name] = t
}

func (n *simulation) send(from string, sends []GossipSend) {
	for _, s := range sends {
		if n.isCut(from, s.To) || n.trackers[s.To] == nil {
			continue
		}
		at := n.now + simulationStep*time.Duration(1+n.random.IntN(3))
		n.deliveries[at] = append(n.deliveries[at], func() {
			if n.frozen[s.To] {
				return
			}
			out := n.trackers[s.To].Handle(n.now, from, s.Gossip)
			n.recordChanges(s.To, out.Changes)
			n.send(s.To, out.Sends)
		})
	}
}

func (n *simulation) recordChanges(observer string, changes []Change) {
	for _, c := range changes {
		n.changes = append(n.changes, fmt.Sprintf("%s %s %s", observer, c.VM, c.State))
		n.changeTimes = append(n.changeTimes, n.now)
	}
}

func (n *simulation) run(d time.Duration) {
	for end := n.now + d; n.now < end; n.now += simulationStep {
		for _, deliver := range n.deliveries[n.now] {
			deliver()
		}
		delete(n.deliveries, n.now)
		for i, name := range n.names {
			// The ticks of the VMs are staggered over TickInterval.
			if (n.now+time.Duration(i)*7*simulationStep)%TickInterval == 0 && !n.frozen[name] {
				sends, changes := n.trackers[name].Tick(n.now)
				n.recordChanges(name, changes)
				n.send(name, sends)
			}
		}
	}
}

func (n *simulation) statesOf(vm string) map[State]int {
	seen := map[State]int{}
	for name, t := range n.trackers {
		if name != vm && !n.frozen[name] {
			seen[t.State(vm)]++
		}
	}
	return seen
}

func TestTracker_DetectsFrozenVMWithin2s(t *testing.T) {
	for seed := range uint64(50) {
		n := newSimulation(seed, 3, 3)
		n.run(3 * time.Second)
		n.run(time.Duration(n.random.IntN(100)) * simulationStep)
		n.frozen["vm101"] = true
		n.run(2 * time.Second)
		require.Equal(t, map[State]int{Dead: 8}, n.statesOf("vm101"), "seed %d", seed)
		n.frozen["vm101"] = false
		n.run(4 * time.Second)
		require.Equal(t, map[State]int{Alive: 8}, n.statesOf("vm101"), "seed %d: the VM resumes", seed)
	}
}

func TestTracker_LinkCutBetweenTwoVMsChangesNoState(t *testing.T) {
	n := newSimulation(1, 3, 1)
	n.run(2 * time.Second)
	before := len(n.changes)
	n.isCut = func(from, to string) bool {
		return from == "vm000" && to == "vm100" || from == "vm100" && to == "vm000"
	}
	n.run(60 * time.Second)
	require.Equal(t, before, len(n.changes), "indirect pings through the third VM succeed")
	require.False(t, n.trackers["vm000"].Direct("vm100"))
	require.True(t, n.trackers["vm000"].Direct("vm200"))
	require.True(t, n.trackers["vm000"].Usable("vm100"))
}

func TestTracker_OneWayCutMarksNoVMDead(t *testing.T) {
	n := newSimulation(1, 3, 3)
	n.run(2 * time.Second)
	n.isCut = func(_, to string) bool { return to == "vm000" } // vm000 can send but not receive
	n.run(30 * time.Second)
	for _, name := range n.names[1:] {
		require.True(t, n.trackers[name].Usable("vm001"), "vm000 must not get other VMs marked dead")
	}
}

func TestTracker_VerifiesDeathRumourOfVMInContact(t *testing.T) {
	n := newSimulation(1, 1, 3)
	n.run(2 * time.Second)
	claim := Rumour{VM: "vm001", Incarnation: 100, State: Dead}
	out := n.trackers["vm000"].Handle(n.now, "vm002", Gossip{Kind: GossipAck, Incarnation: 100, Rumours: []Rumour{claim}})
	require.Empty(t, out.Changes)
	require.Equal(t, "vm001", out.Sends[0].To)
	require.Contains(t, out.Sends[0].Gossip.Rumours, claim, "the rumour is forwarded to the VM that it is about")
	n.send("vm000", out.Sends)
	n.run(time.Second)
	require.Equal(t, map[State]int{Alive: 2}, n.statesOf("vm001"))
	require.Greater(t, n.trackers["vm001"].incarnation, uint64(100), "vm001 refutes the rumour with a higher incarnation")
}

func TestTracker_ZoneCutAndHeal(t *testing.T) {
	n := newSimulation(1, 3, 3)
	n.run(2 * time.Second)
	n.isCut = func(from, to string) bool { return (from[2] == '2') != (to[2] == '2') }
	n.run(4 * time.Second)
	require.Len(t, n.trackers["vm000"].UsableIn("z2"), 0)
	require.Len(t, n.trackers["vm200"].UsableIn("z2"), 3)
	n.isCut = func(string, string) bool { return false }
	n.run(5 * time.Second)
	for _, name := range n.names {
		require.Equal(t, map[State]int{Alive: 8}, n.statesOf(name), name)
	}
}

func TestTracker_LeaveAndRejoin(t *testing.T) {
	n := newSimulation(1, 3, 3)
	n.run(2 * time.Second)
	n.send("vm000", n.trackers["vm000"].Leave())
	n.run(500 * time.Millisecond)
	require.Equal(t, map[State]int{Left: 8}, n.statesOf("vm000"))
	n.start(n.vms[0], 200, 9)
	n.run(time.Second)
	require.Equal(t, map[State]int{Alive: 8}, n.statesOf("vm000"), "a new incarnation is accepted immediately")
}

func TestTracker_ReturnsSenderDigest(t *testing.T) {
	n := newSimulation(1, 1, 2)
	sends, _ := n.trackers["vm000"].Tick(0)
	out := n.trackers["vm001"].Handle(0, "vm000", sends[0].Gossip)
	require.Equal(t, "vm000", string(out.Digest))
}

// TestTracker_DeathIsSpreadToAllVMs uses a fleet in which each VM pings only a few of the others.
func TestTracker_DeathIsSpreadToAllVMs(t *testing.T) {
	n := newSimulation(1, 6, 16)
	n.run(time.Second)
	n.frozen["vm305"] = true
	n.run(5 * time.Second)
	seen := n.statesOf("vm305")
	require.Equal(t, map[State]int{Dead: len(n.names) - 1}, seen)
	var last []time.Duration
	for i, c := range n.changes {
		if n.changeTimes[i] > time.Second && c[len(c)-4:] == "dead" {
			last = append(last, n.changeTimes[i]-time.Second)
		}
	}
	sort.Slice(last, func(i, j int) bool { return last[i] < last[j] })
	t.Logf("failure of 1 of %d VMs: first VM notified after %v, half after %v, all after %v",
		len(n.names), last[0], last[len(last)/2], last[len(last)-1])
}

// BenchmarkTracker_Heartbeats runs one tracker with simulated peers. It reports the messages and
// bytes sent and received, and the CPU time, per second of operation without state changes.
func BenchmarkTracker_Heartbeats(b *testing.B) {
	for _, vms := range []int{9, 99, 198, 396} {
		b.Run(fmt.Sprintf("%d VMs", vms), func(b *testing.B) {
			d := newBenchmarkRun(vms)
			d.runSeconds(120) // until the rumours of the start have been sent
			d.bytes, d.messages = 0, 0
			b.ResetTimer()
			for range b.N {
				d.runSeconds(1)
			}
			b.ReportMetric(float64(d.bytes)/float64(b.N), "B/s")
			b.ReportMetric(float64(d.messages)/float64(b.N), "messages/s")
		})
	}
}

// benchmarkRun is a tracker with simulated peers.
type benchmarkRun struct {
	tracker         *Tracker
	names           []string
	random          *rand.Rand
	now             time.Duration
	bytes, messages int
}

const benchmarkIncarnation = 1_700_000_000_000_000_000

func newBenchmarkRun(vms int) *benchmarkRun {
	d := &benchmarkRun{random: rand.New(rand.NewPCG(1, 1))}
	var all []VM
	for i := range vms {
		all = append(all, VM{Name: fmt.Sprintf("vm%03d", i), Zone: fmt.Sprintf("z%d", i%3)})
		d.names = append(d.names, all[i].Name)
	}
	d.tracker = NewTracker(TrackerOptions{VM: "vm000", Zone: "z0", Incarnation: benchmarkIncarnation})
	d.tracker.SetVMs(0, all)
	d.tracker.SetDigest(make([]byte, 64))
	return d
}

func (d *benchmarkRun) count(g Gossip) {
	data, err := json.Marshal(g)
	if err != nil {
		panic(err)
	}
	d.bytes += len(data)
	d.messages++
}

func (d *benchmarkRun) answer(sends []GossipSend) {
	for _, s := range sends {
		d.count(s.Gossip)
		if s.Gossip.Kind != GossipPing {
			continue
		}
		ack := Gossip{Kind: GossipAck, Incarnation: benchmarkIncarnation, Sequence: s.Gossip.Sequence, Digest: make([]byte, 64)}
		d.count(ack)
		d.answer(d.tracker.Handle(d.now, s.To, ack).Sends)
	}
}

func (d *benchmarkRun) runSeconds(n int) {
	for end := d.now + time.Duration(n)*time.Second; d.now < end; d.now += TickInterval {
		sends, _ := d.tracker.Tick(d.now)
		d.answer(sends)
		if d.now%RoundInterval != 0 {
			continue
		}
		// The tracker receives as many pings as it sends.
		for range min(MaxContacts, len(d.names)-1) {
			from := d.names[1+d.random.IntN(len(d.names)-1)]
			ping := Gossip{Kind: GossipPing, Incarnation: benchmarkIncarnation, Sequence: 1_000_000, Digest: make([]byte, 64)}
			d.count(ping)
			d.answer(d.tracker.Handle(d.now, from, ping).Sends)
		}
	}
}

func TestTracker_EarlyTickSkipsNoRound(t *testing.T) {
	tracker := NewTracker(TrackerOptions{VM: "a", Zone: "z"})
	tracker.SetVMs(0, []VM{{Name: "b", Zone: "z"}})
	sends, _ := tracker.Tick(time.Millisecond)
	require.Len(t, sends, 1)
	tracker.Handle(2*time.Millisecond, "b", Gossip{Kind: GossipAck, Sequence: sends[0].Gossip.Sequence})
	sends, _ = tracker.Tick(RoundInterval)
	require.Len(t, sends, 1, "the first tick was a millisecond late, so this one is early")
}

func TestTracker_FreshMessageReplacesPing(t *testing.T) {
	tracker := NewTracker(TrackerOptions{VM: "a", Zone: "z"})
	tracker.SetVMs(0, []VM{{Name: "b", Zone: "z"}})
	now, pings := time.Duration(0), 0
	round := func(heardBefore time.Duration) {
		now += RoundInterval
		tracker.Handle(now-heardBefore, "b", Gossip{Kind: GossipPing, Incarnation: 1, Sequence: 9})
		sends, _ := tracker.Tick(now)
		for _, s := range sends {
			pings++
			tracker.Handle(now+time.Millisecond, "b", Gossip{Kind: GossipAck, Incarnation: 1, Sequence: s.Gossip.Sequence})
		}
	}
	for range 8 {
		round(FreshContactLimit - 1)
	}
	require.Equal(t, 2, pings, "one ping per ProbeInterval is still sent: received messages don't show that sent ones arrive")
	for range 4 {
		round(FreshContactLimit)
	}
	require.Equal(t, 6, pings)
}
