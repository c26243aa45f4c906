// Package admission decides which programs may begin while a service is busy. A program is worth
// something only as a whole, so what is under way goes on, and new programs are refused as soon
// as those under way become too slow. Under a load above the service's capacity this keeps the
// accepted programs in time; letting all in would make nearly all late.
//
// The number of programs that may be under way follows from how much slower turns are than on
// idle upstreams (gradient control). Each entry VM decides by itself from the turns that it
// carries; all see the same upstreams. A Controller is a plain value: its owner brings the clock.
package admission

import "time"

const (
	// targetSlowdown is the time of turns, in terms of idle upstreams, that is still good: programs
	// are expected within 1.3 to 1.5 times their time on idle upstreams.
	targetSlowdown = 1.55
	// shrinkInterval is the time between two reductions. A reduction shows only as programs end,
	// which takes some turns.
	shrinkInterval = 400 * time.Millisecond
	// maxShrink is the strongest reduction at once.
	maxShrink = 0.7
	// growInterval is the time between two increases, growFactor and growStep their size.
	growInterval = 200 * time.Millisecond
	growFactor   = 1.05
	growStep     = 0.5
	// lightSlowdown is the time of turns at which upstreams are far from busy; growth is fast then,
	// since a trouble that passed leaves a limit that is much too low.
	lightSlowdown   = 1.15
	lightGrowFactor = 1.5
	// minGrowUsage is the part of the limit that must be in use for it to grow.
	minGrowUsage = 0.7
	minLimit     = 4
	maxLimit     = 1 << 12
	// activeTimeout is for how long a program counts after its last request: tools and pauses lie
	// between its turns.
	activeTimeout = time.Second
	// rankFactor is the part of the limit that programs of the next lower rank may fill: they are
	// refused first.
	rankFactor = 0.8
	// averagingTime is the time over which the slowdown is averaged.
	averagingTime = 250 * time.Millisecond
	// maxSampleAge is the age at which the slowdown is no longer believed.
	maxSampleAge = time.Second
	// sweepInterval is how often programs that ended are looked for.
	sweepInterval = 100 * time.Millisecond
)

// Controller decides for one service on one entry VM. It is not safe for concurrent use.
type Controller struct {
	programs   map[string]time.Duration // last activity
	limit      float64
	slowdown   float64
	lastSample time.Duration
	lastShrink time.Duration
	lastGrow   time.Duration
	lastSweep  time.Duration
}

// New returns a controller that admits everything until it sees slow turns.
func New() *Controller {
	return &Controller{programs: map[string]time.Duration{}, limit: maxLimit, slowdown: 1}
}

// Observe takes how much slower a part of a turn was than on an idle upstream.
func (c *Controller) Observe(now time.Duration, slowdown float64) {
	if now-c.lastSample > maxSampleAge {
		c.slowdown = 1
	}
	weight := min(0.3, max(0.02, float64(now-c.lastSample)/float64(averagingTime)))
	c.slowdown += weight * (slowdown - c.slowdown)
	c.lastSample = now
	c.adjust(now)
}

// Slowdown returns the present average.
func (c *Controller) Slowdown() float64 { return c.slowdown }

// Limit returns the number of programs that may be under way.
func (c *Controller) Limit() float64 { return c.limit }

// Active returns the number of programs under way.
func (c *Controller) Active(now time.Duration) int {
	c.sweep(now)
	return len(c.programs)
}

// MarkActive notes a request of a program that was admitted, here or elsewhere.
func (c *Controller) MarkActive(now time.Duration, program string) { c.programs[program] = now }

// IsActive reports whether a program had a request here lately.
func (c *Controller) IsActive(program string) bool {
	_, ok := c.programs[program]
	return ok
}

// Admits reports whether a new program may begin. rank is 0 for the most urgent kind.
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
