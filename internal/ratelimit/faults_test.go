package ratelimit

import (
	"flag"
	"fmt"
	"math"
	"runtime/debug"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"

	"egretramp/internal/membership"
)

var (
	seeds     = flag.Int("limit.seeds", 1000, "number of seeds of the randomized fault run")
	firstSeed = flag.Uint64("limit.seed", 1, "first seed of the randomized fault run")
)

// runFaults runs one simulation with overloaded accounts and faults of all kinds. It returns the
// violated invariant, or "".
func runFaults(seed uint64) (problem string, dispatched int) {
	w := newSimulation(seed, 3, 2, map[string]Limit{"a": {RatePerSecond: 20, Burst: 9}, "b": {RatePerSecond: 3, Burst: 60}})
	defer func() {
		if r := recover(); r != nil {
			problem = fmt.Sprintf("seed %d at %v: %v", seed, w.now, r)
		}
	}()
	w.lossChance = []float64{0, 0.02, 0.2}[w.random.IntN(3)]
	w.delayChance = []float64{0, 0.005, 0.05}[w.random.IntN(3)]
	w.stateChance = []float64{0.25, 0.05}[w.random.IntN(2)]
	wait := []time.Duration{time.Millisecond, 1200 * time.Millisecond}[w.random.IntN(2)]
	w.queueWait = func() time.Duration { return time.Duration(w.random.Int64N(int64(wait))) }
	w.tickControl()
	w.watchInvariants()
	w.overload("a", 25)
	w.overload("b", 10)
	w.longFreezes = w.random.IntN(4) == 0
	w.scheduleFaults()
	w.run(18 * time.Second)
	for _, account := range []string{"a", "b"} {
		if p := w.checkBound(account); p != "" {
			return fmt.Sprintf("seed %d: %s", seed, p), len(w.dispatched)
		}
	}
	return "", len(w.dispatched)
}

// overload sends an account's requests to random VMs, in bursts.
func (w *simulation) overload(account string, perSecond int) {
	var next func()
	next = func() {
		vm := w.vms[w.names[w.random.IntN(len(w.names))]]
		for range 1 + w.random.IntN(4) {
			w.request(vm, account)
		}
		w.at(w.now+time.Duration(w.random.Int64N(int64(5*time.Second)))/time.Duration(perSecond), nil, next)
	}
	next()
}

func (w *simulation) scheduleFaults() {
	var next func()
	next = func() {
		w.injectFault()
		gap := time.Duration(0)
		if w.longFreezes {
			gap = time.Duration(w.random.IntN(3)) * time.Second
		}
		w.at(w.now+gap+time.Duration(w.random.Int64N(int64(2*time.Second))), nil, next)
	}
	w.at(3*time.Second, nil, next)
}

func (w *simulation) injectFault() {
	vm := w.vms[w.names[w.random.IntN(len(w.names))]]
	kind := w.random.IntN(10)
	if w.longFreezes {
		kind = 8
	}
	switch kind {
	case 0:
		vm.freezeNext = 700*time.Millisecond + time.Duration(w.random.Int64N(int64(2*time.Second)))
	case 8:
		vm.freezeNext = 8*time.Second + time.Duration(w.random.Int64N(int64(5*time.Second)))
	case 1, 7:
		if w.random.IntN(2) == 0 {
			w.lease(vm, vm.holder.Release())
		}
		vm.running = false
		w.at(w.now+time.Duration(w.random.Int64N(int64(9*time.Second))), nil, func() {
			if !vm.running {
				vm.frozenUntil = 0
				w.start(vm)
			}
		})
	case 2:
		zone := vm.zone
		w.cut = func(a, b string) bool { return (w.zoneOf(a) == zone) != (w.zoneOf(b) == zone) }
	case 3:
		w.cut = func(a, b string) bool { return a == "control" && b == vm.name || a == vm.name && b == "control" }
	case 4:
		other := w.names[w.random.IntN(len(w.names))]
		w.cut = func(a, b string) bool { return a == vm.name && b == other } // one way only
	case 5:
		w.cut = func(a, b string) bool { return false }
	case 6:
		w.elect()
	default:
		limits := map[string]Limit{
			"a": {RatePerSecond: []float64{10, 20, 40}[w.random.IntN(3)], Burst: []float64{1, 2, 9}[w.random.IntN(3)]},
			"b": {RatePerSecond: 3, Burst: []float64{2, 20, 60}[w.random.IntN(3)]},
		}
		epoch := w.state.epoch
		w.commit(epoch, limits, w.state.generation+1)
	}
}

func (w *simulation) zoneOf(name string) string {
	if vm := w.vms[name]; vm != nil {
		return vm.zone
	}
	return w.leaderZone
}

// watchInvariants asserts the invariants over all VMs after every tick and records the limits in
// force on any VM.
func (w *simulation) watchInvariants() {
	for _, account := range []string{"a", "b"} {
		c := capSample{at: w.now}
		var held Tokens
		parts := 0.0
		for z := range 3 {
			acting := ""
			largest := 0.0
			for _, name := range w.names {
				vm := w.vms[name]
				a := vm.limiter.accounts[account]
				if !vm.running || a == nil || !vm.holder.Valid(vm.clock(w.now)) {
					continue
				}
				c.rate, c.burst = math.Max(c.rate, a.limit.RatePerSecond), math.Max(c.burst, a.limit.Burst)
				if vm.zone != fmt.Sprintf("z%d", z) {
					continue
				}
				if a.part.Count > 0 {
					largest = math.Max(largest, 1/float64(a.part.Count))
				}
				if a.share == nil {
					continue
				}
				if acting != "" {
					panic(fmt.Sprintf("%s and %s both hold the share of %s", acting, name, account))
				}
				acting = name
				held += a.share.Tokens(vm.clock(w.now))
				held += a.share.outstanding
			}
			parts += largest
		}
		if parts > 1.0001 {
			panic(fmt.Sprintf("the zones' parts of %s add up to %.2f", account, parts))
		}
		w.caps[account] = append(w.caps[account], c)
		if limit := w.limitAt(account, w.now); held > toTokens(limit.burst)+10 {
			panic(fmt.Sprintf("shares of %s hold %d of a burst of %v", account, held, limit.burst))
		}
	}
	w.at(w.now+simTick, nil, w.watchInvariants)
}

// recordLimitsInForce records the limits that a VM uses as it lends or grants, and asserts that no
// other VM of its zone holds the same share.
func (w *simulation) recordLimitsInForce(vm *simVM) {
	for _, name := range w.names {
		other := w.vms[name]
		if other == vm || other.zone != vm.zone || !other.running || !other.holder.Valid(other.clock(w.now)) {
			continue
		}
		for account := range vm.view.Limits {
			a, b := vm.limiter.accounts[account], other.limiter.accounts[account]
			if a != nil && b != nil && a.share != nil && b.share != nil {
				panic(fmt.Sprintf("%s uses a share of %s that %s holds too", vm.name, account, name))
			}
		}
	}
	for account, limit := range vm.view.Limits {
		w.caps[account] = append(w.caps[account], capSample{at: w.now, rate: limit.RatePerSecond, burst: limit.Burst})
	}
}

// limitAt returns the largest limit in force at a time or shortly before, while loans made under it
// may still be used.
func (w *simulation) limitAt(account string, at time.Duration) capSample {
	var c capSample
	all := w.caps[account]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].at > at+simTick {
			continue
		}
		if all[i].at < at-LoanHold-2*simTick {
			break
		}
		c.rate, c.burst = math.Max(c.rate, all[i].rate), math.Max(c.burst, all[i].burst)
	}
	return c
}

// checkBound checks for every interval that the upstreams received at most burst plus rate times its
// length, with the largest limits in force within it. It returns a violation, or "".
func (w *simulation) checkBound(account string) string {
	var at []time.Duration
	var limits []capSample
	for _, d := range w.dispatched {
		if d.account == account {
			at = append(at, d.at)
			limits = append(limits, w.limitAt(account, d.at))
		}
	}
	for i := range at {
		allowed, burst := 0.0, 0.0
		for j := i; j < len(at); j++ {
			burst = math.Max(burst, limits[j].burst)
			if j > i {
				rate := math.Max(limits[j-1].rate, limits[j].rate) * (1 + 1.1*float64(maxClockPPM)/1e6)
				allowed += rate * (at[j] - at[j-1]).Seconds()
			}
			if float64(j-i+1) > burst+allowed+1e-6 {
				return fmt.Sprintf("%d requests of %s from %v to %v, allowed %.3f", j-i+1, account, at[i], at[j], burst+allowed)
			}
		}
	}
	return ""
}

func TestLimiter_BoundHoldsUnderFaults(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	count := *seeds
	if testing.Short() {
		count = 100
	}
	var total atomic.Int64
	results := pool.NewWithResults[string]().WithMaxGoroutines(4)
	for i := range count {
		results.Go(func() string {
			problem, dispatched := runFaults(*firstSeed + uint64(i))
			total.Add(int64(dispatched))
			return problem
		})
	}
	failed := 0
	for _, problem := range results.Wait() {
		if problem != "" {
			failed++
			if failed < 4 {
				t.Error(problem)
			}
		}
	}
	require.Zero(t, failed, "of %d seeds", count)
	// A limiter that refuses everything would pass the checks above.
	require.Greater(t, total.Load(), int64(80*count), "requests dispatched")
	t.Logf("%d seeds, %d requests dispatched", count, total.Load())
}

var _ Lease = (*membership.Holder)(nil)
var _ Fleet = membership.Epoch{}
