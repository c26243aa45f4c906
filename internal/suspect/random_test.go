package suspect

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	firstSeed = flag.Uint64("suspect.seed", 0, "first seed of the random runs")
	seeds     = flag.Uint64("suspect.seeds", 300, "number of random runs of a kind")
)

// partitionRandomly partitions the zones into the given number of sides at random.
func (f *simFleet) partitionRandomly(sides int) {
	order := f.random.Perm(3)
	for i, n := range f.nodes {
		n.side = min(order[i%3], sides-1)
	}
	f.partitionedAt = f.now
	f.tracef("partitioned into %d sides: %v", sides, order)
}

func (f *simFleet) heal() {
	for _, n := range f.nodes {
		n.side = 0
	}
	f.tracef("healed")
}

// injectFault kills and restarts or freezes and resumes one VM after another, mostly the owner of the
// request.
func (f *simFleet) injectFault() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	if f.random.IntN(2) == 0 {
		n = f.node(n.arbiter.Owner(fp1))
	}
	down := f.between(500*time.Millisecond, 8*time.Second)
	if f.random.IntN(2) == 0 {
		down /= 3
	}
	if f.random.IntN(2) == 0 {
		f.tracef("%s dies for %s", n.name, down)
		n.alive, n.diedAt = false, f.now
		n.start++
		f.after(down, n.boot)
	} else {
		f.tracef("%s freezes for %s", n.name, down)
		n.frozen = true
		f.after(down, n.resume)
	}
	f.after(down+f.between(0, 3*time.Second), f.injectFault)
}

func (n *simNode) resume() {
	n.frozen = false
	held := n.held
	n.held = nil
	for _, do := range held {
		do()
	}
}

// sendRequests repeatedly starts callers that send the request, at a random selection of the live VMs.
func (f *simFleet) sendRequests() {
	for _, n := range f.nodes {
		if n.alive && f.random.IntN(3) == 0 {
			n.call()
		}
	}
	f.after(f.between(100*time.Millisecond, 2*time.Second), f.sendRequests)
}

// orphanedNearPartition counts the upstreams lost by runs whose VM died so close to the partition that no
// VM that may know of the run can tell on which side of the partition that VM is.
func (f *simFleet) orphanedNearPartition() (n int) {
	for _, died := range f.orphanedAt {
		if (died - f.partitionedAt).Abs() < SettleTime {
			n++
		}
	}
	return n
}

// simulateCrashingRequest runs the simulation of a seed with a request that crashes its upstreams.
func simulateCrashingRequest(seed uint64, sides int, faults bool) *simFleet {
	f := newSimFleet(seed, 7)
	f.run(f.between(0, 10*time.Second))
	if faults {
		f.injectFault()
	}
	f.after(f.between(0, 4*time.Second), f.sendRequests)
	f.run(f.between(0, 4*time.Second))
	f.partitionRandomly(sides)
	f.run(f.between(time.Second, 20*time.Second))
	f.heal()
	f.run(20 * time.Second)
	return f
}

// simulateHealthyRequest runs the simulation of a seed with a harmless request during a partition. The
// nodes record how long its callers waited.
func simulateHealthyRequest(seed uint64, sides int) *simFleet {
	f := newSimFleet(seed, 7)
	f.healthy = true
	f.run(f.between(0, 10*time.Second))
	f.partitionRandomly(sides)
	f.run(4 * time.Second) // until all VMs have detected the partition
	for _, n := range f.nodes {
		for range 3 {
			n.call()
		}
	}
	f.run(time.Minute)
	return f
}

// TestFleet_ServesHealthyRequestsInAllPartitions sends the same healthy request through all VMs of
// zones that are partitioned from each other. A VM to which no other VM is visible rejects it.
func TestFleet_ServesHealthyRequestsInAllPartitions(t *testing.T) {
	for sides := 1; sides <= 3; sides++ {
		longest := time.Duration(0)
		for seed := *firstSeed; seed < *firstSeed+*seeds/4; seed++ {
			f := simulateHealthyRequest(seed, sides)
			for _, n := range f.nodes {
				require.Equal(t, 3, n.done, "seed %d, %d sides: %s", seed, sides, n.name)
				longest = max(longest, n.longest)
			}
		}
		t.Logf("%d sides: each call was answered within %s, including runs of up to 3 s", sides, longest)
	}
}

// TestFleet_LosesAtMostTwoUpstreams sends a request that crashes its upstreams through all VMs while
// zones are partitioned from each other and VMs die, restart and freeze.
func TestFleet_LosesAtMostTwoUpstreams(t *testing.T) {
	for _, c := range []struct {
		sides  int
		faults bool
		limit  int
	}{
		{1, false, MaxLost}, {1, true, MaxLost}, {2, false, MaxLost}, {2, true, MaxLost}, {3, false, 3}, {3, true, 3},
	} {
		t.Run(fmt.Sprintf("%d sides, faults %t", c.sides, c.faults), func(t *testing.T) {
			counts := map[int]int{}
			orphans := 0
			for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
				f := simulateCrashingRequest(seed, c.sides, c.faults)
				counts[f.lost]++
				orphaned := f.orphanedNearPartition()
				orphans += orphaned
				if f.lost > c.limit+orphaned {
					t.Errorf("seed %d: %d upstreams lost\n%s", seed, f.lost, strings.Join(f.trace, "\n"))
					return
				}
			}
			require.Positive(t, counts[1]+counts[2]+counts[3], "at least one upstream was lost")
			t.Log("runs by upstreams lost:", counts, "lost by VMs that died near a partition:", orphans)
		})
	}
}

// BenchmarkArbiter_AskEnd measures an owner's work for a healthy attempt of another VM.
func BenchmarkArbiter_AskEnd(b *testing.B) {
	for _, vms := range []int{9, 400} {
		b.Run(fmt.Sprint(vms, " VMs"), func(b *testing.B) {
			names := make([]string, vms)
			members := make([]Member, vms)
			for i := range vms {
				names[i] = fmt.Sprint("vm", i)
				members[i] = Member{VM: names[i], Zone: fmt.Sprint("zone", i%3)}
			}
			first := func(_ string, vms []string) []string { return vms }
			a := NewArbiter(0, names[0], first)
			a.Observe(SettleTime, names[1:])
			a.SetMembers(members)
			now := 3 * SettleTime
			for i := 0; b.Loop(); i++ {
				f := Fingerprint(fmt.Sprintf("%032d", i%100_000))
				v, poll := a.Admit(now, RunRequest{Fingerprint: f, Run: "r", VM: "vm1"})
				if v.State != Go || poll != nil {
					b.Fatal(v, poll)
				}
				a.End(now, End{Fingerprint: f, Run: "r", Outcome: Succeeded})
			}
		})
	}
}
