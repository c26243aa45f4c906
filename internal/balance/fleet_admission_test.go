package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/admission"
)

// byUse admits programs by the use of all engines in the view and by the VM's own turns.
func byUse(w *fleetSim, vm int) bool {
	candidates, _ := w.candidates(vm)
	f := admission.Fleet{}
	for _, c := range candidates {
		f.Slots += c.Slots
		f.Inflight += c.Inflight + c.Fleet.Others
	}
	return f.Admits(0, false, !w.controllers[vm].Admits(time.Hour+w.now, 0))
}

// admitBySlowdown makes each VM admit programs by its own turns.
func (w *fleetSim) admitBySlowdown() {
	for range w.vms {
		w.controllers = append(w.controllers, admission.New())
	}
	w.admits = func(w *fleetSim, vm int) bool { return w.controllers[vm].Admits(time.Hour+w.now, 0) }
}

// worth returns the share of all programs that were in time. Refused ones were not.
func (w *fleetSim) worth() float64 {
	return w.inTime() * float64(len(w.excess)) / float64(len(w.excess)+w.refused)
}

// admitted simulates a load of 77 VMs with own load and admission by slowdown, and with shared load and admission by use.
func admitted(seed uint64, speeds []float64, load func(time.Duration) float64) (own, shared *fleetSim) {
	own, shared = newFleetSim(seed, 77, 0, speeds, Pick), newFleetSim(seed, 77, 300*time.Millisecond, speeds, Pick)
	own.admitBySlowdown()
	shared.admitBySlowdown()
	shared.admits = byUse
	own.simulate(load)
	shared.simulate(load)
	return own, shared
}

// TestFleetAdmission_Bursts: each VM sees few turns, and lets 4 programs in however slow they are: 77 VMs begin 308 programs at
// 270 slots. On uneven upstreams the turns of slow ones look like overload.
func TestFleetAdmission_Bursts(t *testing.T) {
	for _, speeds := range [][]float64{{1}, {0.7, 0.7, 1.7}} {
		own, shared := admitted(3, speeds, burstLoad)
		t.Logf("%v: %.3f, own load %.3f", speeds, shared.worth(), own.worth())
		require.Greater(t, shared.worth(), 1.15*own.worth())
	}
}

// BenchmarkTrial_FleetAdmission prints the table of docs/scheduling.md.
func BenchmarkTrial_FleetAdmission(b *testing.B) {
	for _, speeds := range [][]float64{{1}, {0.7, 0.7, 1.7}} {
		for _, load := range []float64{0, 1, 1.7, 2.5} {
			line := fmt.Sprint("| ", speeds, " ", load, " |")
			const seeds = 3
			var worth, late [2]float64
			for seed := range uint64(seeds) {
				own, shared := admitted(seed, speeds, func(now time.Duration) float64 {
					if load == 0 {
						return burstLoad(now)
					}
					return load
				})
				for i, w := range []*fleetSim{own, shared} {
					worth[i] += w.worth() / seeds
					late[i] += (1 - w.inTime()) / seeds
				}
			}
			b.Logf("%s %.3f, %.2f | %.3f, %.2f |", line, worth[0], late[0], worth[1], late[1])
		}
	}
}

// peaks sends four fifths of the callers to the VMs of one zone, another one every 4 s.
func (w *fleetSim) peaks() int {
	if w.random.Float64() < 0.8 {
		zone := int(w.now/(4*time.Second)) % fleetZones
		return (w.random.IntN(w.vms/fleetZones))*fleetZones + zone
	}
	return w.random.IntN(w.vms)
}

// TestPick_PeaksAtDifferentTimes: the zones have their peaks in turn, and one zone is slow. More programs are in time than with own
// load and its constant cost of leaving the zone, and than without leaving it.
func TestPick_PeaksAtDifferentTimes(t *testing.T) {
	stay := func(candidates []Candidate, r Request) int {
		r.LeaveZone = 10 * time.Second
		return Pick(candidates, r)
	}
	for _, slowZone := range []bool{false, true} {
		run := func(age time.Duration, choose policy) *fleetSim {
			w := newFleetSim(5, 77, age, []float64{1}, choose)
			for _, e := range w.engines {
				if slowZone && e.zone == 1 {
					e.speed = 0.5
				}
			}
			w.vm = w.peaks
			w.simulate(steadyLoad)
			return w
		}
		own, staying, shared := run(0, Pick), run(300*time.Millisecond, stay), run(300*time.Millisecond, Pick)
		t.Logf("slow zone %t: in time %.3f, own load %.3f, staying %.3f; turns in other zones %.2f, %.2f, %.2f", slowZone, shared.inTime(), own.inTime(), staying.inTime(),
			float64(shared.crossed)/float64(shared.turnsRun), float64(own.crossed)/float64(own.turnsRun), float64(staying.crossed)/float64(staying.turnsRun))
		require.Greater(t, shared.inTime(), 1.05*own.inTime())
		require.Greater(t, shared.inTime(), 1.05*staying.inTime())
	}
}

// TestPick_ZoneReturnsAfterPartition: a zone is cut off for 4 s and goes on alone. When the partition heals, the first views show its
// upstreams as idle, since the coordinator hasn't heard of its VMs. The other zones' requests don't flood it.
func TestPick_ZoneReturnsAfterPartition(t *testing.T) {
	const healed = 8 * time.Second
	run := func(cut bool, choose policy) (longest int, inTime float64) {
		w := newFleetSim(5, 77, 300*time.Millisecond, []float64{1}, choose)
		if cut {
			w.cut = func(now time.Duration) bool { return now > 4*time.Second && now < healed }
		}
		w.simulate(steadyLoad)
		for _, n := range w.longest[healed/fleetHistory : (healed+time.Second)/fleetHistory] {
			longest = max(longest, n)
		}
		return longest, w.inTime()
	}
	whole, wholeInTime := run(false, Pick)
	longest, inTime := run(true, Pick)
	naive, naiveInTime := run(true, leastTotal)
	t.Logf("longest queue in the second after the partition %d, without partition %d, best of the view %d; in time %.3f, %.3f, %.3f", longest, whole, naive, inTime, wholeInTime, naiveInTime)
	require.LessOrEqual(t, longest, whole+fleetSlots)
	require.Greater(t, inTime, 0.85*wholeInTime)
}
