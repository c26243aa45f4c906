package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	windowTime = 5 * time.Second
	step       = 10 * time.Millisecond
)

// fleet simulates entry VMs and coordinators in virtual time.
type fleet struct {
	limit       Rate
	now         time.Duration
	coordinator *Coordinator
	holders     []*Holder
	cut         []bool // partitioned from the coordinator
	known       int
	passed      []time.Duration // times of admitted requests
	refused     int
}

func newFleet(vms int, limit Rate) *fleet {
	f := &fleet{limit: limit, coordinator: NewCoordinator(0), cut: make([]bool, vms), known: vms}
	for range vms {
		f.holders = append(f.holders, NewHolder())
	}
	return f
}

func (f *fleet) rate(string) (Rate, bool) { return f.limit, true }

func (f *fleet) exchange(i int, waiting int) {
	if f.cut[i] {
		return
	}
	wants, returns := f.holders[i].Wants(f.now, map[string]int{"a": waiting}, f.rate)
	g := f.coordinator.Grant(f.now, Request{VM: string(rune('A' + i)), Wants: wants, Returns: returns}, f.known, f.rate)
	f.holders[i].ApplyGrant(f.now, g)
}

// request simulates one request at a VM, which requests a permit from the coordinator if it has
// none.
func (f *fleet) request(i int) {
	h := f.holders[i]
	ok := h.Take(f.now, "a", f.limit)
	if !ok && !h.Lost(f.now) {
		f.exchange(i, 1)
		ok = h.Take(f.now, "a", f.limit)
	}
	if ok {
		f.passed = append(f.passed, f.now)
	} else {
		f.refused++
	}
}

// run simulates a demand, in requests per second over all VMs, most of it at the first VMs.
func (f *fleet) run(r *rand.Rand, d time.Duration, demand float64) {
	for end := f.now + d; f.now < end; f.now += step {
		for n := demand * step.Seconds(); n > 0; n-- {
			if n >= 1 || r.Float64() < n {
				i := min(r.IntN(len(f.holders)), r.IntN(len(f.holders)))
				f.request(i)
			}
		}
		if f.now%(200*time.Millisecond) == 0 {
			for i := range f.holders {
				f.exchange(i, 0)
			}
		}
	}
}

// maxInWindow returns the largest number of admitted requests in any window.
func (f *fleet) maxInWindow() int { return maxInWindow(f.passed) }

func maxInWindow(passed []time.Duration) int {
	most, from := 0, 0
	for i, at := range passed {
		for at-passed[from] > windowTime {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// maxAllowed returns the largest number of requests in a window that the limit allows, with a
// tolerance of 10% plus 20 requests.
func (f *fleet) maxAllowed() float64 {
	return (f.limit.PerSecond*windowTime.Seconds()+f.limit.Burst)*1.1 + 20
}

// TestQuota_HoldsAcrossPartitionsAndCoordinatorChanges: whichever VMs are partitioned and however
// often the coordinator changes, the total stays within the limit plus the tolerance that operators
// allow for.
func TestQuota_HoldsAcrossPartitionsAndCoordinatorChanges(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(2+r.IntN(20), Rate{PerSecond: 20 + 200*r.Float64(), Burst: 20 + 200*r.Float64()})
		for range 12 {
			f.run(r, time.Duration(200+r.IntN(2500))*time.Millisecond, f.limit.PerSecond*(0.3+4*r.Float64()))
			switch r.IntN(4) {
			case 0:
				f.coordinator = NewCoordinator(f.now)
			case 1:
				for i := range f.cut {
					f.cut[i] = r.IntN(3) == 0
				}
			case 2:
				clear(f.cut)
			}
		}
		require.LessOrEqual(t, float64(f.maxInWindow()), f.maxAllowed(), "seed %d", seed)
	}
}

// TestQuota_ServesDemandBelowLimit: uneven demand of nine tenths of the rate is served, even if
// many VMs share a small limit.
func TestQuota_ServesDemandBelowLimit(t *testing.T) {
	for _, vms := range []int{1, 9, 64} {
		r := rand.New(rand.NewPCG(7, uint64(vms)))
		f := newFleet(vms, Rate{PerSecond: 10, Burst: 10})
		f.run(r, 2*time.Second, 1) // the buckets fill
		f.passed, f.refused = nil, 0
		f.run(r, 60*time.Second, 0.9*10)
		share := float64(f.refused) / float64(f.refused+len(f.passed))
		require.Less(t, share, 0.12, "%d VMs: refused %d, admitted %d", vms, f.refused, len(f.passed))
	}
}

// TestQuota_PartitionedVMsServeTheirShare: a third of the VMs, partitioned from the coordinator for
// 6 s, serve about their share.
func TestQuota_PartitionedVMsServeTheirShare(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	f := newFleet(9, Rate{PerSecond: 90, Burst: 90})
	f.run(r, 5*time.Second, 45)
	for i := range 3 {
		f.cut[6+i] = true
	}
	f.run(r, 2*time.Second, 45)
	before := len(f.passed)
	for range 400 {
		f.request(6 + r.IntN(3))
		f.now += step
	}
	require.Greater(t, len(f.passed)-before, 90, "a share of 30 requests per second for 4 s")
}

func TestHolder_ReservesLastPermitsForWorkUnderWay(t *testing.T) {
	h := NewHolder()
	require.True(t, h.AdmitsNew(0, "a"), "no level is known yet")
	h.ApplyGrant(0, Grant{Permits: map[string]float64{"a": 1}, Levels: map[string]float64{"a": 0.1}, Holders: 1})
	require.False(t, h.AdmitsNew(time.Millisecond, "a"))
	limit := Rate{PerSecond: 4, Burst: 10}
	require.InDelta(t, 500, h.WaitNew(0, "a", limit).Milliseconds(), 1, "two tokens are missing, at four per second")
	require.InDelta(t, 300, h.WaitNew(200*time.Millisecond, "a", limit).Milliseconds(), 1)
	require.Equal(t, minWaitNew, h.WaitNew(time.Second, "a", limit))
	require.True(t, h.Take(time.Millisecond, "a", Rate{PerSecond: 1, Burst: 10}), "work under way may take the last permits")
	require.True(t, h.AdmitsNew(maxLevelAge+time.Millisecond, "a"), "the level is too old")
	h.ApplyGrant(time.Second, Grant{Permits: map[string]float64{"a": 1}, Levels: map[string]float64{"a": 0.5}, Holders: 1})
	require.True(t, h.AdmitsNew(time.Second, "a"))
}

// runBursts simulates programs of a small account: each sends a burst of requests through one or
// two VMs, since callers reuse their connections.
func (f *fleet) runBursts(r *rand.Rand, d time.Duration, programs float64, requests int, lasts time.Duration) {
	type program struct {
		vms  [2]int
		left int
	}
	var running []*program
	for end := f.now + d; f.now < end; f.now += step {
		if r.Float64() < programs*step.Seconds() {
			running = append(running, &program{vms: [2]int{r.IntN(len(f.holders)), r.IntN(len(f.holders))}, left: requests})
		}
		for _, p := range running {
			if p.left > 0 && r.Float64() < float64(requests)*step.Seconds()/lasts.Seconds() {
				p.left--
				f.request(p.vms[r.IntN(2)])
			}
		}
		if f.now%(200*time.Millisecond) == 0 {
			for i := range f.holders {
				f.exchange(i, 0)
			}
		}
	}
}

// TestQuota_ManyVMsDoNotStarveSmallAccounts: permits that are idle at one of 64 VMs are missing at the
// others. The share of refused requests may be at most 3 percentage points above that of one VM.
func TestQuota_ManyVMsDoNotStarveSmallAccounts(t *testing.T) {
	share := func(vms int) float64 {
		r := rand.New(rand.NewPCG(11, 5))
		f := newFleet(vms, Rate{PerSecond: 10, Burst: 10})
		f.run(r, 2*time.Second, 1)
		f.passed, f.refused = nil, 0
		f.runBursts(r, 10*time.Minute, 0.18, 34, 4*time.Second)
		return float64(f.refused) / float64(f.refused+len(f.passed))
	}
	one, many := share(1), share(64)
	t.Logf("fraction refused by one VM %.3f, by 64 VMs %.3f", one, many)
	require.LessOrEqual(t, many, one+0.03)
}

// TestQuota_CallersOnFewVMsGetFullRate: an account whose callers use two of nine VMs gets its full rate.
// With an equal share of the rate for each VM, as without a coordinator, most requests are refused.
func TestQuota_CallersOnFewVMsGetFullRate(t *testing.T) {
	refused := func(cut bool) float64 {
		r := rand.New(rand.NewPCG(5, 5))
		f := newFleet(9, Rate{PerSecond: 90, Burst: 90})
		f.run(r, 2*time.Second, 9)
		for i := range f.cut {
			f.cut[i] = cut
		}
		f.now += 2 * ContactTimeout
		f.passed, f.refused = nil, 0
		for end := f.now + 20*time.Second; f.now < end; f.now += step {
			if r.Float64() < 0.9*90*step.Seconds() {
				f.request(r.IntN(2))
			}
			if f.now%(200*time.Millisecond) == 0 {
				for i := range f.holders {
					f.exchange(i, 0)
				}
			}
		}
		return float64(f.refused) / float64(f.refused+len(f.passed))
	}
	ours, shares := refused(false), refused(true)
	t.Logf("fraction refused %.3f, with equal shares %.3f", ours, shares)
	require.Less(t, ours, 0.05)
	require.Greater(t, shares, 0.5)
}
