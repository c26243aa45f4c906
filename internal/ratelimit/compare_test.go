package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Alternative designs are compared with this package on the same traces. The figures in
// docs/rate-limits.md come from: go test ./internal/ratelimit -run Compare -v

// arrival is one request of a trace: when and where it arrives.
type arrival struct {
	at time.Duration
	vm int // of nine, three per zone
}

// simpleBucket is a token bucket without loans, for the other designs.
type simpleBucket struct {
	rate, burst, tokens float64
	last                time.Duration
}

func newBucket(l Limit, part float64) *simpleBucket {
	return &simpleBucket{rate: l.RatePerSecond * part, burst: l.Burst * part, tokens: l.Burst * part}
}

func (b *simpleBucket) take(now time.Duration) bool {
	b.tokens = math.Min(b.burst, b.tokens+b.rate*(now-b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// split gives each of n groups of VMs its own bucket.
func split(trace []arrival, l Limit, n int) (admitted []time.Duration) {
	buckets := make([]*simpleBucket, n)
	for i := range buckets {
		buckets[i] = newBucket(l, 1/float64(n))
	}
	for _, a := range trace {
		if buckets[a.vm*n/9].take(a.at) {
			admitted = append(admitted, a.at)
		}
	}
	return admitted
}

// central has one bucket in the first zone; a VM that is partitioned from it refuses.
func central(trace []arrival, l Limit, cut bool) (admitted []time.Duration) {
	bucket := newBucket(l, 1)
	for _, a := range trace {
		if cut && a.vm >= 6 {
			continue
		}
		if bucket.take(a.at) {
			admitted = append(admitted, a.at)
		}
	}
	return admitted
}

// gossip has a full bucket on each VM and replicates admissions to the other VMs after 100 ms, but
// not between the last zone and the others while that is partitioned.
func gossip(trace []arrival, l Limit, cut bool) (admitted []time.Duration) {
	const interval = 100 * time.Millisecond
	type spent struct {
		at time.Duration
		vm int
	}
	var log []spent
	buckets := make([]*simpleBucket, 9)
	seen := make([]int, 9)
	for i := range buckets {
		buckets[i] = newBucket(l, 1)
	}
	for _, a := range trace {
		for seen[a.vm] < len(log) && log[seen[a.vm]].at+interval <= a.at {
			s := log[seen[a.vm]]
			seen[a.vm]++
			if s.vm != a.vm && !(cut && (s.vm >= 6) != (a.vm >= 6)) {
				buckets[a.vm].tokens--
			}
		}
		if buckets[a.vm].take(a.at) {
			admitted = append(admitted, a.at)
			log = append(log, spent(a))
		}
	}
	return admitted
}

// leased is the design of this package.
func leased(trace []arrival, l Limit, cut bool) (admitted []time.Duration) {
	w := newSimulation(1, 3, 3, map[string]Limit{"a": l})
	w.slowClocks(0)
	w.tickControl()
	const warm = 10 * time.Second
	w.run(warm)
	if cut {
		w.cut = func(a, b string) bool { return (w.zoneOf(a) == "z2") != (w.zoneOf(b) == "z2") }
	}
	for _, a := range trace {
		w.at(warm+a.at, nil, func() { w.request(w.vms[w.names[a.vm]], "a") })
	}
	w.run(warm + trace[len(trace)-1].at + 3*time.Second)
	for _, d := range w.dispatched {
		admitted = append(admitted, d.at-warm)
	}
	return admitted
}

// excess returns by how many requests rate and burst are exceeded in the worst interval.
func excess(admitted []time.Duration, l Limit) float64 {
	tokens, last, worst := l.Burst, time.Duration(0), 0.0
	for _, at := range admitted {
		tokens = math.Min(l.Burst, tokens+l.RatePerSecond*(at-last).Seconds()) - 1
		last = at
		worst = math.Max(worst, -tokens)
	}
	return worst
}

// conforming returns a trace that stays within one bucket of the account's rate and burst.
func conforming(l Limit, where func(n int, at time.Duration) int) []arrival {
	w := newSimulation(3, 1, 1, nil)
	var trace []arrival
	bucket := newBucket(l, 1)
	for at := time.Duration(0); at < 5*time.Second; {
		if bucket.take(at) {
			trace = append(trace, arrival{at: at, vm: where(len(trace), at)})
			continue
		}
		at += time.Duration(w.random.Int64N(int64(40 * time.Millisecond)))
		if w.random.IntN(50) == 0 {
			at += 700 * time.Millisecond
		}
	}
	return trace
}

// overloading returns a trace of three times the account's rate, evenly spread.
func overloading(l Limit) []arrival {
	var trace []arrival
	for n := range int(15 * l.RatePerSecond) {
		trace = append(trace, arrival{at: time.Duration(float64(n) / (3 * l.RatePerSecond) * float64(time.Second)), vm: n % 9})
	}
	return trace
}

func TestCompare_Designs(t *testing.T) {
	l := Limit{RatePerSecond: 50, Burst: 60}
	traces := map[string][]arrival{
		"one VM":   conforming(l, func(int, time.Duration) int { return 0 }),
		"even":     conforming(l, func(n int, _ time.Duration) int { return n % 9 }),
		"jumping":  conforming(l, func(n int, at time.Duration) int { return int(at/time.Second)%3*3 + n%3 }),
		"overload": overloading(l),
	}
	for name, trace := range traces {
		for _, cut := range []bool{false, true} {
			report := func(design string, admitted []time.Duration) (refused int, over float64) {
				refused, over = len(trace)-len(admitted), excess(admitted, l)
				t.Logf("%-8s cut %-5v %-22s offered %d refused %d excess %.1f", name, cut, design, len(trace), refused, over)
				return refused, over
			}
			report("central bucket", central(trace, l, cut))
			report("even split over VMs", split(trace, l, 9))
			report("even split over zones", split(trace, l, 3))
			report("gossip counters", gossip(trace, l, cut))
			refused, over := report("leased shares", leased(trace, l, cut))
			require.Zero(t, over)
			if !cut && name != "overload" {
				require.Zero(t, refused)
			}
		}
	}
}
