package dispatch

import (
	"slices"
	"time"

	"egretramp/internal/schedule"
)

// Parameters of outlier ejection: an upstream that performs worse than the others of its pool gets
// no calls for a time.
const (
	// ejectFailures consecutive failures, or failures in half of the last healthWindow outcomes,
	// eject an upstream.
	ejectFailures = 5
	healthWindow  = 16
	// slowFactor is the multiple of the pool's median latency above which an upstream is ejected.
	slowFactor = 4
	// slowSamples is how many calls an upstream's mean latency needs before it is compared.
	slowSamples = 16
	// slowMinimum is the difference to the median that a slow upstream must exceed as well.
	slowMinimum = 50 * time.Millisecond
	// latencyWeight is the weight of the newest call in an upstream's mean latency.
	latencyWeight = 0.2
	// ejectTime is how long the first ejection lasts; each further one is longer by as much.
	ejectTime    = 5 * time.Second
	ejectTimeMax = time.Minute
	// ejectionReset is the time after an upstream's return from which a successful call resets its
	// count of ejections.
	ejectionReset = 2 * time.Minute
	// slowStart is the time over which an upstream that returns gets its slots back.
	slowStart = 10 * time.Second
)

// health tracks the health of the upstreams of one pool. It has no goroutine and no lock.
type health struct {
	upstreams map[string]*history
}

// history is the outcomes and ejections of one upstream of a pool.
type history struct {
	incarnation int64
	// outcomes has the last healthWindow outcomes, true for a failure.
	outcomes            []bool
	consecutiveFailures int
	latency             time.Duration // mean of calls that succeeded
	samples             int

	ejections    int
	ejectedUntil time.Duration
	// unreachable is set when the process refused a connection; the upstream gets no calls until
	// its next announcement.
	unreachable bool
	// returnedAt is when the upstream got calls again, or will; 0 if it always got calls.
	returnedAt time.Duration
}

func newHealth() *health { return &health{upstreams: map[string]*history{}} }

// recordAnnouncement ends the state of an unreachable upstream. A new incarnation starts with
// no history.
func (h *health) recordAnnouncement(now time.Duration, name string, incarnation int64) {
	c, ok := h.upstreams[name]
	if !ok || c.incarnation != incarnation {
		h.upstreams[name] = &history{incarnation: incarnation}
		return
	}
	if c.unreachable {
		c.unreachable = false
		c.returnedAt = now
	}
}

func (h *health) remove(name string) { delete(h.upstreams, name) }

// recordOutcome records a call's outcome and reports whether it made the upstream excluded.
func (h *health) recordOutcome(now time.Duration, name string, o schedule.Outcome) (excluded bool) {
	c, ok := h.upstreams[name]
	if !ok {
		return false
	}
	if o.Unreachable {
		excluded = !c.unreachable
		c.unreachable = true
		return excluded
	}
	c.record(now, o)
	if c.excluded(now) || !h.isOutlier(name, c) || !h.mayEject(now) {
		return false
	}
	c.eject(now)
	return true
}

func (c *history) record(now time.Duration, o schedule.Outcome) {
	c.outcomes = append(c.outcomes, o.Failed)
	if len(c.outcomes) > healthWindow {
		c.outcomes = c.outcomes[1:]
	}
	if o.Failed {
		c.consecutiveFailures++
		return
	}
	c.consecutiveFailures = 0
	if c.ejections > 0 && now-c.returnedAt > ejectionReset {
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

func (c *history) eject(now time.Duration) {
	c.ejections++
	c.ejectedUntil = now + min(time.Duration(c.ejections)*ejectTime, ejectTimeMax)
	c.returnedAt = c.ejectedUntil
	c.outcomes, c.consecutiveFailures, c.samples = nil, 0, 0
}

// excluded reports whether the upstream gets no calls now.
func (c *history) excluded(now time.Duration) bool { return c.unreachable || now < c.ejectedUntil }

// Condition is the state of an upstream in a pool: whether it gets calls.
type Condition string

// The conditions, from the best to the worst.
const (
	ConditionUp          Condition = "up"
	ConditionSlowStart   Condition = "slow start" // it returned and has only part of its slots
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

func (c *history) condition(now time.Duration) Condition {
	switch {
	case c.unreachable:
		return ConditionUnreachable
	case now < c.ejectedUntil:
		return ConditionEjected
	case c.returnedAt > 0 && now-c.returnedAt < slowStart:
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

func (c *history) failureRate() float64 {
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

// isOutlier reports whether an upstream performs worse than the others. If all of them fail or are
// slow, none is ejected for it.
func (h *health) isOutlier(name string, c *history) bool {
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
	failing := c.consecutiveFailures >= ejectFailures || len(c.outcomes) == healthWindow && c.failureRate() >= 0.5
	if failing && (len(rates) == 0 || median(rates) < c.failureRate()/2) {
		return true
	}
	if c.samples < slowSamples || len(latencies) == 0 {
		return false
	}
	poolMedian := median(latencies)
	return c.latency > slowFactor*poolMedian && c.latency-poolMedian > slowMinimum
}

func median[N float64 | time.Duration](values []N) N {
	slices.Sort(values)
	return values[len(values)/2]
}

// mayEject reports whether another upstream may be ejected: two thirds of a pool stay in use, and
// one upstream of a pool of two.
func (h *health) mayEject(now time.Duration) bool {
	excluded := 0
	for _, c := range h.upstreams {
		if c.excluded(now) {
			excluded++
		}
	}
	allowed := len(h.upstreams) / 3
	if len(h.upstreams) == 2 {
		allowed = 1
	}
	return excluded < allowed
}

// slots returns how many of an upstream's slots may be used now.
func (h *health) slots(now time.Duration, name string, all int) int {
	c, ok := h.upstreams[name]
	switch {
	case !ok || all == 0:
		return all
	case c.excluded(now):
		return 0
	case c.returnedAt == 0 || now-c.returnedAt >= slowStart:
		return all
	}
	part := float64(now-c.returnedAt) / float64(slowStart)
	return max(1, int(part*float64(all)))
}

// allExcluded reports whether no upstream gets calls now.
func (h *health) allExcluded(now time.Duration) bool {
	for _, c := range h.upstreams {
		if !c.excluded(now) {
			return false
		}
	}
	return true
}
