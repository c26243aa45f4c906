package fleet

import (
	"slices"
	"time"

	"egretramp/internal/membership"
	"egretramp/internal/ratelimit"
	"egretramp/internal/upstream"
)

// leaseView is the state of this VM's lease, published for the goroutines that serve requests,
// which check it at the moment of acting.
type leaseView struct {
	until   time.Duration // time since boot
	contact time.Duration // the zone's last contact with control, time since boot
	valid   bool          // not waiting for a newer epoch or configuration
}

func (f *Fleet) publishLease(now time.Duration) {
	s := f.holder.Status(now)
	f.lease.Store(&leaseView{
		until:   now + s.Left,
		contact: now - s.ContactAge,
		valid:   s.Valid,
	})
}

// Current reports whether this VM may serve keyed requests now: its lease is valid, and its zone's
// last contact with control is no longer ago than limit.
func (f *Fleet) Current(limit time.Duration) bool {
	l := f.lease.Load()
	now := f.opts.Clock()
	return l.valid && now < l.until && now-l.contact <= limit
}

// updateSettled passes to the limiter the state that the other VMs have confirmed, as known from the
// answers to lease requests.
func (f *Fleet) updateSettled(now time.Duration) {
	s := f.holder.Settled()
	f.limiter.SetSettled(now, ratelimit.Settled{ZoneEpoch: s.ZoneEpoch, AgreedSplit: s.AgreedSplit})
}

// aliveView lists the VMs that are alive and may receive work.
type aliveView struct {
	zones     map[string][]string
	zoneNames []string // zones with such VMs, sorted
	others    []string // all such VMs except this one
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

// Dispatchers returns the live VMs of a pool's zone by rank. The first is the pool's dispatcher.
func (f *Fleet) Dispatchers(pool upstream.Pool) []string {
	return membership.Rank(pool.String(), f.alive.Load().zones[pool.Zone])
}

// Zones returns the zones with live VMs, sorted.
func (f *Fleet) Zones() []string { return f.alive.Load().zoneNames }

// VMs returns the names of the live VMs except this one.
func (f *Fleet) VMs() []string { return f.alive.Load().others }

// ActingVMs returns the VMs that may act: those of the membership epoch, or those known at start
// until this VM has received an epoch.
func (f *Fleet) ActingVMs() []membership.VM {
	if vms := f.view.Load().Epoch.VMs; len(vms) > 0 {
		return vms
	}
	return f.opts.VMs
}

// leaseResponder is the control VM that last answered a lease request of this VM.
type leaseResponder struct {
	vm            string
	lastAnswered  uint64 // highest sequence that it answered
	lastRequested uint64 // sequence of the last request sent
}

// recordAnswer records the control VM that answered a lease request. Answers that are nil, late or not
// from a control VM are ignored.
func (l *leaseResponder) recordAnswer(from string, a *membership.RenewAnswer) {
	if a == nil || !a.Control || a.Sequence < l.lastAnswered {
		return
	}
	l.vm, l.lastAnswered = from, a.Sequence
}

// targets returns the VMs to send a message for control to: the one that answered the last request, or
// all if none did. A goodbye, which is not answered, is sent to all. This spares the control VMs that
// are not the leader the requests of all VMs of a large fleet.
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
