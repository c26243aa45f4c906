package fleet

import (
	"slices"
	"time"

	"egretramp/internal/membership"
	"egretramp/internal/ratelimit"
	"egretramp/internal/upstream"
)

// leaseView is this VM's lease as traffic goroutines check it at the moment of acting.
type leaseView struct {
	until   time.Duration // time since boot
	contact time.Duration // the zone's last contact with control, time since boot
	valid   bool          // no newer epoch or configuration is waited for
}

func (f *Fleet) publishLease(now time.Duration) {
	s := f.holder.Status(now)
	f.lease.Store(&leaseView{
		until:   now + s.Left,
		contact: now - s.ContactAge,
		valid:   s.Valid,
	})
}

// Current reports whether this VM may serve keyed work now: its lease holds, and its zone heard
// control within limit.
func (f *Fleet) Current(limit time.Duration) bool {
	l := f.lease.Load()
	now := f.opts.Clock()
	return l.valid && now < l.until && now-l.contact <= limit
}

// updateSettled passes on what the lease's answers say about the other VMs.
func (f *Fleet) updateSettled(now time.Duration) {
	s := f.holder.Settled()
	f.limiter.SetSettled(now, ratelimit.Settled{ZoneEpoch: s.ZoneEpoch, AgreedSplit: s.AgreedSplit})
}

// aliveView is which VMs may be given work.
type aliveView struct {
	zones     map[string][]string
	zoneNames []string // of the zones with such VMs, sorted
	others    []string // without this VM
}

func (f *Fleet) handleLivenessChanges(changes []membership.Change) {
	if len(changes) > 0 {
		f.publishAlive()
	}
}

func (f *Fleet) publishAlive() {
	v := &aliveView{zones: map[string][]string{}}
	for _, vm := range f.trackedVMs(f.view.Load().Epoch) {
		if _, ok := v.zones[vm.Zone]; ok {
			continue
		}
		names := f.tracker.UsableIn(vm.Zone)
		v.zones[vm.Zone] = names
		if len(names) > 0 {
			v.zoneNames = append(v.zoneNames, vm.Zone)
		}
		for _, name := range names {
			if name != f.opts.VM {
				v.others = append(v.others, name)
			}
		}
	}
	slices.Sort(v.zoneNames)
	f.alive.Store(v)
}

// Dispatchers returns the live VMs of a pool's zone, the pool's dispatcher first.
func (f *Fleet) Dispatchers(pool upstream.Pool) []string {
	return membership.Rank(pool.String(), f.alive.Load().zones[pool.Zone])
}

// Zones returns the zones with live VMs, sorted.
func (f *Fleet) Zones() []string { return f.alive.Load().zoneNames }

// VMs returns the other VMs that are alive.
func (f *Fleet) VMs() []string { return f.alive.Load().others }

// ActingVMs returns the VMs that may act: those of the membership epoch, or those known at start
// as long as this VM knows no epoch.
func (f *Fleet) ActingVMs() []membership.VM {
	if vms := f.view.Load().Epoch.VMs; len(vms) > 0 {
		return vms
	}
	return f.opts.VMs
}

// leaseResponder is the control VM that answered this VM's lease requests last.
type leaseResponder struct {
	vm            string
	lastAnswered  uint64 // highest sequence of the requests that it answered
	lastRequested uint64 // sequence of the last request
}

// recordAnswer takes an answer to a lease request; nil is ignored.
func (l *leaseResponder) recordAnswer(from string, a *membership.RenewAnswer) {
	if a == nil || !a.Control || a.Sequence < l.lastAnswered {
		return
	}
	l.vm, l.lastAnswered = from, a.Sequence
}

// targets returns the VMs that get a message to control: the one that answered the last request,
// or all as long as none did. A goodbye, which is not answered, goes to all. So in a large fleet a
// control VM that does not lead is spared the requests of all VMs.
func (l *leaseResponder) targets(r *membership.RenewRequest, all []string) []string {
	if r == nil {
		return all
	}
	last := l.lastRequested
	l.lastRequested = r.Sequence
	if l.vm == "" || l.lastAnswered != last {
		return all
	}
	return []string{l.vm}
}
