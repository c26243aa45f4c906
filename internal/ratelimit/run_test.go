package ratelimit

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"

	"egretramp/internal/membership"
)

var (
	seeds     = flag.Int("limit.seeds", 1000, "how many seeds the random run tries")
	firstSeed = flag.Uint64("limit.seed", 1, "the first seed of the random run")
)

// runFaults drives one world with faults of all kinds and an overload, and returns what is
// wrong, or "".
func runFaults(seed uint64) (problem string, dispatched int) {
	w := newWorld(seed, 3, 2, map[string]Limit{"a": {RatePerSecond: 20, Burst: 9}, "b": {RatePerSecond: 5, Burst: 2}})
	defer func() {
		if r := recover(); r != nil {
			problem = fmt.Sprintf("seed %d at %v: %v", seed, w.now, r)
		}
	}()
	w.loss = []float64{0, 0.02, 0.2}[w.random.IntN(3)]
	w.slow = []float64{0, 0.005, 0.05}[w.random.IntN(3)]
	w.queueWait = func() time.Duration { return time.Duration(w.random.Int64N(int64(1200 * time.Millisecond))) }
	w.tickControl()
	w.watch()
	w.overload("a", 60)
	w.overload("b", 15)
	w.faults()
	w.run(20 * time.Second)
	for _, account := range []string{"a", "b"} {
		if p := w.checkBound(account); p != "" {
			return fmt.Sprintf("seed %d: %s", seed, p), len(w.dispatched)
		}
	}
	return "", len(w.dispatched)
}

// overload sends an account's requests to random VMs, in bursts.
func (w *world) overload(account string, perSecond int) {
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

func (w *world) faults() {
	var next func()
	next = func() {
		w.fault()
		w.at(w.now+time.Duration(w.random.Int64N(int64(3*time.Second))), nil, next)
	}
	w.at(5*time.Second, nil, next)
}

func (w *world) fault() {
	vm := w.vms[w.names[w.random.IntN(len(w.names))]]
	switch w.random.IntN(9) {
	case 0:
		vm.frozenUntil = w.now + time.Second + time.Duration(w.random.Int64N(int64(9*time.Second)))
	case 1:
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
			"a": {RatePerSecond: []float64{10, 20, 40}[w.random.IntN(3)], Burst: []float64{2, 9, 18}[w.random.IntN(3)]},
			"b": {RatePerSecond: 5, Burst: []float64{1, 2, 6}[w.random.IntN(3)]},
		}
		epoch := w.state.epoch
		w.commit(epoch, limits, w.state.generation+1)
	}
}

func (w *world) zoneOf(name string) string {
	if vm := w.vms[name]; vm != nil {
		return vm.zone
	}
	return w.leaderZone
}

// watch asserts after every tick what must hold over all VMs together, and notes the limits
// that are in force anywhere.
func (w *world) watch() {
	for _, account := range []string{"a", "b"} {
		c := capSample{at: w.now}
		var held Tokens
		for z := range 3 {
			acting := ""
			for _, name := range w.names {
				vm := w.vms[name]
				a := vm.limiter.accounts[account]
				if !vm.running || a == nil || !vm.holder.Valid(vm.clock(w.now)) {
					continue
				}
				c.rate, c.burst = math.Max(c.rate, a.limit.RatePerSecond), math.Max(c.burst, a.limit.Burst)
				if vm.zone != fmt.Sprintf("z%d", z) || a.share == nil {
					continue
				}
				if acting != "" {
					panic(fmt.Sprintf("%s and %s both hold the share of %s", acting, name, account))
				}
				acting = name
				held += a.share.Tokens(vm.clock(w.now)) + a.share.outstanding
			}
		}
		w.caps[account] = append(w.caps[account], c)
		if limit := w.capAt(account, w.now); held > toTokens(limit.burst)+10 {
			panic(fmt.Sprintf("shares of %s hold %d of a burst of %v", account, held, limit.burst))
		}
	}
	w.at(w.now+worldTick, nil, w.watch)
}

// capAt is the largest limit in force at a time or shortly before, while loans made under it
// may still be used.
func (w *world) capAt(account string, at time.Duration) capSample {
	var c capSample
	all := w.caps[account]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].at > at+worldTick {
			continue
		}
		if all[i].at < at-LoanHold-2*worldTick {
			break
		}
		c.rate, c.burst = math.Max(c.rate, all[i].rate), math.Max(c.burst, all[i].burst)
	}
	return c
}

// checkBound asserts, for all intervals at once, that the upstreams saw at most burst plus
// rate times the interval: a bucket filled at the rate is never overdrawn.
func (w *world) checkBound(account string) string {
	tokens, last := math.Inf(1), time.Duration(0)
	for _, d := range w.dispatched {
		if d.account != account {
			continue
		}
		limit := w.capAt(account, d.at)
		rate := limit.rate * (1 + 1.1*float64(maxClockPPM)/1e6)
		tokens = math.Min(limit.burst, tokens+rate*(d.at-last).Seconds()) - 1
		last = d.at
		if tokens < -1e-6 {
			return fmt.Sprintf("account %s is above rate and burst by %.3f at %v", account, -tokens, d.at)
		}
	}
	return ""
}

func TestLimiter_BoundHoldsUnderFaults(t *testing.T) {
	count := *seeds
	if testing.Short() {
		count = 100
	}
	results := pool.NewWithResults[string]().WithMaxGoroutines(4)
	for i := range count {
		results.Go(func() string {
			problem, dispatched := runFaults(*firstSeed + uint64(i))
			if problem == "" && dispatched == 0 {
				problem = fmt.Sprintf("seed %d: nothing was dispatched", *firstSeed+uint64(i))
			}
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
}

var _ Lease = (*membership.Holder)(nil)
var _ Fleet = membership.Epoch{}
