// Package admission decides which programs may begin while a service is busy. A program is only
// useful when it completes, so running programs continue, and new ones are refused as soon as the
// running ones become too slow. Under a load above the service's capacity this keeps the accepted
// programs in time; admitting all would make nearly all late.
//
// The limit on running programs follows from how much slower turns are than on idle upstreams
// (gradient control). Each entry VM decides on its own, from the turns that it handles; all VMs
// share the same upstreams. A Controller reads no clock: its owner passes in the time.
package admission

import "time"

const (
	// targetSlowdown is the highest acceptable duration of turns, as a multiple of their duration on
	// idle upstreams: programs are expected within 1.3 to 1.5 times their time on idle upstreams.
	targetSlowdown = 1.55
	// shrinkInterval is the minimum time between two reductions. A reduction takes effect only as
	// programs end, which takes some turns.
	shrinkInterval = 400 * time.Millisecond
	// maxShrink is the smallest factor that one reduction applies to the limit.
	maxShrink = 0.7
	// growInterval is the minimum time between two increases; growFactor and growStep are their size.
	growInterval = 200 * time.Millisecond
	growFactor   = 1.05
	growStep     = 0.5
	// lightSlowdown is the slowdown below which upstreams are far from busy. The limit then grows
	// faster, by lightGrowFactor, since a past disturbance leaves it much too low.
	lightSlowdown   = 1.15
	lightGrowFactor = 1.5
	// minGrowUsage is the fraction of the limit that must be in use for the limit to grow.
	minGrowUsage = 0.7
	minLimit     = 4
	maxLimit     = 1 << 12
	// activeTimeout is how long a program counts as active after its last request: tool calls and
	// pauses lie between its turns.
	activeTimeout = time.Second
	// rankFactor is the factor by which each less urgent rank lowers the limit for its programs, so
	// that they are refused first.
	rankFactor = 0.8
	// averagingTime is the time over which the slowdown is averaged.
	averagingTime = 250 * time.Millisecond
	// maxSampleAge is the age from which the slowdown is ignored.
	maxSampleAge = time.Second
	// sweepInterval is the minimum time between two removals of inactive programs.
	sweepInterval = 100 * time.Millisecond
)

// Controller admits the programs of one service on one entry VM. It is not safe for concurrent use.
type Controller struct {
	programs   map[string]time.Duration // last activity
	limit      float64
	slowdown   float64
	lastSample time.Duration
	lastShrink time.Duration
	lastGrow   time.Duration
	lastSweep  time.Duration
}

// New returns a controller that admits all programs until it observes slow turns.
func New() *Controller {
	return &Controller{programs: map[string]time.Duration{}, limit: maxLimit, slowdown: 1}
}

// Observe adds a sample of how many times as long a part of a turn took as on an idle upstream.
func (c *Controller) Observe(now time.Duration, slowdown float64) {
	if now-c.lastSample > maxSampleAge {
		c.slowdown = 1
	}
	weight := min(0.3, max(0.02, float64(now-c.lastSample)/float64(averagingTime)))
	c.slowdown += weight * (slowdown - c.slowdown)
	c.lastSample = now
	c.adjust(now)
}

// Slowdown returns the moving average of the observed slowdowns.
func (c *Controller) Slowdown() float64 { return c.slowdown }

// Limit returns the maximum number of active programs.
func (c *Controller) Limit() float64 { return c.limit }

// Active returns the number of active programs.
func (c *Controller) Active(now time.Duration) int {
	c.sweep(now)
	return len(c.programs)
}

// MarkActive records a request of a program that was admitted, here or on another VM.
func (c *Controller) MarkActive(now time.Duration, program string) { c.programs[program] = now }

// IsActive reports whether a program had a request here recently.
func (c *Controller) IsActive(program string) bool {
	_, ok := c.programs[program]
	return ok
}

// Admits reports whether a new program may begin. rank is 0 for the most urgent programs.
func (c *Controller) Admits(now time.Duration, rank int) bool {
	c.sweep(now)
	c.adjust(now)
	limit := c.limit
	for range rank {
		limit *= rankFactor
	}
	return float64(len(c.programs)) < max(limit, 1)
}

func (c *Controller) sweep(now time.Duration) {
	if now-c.lastSweep < sweepInterval {
		return
	}
	c.lastSweep = now
	for program, at := range c.programs {
		if now-at > activeTimeout {
			delete(c.programs, program)
		}
	}
}

func (c *Controller) adjust(now time.Duration) {
	active := float64(len(c.programs))
	if c.slowdown > targetSlowdown && now-c.lastSample < maxSampleAge {
		if now-c.lastShrink >= shrinkInterval {
			c.lastShrink = now
			c.limit = max(minLimit, min(c.limit, active)*max(maxShrink, targetSlowdown/c.slowdown))
		}
		return
	}
	if now-c.lastGrow >= growInterval && active >= minGrowUsage*c.limit {
		c.lastGrow = now
		factor := growFactor
		if c.slowdown < lightSlowdown {
			factor = lightGrowFactor
		}
		c.limit = min(maxLimit, c.limit*factor+growStep)
	}
}
