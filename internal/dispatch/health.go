package dispatch

import (
	"slices"
	"time"

	"egretramp/internal/schedule"
)

// Bounds of the ejection of upstreams that do worse than the others of their pool.
const (
	// ejectFailures in a row, or half of the last healthWindow outcomes, eject an upstream.
	ejectFailures = 5
	healthWindow  = 16
	// slowFactor is how many times the pool's median a call may take before the upstream is ejected.
	slowFactor = 4
	// slowSamples is how many calls are looked at before an upstream may be called slow.
	slowSamples = 16
	// slowMinimum is the least difference to the median that counts.
	slowMinimum = 50 * time.Millisecond
	// latencyWeight is the weight of the newest call in an upstream's mean.
	latencyWeight = 0.2
	// ejectTime is how long the first ejection lasts; each further one is longer by as much.
	ejectTime    = 5 * time.Second
	ejectTimeMax = time.Minute
	// ejectForgiven is how long an upstream must do well for its ejections to be forgotten.
	ejectForgiven = 2 * time.Minute
	// slowStart is how long an upstream that returns takes to get all of its slots.
	slowStart = 10 * time.Second
)

// health watches the upstreams of one pool. It is a plain value.
type health struct {
	upstreams map[string]*condition
}

// condition is what is known of one upstream of a pool.
type condition struct {
	incarnation int64
	// outcomes are the newest ones, true for a failure.
	outcomes []bool
	inARow   int
	latency  time.Duration // mean of calls that succeeded
	samples  int

	ejections    int
	ejectedUntil time.Duration
	// unreachable: its process refused a connection; it is out until it announces itself again.
	unreachable bool
	// returned is when it came back; 0 if it never was out.
	returned time.Duration
}

func newHealth() *health { return &health{upstreams: map[string]*condition{}} }

// announced notes a sign of life. A new start has a clean record.
func (h *health) announced(now time.Duration, name string, incarnation int64) {
	c, ok := h.upstreams[name]
	if !ok || c.incarnation != incarnation {
		h.upstreams[name] = &condition{incarnation: incarnation}
		return
	}
	if c.unreachable {
		c.unreachable = false
		c.returned = now
	}
}

func (h *health) remove(name string) { delete(h.upstreams, name) }

// finished takes a call's outcome and reports whether the upstream was shut because of it.
func (h *health) finished(now time.Duration, name string, o schedule.Outcome) (shut bool) {
	c, ok := h.upstreams[name]
	if !ok {
		return false
	}
	if o.Unreachable {
		shut = !c.unreachable
		c.unreachable = true
		return shut
	}
	c.note(now, o)
	if c.shut(now) || !h.isOutlier(name, c) || !h.mayEject(now) {
		return false
	}
	c.eject(now)
	return true
}

func (c *condition) note(now time.Duration, o schedule.Outcome) {
	c.outcomes = append(c.outcomes, o.Failed)
	if len(c.outcomes) > healthWindow {
		c.outcomes = c.outcomes[1:]
	}
	if o.Failed {
		c.inARow++
		return
	}
	c.inARow = 0
	if c.ejections > 0 && now-c.returned > ejectForgiven {
		c.ejections = 0
	}
	if o.Took <= 0 {
		return
	}
	c.samples++
	if c.samples == 1 {
		c.latency = o.Took
		return
	}
	c.latency += time.Duration(latencyWeight * float64(o.Took-c.latency))
}

func (c *condition) eject(now time.Duration) {
	c.ejections++
	c.ejectedUntil = now + min(time.Duration(c.ejections)*ejectTime, ejectTimeMax)
	c.returned = c.ejectedUntil
	c.outcomes, c.inARow, c.samples = nil, 0, 0
}

// shut reports whether an upstream gets no calls now.
func (c *condition) shut(now time.Duration) bool { return c.unreachable || now < c.ejectedUntil }

// Condition says whether a pool gives an upstream calls.
type Condition string

// The conditions, from the best to the worst.
const (
	ConditionUp          Condition = "up"
	ConditionSlowStart   Condition = "slow start" // it came back and gets a part of its calls
	ConditionEjected     Condition = "ejected"
	ConditionUnreachable Condition = "unreachable" // its process refused a connection
)

var severity = map[Condition]int{ConditionUp: 0, ConditionSlowStart: 1, ConditionEjected: 2, ConditionUnreachable: 3}

// Worse returns the worse of two conditions.
func (c Condition) Worse(other Condition) Condition {
	if severity[other] > severity[c] {
		return other
	}
	return c
}

func (c *condition) condition(now time.Duration) Condition {
	switch {
	case c.unreachable:
		return ConditionUnreachable
	case now < c.ejectedUntil:
		return ConditionEjected
	case c.returned > 0 && now-c.returned < slowStart:
		return ConditionSlowStart
	}
	return ConditionUp
}

// conditions returns the upstreams that are not up.
func (h *health) conditions(now time.Duration) map[string]Condition {
	found := map[string]Condition{}
	for name, c := range h.upstreams {
		if state := c.condition(now); state != ConditionUp {
			found[name] = state
		}
	}
	return found
}

func (c *condition) failureRate() float64 {
	if len(c.outcomes) == 0 {
		return 0
	}
	failed := 0
	for _, f := range c.outcomes {
		if f {
			failed++
		}
	}
	return float64(failed) / float64(len(c.outcomes))
}

// isOutlier reports whether an upstream does worse than the others: what all of them do is not
// this upstream's fault.
func (h *health) isOutlier(name string, c *condition) bool {
	var rates []float64
	var latencies []time.Duration
	for other, o := range h.upstreams {
		if other == name {
			continue
		}
		if len(o.outcomes) > 0 {
			rates = append(rates, o.failureRate())
		}
		if o.samples >= slowSamples {
			latencies = append(latencies, o.latency)
		}
	}
	failing := c.inARow >= ejectFailures || len(c.outcomes) == healthWindow && c.failureRate() >= 0.5
	if failing && (len(rates) == 0 || median(rates) < c.failureRate()/2) {
		return true
	}
	if c.samples < slowSamples || len(latencies) == 0 {
		return false
	}
	usual := median(latencies)
	return c.latency > slowFactor*usual && c.latency-usual > slowMinimum
}

func median[N float64 | time.Duration](values []N) N {
	slices.Sort(values)
	return values[len(values)/2]
}

// mayEject keeps two thirds of a pool in use, and one upstream of a pool of two.
func (h *health) mayEject(now time.Duration) bool {
	shut := 0
	for _, c := range h.upstreams {
		if c.shut(now) {
			shut++
		}
	}
	allowed := len(h.upstreams) / 3
	if len(h.upstreams) == 2 {
		allowed = 1
	}
	return shut < allowed
}

// slots returns how many of an upstream's slots are used now.
func (h *health) slots(now time.Duration, name string, all int) int {
	c, ok := h.upstreams[name]
	switch {
	case !ok || all == 0:
		return all
	case c.shut(now):
		return 0
	case c.returned == 0 || now-c.returned >= slowStart:
		return all
	}
	part := float64(now-c.returned) / float64(slowStart)
	return max(1, int(part*float64(all)))
}

// allShut reports whether no upstream gets calls now.
func (h *health) allShut(now time.Duration) bool {
	for _, c := range h.upstreams {
		if !c.shut(now) {
			return false
		}
	}
	return true
}
