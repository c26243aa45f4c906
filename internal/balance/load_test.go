package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// This file simulates load patterns in virtual time and compares Pick with simpler policies. Each
// entry VM only has its own requests and its own measurements of the engines.

const (
	loadVMs      = 7
	loadEngines  = 9
	loadSlots    = 12
	turnWork     = 150 * time.Millisecond // on an idle engine, without the prompt
	promptWork   = 12 * time.Millisecond  // prefill of a prompt of 1,000 tokens
	loadTurns    = 5
	betweenTurns = 60 * time.Millisecond
	// slownessWeight is the weight of the newest sample in a VM's moving average of an engine's
	// slowness.
	slownessWeight = 0.2
)

// policy chooses an engine.
type policy func(candidates []Candidate, r Request) int

// leastInflight chooses the engine with the fewest requests of this VM, local engines first.
func leastInflight(candidates []Candidate, r Request) int {
	best := -1
	for i, c := range candidates {
		if best < 0 || c.Inflight < candidates[best].Inflight || c.Inflight == candidates[best].Inflight && c.Local && !candidates[best].Local {
			best = i
		}
	}
	return best
}

// byHash sends all turns of a program to the same engine, regardless of its load.
func byHash(candidates []Candidate, r Request) int {
	best := 0
	for i, c := range candidates {
		if Weight(r.Affinity, c.ID) > Weight(r.Affinity, candidates[best].ID) {
			best = i
		}
	}
	return best
}

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type loadEngine struct {
	id          string
	zone        int
	slow        float64 // factor on the duration of a turn
	running     int
	waiting     []func()
	cachedTurns map[string]int // by program: the turns whose prompts are cached here
	promptTime  time.Duration  // spent on prompts so far
}

type loadSim struct {
	random  *rand.Rand
	now     time.Duration
	queue   events
	engines []*loadEngine
	// measured is each VM's moving average of the duration of an engine's turns, relative to
	// turnWork.
	measured   [loadVMs][]float64
	inflight   [loadVMs][]int
	home       [loadVMs]map[string]string
	choose     policy
	durations  []time.Duration // durations of the finished programs
	promptTime time.Duration   // total time of prefill
	// promptsDelayOthers makes all turns that run on an engine wait while it reads a prompt.
	promptsDelayOthers bool
}

func newLoadSim(seed uint64, choose policy) *loadSim {
	w := &loadSim{random: rand.New(rand.NewPCG(seed, 9)), choose: choose}
	for i := range loadEngines {
		w.engines = append(w.engines, &loadEngine{id: fmt.Sprint("e", i), zone: i % 3, slow: 1, cachedTurns: map[string]int{}})
	}
	for vm := range loadVMs {
		w.inflight[vm] = make([]int, loadEngines)
		w.home[vm] = map[string]string{}
		for range loadEngines {
			w.measured[vm] = append(w.measured[vm], 1)
		}
	}
	return w
}

func (w *loadSim) after(d time.Duration, run func()) { heap.Push(&w.queue, event{w.now + d, run}) }

// turn runs turn n of a program.
func (w *loadSim) turn(vm int, program string, n int, begun time.Duration) {
	candidates := make([]Candidate, loadEngines)
	for i, e := range w.engines {
		candidates[i] = Candidate{ID: e.id, Local: e.zone == vm%3, Slots: loadSlots, Inflight: w.inflight[vm][i], Slowness: w.measured[vm][i]}
	}
	i := w.choose(candidates, Request{
		Affinity: program, Home: w.home[vm][program], AffinityGain: PromptCostFactor * time.Duration(n) * promptWork, New: n == 1,
		Service: turnWork, Draw: w.random.Float64(),
	})
	e := w.engines[i]
	w.home[vm][program] = e.id
	w.inflight[vm][i]++
	sent := w.now
	start := func() {
		e.running++
		prompt := time.Duration(n-min(e.cachedTurns[program], n-1)) * promptWork
		w.promptTime += prompt
		e.cachedTurns[program] = n
		e.promptTime += prompt
		seen := e.promptTime
		work := time.Duration(float64(turnWork+prompt) * e.slow)
		var finish func()
		finish = func() {
			if delay := e.promptTime - seen; w.promptsDelayOthers && delay > 0 {
				seen = e.promptTime
				w.after(delay, finish)
				return
			}
			e.running--
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			w.inflight[vm][i]--
			w.measured[vm][i] += slownessWeight * (float64(w.now-sent)/float64(turnWork) - w.measured[vm][i])
			if n == loadTurns {
				w.durations = append(w.durations, w.now-begun)
				return
			}
			w.after(betweenTurns, func() { w.turn(vm, program, n+1, begun) })
		}
		w.after(work, finish)
	}
	if e.running < loadSlots {
		start()
	} else {
		e.waiting = append(e.waiting, start)
	}
}

// simulate starts programs at a rate, in programs per second, on the VMs that vm returns, and
// runs until all have finished.
func (w *loadSim) simulate(length time.Duration, rate float64, vm func() int) {
	for at := time.Duration(0); at < length; at += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second)) {
		name := fmt.Sprint("p", len(w.queue))
		heap.Push(&w.queue, event{at, func() { w.turn(vm(), name, 1, w.now) }})
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
}

// late returns the fraction of programs that took over 1.5 times their time on idle engines.
func (w *loadSim) late() float64 {
	ideal := loadTurns*(turnWork+promptWork) + (loadTurns-1)*betweenTurns
	n := 0
	for _, took := range w.durations {
		if took > ideal*3/2 {
			n++
		}
	}
	return float64(n) / float64(len(w.durations))
}

func anyVM(w *loadSim) func() int { return func() int { return w.random.IntN(loadVMs) } }

// capacity is the rate, in programs per second, that all engines together can handle.
var capacity = loadEngines * loadSlots / (loadTurns * (turnWork + promptWork)).Seconds()

// compare simulates a pattern with Pick and with a baseline. It returns the mean fractions of
// late programs and the total prefill times over five seeds.
func compare(baseline policy, pattern func(w *loadSim)) (late, baseLate float64, read, baseRead time.Duration) {
	for seed := range uint64(5) {
		w, b := newLoadSim(seed, Pick), newLoadSim(seed, baseline)
		pattern(w)
		pattern(b)
		late += w.late() / 5
		baseLate += b.late() / 5
		read += w.promptTime
		baseRead += b.promptTime
	}
	return late, baseLate, read, baseRead
}

// TestPick_TwoOfNineEnginesSlow: two of nine engines become three times as slow for 6 s. Programs
// must move away from them, even if their prompts are cached there.
func TestPick_TwoOfNineEnginesSlow(t *testing.T) {
	pattern := func(w *loadSim) {
		for _, i := range []int{2, 6} {
			heap.Push(&w.queue, event{2 * time.Second, func() { w.engines[i].slow = 3 }})
			heap.Push(&w.queue, event{8 * time.Second, func() { w.engines[i].slow = 1 }})
		}
		w.simulate(10*time.Second, 0.6*capacity, anyVM(w))
	}
	for name, baseline := range map[string]policy{"by hash": byHash, "least in flight": leastInflight} {
		late, base, _, _ := compare(baseline, pattern)
		t.Logf("%s: late %.3f, baseline %.3f", name, late, base)
		require.Less(t, late, base*2/3, name)
	}
}

// TestPick_ReusesCachedPrompts: at a moderate load, less than half as much prefill is needed as with
// a policy that only considers queue lengths.
func TestPick_ReusesCachedPrompts(t *testing.T) {
	late, base, read, baseRead := compare(leastInflight, func(w *loadSim) { w.simulate(10*time.Second, 0.6*capacity, anyVM(w)) })
	t.Logf("late %.3f, baseline %.3f; prompts %v, baseline %v", late, base, read, baseRead)
	require.Less(t, read, baseRead/2)
}

// TestPick_PromptsReadAgainDelayOthers: busy engines, where each prompt that is read again holds up the other
// turns. Weighing only what the moved turn loses makes over twice as many programs late.
func TestPick_PromptsReadAgainDelayOthers(t *testing.T) {
	ownGain := func(candidates []Candidate, r Request) int {
		r.AffinityGain /= PromptCostFactor
		return Pick(candidates, r)
	}
	late, base, read, baseRead := compare(ownGain, func(w *loadSim) {
		w.promptsDelayOthers = true
		w.simulate(10*time.Second, 0.4*capacity, anyVM(w))
	})
	t.Logf("late %.3f, baseline %.3f; prompts %v, baseline %v", late, base, read, baseRead)
	require.Less(t, late, base/2)
}

// TestPick_CallersConcentrateInOneZone: four fifths of all callers use the VMs of one zone for 5 s.
// Its engines cannot handle that load alone, so engines in other zones must share it.
func TestPick_CallersConcentrateInOneZone(t *testing.T) {
	local := func(candidates []Candidate, r Request) int { // only uses engines of the VM's zone
		var near []Candidate
		var index []int
		for i, c := range candidates {
			if c.Local {
				near = append(near, c)
				index = append(index, i)
			}
		}
		return index[Pick(near, r)]
	}
	late, base, _, _ := compare(local, func(w *loadSim) {
		w.simulate(10*time.Second, 0.7*capacity, func() int {
			if w.now > 3*time.Second && w.now < 8*time.Second && w.random.Float64() < 0.8 {
				return []int{0, 3, 6}[w.random.IntN(3)]
			}
			return w.random.IntN(loadVMs)
		})
	})
	t.Logf("late %.3f, baseline %.3f", late, base)
	require.Less(t, late, base*2/3)
}
