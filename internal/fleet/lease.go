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

// settle passes on what the lease's answers say about the other VMs.
func (f *Fleet) settle(now time.Duration) {
	s := f.holder.Settled()
	f.limiter.SetSettled(now, ratelimit.Settled{ZoneEpoch: s.ZoneEpoch, AgreedSplit: s.AgreedSplit})
}

// aliveView is which VMs may be given work.
type aliveView struct {
	zones map[string][]string
	names []string // of the zones with such VMs, sorted
	all   []string // without this VM
}

func (f *Fleet) noteAlive(changes []membership.Change) {
	if len(changes) > 0 {
		f.publishAlive()
	}
}

func (f *Fleet) publishAlive() {
	v := &aliveView{zones: map[string][]string{}}
	for _, vm := range f.known(f.view.Load().Epoch) {
		if _, ok := v.zones[vm.Zone]; ok {
			continue
		}
		names := f.tracker.UsableIn(vm.Zone)
		v.zones[vm.Zone] = names
		if len(names) > 0 {
			v.names = append(v.names, vm.Zone)
		}
		for _, name := range names {
			if name != f.opts.VM {
				v.all = append(v.all, name)
			}
		}
	}
	slices.Sort(v.names)
	f.alive.Store(v)
}

// Dispatchers returns the live VMs of a pool's zone, the pool's dispatcher first.
func (f *Fleet) Dispatchers(pool upstream.Pool) []string {
	return membership.Rank(pool.String(), f.alive.Load().zones[pool.Zone])
}

// Zones returns the zones with live VMs, sorted.
func (f *Fleet) Zones() []string { return f.alive.Load().names }

// VMs returns the other VMs that are alive.
func (f *Fleet) VMs() []string { return f.alive.Load().all }

// granter is the control VM that answered this VM's lease requests last.
type granter struct {
	vm       string
	answered uint64 // highest sequence of the requests that it answered
	asked    uint64 // sequence of the last request
}

// note takes an answer to a lease request; nil is ignored.
func (g *granter) note(from string, a *membership.RenewAnswer) {
	if a == nil || !a.Control || a.Sequence < g.answered {
		return
	}
	g.vm, g.answered = from, a.Sequence
}

// next returns the VMs that get a message to control: the one that answered the last request,
// or all as long as none did. A goodbye, which is not answered, goes to all. So in a large fleet a
// control VM that does not lead is spared the requests of all VMs.
func (g *granter) next(r *membership.RenewRequest, all []string) []string {
	if r == nil {
		return all
	}
	last := g.asked
	g.asked = r.Sequence
	if g.vm == "" || g.answered != last {
		return all
	}
	return []string{g.vm}
}
