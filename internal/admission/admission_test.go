package admission

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model of the load tests: beyond their capacity, engines divide their speed among the running
// turns. A program has several turns with pauses between them; it is in time if it ends within its
// deadline.
const (
	tick            = 10 * time.Millisecond
	turnTime        = 150 * time.Millisecond // duration of a turn on idle engines
	pauseTime       = 60 * time.Millisecond
	capacity        = 30.0 // concurrent turns at full speed
	deadlineFactor  = 1.5
	deadlineSlack   = 200 * time.Millisecond
	turnsPerProgram = 5
)

type program struct {
	id        string
	startedAt time.Duration
	turns     int
	remaining float64       // seconds of work in the current turn
	pause     time.Duration // until the next turn
	turnFrom  time.Duration
}

// simulate runs a load, given in programs per second over time, and returns how many programs were
// in time, late and refused.
func simulate(seed uint64, load func(now time.Duration) float64, admits func(now time.Duration) bool, c *Controller) (inTime, late, refused int) {
	r := rand.New(rand.NewPCG(seed, 1))
	var active []*program
	next := 0
	for now := time.Duration(0); now < 30*time.Second; now += tick {
		for n := load(now) * tick.Seconds(); n > 0; n-- {
			if n < 1 && r.Float64() > n {
				break
			}
			next++
			p := &program{id: string(rune(next)), startedAt: now, turns: turnsPerProgram, remaining: turnTime.Seconds(), turnFrom: now}
			if !admits(now) {
				refused++
				continue
			}
			c.MarkActive(now, p.id)
			active = append(active, p)
		}
		running := 0.0
		for _, p := range active {
			if p.pause <= 0 {
				running++
			}
		}
		speed := min(1, capacity/max(running, 1))
		kept := active[:0]
		for _, p := range active {
			if p.pause > 0 {
				if p.pause -= tick; p.pause <= 0 {
					p.remaining, p.turnFrom = turnTime.Seconds(), now
					c.MarkActive(now, p.id)
				}
				kept = append(kept, p)
				continue
			}
			c.Observe(now, 1/speed)
			if p.remaining -= tick.Seconds() * speed; p.remaining > 0 {
				kept = append(kept, p)
				continue
			}
			if p.turns--; p.turns > 0 {
				p.pause = pauseTime
				kept = append(kept, p)
				continue
			}
			ideal := turnsPerProgram*turnTime + (turnsPerProgram-1)*pauseTime
			if now-p.startedAt <= time.Duration(deadlineFactor*float64(ideal))+deadlineSlack {
				inTime++
			} else {
				late++
			}
		}
		active = kept
	}
	return inTime, late, refused
}

// capacityRate is the load, in programs per second, that the engines can just handle.
var capacityRate = capacity / (turnsPerProgram * turnTime.Seconds())

func constant(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x * capacityRate }
}

// burst is a load of 0.8 of the capacity, with three times as much for 6 s.
func burst(now time.Duration) float64 {
	if now > 5*time.Second && now < 11*time.Second {
		return 2.4 * capacityRate
	}
	return 0.8 * capacityRate
}

// TestController_KeepsProgramsInTimeUnderOverload compares the controller under loads above the
// capacity with admitting all programs, which makes nearly all late.
func TestController_KeepsProgramsInTimeUnderOverload(t *testing.T) {
	for name, load := range map[string]func(time.Duration) float64{"1.4 times": constant(1.4), "twice": constant(2), "burst": burst} {
		var gains []float64
		for seed := range uint64(9) {
			c, ignored := New(), New()
			inTime, _, _ := simulate(seed, load, func(now time.Duration) bool { return c.Admits(now, 0) }, c)
			all, _, _ := simulate(seed, load, func(time.Duration) bool { return true }, ignored)
			gains = append(gains, float64(inTime)/float64(max(all, 1)))
		}
		sort.Float64s(gains)
		require.Greater(t, gains[len(gains)/2], 1.5, "%s: %v", name, gains)
	}
}

func TestController_RefusesNothingBelowCapacity(t *testing.T) {
	for seed := range uint64(5) {
		c := New()
		_, _, refused := simulate(seed, constant(0.7), func(now time.Duration) bool { return c.Admits(now, 0) }, c)
		require.Zero(t, refused)
	}
}

// TestController_RecoversAfterSlowTurns checks that a few seconds of very slow turns, as when a
// zone is lost, do not leave a limit that refuses programs on idle engines.
func TestController_RecoversAfterSlowTurns(t *testing.T) {
	c := New()
	now := time.Second
	for ; now < 4*time.Second; now += tick {
		c.Observe(now, 10)
		c.MarkActive(now, "p")
	}
	require.Less(t, c.Limit(), 10.0)
	trouble := now
	for i := 0; c.Limit() < 40; i++ {
		c.Observe(now, 1)
		for j := range 60 {
			c.MarkActive(now, string(rune(j)))
		}
		now += tick
	}
	require.Less(t, now-trouble, 3*time.Second)
}

func TestController_LessUrgentProgramsAreRefusedFirst(t *testing.T) {
	c := New()
	c.limit = 10
	for i := range 9 {
		c.MarkActive(0, string(rune('a'+i)))
	}
	require.True(t, c.Admits(0, 0))
	require.False(t, c.Admits(0, 1))
	require.True(t, c.IsActive("a"))
	require.True(t, c.Admits(2*activeTimeout, 1), "the programs are no longer active")
	require.False(t, c.IsActive("a"))
}
