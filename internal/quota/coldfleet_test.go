package quota

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// coldLimitPerSecond is what a cold upstream takes from all VMs together. coldAllowed is the bound that is checked
	// for any second, without the slack of 5 requests that operators allow on top of it.
	coldLimitPerSecond = 25.0
	coldAllowed        = 1.5 * coldLimitPerSecond
	coldStep           = 2 * time.Millisecond
	// coldPatience is how long a request waits for a permit.
	coldPatience = 60 * time.Millisecond
)

// coldFleet simulates entry VMs, coordinators and cold upstreams in virtual time. Messages take time, and both VMs and
// links fail.
type coldFleet struct {
	now          time.Duration
	random       *rand.Rand
	processes    []string
	coordinators []*UpstreamCoordinator // the last one is the present one
	vms          []*coldVM
	sent         map[string][]time.Duration
	refused      int
	delay        time.Duration // of a message
}

type coldVM struct {
	name            string
	holder          *Holder
	table           *LimitTable
	reported, epoch uint64
	version         uint64
	cut             bool          // partitioned from the coordinator
	loses           bool          // answers of the coordinator are lost
	frozen          time.Duration // suspended until then
	behind          int           // how many coordinators its own one is behind the present one
	round           *coldRound
	nextRound       time.Duration
	waiting         map[string][]time.Duration // by process, until when requests wait
}

type coldRound struct {
	sentAt, arrivesAt, answeredAt time.Duration
	request                       UpstreamRequest
	reported                      uint64
	grant                         *UpstreamGrant
}

func newColdFleet(seed uint64, vms, processes int) *coldFleet {
	f := &coldFleet{random: rand.New(rand.NewPCG(seed, 9)), sent: map[string][]time.Duration{}, delay: 2 * time.Millisecond, now: time.Minute}
	for i := range processes {
		f.processes = append(f.processes, fmt.Sprintf("u%d@1", i))
	}
	f.replaceCoordinator()
	for i := range vms {
		f.vms = append(f.vms, f.newVM(fmt.Sprintf("10.0.0.%d:7780", i)))
	}
	f.run(time.Second, 0) // all VMs are in contact
	return f
}

func (f *coldFleet) newVM(name string) *coldVM {
	vm := &coldVM{
		name: name, holder: NewUpstreamHolder(), table: NewLimitTable(), waiting: map[string][]time.Duration{},
		nextRound: f.now + time.Duration(f.random.IntN(200))*time.Millisecond,
	}
	vm.holder.SetName(name)
	return vm
}

func (f *coldFleet) replaceCoordinator() {
	f.coordinators = append(f.coordinators, NewUpstreamCoordinator(f.now, uint64(len(f.coordinators)+1)))
}

// setCold makes all VMs learn that all processes are cold for d.
func (f *coldFleet) setCold(d time.Duration, sequence int64) {
	for _, vm := range f.vms {
		for _, process := range f.processes {
			vm.table.SetCold(f.now, process, ColdState{PerSecond: coldLimitPerSecond, Until: f.now + d, Sequence: sequence, StatedAt: f.now})
		}
	}
}

func (f *coldFleet) startRound(vm *coldVM) {
	if vm.round != nil {
		return
	}
	waiting := map[string]int{}
	for process, until := range vm.waiting {
		waiting[process] = len(until)
	}
	limits, reported := vm.table.Since(f.now, vm.reported)
	vm.round = &coldRound{
		sentAt: f.now, arrivesAt: f.now + f.delay, answeredAt: f.now + 2*f.delay, reported: reported,
		request: UpstreamRequest{
			Wants: vm.holder.UpstreamWants(f.now, waiting, vm.table.Rates(f.now)), Limits: limits,
			Cold: vm.table.ColdSince(f.now, vm.reported), Epoch: vm.epoch, Version: vm.version,
		},
	}
	vm.nextRound = f.now + 200*time.Millisecond
}

// progress carries a VM's messages and wakes the requests that wait for them.
func (f *coldFleet) progress(vm *coldVM) {
	r := vm.round
	if r != nil && r.grant == nil && !vm.cut && f.now >= r.arrivesAt {
		coordinator := f.coordinators[max(len(f.coordinators)-1-vm.behind, 0)]
		grant := coordinator.Grant(f.now, vm.name, r.request, len(f.vms))
		r.grant = &grant
	}
	if f.now < vm.frozen {
		return
	}
	switch {
	case r == nil:
		if f.now >= vm.nextRound {
			f.startRound(vm)
		}
	case r.grant != nil && f.now >= r.answeredAt && !vm.loses:
		f.applyGrant(vm, r)
		f.wake(vm)
	case f.now-r.sentAt > 300*time.Millisecond:
		vm.round = nil
	}
}

func (f *coldFleet) applyGrant(vm *coldVM, r *coldRound) {
	vm.round = nil
	vm.holder.UseColdShare(!r.grant.GrantsCold)
	vm.holder.ApplyGrantTo(f.now, r.sentAt, Grant{Permits: r.grant.Permits, Waits: r.grant.Waits, Levels: r.grant.Levels, Holders: len(f.vms)})
	vm.reported = r.reported
	if vm.epoch != r.grant.Epoch {
		vm.epoch, vm.reported = r.grant.Epoch, 0
	}
	vm.table.Merge(f.now, r.grant.Limits)
	vm.table.MergeCold(f.now, r.grant.Cold)
	vm.version = r.grant.Version
}

// wake lets the requests that wait try again.
func (f *coldFleet) wake(vm *coldVM) {
	for process, until := range vm.waiting {
		var left []time.Duration
		for _, t := range until {
			limit, limited := vm.table.Rate(f.now, process)
			switch {
			case !limited || vm.holder.Take(f.now, process, limit):
				f.send(process)
			case f.now > t:
				f.refused++
			default:
				left = append(left, t)
			}
		}
		vm.waiting[process] = left
	}
}

func (f *coldFleet) send(process string) { f.sent[process] = append(f.sent[process], f.now) }

// request simulates a caller's request at a VM for a process.
func (f *coldFleet) request(vm *coldVM, process string) {
	if f.now < vm.frozen {
		return
	}
	limit, limited := vm.table.Rate(f.now, process)
	switch {
	case !limited || vm.holder.Take(f.now, process, limit):
		f.send(process)
	case vm.holder.UsesShare(f.now, limit) || !vm.holder.Room(f.now, process, limit).Free:
		f.refused++
	default:
		vm.waiting[process] = append(vm.waiting[process], f.now+coldPatience)
		f.startRound(vm)
	}
}

// run lets d pass while demand requests a second arrive for each process.
func (f *coldFleet) run(d time.Duration, demand float64) {
	for end := f.now + d; f.now < end; f.now += coldStep {
		for _, process := range f.processes {
			for n := demand * coldStep.Seconds(); n > 0; n-- {
				if n >= 1 || f.random.Float64() < n {
					f.request(f.vms[f.random.IntN(len(f.vms))], process)
				}
			}
		}
		for _, vm := range f.vms {
			f.progress(vm)
		}
	}
}

// most returns the largest number of requests that a process got in a second.
func (f *coldFleet) most() int {
	most := 0
	for _, at := range f.sent {
		from := 0
		for i := range at {
			for at[i]-at[from] >= time.Second {
				from++
			}
			most = max(most, i-from+1)
		}
	}
	return most
}

// forget drops what was sent up to now.
func (f *coldFleet) forget() { f.sent = map[string][]time.Duration{} }
