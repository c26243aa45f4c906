package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// limitWindow, limitTolerance and limitSlack are the bound that operators allow for an upstream's limit.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// limitedFleet simulates entry VMs, coordinators and one upstream with a rate limit in virtual time.
type limitedFleet struct {
	now         time.Duration
	perSecond   float64 // stated in responses, 0 for no limit
	coordinator *UpstreamCoordinator
	epochs      uint64
	vms         []*limitedVM
	minLevel    float64         // the fill level that requests require
	passed      []time.Duration // times of requests
	refused     int
}

type limitedVM struct {
	name            string
	holder          *Holder
	table           *LimitTable
	reported, epoch uint64
	version         uint64
	cut             bool // partitioned from the coordinator
}

func newLimitedFleet(vms int, perSecond float64) *limitedFleet {
	f := &limitedFleet{perSecond: perSecond}
	f.replaceCoordinator()
	for i := range vms {
		f.vms = append(f.vms, newLimitedVM(fmt.Sprint("vm", i)))
	}
	return f
}

func newLimitedVM(name string) *limitedVM {
	return &limitedVM{name: name, holder: NewUpstreamHolder(), table: NewLimitTable()}
}

func (f *limitedFleet) replaceCoordinator() {
	f.epochs++
	f.coordinator = NewUpstreamCoordinator(f.now, f.epochs)
}

const limitedUpstream = "u@1"

func (f *limitedFleet) exchange(vm *limitedVM, waiting int) {
	if vm.cut {
		return
	}
	statements, reported := vm.table.Since(f.now, vm.reported)
	wants := vm.holder.UpstreamWants(f.now, map[string]int{limitedUpstream: waiting}, vm.table.Rates(f.now))
	g := f.coordinator.Grant(f.now, vm.name, UpstreamRequest{Wants: wants, Limits: statements, Epoch: vm.epoch, Version: vm.version}, len(f.vms))
	vm.holder.ApplyGrant(f.now, Grant{Permits: g.Permits, Waits: g.Waits, Levels: g.Levels, Holders: len(f.vms)})
	vm.reported = reported
	if vm.epoch != g.Epoch {
		vm.epoch, vm.reported = g.Epoch, 0
	}
	vm.table.Merge(f.now, g.Limits)
	vm.version = g.Version
}

// request simulates one request at a VM and its response.
func (f *limitedFleet) request(vm *limitedVM) {
	limit, limited := vm.table.Rate(f.now, limitedUpstream)
	if limited && vm.holder.Room(f.now, limitedUpstream, limit).Level < f.minLevel {
		f.refused++
		return
	}
	ok := !limited || vm.holder.Take(f.now, limitedUpstream, limit)
	if !ok && vm.holder.Room(f.now, limitedUpstream, limit).Free && !vm.holder.Lost(f.now) {
		f.exchange(vm, 1)
		ok = vm.holder.Take(f.now, limitedUpstream, limit)
	}
	if !ok {
		f.refused++
		return
	}
	f.passed = append(f.passed, f.now)
	if f.perSecond > 0 {
		vm.table.State(f.now, limitedUpstream, f.perSecond, f.now-time.Millisecond)
	} else {
		vm.table.End(f.now, limitedUpstream, f.now-time.Millisecond)
	}
}

func (f *limitedFleet) run(r *rand.Rand, d time.Duration, demand float64) {
	for end := f.now + d; f.now < end; f.now += step {
		for n := demand * step.Seconds(); n > 0; n-- {
			if n >= 1 || r.Float64() < n {
				f.request(f.vms[min(r.IntN(len(f.vms)), r.IntN(len(f.vms)))])
			}
		}
		if f.now%(200*time.Millisecond) == 0 {
			for _, vm := range f.vms {
				f.exchange(vm, 0)
			}
		}
	}
}

func (f *limitedFleet) maxInWindow() int {
	most, from := 0, 0
	for i, at := range f.passed {
		for at-f.passed[from] > limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestUpstreams_LimitHoldsAcrossFailures: cuts, new coordinators, VMs that restart or join, and any demand.
func TestUpstreams_LimitHoldsAcrossFailures(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		perSecond := []float64{0.01, 0.4, 3, 8, 40, 150}[r.IntN(6)] * (0.7 + 0.6*r.Float64())
		f := newLimitedFleet(2+r.IntN(30), perSecond)
		demand := func() float64 {
			if r.IntN(3) == 0 {
				return 0
			}
			return max(perSecond, 2) * (0.3 + 5*r.Float64())
		}
		f.run(r, time.Second, max(10, perSecond)) // the limit becomes known
		f.passed = nil
		for range 12 {
			f.run(r, time.Duration(200+r.IntN(4000))*time.Millisecond, demand())
			switch r.IntN(5) {
			case 0:
				f.replaceCoordinator()
			case 1:
				for _, vm := range f.vms {
					vm.cut = r.IntN(3) == 0
				}
			case 2:
				for _, vm := range f.vms {
					vm.cut = false
				}
			case 3:
				i := r.IntN(len(f.vms))
				f.vms[i] = newLimitedVM(f.vms[i].name)
				f.exchange(f.vms[i], 0)
			case 4:
				f.vms = append(f.vms, newLimitedVM(fmt.Sprint("joined", len(f.vms))))
				f.exchange(f.vms[len(f.vms)-1], 0)
			}
		}
		allowed := perSecond*limitWindow.Seconds()*limitTolerance + limitSlack
		require.LessOrEqual(t, float64(f.maxInWindow()), allowed, "seed %d, limit %v, VMs %d", seed, perSecond, len(f.vms))
	}
}

// TestUpstreams_BusyVMGetsWholeLimit: with even shares, one busy VM of many would get next to nothing.
func TestUpstreams_BusyVMGetsWholeLimit(t *testing.T) {
	for _, vms := range []int{1, 9, 60} {
		for _, perSecond := range []float64{0.5, 6, 60} {
			f := newLimitedFleet(vms, perSecond)
			f.request(f.vms[0])
			f.passed = nil
			const span = 20 * time.Second
			for end := f.now + span; f.now < end; f.now += step {
				f.request(f.vms[0])
				if f.now%(200*time.Millisecond) == 0 {
					for _, vm := range f.vms {
						f.exchange(vm, 0)
					}
				}
			}
			require.GreaterOrEqual(t, float64(len(f.passed)), 0.85*perSecond*span.Seconds()-1, "%d VMs, limit %v", vms, perSecond)
		}
	}
}

// TestUpstreams_ChangedLimitIsInForceOnAllVMs: a limit that is lowered, raised or ended, as seen by one VM only.
func TestUpstreams_ChangedLimitIsInForceOnAllVMs(t *testing.T) {
	f := newLimitedFleet(5, 10)
	f.request(f.vms[0])
	for _, perSecond := range []float64{10, 4, 7, 0, 5, 0.01} {
		f.perSecond = perSecond
		f.now += time.Second
		for range 3 {
			f.now += 5 * time.Second // minUpstreamRate lets a request in
			f.exchange(f.vms[0], 0)
			f.request(f.vms[0])
		}
		f.now += step
		for _, vm := range f.vms {
			f.exchange(vm, 0)
		}
		for _, vm := range f.vms {
			limit, limited := vm.table.Rate(f.now, limitedUpstream)
			require.Equal(t, perSecond > 0, limited, "limit %v at %s", perSecond, vm.name)
			if limited {
				require.InDelta(t, max(perSecond, minUpstreamRate), limit.PerSecond, 1e-9)
			}
		}
	}
	f.replaceCoordinator()
	f.exchange(f.vms[3], 0)
	f.exchange(f.vms[3], 0)
	rate, limited := f.coordinator.limits.Rate(f.now, limitedUpstream)
	require.True(t, limited, "a new coordinator gets the limits from the VMs")
	require.Equal(t, minUpstreamRate, rate.PerSecond)
}

// TestLimitTable_LateResponses: responses to earlier requests arrive after those to later ones.
func TestLimitTable_LateResponses(t *testing.T) {
	const ms = time.Millisecond
	table := NewLimitTable()
	rate := func() float64 {
		r, ok := table.Rate(time.Second, "u")
		if !ok {
			return -1
		}
		return r.PerSecond
	}
	require.False(t, table.End(5*ms, "u", 4*ms), "no limit is known")
	require.True(t, table.State(100*ms, "u", 8, 90*ms))
	require.False(t, table.End(110*ms, "u", 95*ms), "sent before the limit was stated")
	require.False(t, table.State(120*ms, "u", 20, 99*ms), "a higher limit, sent before")
	require.Equal(t, 8.0, rate())
	require.True(t, table.State(130*ms, "u", 5, 50*ms), "a lower limit is in force at once")
	require.True(t, table.State(150*ms, "u", 9, 131*ms))
	require.True(t, table.End(170*ms, "u", 151*ms))
	require.Equal(t, -1.0, rate())
	require.False(t, table.State(169*ms, "u", 3, 100*ms), "a statement from before the end")
	require.True(t, table.State(200*ms, "u", 3, 180*ms))
	require.Equal(t, 3.0, rate())

	other := NewLimitTable()
	statements, version := table.Since(210*ms, 0)
	other.Merge(time.Hour, statements)
	statements, _ = other.Since(time.Hour, 0)
	require.Equal(t, []Statement{{Upstream: "u", PerSecond: 3, AgeMs: 10}}, statements)
	table.Merge(211*ms, statements)
	statements, _ = table.Since(212*ms, version)
	require.Empty(t, statements, "its own statement is nothing new")

	table.Prune(time.Hour, func(string) bool { return true })
	require.Equal(t, 1, table.Len())
	table.Prune(time.Hour, func(string) bool { return false })
	require.Zero(t, table.Len())
}

// TestHolder_UpstreamPermitsExpire: permits that are not used must not add up at many VMs.
func TestHolder_UpstreamPermitsExpire(t *testing.T) {
	h, limit := NewUpstreamHolder(), Rate{PerSecond: 5, Burst: 5}
	h.ApplyGrant(time.Second, Grant{Permits: map[string]float64{"u": 2}, Holders: 1})
	now := time.Second + upstreamPermitLifetime
	require.True(t, h.Held(now, "u"))
	require.True(t, h.Take(now, "u", limit))
	h.Return(now, "u")
	require.True(t, h.Held(now, "u"))
	require.False(t, h.Held(now+1, "u"))
	require.False(t, h.Take(now+1, "u", limit))
}

// TestUpstreams_PermitsExpireUnused guards against permits that VMs request in advance and don't use: while
// there are more requests than the limit allows, the upstream gets what it takes.
func TestUpstreams_PermitsExpireUnused(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 5))
		perSecond := 5 + 5*r.Float64()
		f := newLimitedFleet(7, perSecond)
		f.minLevel = 0.4
		f.run(r, 2*time.Second, 10)
		f.passed = nil
		const span = 20 * time.Second
		f.run(r, span, 3*perSecond)
		require.Greater(t, float64(len(f.passed)), 0.95*perSecond*span.Seconds(), "seed %d", seed)
	}
}
