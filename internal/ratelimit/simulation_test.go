package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"egretramp/internal/membership"
)

// The simulation has VMs with a lease holder and a limiter each, a control leader with a grantor, and
// messages with delays, in virtual time. Only the control log and the network are fakes.
const (
	simTick     = 50 * time.Millisecond
	simCutoff   = 6 * time.Second
	maxClockPPM = 5000 // clock drift; the lease margin allows 10,000
)

type event struct {
	at    time.Duration
	order int
	vm    string // deferred while this VM is frozen; "" for none
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

type simVM struct {
	name, zone  string
	incarnation uint64
	offset      time.Duration
	ppm         int64
	frozenUntil time.Duration
	running     bool
	holder      *membership.Holder
	limiter     *Limiter
	view        View
	epoch       membership.Epoch
	generation  uint64
	freezeNext  time.Duration // how long it is frozen after its next lease request
}

type state struct {
	epoch      membership.Epoch
	generation uint64
	view       View
}

type dispatchRecord struct {
	at      time.Duration
	account string
}

type simulation struct {
	random      *rand.Rand
	now         time.Duration
	order       int
	queue       eventQueue
	vms         map[string]*simVM
	names       []string
	grantor     *membership.Grantor
	term        uint64
	leaderZone  string
	state       state
	cut         func(a, b string) bool // whether messages from a to b are dropped; control is "control"
	lossChance  float64
	delayChance float64 // probability that a message is delayed by up to 2 s
	stateChance float64 // probability per tick that a VM is sent the newest state
	dispatched  []dispatchRecord
	accepted    map[string]int
	refused     map[string][]time.Duration // times of refusals, rightly or wrongly, by account
	retryAfters []time.Duration
	requests    int
	queueWait   func() time.Duration
	// longFreezes limits the faults to freezes of VMs that outlast every lease.
	longFreezes bool
	caps        map[string][]capSample
}

// capSample is the largest rate and burst that any VM uses at a time.
type capSample struct {
	at          time.Duration
	rate, burst float64
}

func newSimulation(seed uint64, zones, perZone int, limits map[string]Limit) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), stateChance: 0.25, vms: map[string]*simVM{}, leaderZone: "z0", term: 1,
		cut:      func(a, b string) bool { return false },
		accepted: map[string]int{}, refused: map[string][]time.Duration{}, caps: map[string][]capSample{},
	}
	w.queueWait = func() time.Duration { return 0 }
	epoch := membership.Epoch{Number: 1}
	for z := range zones {
		for i := range perZone {
			vm := membership.VM{Name: fmt.Sprintf("vm%d%d", z, i), Zone: fmt.Sprintf("z%d", z)}
			epoch.VMs = append(epoch.VMs, vm)
			w.vms[vm.Name] = &simVM{
				name: vm.Name, zone: vm.Zone,
				offset: time.Duration(w.random.IntN(1000)) * time.Second,
				ppm:    int64(w.random.IntN(2*maxClockPPM+1)) - maxClockPPM,
			}
			w.names = append(w.names, vm.Name)
		}
	}
	w.state = state{epoch: epoch, generation: 1, view: View{Fleet: epoch, Limits: limits}}
	w.elect()
	for _, name := range w.names {
		w.start(w.vms[name])
	}
	return w
}

func (w *simulation) elect() {
	w.term++
	w.grantor = membership.NewGrantor(w.now, w.term, simCutoff)
	w.grantor.SetView(w.state.epoch, w.state.generation, w.state.view.Split, w.state.view.AgreedSplit)
}

// commit applies an entry of the control log.
func (w *simulation) commit(epoch membership.Epoch, limits map[string]Limit, generation uint64) {
	v := w.state.view
	if SplitChanged(v.Fleet.Zones(), epoch.Zones(), v.Limits, limits) {
		v.Split++
	}
	v.Fleet, v.Limits = epoch, limits
	w.state = state{epoch: epoch, generation: generation, view: v}
	w.grantor.SetView(epoch, generation, v.Split, v.AgreedSplit)
}

func (w *simulation) start(vm *simVM) {
	vm.incarnation++
	vm.running = true
	now := vm.clock(w.now)
	vm.holder = membership.NewHolder(now, membership.HolderOptions{
		VM: vm.name, Zone: vm.zone, Incarnation: vm.incarnation, CutoffLimit: simCutoff,
	})
	vm.limiter = New(Options{VM: vm.name, Zone: vm.zone, Incarnation: vm.incarnation, Lease: vm.holder})
	vm.view, vm.epoch, vm.generation = View{}, membership.Epoch{}, 0
	w.tickVM(vm, vm.incarnation)
}

func (vm *simVM) clock(now time.Duration) time.Duration {
	return vm.offset + now + now*time.Duration(vm.ppm)/1_000_000
}

// at schedules a step; it is deferred while the VM is frozen and dropped if the VM restarted.
func (w *simulation) at(at time.Duration, vm *simVM, run func()) {
	w.order++
	e := event{at: at, order: w.order, run: run}
	if vm != nil {
		incarnation := vm.incarnation
		e.vm = vm.name
		e.run = func() {
			if vm.running && vm.incarnation == incarnation {
				run()
			}
		}
	}
	heap.Push(&w.queue, e)
}

func (w *simulation) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = max(w.now, e.at)
		if vm := w.vms[e.vm]; vm != nil && vm.frozenUntil > w.now {
			e.at = vm.frozenUntil
			heap.Push(&w.queue, e)
			continue
		}
		e.run()
	}
	w.now = until
}

// deliver delivers a message after a delay; it may drop, duplicate or delay it further.
func (w *simulation) deliver(from, to string, take func()) {
	copies := 1
	if w.random.Float64() < w.lossChance {
		copies = w.random.IntN(3)
	}
	for range copies {
		if w.cut(from, to) {
			continue
		}
		delay := 500*time.Microsecond + time.Duration(w.random.Int64N(int64(2500*time.Microsecond)))
		if w.random.Float64() < w.delayChance {
			delay = time.Duration(w.random.Int64N(int64(2 * time.Second)))
		}
		w.at(w.now+delay, w.vms[to], take)
	}
}

func (w *simulation) tickVM(vm *simVM, incarnation uint64) {
	if vm.incarnation != incarnation || !vm.running {
		return
	}
	now := vm.clock(w.now)
	sends := vm.holder.Tick(now)
	w.lease(vm, sends)
	if len(sends) > 0 && vm.freezeNext > 0 {
		// The VM processes the answer when it resumes.
		vm.frozenUntil = w.now + vm.freezeNext
		vm.freezeNext = 0
	}
	settled := vm.holder.Settled()
	vm.limiter.SetSettled(now, Settled(settled))
	w.applyEffects(vm, vm.limiter.Tick(now))
	w.fetchState(vm)
	w.at(w.now+simTick, vm, func() { w.tickVM(vm, incarnation) })
}

// fetchState schedules the delivery of the newest state from control and of a VM's state in the zone.
func (w *simulation) fetchState(vm *simVM) {
	if w.random.Float64() < w.stateChance {
		w.deliver("control", vm.name, func() { w.setView(vm, w.state) })
	}
	other := w.vms[w.names[w.random.IntN(len(w.names))]]
	if w.random.Float64() < w.stateChance && other.zone == vm.zone && other.running && other.epoch.Number > 0 && other.frozenUntil <= w.now {
		s := state{epoch: other.epoch, generation: other.generation, view: other.view}
		w.deliver(other.name, vm.name, func() { w.setView(vm, s) })
	}
}

func (w *simulation) setView(vm *simVM, s state) {
	if s.epoch.Number < vm.epoch.Number || s.generation < vm.generation {
		return
	}
	vm.epoch, vm.generation, vm.view = s.epoch, s.generation, s.view
	vm.limiter.SetView(vm.clock(w.now), s.view)
	vm.holder.SetView(s.epoch, s.generation, s.view.Split)
}

func (w *simulation) lease(vm *simVM, sends []membership.LeaseSend) {
	for _, s := range sends {
		if s.To == membership.ToControl {
			w.toControl(vm, s.LeaseMessage)
			continue
		}
		to := w.vms[s.To]
		w.deliver(vm.name, s.To, func() {
			w.lease(to, to.holder.Handle(to.clock(w.now), vm.name, s.LeaseMessage))
		})
	}
}

func (w *simulation) toControl(vm *simVM, m membership.LeaseMessage) {
	w.deliver(vm.name, "control", func() {
		if m.Goodbye != nil {
			w.grantor.Goodbye(*m.Goodbye)
			return
		}
		a := w.grantor.Renew(w.now, *m.Renew)
		w.deliver("control", vm.name, func() {
			vm.holder.Handle(vm.clock(w.now), "control", membership.LeaseMessage{Answer: &a})
		})
	})
}

// tickControl runs the leader: fencing, removals, joins, and recording agreed splits.
func (w *simulation) tickControl() {
	w.grantor.Tick(w.now)
	w.state.view.AgreedSplit = max(w.state.view.AgreedSplit, w.grantor.AgreedSplit())
	epoch := membership.Epoch{Number: w.state.epoch.Number + 1, VMs: w.grantor.Joining()}
	removed := w.grantor.Removable(w.now)
	for _, vm := range w.state.epoch.VMs {
		if !contains(removed, vm.Name) {
			epoch.VMs = append(epoch.VMs, vm)
		}
	}
	if len(removed) > 0 || len(w.grantor.Joining()) > 0 {
		w.commit(epoch, w.state.view.Limits, w.state.generation)
	}
	w.at(w.now+200*time.Millisecond, nil, w.tickControl)
}

func contains(names []string, name string) bool {
	i := sort.SearchStrings(names, name)
	return i < len(names) && names[i] == name
}

func (w *simulation) applyEffects(vm *simVM, e Effects) {
	for _, s := range e.Sends {
		if s.Reply != nil && s.Reply.Amount > 0 {
			w.recordLimitsInForce(vm)
		}
		to := w.vms[s.To]
		w.deliver(vm.name, s.To, func() {
			w.applyEffects(to, to.limiter.Handle(to.clock(w.now), vm.name, s.Message))
		})
	}
	for _, d := range e.Decisions {
		account := accountOf(d.Request)
		if !d.Granted {
			w.refused[account] = append(w.refused[account], w.now)
			w.retryAfters = append(w.retryAfters, d.RetryAfter)
			continue
		}
		w.accepted[account]++
		w.recordLimitsInForce(vm)
		w.at(w.now+w.queueWait(), vm, func() { w.dispatch(vm, account, d.Request) })
	}
}

// dispatch spends a request's token and records that the upstream receives it, or draws again.
func (w *simulation) dispatch(vm *simVM, account, request string) {
	now := vm.clock(w.now)
	p := vm.limiter.permits[request]
	ok, e := vm.limiter.Dispatch(now, request, simCutoff)
	if ok {
		w.checkLenderCounts(vm, p)
	}
	w.applyEffects(vm, e)
	if ok {
		w.dispatched = append(w.dispatched, dispatchRecord{at: w.now, account: account})
		return
	}
	w.applyEffects(vm, vm.limiter.Redraw(now, account, request, simCutoff))
}

// checkLenderCounts asserts that the lenders of the tokens that were just spent still count the
// loans.
func (w *simulation) checkLenderCounts(vm *simVM, p *permit) {
	if !vm.holder.Valid(vm.clock(w.now)) {
		panic("a token was spent without a lease")
	}
	for _, part := range p.parts {
		c := part.credit
		lender := w.vms[c.lender]
		if lender == nil || !lender.running {
			continue
		}
		a := lender.limiter.accounts[p.account.id]
		if a == nil || a.share == nil || a.share.incarnation != c.loan.Incarnation {
			continue
		}
		a.share.advance(lender.clock(w.now))
		if a.share.loans[c.loan.Number] == nil && c.loan.Number <= a.share.lastLoan {
			panic(fmt.Sprintf("a token of loan %d was spent but %s no longer counts the loan", c.loan.Number, lender.name))
		}
	}
}

func (w *simulation) request(vm *simVM, account string) {
	w.requests++
	id := fmt.Sprintf("%s/%d", account, w.requests)
	w.at(w.now, vm, func() {
		w.applyEffects(vm, vm.limiter.Draw(vm.clock(w.now), account, id, simCutoff))
	})
}

func accountOf(request string) string {
	for i := range request {
		if request[i] == '/' {
			return request[:i]
		}
	}
	return request
}
