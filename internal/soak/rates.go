package soak

import (
	"math"
	"slices"
	"time"

	"egretramp/internal/workload"
)

// rateJitter is the allowed difference between two requests in their delay from the rate limiter
// to the upstream. The burst observed at upstreams may exceed the bound by the tokens refilled in
// this time.
const rateJitter = 250 * time.Millisecond

// rateSpan is a bound and the time interval in which it may be in force.
type rateSpan struct {
	window
	workload.RateBound
}

// rateSpans lists when each of an account's bounds may be in force: from the time it is applied
// until its successor is certainly in force on all VMs.
func rateSpans(first workload.RateBound, changes []rateChange, out func(from, to time.Time) time.Time) []rateSpan {
	spans := []rateSpan{{RateBound: first}}
	for _, c := range changes {
		spans[len(spans)-1].to = out(c.from, c.to)
		spans = append(spans, rateSpan{window{from: c.from}, c.bound})
	}
	return spans
}

// inForceBy returns when a change applied between from and to is certainly in force on all VMs.
// VMs that were unreachable have it inForceLimit after the end of their outage.
func (o *outages) inForceBy(from, to time.Time) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	for changed := true; changed; {
		changed = false
		for _, list := range o.list {
			for _, w := range list {
				end := w.to.Add(inForceLimit)
				if !w.to.IsZero() && w.from.Before(to) && w.to.After(from) && end.After(to) {
					to, changed = end, true
				}
			}
		}
	}
	return to
}

// boundAt returns the widest bound that may be in force at time t.
func boundAt(spans []rateSpan, t time.Time) workload.RateBound {
	var widest workload.RateBound
	for _, s := range spans {
		if t.Before(s.from) || !s.to.IsZero() && t.After(s.to) {
			continue
		}
		widest.RatePerSecond = math.Max(widest.RatePerSecond, s.RatePerSecond)
		widest.Burst = math.Max(widest.Burst, s.Burst)
	}
	return widest
}

// refillStep is the time step of the simulated refill, since bounds may change in between.
const refillStep = 10 * time.Millisecond

// countAboveBound counts the starts that find a token bucket empty, which has the burst and is
// refilled at the rate in force at each time. starts must be in order.
func countAboveBound(spans []rateSpan, starts []time.Time) int {
	over, level := 0, math.Inf(1)
	var last time.Time
	for _, t := range starts {
		if !last.IsZero() {
			level = refill(spans, level, last, t)
		}
		b := boundAt(spans, t)
		level = math.Min(level, b.Burst+b.RatePerSecond*rateJitter.Seconds())
		last = t
		// Tolerates rounding errors for a call that is exactly at the bound.
		if level < 1-1e-6 {
			over++
			continue
		}
		level--
	}
	return over
}

func refill(spans []rateSpan, level float64, from, to time.Time) float64 {
	for from.Before(to) {
		next := from.Add(refillStep)
		if next.After(to) {
			next = to
		}
		b := boundAt(spans, from)
		if later := boundAt(spans, next); later.RatePerSecond > b.RatePerSecond {
			b.RatePerSecond = later.RatePerSecond
		}
		level += b.RatePerSecond * next.Sub(from).Seconds()
		level = math.Min(level, b.Burst+b.RatePerSecond*rateJitter.Seconds())
		from = next
	}
	return level
}

// checkRate checks that no account's calls reach the upstreams above its rate and burst over any
// interval, also while the rate changes.
func checkRate(e *evidence) workload.Result {
	r := workload.Result{Name: "no client account gets more than its rate and burst"}
	starts := map[string][]time.Time{}
	for _, m := range e.Match() {
		if len(m.Runs) > 0 && m.Call.Account != "" {
			starts[m.Call.Account] = append(starts[m.Call.Account], time.Unix(0, m.Runs[0].StartedNS))
		}
	}
	for account, list := range starts {
		bound, known := e.Bounds[account]
		if !known {
			r.Violate("%s has no rate, but calls of it ran", account)
			continue
		}
		var changes []rateChange
		for _, c := range e.rateChanges {
			if c.account == account {
				changes = append(changes, c)
			}
		}
		slices.SortFunc(list, time.Time.Compare)
		r.Tried += len(list)
		spans := rateSpans(bound, changes, e.outages.inForceBy)
		if over := countAboveBound(spans, list); over > 0 {
			r.Violated += over - 1
			r.Violate("%s: %d of %d calls above the bound; first rate %g/s, burst %g, %d changes",
				account, over, len(list), bound.RatePerSecond, bound.Burst, len(changes))
		}
	}
	return r
}
