package placement

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/control"
	"egretramp/internal/membership"
	"egretramp/internal/upstream/wire"
)

var (
	seeds     = flag.Int("seeds", 100, "number of random runs")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first random run")
)

const (
	testLoadTimeout = 4 * time.Second
	testMinChange   = 6 * time.Second
	testTransit     = 400 * time.Millisecond
	testLoads       = 2
	testEngines     = 8
)

// sim simulates two zones in virtual time: VMs with leases, the control group's state machine,
// engines, and dispatchers that honor drains. Messages are delayed, lost and repeated.
type sim struct {
	t         *testing.T
	r         *rand.Rand
	now       time.Duration
	logIndex  uint64
	ctrl      *control.Machine
	vms       []*testVM
	engines   map[string]*testEngine
	scheduled []event
	restarts  bool // engines restart

	loads, unloads, takeovers, repeats int
}

type event struct {
	at  time.Duration
	run func()
}

type testVM struct {
	name, zone  string
	incarnation int64
	lease       time.Duration
	frozenUntil time.Duration // until then it does nothing
	grantedTo   int64         // incarnation to which the right was granted
	o           *Orderer
	trend       *Trend
	tick        uint64
	tickAt      time.Duration
	nextRight   time.Duration
	nextPlan    time.Duration
}

type testEngine struct {
	Engine
	zone           string
	ignoresFencing bool
	highestFencing uint64
	done           map[string]bool
	running        map[string]*execution // by order ID
	calls          map[string]int
	drainedUntil   map[string]time.Duration
	hiddenUntil    time.Duration // until then it is not listed
	lastChange     string        // ID of the last change of which it received an order
	lastChangeAt   time.Duration
}

type execution struct {
	fencing uint64
	kind    wire.OrderKind
	ends    time.Duration
}

func newSimulation(t *testing.T, seed uint64) *sim {
	w := &sim{t: t, r: rand.New(rand.NewPCG(seed, 0)), now: time.Hour, ctrl: control.New(), engines: map[string]*testEngine{}}
	w.restarts = w.r.IntN(2) == 0
	file := fmt.Sprintf(`{"generation": 1, "schemes": [], "client_accounts": [], "services": [], "routes": [], "upstreams": [],
		"models": [{"id": "m0"}, {"id": "m1"}, {"id": "m2"}],
		"placement": {"enabled": true, "loads_under_way": %d, "loads_per_second": 1, "load_timeout_seconds": 4, "min_change_seconds": 6}}`, testLoads)
	w.propose(control.Command{ApplyConfig: &control.ApplyConfig{Text: file, Hash: control.HashText(file), Operator: "t"}})
	for i := range 4 {
		vm := &testVM{name: fmt.Sprint("v", i), zone: zoneOf(i)}
		w.vms = append(w.vms, vm)
		w.startVM(vm)
	}
	for i := range testEngines {
		name := fmt.Sprint("e", i)
		e := &testEngine{
			zone:           zoneOf(i),
			Engine:         Engine{Name: name, Incarnation: 1, Slots: 4, MaxModels: 1 + w.r.IntN(2), AllowedModels: []string{"m0", "m1", "m2"}},
			ignoresFencing: w.r.IntN(2) == 0, done: map[string]bool{}, running: map[string]*execution{}, calls: map[string]int{},
			drainedUntil: map[string]time.Duration{}, lastChangeAt: -time.Hour,
		}
		e.Serves = []string{"m0"}
		if i < 2 {
			e.Serves = []string{"m1"}
		}
		w.engines[name] = e
	}
	return w
}

// zoneOf alternates VMs and engines between the two zones.
func zoneOf(i int) string { return []string{"y", "z"}[i%2] }

func (w *sim) propose(c control.Command) control.Result {
	data, err := c.Encode()
	require.NoError(w.t, err)
	w.logIndex++
	result, err := control.DecodeResult(w.ctrl.Apply(w.logIndex, data))
	require.NoError(w.t, err)
	return result
}

// startVM starts a VM under a new incarnation and without its former state.
func (w *sim) startVM(vm *testVM) {
	vm.incarnation++
	vm.o, vm.trend, vm.tick = NewOrderer(), NewTrend(), 0
	vm.o.SetSettings(Settings{LoadTimeout: testLoadTimeout, MinChange: testMinChange})
	w.propose(control.Command{RegisterVM: &control.RegisterVM{VM: vm.name, Zone: vm.zone, Incarnation: vm.incarnation}})
	vm.lease = w.now + membership.LeaseDuration
}

func (w *sim) after(d time.Duration, do func()) {
	w.scheduled = append(w.scheduled, event{w.now + d, do})
}

// dropsMessage reports whether a message is lost.
func (w *sim) dropsMessage() bool { return w.r.IntN(8) == 0 }

func (w *sim) delay() time.Duration { return time.Duration(w.r.Int64N(int64(testTransit))) }

func (w *sim) step() {
	w.now += time.Duration(20+w.r.IntN(150)) * time.Millisecond
	due := slices.DeleteFunc(slices.Clone(w.scheduled), func(e event) bool { return e.at > w.now })
	w.scheduled = slices.DeleteFunc(w.scheduled, func(e event) bool { return e.at <= w.now })
	for _, e := range due {
		e.run()
	}
	w.stepEngines()
	for _, vm := range w.vms {
		w.stepVM(vm)
	}
	w.checkLoads()
}

func (w *sim) stepVM(vm *testVM) {
	if vm.lease+membership.WithClockMargin(0) < w.now && w.member(vm) {
		w.propose(control.Command{RemoveVM: &control.RemoveVM{VM: vm.name, Incarnation: vm.incarnation}})
	}
	switch {
	case w.now < vm.frozenUntil:
		return
	case w.r.IntN(600) == 0:
		vm.frozenUntil = w.now + time.Duration(w.r.IntN(12000))*time.Millisecond
		return
	case w.r.IntN(1500) == 0:
		w.startVM(vm) // restart after a crash
		return
	}
	// After a freeze, due orders are tried with the old lease; the check before sending must stop them.
	w.runActions(vm)
	if !w.member(vm) {
		o, trend := vm.o, vm.trend
		w.startVM(vm)
		vm.o, vm.trend = o, trend // the process continues under a new incarnation
	}
	vm.lease = w.now + membership.LeaseDuration
	w.maintainRight(vm)
}

func (w *sim) member(vm *testVM) bool {
	for _, m := range w.ctrl.View().Members.VMs {
		if m.VM == vm.name && m.Incarnation == vm.incarnation {
			return true
		}
	}
	return false
}

func (w *sim) current(vm *testVM) bool { return w.now < vm.lease && vm.grantedTo == vm.incarnation }

func (w *sim) maintainRight(vm *testVM) {
	if vm.o.Right() != nil && vm.grantedTo != vm.incarnation {
		vm.o.SetRight(w.now, nil)
	}
	if vm.o.Right() != nil || w.now < vm.nextRight {
		return
	}
	vm.nextRight = w.now + time.Second
	result := w.propose(control.Command{AcquireOrderRight: &control.AcquireOrderRight{Zone: vm.zone, VM: vm.name, Incarnation: vm.incarnation}})
	if result.OrderRight == nil || w.dropsMessage() {
		return
	}
	vm.grantedTo = vm.incarnation
	if !result.OrderRight.First {
		w.takeovers++
	}
	vm.o.SetRight(w.now, &Right{Number: result.OrderRight.Number, Since: w.now, First: result.OrderRight.First})
}

func (w *sim) runActions(vm *testVM) {
	if vm.o.Right() == nil {
		return
	}
	if w.now >= vm.nextPlan && w.current(vm) {
		vm.nextPlan = w.now + time.Duration(1+w.r.IntN(5))*time.Second
		w.plan(vm)
	}
	for _, a := range vm.o.Next(w.now) {
		switch a.Kind {
		case ActDrain:
			w.drain(vm, a)
		case ActPermit:
			w.requestPermit(vm, a)
		case ActReturnPermit:
			if !w.dropsMessage() {
				w.propose(control.Command{ReleaseLoadPermit: &control.ReleaseLoadPermit{ID: a.ID}})
			}
		case ActEndDrain:
			for _, m := range a.Models {
				delete(w.engines[a.Engine.Name].drainedUntil, m)
			}
		case ActSend:
			w.send(vm, a)
		}
	}
}

func (w *sim) plan(vm *testVM) {
	s := Snapshot{Zone: vm.zone, Models: []Model{{ID: "m0"}, {ID: "m1"}, {ID: "m2"}}, Zones: map[string]ZoneDemand{vm.zone: {}}, IdleFor: 1, MaxChanges: 4}
	var engines []Engine
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		f := w.engines[name]
		if f.zone != vm.zone || w.now < f.hiddenUntil {
			continue
		}
		e := f.Engine
		e.Serves = slices.Clone(e.Serves)
		e.Names = map[string]string{}
		for _, m := range e.Serves {
			e.Names[m] = m
			d := s.Zones[vm.zone][m]
			s.Zones[vm.zone][m] = d.add(Demand{Replicas: 1, Slots: e.Slots, Running: f.calls[m]})
		}
		engines = append(engines, e)
		e.Blocked = vm.o.Blocked(w.now, name)
		e.Serves = slices.DeleteFunc(slices.Clone(e.Serves), func(m string) bool { return slices.Contains(vm.o.Unloading(name), m) })
		s.Engines = append(s.Engines, e)
	}
	// PressedFor and IdleFor are bypassed: every change that the planner may make must be safe.
	s.Pressed, s.Idle = map[string]time.Duration{}, map[string]time.Duration{}
	for _, m := range s.Models {
		s.Pressed[m.ID], s.Idle[m.ID] = 0, time.Duration(w.r.IntN(2))
	}
	for m, n := range Spares(s) {
		d := s.Zones[vm.zone][m]
		s.Zones[vm.zone][m] = d.add(Demand{Spare: n, Waiting: w.r.IntN(40)})
	}
	vm.o.Observe(w.now, engines, RequiredModels(s))
	vm.trend.Observe(w.now, s.Models, s.Zones)
	s.MaxChanges = max(0, s.MaxChanges-len(vm.o.Orders()))
	vm.o.Start(w.now, MakePlan(s).Changes)
}

func (w *sim) drain(vm *testVM, a Action) {
	began, e := w.now, w.engines[a.Engine.Name]
	ok := !w.dropsMessage()
	calls := 0
	if ok {
		for _, m := range a.Models {
			e.drainedUntil[m] = w.now + DrainDuration
			calls += e.calls[m]
		}
	}
	o := vm.o
	w.after(w.delay(), func() { o.Drained(w.now, began, a.ID, calls, ok) })
}

func (w *sim) requestPermit(vm *testVM, a Action) {
	began, o, number := w.now, vm.o, vm.o.Right().Number
	take := &control.AcquireLoadPermit{ID: a.ID, Zone: vm.zone, Number: number, Tick: vm.tick}
	if vm.tick > 0 {
		take.ElapsedMS = (w.now - vm.tickAt).Milliseconds()
	}
	arrives := func() control.Result { return w.propose(control.Command{AcquireLoadPermit: take}) }
	if w.r.IntN(10) == 0 {
		w.after(10*w.delay(), func() { arrives() }) // a delayed duplicate
	}
	if w.dropsMessage() {
		w.after(w.delay(), func() { o.Permit(w.now, began, a.ID, -1) })
		return
	}
	w.after(w.delay(), func() {
		result := arrives()
		if result.Load == nil {
			o.Permit(w.now, began, a.ID, -1)
			return
		}
		granted := time.Duration(0)
		if result.Load.Granted {
			granted = time.Duration(result.Load.DurationMS) * time.Millisecond
		}
		if result.Load.Tick > vm.tick {
			vm.tick, vm.tickAt = result.Load.Tick, w.now
		}
		o.Permit(w.now, began, a.ID, granted)
	})
}

func (w *sim) send(vm *testVM, a Action) {
	o := vm.o
	if !w.current(vm) {
		o.Answered(w.now, a.ID, OutcomeUnknown)
		return
	}
	order, ok := o.Send(w.now, a.ID)
	if !ok {
		return
	}
	answer := func(outcome Outcome) {
		if w.dropsMessage() {
			outcome = OutcomeUnknown
		}
		w.after(w.delay(), func() { o.Answered(w.now, a.ID, outcome) })
	}
	if w.dropsMessage() {
		answer(OutcomeUnknown)
		return
	}
	incarnation := a.Engine.Incarnation
	w.after(w.delay(), func() { w.receive(a.Engine.Name, incarnation, order, answer) })
}

// receive handles an order at an engine.
func (w *sim) receive(name string, incarnation int64, o wire.Order, answer func(Outcome)) {
	e := w.engines[name]
	if e.Incarnation != incarnation {
		answer(OutcomeUnknown)
		return
	}
	if !e.ignoresFencing && o.Fencing < e.highestFencing {
		answer(OutcomeStale)
		return
	}
	require.GreaterOrEqual(w.t, o.Fencing, e.highestFencing, "an order with an old fencing number reached an engine that ignores fencing numbers")
	e.highestFencing = o.Fencing
	if e.done[o.ID] || e.running[o.ID] != nil {
		w.repeats++
		if e.done[o.ID] {
			answer(OutcomeDone)
		} else {
			answer(OutcomeUnknown)
		}
		return
	}
	for id, x := range e.running {
		require.Equal(w.t, o.Fencing, x.fencing, "orders of two orderers run on engine %s at once: %s during %s", name, o.ID, id)
	}
	w.recordChange(e, o)
	takes := time.Duration(w.r.Int64N(int64(testLoadTimeout)))
	if o.Kind == wire.OrderUnloadModel {
		w.checkUnload(e, o.Model)
		takes = 0
	}
	e.running[o.ID] = &execution{fencing: o.Fencing, kind: o.Kind, ends: w.now + takes}
	w.after(takes, func() { w.finish(e, incarnation, o, answer) })
}

// recordChange records a change of an engine and checks the time since the last one.
func (w *sim) recordChange(e *testEngine, o wire.Order) {
	change, _, _ := strings.Cut(o.ID, "-unload-")
	if change == e.lastChange {
		return
	}
	require.GreaterOrEqual(w.t, w.now-e.lastChangeAt, testMinChange-testTransit, "engine %s changed again before MinChange has passed", e.Name)
	e.lastChange, e.lastChangeAt = change, w.now
}

func (w *sim) checkUnload(e *testEngine, model string) {
	require.Zero(w.t, e.calls[model], "engine %s runs calls of model %s when it is unloaded", e.Name, model)
	w.unloads++
	if w.restarts || !slices.Contains(e.Serves, model) {
		return
	}
	others := 0
	for _, f := range w.engines {
		if f != e && f.zone == e.zone && slices.Contains(f.Serves, model) {
			others++
		}
	}
	require.Positive(w.t, others, "last replica of %s unloaded", model)
}

func (w *sim) finish(e *testEngine, incarnation int64, o wire.Order, answer func(Outcome)) {
	if e.Incarnation != incarnation {
		answer(OutcomeUnknown)
		return
	}
	delete(e.running, o.ID)
	if w.r.IntN(6) == 0 && o.Kind == wire.OrderLoadModel {
		answer(OutcomeFailed)
		return
	}
	e.done[o.ID] = true
	e.Serves = slices.DeleteFunc(slices.Clone(e.Serves), func(m string) bool { return m == o.Model })
	if o.Kind == wire.OrderLoadModel {
		w.loads++
		e.Serves = append(e.Serves, o.Model)
	}
	answer(OutcomeDone)
}

func (w *sim) stepEngines() {
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[name]
		if w.restarts && w.r.IntN(1500) == 0 {
			e.Incarnation++
			e.Serves, e.running, e.done = []string{"m0"}, map[string]*execution{}, map[string]bool{}
			e.calls, e.highestFencing = map[string]int{}, 0
			e.lastChangeAt, e.lastChange = -time.Hour, ""
		}
		if w.r.IntN(800) == 0 {
			e.hiddenUntil = w.now + time.Duration(w.r.IntN(5000))*time.Millisecond
		}
		for _, m := range e.Serves {
			if w.now >= e.drainedUntil[m] && e.calls[m] < 3 && w.r.IntN(4) == 0 {
				e.calls[m]++
			}
			if e.calls[m] > 0 && w.r.IntN(20) == 0 {
				e.calls[m]--
			}
		}
		e.Running = 0
		for _, n := range e.calls {
			e.Running += n
		}
	}
}

// checkLoads checks that the loads in progress don't exceed the configured maximum.
func (w *sim) checkLoads() {
	loading := 0
	for _, e := range w.engines {
		for _, x := range e.running {
			if x.kind == wire.OrderLoadModel {
				loading++
			}
		}
	}
	require.LessOrEqual(w.t, loading, testLoads, "too many loads in progress")
}

// TestOrderer_RandomRuns runs two zones with two VMs each that compete for the right to order their zone.
func TestOrderer_RandomRuns(t *testing.T) {
	var sum sim
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newSimulation(t, seed)
			for range 3000 {
				w.step()
			}
			sum.loads, sum.unloads = sum.loads+w.loads, sum.unloads+w.unloads
			sum.takeovers, sum.repeats = sum.takeovers+w.takeovers, sum.repeats+w.repeats
		})
	}
	t.Logf("loads %d, unloads %d, takeovers %d, repeats %d", sum.loads, sum.unloads, sum.takeovers, sum.repeats)
	require.Greater(t, sum.loads, *seeds, "too few loads to test anything")
	require.Greater(t, sum.unloads, *seeds, "too few unloads to test anything")
	require.Greater(t, sum.takeovers, *seeds, "too few takeovers of the right to test anything")
	require.Greater(t, sum.repeats, *seeds/4, "too few repeated orders to test anything")
}
