package quota

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCold_SixtyVMsOneUpstream guards against the bursts that limits stated by upstreams allow, 62 requests in a second at
// a limit of 25, which crash an upstream that is cold: 60 VMs send to one, one of them partitioned from the coordinator.
func TestCold_SixtyVMsOneUpstream(t *testing.T) {
	for seed := range uint64(5) {
		for _, demand := range []float64{30, 100, 600} {
			f := newColdFleet(seed, 60, 1)
			f.vms[0].cut = true
			f.setCold(time.Hour, 1)
			f.run(10*time.Second, demand)
			require.LessOrEqual(t, f.most(), int(coldLimitPerSecond)+1, "seed %d, demand %v", seed, demand)
			require.Greater(t, float64(len(f.sent[f.processes[0]])), 0.6*10*coldLimitPerSecond, "seed %d, demand %v: what the upstream could take", seed, demand)
		}
	}
}

// TestCold_BurstAfterIdleTime guards against permits that add up while there are few requests.
func TestCold_BurstAfterIdleTime(t *testing.T) {
	f := newColdFleet(1, 60, 1)
	f.setCold(time.Hour, 1)
	for range 5 {
		f.run(1200*time.Millisecond, 3)
		f.run(1200*time.Millisecond, 3000)
	}
	require.LessOrEqual(t, f.most(), int(coldLimitPerSecond)+1)
}

// TestCold_CoordinatorChanges guards against two coordinators whose grants add up: one after the other, and side by side
// for as long as a coordinator that has lost the lead can go on.
func TestCold_CoordinatorChanges(t *testing.T) {
	for seed := range uint64(10) {
		f := newColdFleet(seed, 60, 1)
		f.vms[0].cut = true
		f.setCold(time.Hour, 1)
		for range 4 {
			f.run(700*time.Millisecond, 300)
			f.replaceCoordinator()
		}
		require.LessOrEqual(t, f.most(), int(coldLimitPerSecond)+1, "one after the other")
		for i, vm := range f.vms {
			vm.behind = i % 2
		}
		f.replaceCoordinator()
		f.run(ContactTimeout, 300)
		for _, vm := range f.vms {
			vm.behind = 0
		}
		f.run(2*time.Second, 300)
		require.LessOrEqual(t, float64(f.most()), coldAllowed, "side by side")
	}
}

// TestCold_CoordinatorLost guards against the shares of many VMs that fall due in the same moment, as permits that each
// VM saves up: all VMs lose the coordinator at once, or those of a zone do, or only its answers are lost.
func TestCold_CoordinatorLost(t *testing.T) {
	for seed := range uint64(10) {
		for _, lost := range []int{20, 60} {
			for _, answersOnly := range []bool{false, true} {
				for _, vms := range []int{3, 60, 77} {
					f := newColdFleet(seed, vms, 1)
					f.setCold(time.Hour, 1)
					f.run(time.Second, 300)
					for i := range min(lost*vms/60, vms) {
						f.vms[i].cut, f.vms[i].loses = !answersOnly, answersOnly
					}
					f.run(8*time.Second, 300)
					for _, vm := range f.vms {
						vm.cut, vm.loses = false, false
					}
					f.run(2*time.Second, 300)
					require.LessOrEqual(t, float64(f.most()), coldAllowed, "seed %d, %d of 60 lost, answers only: %v, %d VMs", seed, lost, answersOnly, vms)
				}
			}
		}
	}
}

// TestCold_SuspendedVMs guards against VMs that were suspended after they had asked for permits, and use them together
// when they go on.
func TestCold_SuspendedVMs(t *testing.T) {
	for seed := range uint64(10) {
		f := newColdFleet(seed, 60, 1)
		f.setCold(time.Hour, 1)
		for range 6 {
			f.run(time.Duration(300+f.random.IntN(700))*time.Millisecond, 300)
			resume := f.now + time.Duration(100+f.random.IntN(1500))*time.Millisecond
			for _, vm := range f.vms {
				if f.random.IntN(2) == 0 {
					vm.frozen = resume
				}
			}
		}
		require.LessOrEqual(t, float64(f.most()), coldAllowed, "seed %d", seed)
	}
}

// TestCold_ZoneReturns guards against a zone's upstreams that all get the load of the fleet when the zone returns to
// service: 15 upstreams that no registration calls cold, and the load of a second for each of them.
func TestCold_ZoneReturns(t *testing.T) {
	f := newColdFleet(3, 60, 15)
	for _, vm := range f.vms {
		for _, process := range f.processes {
			vm.table.AssumeCold(f.now, process, coldLimitPerSecond, f.now+3*time.Second)
		}
	}
	f.run(2900*time.Millisecond, 40)
	require.LessOrEqual(t, f.most(), int(coldLimitPerSecond)+1)
	for _, process := range f.processes {
		require.Greater(t, float64(len(f.sent[process])), 2.9*0.5*coldLimitPerSecond, process)
	}
	f.run(time.Second, 0)
	f.forget()
	f.run(time.Second, 40)
	require.Greater(t, f.most(), 30, "the cold time is over")
}

// TestCold_BecomesColdAgain guards against VMs that send on as before: only some hear of it from a control VM, the others
// from the coordinator. The first second counts what was sent before they knew.
func TestCold_BecomesColdAgain(t *testing.T) {
	f := newColdFleet(4, 60, 1)
	f.setCold(100*time.Millisecond, 1)
	f.run(2*time.Second, 60)
	for _, vm := range f.vms[:3] {
		vm.table.SetCold(f.now, f.processes[0], ColdState{PerSecond: coldLimitPerSecond, Until: f.now + 3*time.Second, Sequence: 9, StatedAt: f.now})
	}
	f.run(450*time.Millisecond, 60) // two regular requests for permits
	for _, vm := range f.vms {
		_, cold := vm.table.Rate(f.now, f.processes[0])
		require.True(t, cold, vm.name)
	}
	f.forget()
	f.run(2*time.Second, 60)
	require.LessOrEqual(t, f.most(), int(coldLimitPerSecond)+1)
}

// TestCold_CoordinatorOfEarlierRelease guards against VMs that send nothing, or without a limit, while the coordinator
// doesn't know of cold upstreams.
func TestCold_CoordinatorOfEarlierRelease(t *testing.T) {
	h, limit := NewUpstreamHolder(), coldRate(coldLimitPerSecond)
	h.SetName("a")
	taken := 0
	for now := time.Minute; now < time.Minute+10*time.Second; now += coldStep {
		if now%(200*time.Millisecond) == 0 {
			h.UseColdShare(true)
			h.ApplyGrant(now, Grant{Holders: 5})
			wants := h.UpstreamWants(now, map[string]int{"u": 1}, func(string) (Rate, bool) { return limit, true })
			require.Empty(t, wants, "they would not be answered")
		}
		if h.Take(now, "u", limit) {
			taken++
		}
	}
	require.InDelta(t, 10*limit.PerSecond/5, taken, 2)
}

// TestCold_Limits: what a second may bring by the limit, and the lower one of two limits.
func TestCold_Limits(t *testing.T) {
	for _, perSecond := range []float64{3, 10, 25, 400} {
		limit := coldRate(perSecond)
		require.LessOrEqual(t, limit.Burst+limit.PerSecond*(1+coldPermitLifetime.Seconds()), perSecond*1.01, perSecond)
	}
	table := NewLimitTable()
	now := time.Minute
	table.SetCold(now, "u", ColdState{PerSecond: 25, Until: now + 3*time.Second, Sequence: 1})
	cold, _ := table.Rate(now, "u")
	require.Equal(t, coldRate(25), cold)
	for _, stated := range []float64{4, 90} {
		table.State(now, "u", stated, now-1)
		limit, limited := table.Rate(now, "u")
		require.True(t, limited && limit.Cold)
		require.Equal(t, min(stated, cold.PerSecond), limit.PerSecond)
		require.Equal(t, min(stated, cold.Burst), limit.Burst)
		now += time.Second
	}
	limit, limited := table.Rate(now+2*time.Second, "u")
	require.True(t, limited && !limit.Cold, "the stated limit stays when the cold time is over")
	require.Equal(t, 90.0, limit.PerSecond)
}

// TestLimitTable_LateRegistrations: registrations arrive late and out of order, directly and through other VMs.
func TestLimitTable_LateRegistrations(t *testing.T) {
	now, table := time.Minute, NewLimitTable()
	cold := func(at time.Duration) bool {
		_, limited := table.Rate(at, "u")
		return limited
	}
	set := func(sequence int64, remaining time.Duration) bool {
		return table.SetCold(now, "u", ColdState{PerSecond: 25, Until: now + remaining, Sequence: sequence, StatedAt: now})
	}
	require.False(t, set(1, 0), "not cold")
	require.True(t, table.IsEmpty())
	require.True(t, set(3, 3*time.Second))
	require.False(t, set(2, 0), "an earlier registration")
	require.True(t, cold(now+2999*time.Millisecond))
	require.False(t, cold(now+3*time.Second))
	now += time.Second
	require.False(t, set(3, 3*time.Second), "the same one, a second later")
	require.False(t, cold(now+2*time.Second))
	require.True(t, set(5, 3*time.Second), "extended")
	require.True(t, cold(now+2*time.Second))
	statements := table.ColdSince(now, 0)
	require.Equal(t, []ColdStatement{{Upstream: "u", PerSecond: 25, RemainingMs: 3000, Sequence: 5}}, statements)
	require.True(t, set(6, 0), "it ends early")
	require.False(t, cold(now))
	table.MergeCold(now, statements)
	require.False(t, cold(now), "another VM's earlier statement")
	require.True(t, set(8, time.Second), "cold again")

	other := NewLimitTable()
	other.MergeCold(now, table.ColdSince(now, 0))
	_, limited := other.Rate(now, "u")
	require.True(t, limited)
	_, version := table.Since(now, 0)
	table.MergeCold(now, other.ColdSince(now, 0))
	_, after := table.Since(now, 0)
	require.Equal(t, version, after, "its own statement is nothing new")
	table.Prune(now+time.Hour, func(string) bool { return true })
	require.True(t, table.IsEmpty())
}

// TestLimitTable_Assumptions: an assumption holds until its end, or until a registration that was received later.
func TestLimitTable_Assumptions(t *testing.T) {
	now, table := time.Minute, NewLimitTable()
	cold := func(at time.Duration) bool {
		_, limited := table.Rate(at, "u")
		return limited
	}
	require.True(t, table.AssumeCold(now, "u", 25, now+3*time.Second))
	require.False(t, table.AssumeCold(now, "u", 25, now+3*time.Second), "nothing new")
	table.SetCold(now, "u", ColdState{PerSecond: 25, Until: now, Sequence: 4, StatedAt: now - time.Second})
	require.True(t, cold(now+2*time.Second), "a registration from before")
	coordinator := NewUpstreamCoordinator(now, 1)
	grant := func(at time.Duration) UpstreamGrant {
		return coordinator.Grant(at, "vm", UpstreamRequest{Wants: map[string]float64{"u": 1}, Cold: table.ColdSince(now, 0)}, 1)
	}
	grant(now)
	answer := grant(now + 100*time.Millisecond)
	require.Equal(t, 1.0, answer.Permits["u"], "the coordinator grants permits")
	for _, s := range answer.Cold {
		require.False(t, s.Assumed, "other VMs decide by what they know")
	}
	now += time.Second
	table.SetCold(now, "u", ColdState{PerSecond: 25, Until: now, Sequence: 5, StatedAt: now})
	require.False(t, cold(now))
}

// TestLimitTable_AbsurdStatements: numbers that no VM sends limit nothing, and not for long.
func TestLimitTable_AbsurdStatements(t *testing.T) {
	table := NewLimitTable()
	for i, perSecond := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		table.MergeCold(time.Minute, []ColdStatement{
			{Upstream: "u", PerSecond: perSecond, RemainingMs: 1000, Sequence: int64(i)},
			{Upstream: "u", PerSecond: perSecond, RemainingMs: 1000, Assumed: true},
		})
	}
	require.True(t, table.IsEmpty())
	table.MergeCold(time.Minute, []ColdStatement{{Upstream: "u", PerSecond: 5, RemainingMs: math.MaxInt64}, {Upstream: "v", PerSecond: 5, RemainingMs: math.MinInt64}})
	require.Equal(t, 1, table.ColdCount(time.Minute))
	require.Zero(t, table.ColdCount(time.Minute+maxColdTime))
}

// TestHolder_ColdPermits: permits expire counted from the request for them, and are not given back.
func TestHolder_ColdPermits(t *testing.T) {
	limit := coldRate(coldLimitPerSecond)
	h := NewUpstreamHolder()
	require.False(t, h.Take(0, "u", limit))
	grant := func(requested, now time.Duration, permits float64) {
		h.ApplyGrantTo(now, requested, Grant{Permits: map[string]float64{"u": permits}, Holders: 1})
	}
	grant(time.Second, time.Second+coldPermitLifetime, 1)
	require.True(t, h.Held(time.Second+coldPermitLifetime, "u"))
	require.False(t, h.Take(time.Second+coldPermitLifetime+1, "u", limit), "the answer came late")
	grant(2*time.Second, 2*time.Second, 2)
	grant(2*time.Second+coldPermitLifetime, 2*time.Second+coldPermitLifetime, 1)
	now := 2*time.Second + coldPermitLifetime
	require.True(t, h.Take(now, "u", limit))
	require.False(t, h.Take(now, "u", limit), "earlier permits don't live on with later ones")
	h.Return(now, "u")
	require.False(t, h.Take(now, "u", limit))

	stated := Rate{PerSecond: 50, Burst: 50}
	require.False(t, h.Take(now, "u", stated))
	grant(now, now, 30)
	require.True(t, h.Take(now, "u", stated))
	require.False(t, h.Take(now, "u", limit), "permits by a higher limit, from before the upstream was cold")
}

// TestLimitTable_AssumptionIsRepeated guards against an assumption that each review of the upstreams makes anew, because it
// computes a slightly different end: registrations that were received before that would no longer end it.
func TestLimitTable_AssumptionIsRepeated(t *testing.T) {
	table, now := NewLimitTable(), time.Minute
	until := now + 3*time.Second
	require.True(t, table.AssumeCold(now, "u", 25, until))
	require.False(t, table.AssumeCold(now+time.Second, "u", 25, until+time.Millisecond))
	require.True(t, table.SetCold(now+time.Second, "u", ColdState{PerSecond: 25, Until: now, Sequence: 1, StatedAt: now + 500*time.Millisecond}))
	require.False(t, table.IsCold(now+time.Second, "u"))
	require.True(t, table.AssumeCold(now+time.Second, "u", 25, until), "it has ended before")
	require.True(t, table.AssumeCold(now+time.Second, "u", 25, until+time.Second), "extended")
	require.True(t, table.AssumeCold(now+time.Second, "u", 20, until+time.Second), "another rate")
}
