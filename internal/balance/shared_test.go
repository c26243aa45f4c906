package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// zonedFleet returns upstreams with 6 slots in three zones in rotation, idle in a view of 200 ms.
func zonedFleet(n int) []Candidate {
	var cs []Candidate
	for i := range n {
		cs = append(cs, Candidate{
			ID: fmt.Sprint("u", i), Zone: fmt.Sprint("z", i%3), Local: i%3 == 0, Slots: 6, Slowness: 1,
			Fleet: FleetLoad{Known: true, Age: 200 * time.Millisecond},
		})
	}
	return cs
}

// begin is the first turn of a program at a VM of a zone, while the zones make the given attempts in a second.
func begin(zone string, draw float64, perSecond ...float64) Request {
	r := Request{Affinity: "p", New: true, Service: 150 * time.Millisecond, Draw: draw, Zone: zone, LeaveZone: 15 * time.Millisecond}
	for i, n := range perSecond {
		r.Origins = append(r.Origins, Origin{Zone: fmt.Sprint("z", i), PerSecond: n})
	}
	return r
}

// spread returns how many of n first turns at VMs of a zone go to each upstream, all decided in one view.
func spread(cs []Candidate, n int, zone string, perSecond ...float64) map[string]int {
	counts := map[string]int{}
	for i := range n {
		draw := float64(i)*0.754877666 + 0.1
		counts[cs[Pick(cs, begin(zone, draw-float64(int(draw)), perSecond...))].ID]++
	}
	return counts
}

// TestPick_OthersFillTheHome: other VMs fill the home, which this VM hasn't used. Own load alone sends the turn there.
func TestPick_OthersFillTheHome(t *testing.T) {
	cs := zonedFleet(6)
	r := turn("p")
	r.Home, r.AffinityGain, r.Zone = "u0", 50*time.Millisecond, "z0"
	cs[0].Fleet.Others = 5
	require.Equal(t, 0, Pick(cs, r), "a slot is free")
	cs[0].Fleet.Others = 20
	require.NotEqual(t, 0, Pick(cs, r))
}

// TestPick_SlownessOfOtherVMs: this VM has no recent sample of the slow upstreams.
func TestPick_SlownessOfOtherVMs(t *testing.T) {
	cs := zonedFleet(6)
	cs[0].Fleet.Slowness = 2.4
	require.Equal(t, map[string]int{"u3": 50}, spread(cs, 50, "z0"))
	cs[0].Fleet.Slowness, cs[3].Fleet.FailureShare = 0, 0.5
	require.Equal(t, map[string]int{"u0": 50}, spread(cs, 50, "z0"))
}

// TestPick_SameViewInAllVMs: 28 VMs read the same view, and begin turns before the next one. One upstream is idle in it,
// the others have one free slot: no more than a few turns may go to the idle one. Taking the best of the view sends all.
func TestPick_SameViewInAllVMs(t *testing.T) {
	cs := zonedFleet(45)
	for i := range cs {
		cs[i].Fleet.Others = 4
	}
	cs[0].Fleet.Others = 0
	counts := spread(cs, 45, "z0", 225, 225, 225)
	require.LessOrEqual(t, counts["u0"], 24, "%v", counts)
	require.Greater(t, counts["u0"], 0)
	require.Equal(t, 45, spread(cs, 45, "z0")["u0"], "without the attempts of other VMs")
}

// TestPick_SpreadsOverIdleUpstreams guards against a choice that depends on the draw in the same way as its tie-breaks.
func TestPick_SpreadsOverIdleUpstreams(t *testing.T) {
	for _, perSecond := range []float64{20, 100, 200, 300} {
		counts := spread(zonedFleet(45), 450, "z0", perSecond, perSecond, perSecond)
		require.GreaterOrEqual(t, len(counts), 13, "%v a second: %v", perSecond, counts)
		for id, n := range counts {
			require.Less(t, n, 90, "%v a second: %s", perSecond, id)
		}
	}
}

// TestPick_FullZoneUsesOthers: the peak of one zone goes to the two others, in equal parts, as far as they have room. The
// others stay in their zones: zones don't exchange load.
func TestPick_FullZoneUsesOthers(t *testing.T) {
	cs := zonedFleet(45)
	for i := range cs {
		cs[i].Fleet.Others = 2
		if i%3 == 0 {
			cs[i].Fleet.Others = 9
		}
	}
	byZone := func(zone string) (n [3]int) {
		for id, count := range spread(cs, 300, zone, 300, 100, 100) {
			var i int
			_, err := fmt.Sscanf(id, "u%d", &i)
			require.NoError(t, err)
			n[i%3] += count
		}
		return n
	}
	full := byZone("z0")
	require.Zero(t, full[0])
	require.InDelta(t, 150, full[1], 60)
	require.Equal(t, [3]int{0, 300, 0}, byZone("z1"))
	require.Equal(t, [3]int{0, 0, 300}, byZone("z2"))
	for i := range cs {
		cs[i].Fleet.Others = 2
	}
	require.Equal(t, [3]int{300, 0, 0}, byZone("z0"), "its requests return")
}

// TestPick_TwoZonesFillTheThird: both take about half of what it has left, since each counts the other's requests.
func TestPick_TwoZonesFillTheThird(t *testing.T) {
	cs := zonedFleet(9)
	for i := range cs {
		cs[i].Fleet.Others = 8
		if i%3 == 2 {
			cs[i].Fleet.Others = 4 // 2 slots are free: 6 in the zone
		}
	}
	toThird := 0
	for _, zone := range []string{"z0", "z1"} {
		counts := spread(cs, 200, zone, 400, 400, 0) // 20 requests of each zone may move in 200 ms
		toThird += counts["u2"] + counts["u5"] + counts["u8"]
	}
	// 60 requests are in flight, 12 of them in the third zone. 21 of 40 more make its queues as long as the others'.
	require.InDelta(t, 0.5, float64(toThird)/400, 0.06)
}

func TestPick_ZoneWithoutUpstreams(t *testing.T) {
	var cs []Candidate
	for i, c := range zonedFleet(9) {
		if i%3 != 0 {
			cs = append(cs, c)
		}
	}
	require.Len(t, spread(cs, 100, "z0", 50, 50, 50), 6, "both other zones are used")
}

// TestPick_WithoutFreshView: as long as no candidate has a load of all VMs, what else belongs to it has no influence.
func TestPick_WithoutFreshView(t *testing.T) {
	for i := range 500 {
		cs := fleet(9)
		for j := range cs {
			cs[j].Inflight, cs[j].Slowness = (i*7+j*5)%14, 1+float64((i+j)%3)
			cs[j].Failing, cs[j].Tried = (i+j)%11 == 0, (i+j)%13 == 0
		}
		r := turn(fmt.Sprint("p", i))
		r.New, r.Draw = i%4 == 0, float64(i)/500
		before := Pick(cs, r)
		for j := range cs {
			cs[j].Zone = fmt.Sprint("z", j%3)
		}
		r.Zone, r.LeaveZone, r.Origins = "z0", time.Second, []Origin{{"z0", 300}}
		require.Equal(t, before, Pick(cs, r))
	}
}

// TestPick_CandidatesLeft: as without shared load, any candidate is better than none.
func TestPick_CandidatesLeft(t *testing.T) {
	cs := zonedFleet(2)
	cs[0].Tried = true
	cs[1].Failing, cs[1].Unconfirmed = true, true
	r := begin("z0", 0.5, 300)
	r.New, r.Home = false, "u0"
	require.Equal(t, 1, Pick(cs, r))
	cs[1].Tried = true
	require.Equal(t, -1, Pick(cs, r))
}

// TestPick_SharedLoadOfManyVMs: 77 VMs keep more programs in time with a view of 300 ms than with their own load only, on
// equal and uneven upstreams in bursts. See the table in docs/scheduling.md.
func TestPick_SharedLoadOfManyVMs(t *testing.T) {
	for _, speeds := range [][]float64{{1}, {0.7, 0.7, 1.7}} {
		own, shared := newFleetSim(7, 77, 0, speeds, Pick), newFleetSim(7, 77, 300*time.Millisecond, speeds, Pick)
		own.simulate(burstLoad)
		shared.simulate(burstLoad)
		t.Logf("%v: in time %.3f, own load %.3f", speeds, shared.inTime(), own.inTime())
		require.Greater(t, shared.inTime(), 1.1*own.inTime())
	}
}

func TestLeaveZoneCost(t *testing.T) {
	require.Equal(t, time.Millisecond, LeaveZoneCost(time.Millisecond, 0, time.Second, 1))
	require.Equal(t, 5*(time.Millisecond+4*time.Millisecond), LeaveZoneCost(time.Millisecond, 10_000, 400*time.Millisecond, 5))
}

func BenchmarkPick_SharedLoad(b *testing.B) {
	cs := zonedFleet(61)
	for i := range cs {
		cs[i].Fleet.Others = i % 9
	}
	for b.Loop() {
		Pick(cs, begin("z0", 0.3, 200, 200, 200))
	}
}
