package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"egretramp/internal/admission"
)

// This file compares decisions with and without shared load information, in virtual time, in a fleet of many entry VMs
// in front of engines with few slots.

const (
	fleetEngines  = 45
	fleetSlots    = 6
	fleetZones    = 3
	fleetTurn     = 260 * time.Millisecond // on an engine of speed 1
	fleetPrompt   = 8 * time.Millisecond   // prefill of what one turn adds to the prompt
	fleetLength   = 20 * time.Second
	fleetUse      = 0.58 // of the slots, on average
	fleetMeanTurn = 7    // turns of a program
	// sampleAge is how long a VM's own measurements of an engine are used, as in internal/proxy.
	sampleAge    = 600 * time.Millisecond
	fleetHistory = 50 * time.Millisecond // between two snapshots
)

type fleetSnapshot struct {
	at       time.Duration
	inflight [][]int // by VM and engine
	total    []int
	slowness []float64
	starts   []float64 // by zone
}

type fleetEngine struct {
	zone       int
	speed      float64
	running    int
	waiting    []func()
	cached     map[string]int
	promptTime time.Duration
	served     int
	slowness   float64
	measuredAt time.Duration
}

type fleetProgram struct {
	name      string
	turns     int
	begun     time.Duration
	pauses    time.Duration
	home      string
	objective time.Duration
	vm        int
}

// fleetSim simulates a fleet.
type fleetSim struct {
	random     *rand.Rand
	now        time.Duration
	queue      events
	engines    []*fleetEngine
	vms        int
	age        time.Duration // of the shared view, 0 for own knowledge only
	choose     policy
	inflight   [][]int
	measured   [][]float64
	measuredAt [][]time.Duration
	snapshots  []fleetSnapshot
	starts     []float64
	excess     []float64 // of programs: time taken, relative to the objective
	waits      []time.Duration
	crossed    int
	turnsRun   int
	// vm returns the entry VM of a new program; nil for any.
	vm func() int
	// admits reports whether a new program may begin at a VM; nil for all.
	admits      func(w *fleetSim, vm int) bool
	refused     int
	controllers []*admission.Controller // by VM; nil unless admission is by slowdown
	// cut reports whether a partition separates zone 0, which is without the coordinator, from the others; nil for never.
	cut func(now time.Duration) bool
	// longest is the longest queue of an engine of zone 0 at each snapshot.
	longest []int
}

func newFleetSim(seed uint64, vms int, age time.Duration, speeds []float64, choose policy) *fleetSim {
	w := &fleetSim{random: rand.New(rand.NewPCG(seed, 11)), vms: vms, age: age, choose: choose, starts: make([]float64, fleetZones)}
	for i := range fleetEngines {
		w.engines = append(w.engines, &fleetEngine{zone: i % fleetZones, speed: speeds[(i/fleetZones)%len(speeds)], cached: map[string]int{}})
	}
	for range vms {
		w.inflight = append(w.inflight, make([]int, fleetEngines))
		w.measured = append(w.measured, make([]float64, fleetEngines))
		w.measuredAt = append(w.measuredAt, make([]time.Duration, fleetEngines))
	}
	return w
}

func (w *fleetSim) after(d time.Duration, run func()) { heap.Push(&w.queue, event{w.now + d, run}) }

// fastest is the speed of the fastest engine, by which VMs judge the others.
func (w *fleetSim) fastest() float64 {
	speed := 0.0
	for _, e := range w.engines {
		speed = max(speed, e.speed)
	}
	return speed
}

func (w *fleetSim) snapshot() {
	s := fleetSnapshot{at: w.now, total: make([]int, fleetEngines), slowness: make([]float64, fleetEngines)}
	for vm := range w.inflight {
		s.inflight = append(s.inflight, append([]int(nil), w.inflight[vm]...))
		for i, n := range w.inflight[vm] {
			if w.isCut() && vm%fleetZones == 0 {
				s.inflight[vm][i] = 0 // the coordinator doesn't hear of it
				continue
			}
			s.total[i] += n
		}
	}
	longest := 0
	for i, e := range w.engines {
		if w.now-e.measuredAt < time.Second {
			s.slowness[i] = e.slowness
		}
		if e.zone == 0 {
			longest = max(longest, len(e.waiting))
		}
	}
	w.longest = append(w.longest, longest)
	s.starts = append(s.starts, w.starts...)
	for i := range w.starts {
		w.starts[i] *= 1 - fleetHistory.Seconds()
	}
	w.snapshots = append(w.snapshots, s)
}

// view returns the snapshot that the VMs have: all get a new one at the same time.
func (w *fleetSim) view() *fleetSnapshot {
	period := min(200*time.Millisecond, w.age)
	taken := w.now/period*period - (w.age - period/2)
	i := int(taken / fleetHistory)
	if taken < 0 || i >= len(w.snapshots) {
		return nil
	}
	return &w.snapshots[i]
}

func (w *fleetSim) isCut() bool { return w.cut != nil && w.cut(w.now) }

func (w *fleetSim) candidates(vm int) ([]Candidate, []Origin) {
	candidates := make([]Candidate, len(w.engines))
	for i, e := range w.engines {
		candidates[i] = Candidate{ID: fmt.Sprint("e", i), Zone: fmt.Sprint(e.zone), Local: e.zone == vm%fleetZones, Slots: fleetSlots, Inflight: w.inflight[vm][i], Slowness: 1}
		if w.measured[vm][i] > 0 && w.now-w.measuredAt[vm][i] < sampleAge {
			candidates[i].Slowness = w.measured[vm][i]
		}
	}
	if w.isCut() {
		for i, e := range w.engines {
			candidates[i].Tried = (e.zone == 0) != (vm%fleetZones == 0)
		}
	}
	if w.age == 0 || w.isCut() && vm%fleetZones == 0 {
		return candidates, nil
	}
	view := w.view()
	if view == nil {
		return candidates, nil
	}
	for i := range candidates {
		candidates[i].Fleet = FleetLoad{Known: true, Others: view.total[i] - view.inflight[vm][i], Age: w.now - view.at, Slowness: view.slowness[i]}
	}
	var origins []Origin
	for zone, starts := range view.starts {
		origins = append(origins, Origin{Zone: fmt.Sprint(zone), PerSecond: starts})
	}
	return candidates, origins
}

// turn runs turn n of a program.
func (w *fleetSim) turn(p *fleetProgram, n int) {
	if n > 1 && w.random.IntN(3) == 0 {
		p.vm = w.random.IntN(w.vms) // a third of the turns arrive at another VM
	}
	vm := p.vm
	candidates, origins := w.candidates(vm)
	i := w.choose(candidates, Request{
		Affinity: p.name, Home: p.home, OwnGain: time.Duration(n) * fleetPrompt, AffinityGain: PromptCostFactor * time.Duration(n) * fleetPrompt, New: n == 1,
		Service: time.Duration(float64(fleetTurn) / w.fastest()), Draw: w.random.Float64(), Zone: fmt.Sprint(vm % fleetZones), Origins: origins, LeaveZone: 15 * time.Millisecond,
	})
	e := w.engines[i]
	p.home = candidates[i].ID
	w.inflight[vm][i]++
	w.starts[vm%fleetZones]++
	w.turnsRun++
	e.served++
	if w.controllers != nil {
		w.controllers[vm].MarkActive(time.Hour+w.now, p.name)
	}
	if e.zone != vm%fleetZones {
		w.crossed++
	}
	sent := w.now
	start := func() {
		w.waits = append(w.waits, w.now-sent)
		if w.controllers != nil { // as observeFirstEvent in internal/proxy
			w.controllers[vm].Observe(time.Hour+w.now, 1+float64(w.now-sent)*w.fastest()/float64(fleetTurn))
		}
		w.run(p, n, vm, i)
	}
	if e.running < fleetSlots {
		start()
	} else {
		e.waiting = append(e.waiting, start)
	}
}

// run runs a turn that has a slot. The prompts that others begin to read meanwhile delay it.
func (w *fleetSim) run(p *fleetProgram, n, vm, i int) {
	e := w.engines[i]
	e.running++
	prompt := time.Duration(n-min(e.cached[p.name], n-1)) * fleetPrompt
	e.cached[p.name] = n
	e.promptTime += prompt
	seen := e.promptTime
	slow := (1 + 0.02*float64(e.running-1)) / e.speed
	var finish func()
	finish = func() {
		if delay := e.promptTime - seen; delay > 0 {
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
		w.measured[vm][i], w.measuredAt[vm][i] = slow*w.fastest(), w.now
		if w.controllers != nil {
			w.controllers[vm].Observe(time.Hour+w.now, slow*w.fastest())
		}
		e.slowness, e.measuredAt = slow*w.fastest(), w.now
		if n == p.turns {
			w.excess = append(w.excess, float64(w.now-p.begun)/float64(p.objective))
			return
		}
		pause := time.Duration(20+w.random.IntN(280)) * time.Millisecond
		p.pauses += pause
		p.objective += time.Duration(1.2 * float64(pause))
		w.after(pause, func() { w.turn(p, n+1) })
	}
	w.after(prompt+time.Duration(float64(fleetTurn)*(0.6+0.8*w.random.Float64())*slow), finish)
}

// simulate starts programs at load times the mean rate and runs until all have finished.
func (w *fleetSim) simulate(load func(now time.Duration) float64) {
	speed := 0.0
	for _, e := range w.engines {
		speed += e.speed
	}
	rate := fleetUse * speed * fleetSlots / (fleetTurn.Seconds() * fleetMeanTurn)
	for at := time.Duration(0); at < fleetLength; at += time.Duration(w.random.ExpFloat64() / (rate * load(at)) * float64(time.Second)) {
		p := &fleetProgram{name: fmt.Sprint("p", len(w.queue)), turns: 3 + w.random.IntN(9)}
		p.objective = time.Duration(1.2*float64(p.turns)*float64(fleetTurn+fleetPrompt)) + 200*time.Millisecond
		heap.Push(&w.queue, event{at, func() {
			p.begun, p.vm = w.now, w.random.IntN(w.vms)
			if w.vm != nil {
				p.vm = w.vm()
			}
			if w.admits != nil && !w.admits(w, p.vm) {
				w.refused++
				return
			}
			w.turn(p, 1)
		}})
	}
	for at := time.Duration(0); at < 2*fleetLength; at += fleetHistory {
		heap.Push(&w.queue, event{at, w.snapshot})
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
}

// inTime returns the share of programs that met their objective.
func (w *fleetSim) inTime() float64 {
	n := 0
	for _, x := range w.excess {
		if x <= 1 {
			n++
		}
	}
	return float64(n) / float64(len(w.excess))
}

// wait95 returns the 95th percentile of the turns' waits for a slot.
func (w *fleetSim) wait95() time.Duration {
	sort.Slice(w.waits, func(i, j int) bool { return w.waits[i] < w.waits[j] })
	return w.waits[len(w.waits)*95/100]
}

// steadyLoad and burstLoad are loads relative to the mean.
func steadyLoad(time.Duration) float64 { return 1 }

func burstLoad(now time.Duration) float64 {
	switch {
	case now > 5*time.Second && now < 7*time.Second:
		return 1.7
	case now > 12*time.Second && now < 13*time.Second:
		return 2.5
	}
	return 1
}

// leastTotal chooses the upstream with the lowest cost in the view, without regard to the other VMs that see the same view.
func leastTotal(candidates []Candidate, r Request) int {
	r.Origins = nil
	return Pick(candidates, r)
}

// twoRandom chooses the better of two upstreams of the zone.
func twoRandom(candidates []Candidate, r Request) int {
	r.Origins = nil
	var two []Candidate
	var index []int
	var local []int
	for i := range candidates {
		if candidates[i].Local {
			local = append(local, i)
		}
	}
	first := int(r.Draw * float64(len(local)))
	second := int(Weight(fmt.Sprint(r.Draw), "second") % uint64(len(local)))
	for i := range candidates {
		if i == local[first] || i == local[second] || candidates[i].ID == r.Home {
			two = append(two, candidates[i])
			index = append(index, i)
		}
	}
	return index[Pick(two, r)]
}

type trialVariant struct {
	name   string
	age    time.Duration
	choose policy
}

// trialRow simulates a variant with 7, 77 and 259 VMs and describes the results.
func trialRow(v trialVariant, speeds []float64, load func(time.Duration) float64, fleets []int) string {
	const seeds = 2
	line := fmt.Sprintf("| %s |", v.name)
	for _, vms := range fleets {
		inTime, wait, crossed, busiest := 0.0, 0.0, 0.0, 0.0
		for seed := range uint64(seeds) {
			w := newFleetSim(seed, vms, v.age, speeds, v.choose)
			w.simulate(load)
			inTime += w.inTime() / seeds
			wait += w.wait95().Seconds() * 1000 / seeds
			crossed += float64(w.crossed) / float64(w.turnsRun) / seeds
			most := 0
			for _, e := range w.engines {
				most = max(most, e.served)
			}
			busiest += float64(most) / float64(w.turnsRun) * fleetEngines / seeds
		}
		line += fmt.Sprintf(" %.3f, %.0f ms, %.2f, %.2f |", inTime, wait, crossed, busiest)
	}
	return line
}

// BenchmarkTrial_SharedLoad prints the table of docs/scheduling.md.
func BenchmarkTrial_SharedLoad(b *testing.B) {
	variants := []trialVariant{{"own load", 0, Pick}}
	for _, age := range []time.Duration{100, 300, 1000} {
		variants = append(variants, trialVariant{fmt.Sprintf("placed, %d ms", age), age * time.Millisecond, Pick})
	}
	variants = append(variants, trialVariant{"least total, 300 ms", 300 * time.Millisecond, leastTotal}, trialVariant{"best of two, 300 ms", 300 * time.Millisecond, twoRandom})
	for _, speeds := range [][]float64{{1}, {0.7, 0.7, 1.7}} {
		for i, load := range []func(time.Duration) float64{steadyLoad, burstLoad} {
			for _, v := range variants {
				b.Log("| ", speeds, []string{" steady", " bursts"}[i], " ", trialRow(v, speeds, load, []int{7, 77, 259}))
			}
		}
	}
}
