package quota

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// poolFleet simulates entry VMs in zones, the coordinator and the pools of the control VMs in virtual time.
type poolFleet struct {
	now      time.Duration
	limits   map[string]Rate
	vms      []*poolVM
	controls []*poolControl
	leader   int         // index of the leading control VM, -1 for none
	apart    map[int]int // the side of a partition on which a zone is, by zone
	usesPool bool
	passed   map[string][]time.Duration
	waiting  []*waitingRequest
	refused  int
	// lateCalls are requests to pools that their senders have given up; they are processed later.
	lateCalls []lateCall
}

type poolVM struct {
	name   string
	zone   int
	holder *Holder
	frozen bool
	// failed is the time until which a control VM isn't asked again, by control VM.
	failed map[int]time.Duration
	// busyUntil is the time until which a call without a response is in progress.
	busyUntil time.Duration
	pool      int // the control VM that granted last, -1 for none
}

type poolControl struct {
	zone   int
	down   bool // ended
	frozen bool
	grants *Coordinator // while it leads
	pool   *Pool
}

type waitingRequest struct {
	vm      int
	account string
	since   time.Duration
}

type lateCall struct {
	control int
	request PoolRequest
}

func newPoolFleet(zones []int, limits map[string]Rate, usesPool bool) *poolFleet {
	f := &poolFleet{limits: limits, usesPool: usesPool, passed: map[string][]time.Duration{}, apart: map[int]int{}}
	for zone, n := range zones {
		for range 2 {
			f.controls = append(f.controls, &poolControl{zone: zone, pool: NewPool()})
		}
		for range n {
			name := fmt.Sprint("vm ", len(f.vms))
			f.vms = append(f.vms, &poolVM{name: name, zone: zone, holder: NewHolder(), failed: map[int]time.Duration{}, pool: -1})
		}
	}
	f.controls[0].grants = NewCoordinator(0)
	return f
}

func (f *poolFleet) rate(account string) (Rate, bool) {
	limit, ok := f.limits[account]
	return limit, ok
}

func (f *poolFleet) reaches(vm *poolVM, control int) bool {
	c := f.controls[control]
	return !vm.frozen && !c.down && !c.frozen && f.apart[vm.zone] == f.apart[c.zone]
}

func (f *poolFleet) waitingAt(vm int) map[string]int {
	counts := map[string]int{}
	for _, r := range f.waiting {
		if r.vm == vm {
			counts[r.account]++
		}
	}
	return counts
}

// exchange sends a VM's request for permits to the coordinator, and to a pool while the coordinator is lost.
func (f *poolFleet) exchange(i int) {
	vm := f.vms[i]
	if vm.frozen {
		return
	}
	if f.leader >= 0 && f.reaches(vm, f.leader) {
		wants, returns := vm.holder.Wants(f.now, f.waitingAt(i), f.rate)
		g := f.controls[f.leader].grants.Grant(f.now, Request{VM: vm.name, Wants: wants, Returns: returns}, len(f.vms), f.rate)
		vm.holder.ApplyGrant(f.now, g)
		return
	}
	if f.usesPool && vm.holder.Lost(f.now) && f.now >= vm.busyUntil {
		f.exchangePool(i)
	}
}

// exchangePool sends a request to the first control VM in the order of the zone that has not failed before.
func (f *poolFleet) exchangePool(i int) {
	vm := f.vms[i]
	for near := range 2 {
		for c := range f.controls {
			if (f.controls[c].zone == vm.zone) != (near == 0) || f.now < vm.failed[c] {
				continue
			}
			part, ok := vm.holder.Contribute(f.now)
			if !ok {
				return
			}
			wants, returns := vm.holder.Wants(f.now, f.waitingAt(i), f.rate)
			r := PoolRequest{VM: vm.name, Wants: wants, Returns: returns, ShareMicros: part.Share.Microseconds(), Holders: vm.holder.Holders()}
			if !f.reaches(vm, c) {
				vm.failed[c], vm.busyUntil = f.now+2*time.Second, f.now+100*time.Millisecond
				vm.holder.LeavePool()
				if f.controls[c].down {
					vm.holder.Withdraw(part)
				} else {
					f.lateCalls = append(f.lateCalls, lateCall{control: c, request: r})
				}
				return
			}
			vm.holder.ApplyPoolGrant(f.now, f.controls[c].pool.Grant(f.now, r, f.rate))
			vm.pool = c
			return
		}
	}
}

// deliverLate delivers requests to pools of control VMs that go on after they were frozen.
func (f *poolFleet) deliverLate() {
	kept := f.lateCalls[:0]
	for _, call := range f.lateCalls {
		c := f.controls[call.control]
		switch {
		case c.frozen:
			kept = append(kept, call)
		case !c.down:
			c.pool.Grant(f.now, call.request, f.rate)
		}
	}
	f.lateCalls = kept
}

func (f *poolFleet) take(vm int, account string) bool {
	if !f.vms[vm].holder.Take(f.now, account, f.limits[account]) {
		return false
	}
	f.passed[account] = append(f.passed[account], f.now)
	return true
}

// request simulates a request, which waits for a permit up to MaxPermitWait.
func (f *poolFleet) request(vm int, account string) {
	if f.vms[vm].frozen || f.take(vm, account) {
		return
	}
	r := &waitingRequest{vm: vm, account: account, since: f.now}
	f.waiting = append(f.waiting, r)
	f.exchange(vm)
	if f.take(vm, account) {
		f.waiting = f.waiting[:len(f.waiting)-1]
	}
}

// tick serves waiting requests, and makes the regular exchanges.
func (f *poolFleet) tick() {
	f.deliverLate()
	asked := map[int]bool{}
	kept := f.waiting[:0:0]
	for _, r := range f.waiting {
		if !asked[r.vm] && f.now%(20*time.Millisecond) == 0 {
			asked[r.vm] = true
			f.exchange(r.vm)
		}
		switch {
		case f.vms[r.vm].frozen: // the caller is lost
		case f.take(r.vm, r.account):
		case f.now-r.since >= MaxPermitWait:
			f.refused++
		default:
			kept = append(kept, r)
		}
	}
	f.waiting = kept
	for i := range f.vms {
		if (f.now+time.Duration(i)*step)%(200*time.Millisecond) == 0 {
			f.exchange(i)
		}
	}
	f.now += step
}

// elect makes a control VM the leader; -1 for none.
func (f *poolFleet) elect(control int) {
	f.leader = control
	if control >= 0 {
		f.controls[control].grants = NewCoordinator(f.now)
	}
}

// disturb changes the state of the fleet at random.
func (f *poolFleet) disturb(r *rand.Rand, zones int) {
	switch r.IntN(9) {
	case 0:
		f.elect(r.IntN(len(f.controls)))
	case 1:
		f.elect(-1)
	case 2, 3:
		f.apart[r.IntN(zones)] = r.IntN(zones)
	case 4:
		f.vms[r.IntN(len(f.vms))].frozen = true
	case 5:
		vm := f.vms[r.IntN(len(f.vms))]
		vm.holder, vm.failed, vm.frozen = NewHolder(), map[int]time.Duration{}, false // restarted
	case 6:
		f.endOrFreeze(r.IntN(len(f.controls)), r.IntN(2) == 0)
	case 7:
		for i, c := range f.controls {
			if i != f.leader && c.down {
				c.down, c.pool = false, NewPool()
			}
			c.frozen = false
		}
		for _, vm := range f.vms {
			vm.frozen = false
		}
	case 8:
		clear(f.apart)
		if f.leader < 0 {
			f.elect(r.IntN(len(f.controls)))
		}
	}
}

func (f *poolFleet) endOrFreeze(control int, ends bool) {
	c := f.controls[control]
	if ends {
		c.down = true
	} else {
		c.frozen = true
	}
	if f.leader == control && ends {
		f.elect(-1)
	}
}
