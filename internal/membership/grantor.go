package membership

import (
	"fmt"
	"sort"
	"time"
)

// Grantor runs with the leader of the control group: it grants leases, and says which VMs
// may be removed from the membership epoch.
//
// A VM may be removed once it has surely stopped. It has if it said goodbye, or if its last
// lease is over and nobody can have renewed it since: every other VM of its zone confirmed
// the deny list that names it, and a lease passed since the last of them did. If other VMs of
// the zone are silent too, they may renew each other's leases until the cutoff limit, so that
// time has to pass as well. A leader knows nothing of the grants before its election and
// counts them as made at that moment.
type Grantor struct {
	elected     time.Duration
	cutoffLimit time.Duration
	epoch       Epoch
	generation  uint64
	deny        DenyVersion
	vms         map[string]*member
	joining     map[string]VM
}

type member struct {
	zone        string
	incarnation uint64
	heard       time.Duration // last grant or report by a sponsor
	everHeard   bool
	sponsored   bool // what was heard last came through a sponsor
	epoch       uint64
	generation  uint64
	gone        bool                     // said goodbye
	denied      uint64                   // sequence of the deny list since which it is on it; 0: it is not
	promises    map[string]time.Duration // when other VMs were heard to keep to that list
	removing    bool                     // Removable returned it
}

// NewGrantor returns a grantor for a leader elected at now in a term.
func NewGrantor(now time.Duration, term uint64, epoch Epoch, generation uint64, cutoffLimit time.Duration) *Grantor {
	g := &Grantor{
		elected:     now,
		cutoffLimit: cutoffLimit,
		deny:        DenyVersion{Term: term},
		vms:         map[string]*member{},
		joining:     map[string]VM{},
	}
	g.SetEpoch(epoch)
	g.SetGeneration(generation)
	return g
}

// SetEpoch takes a membership epoch that the leader applied.
func (g *Grantor) SetEpoch(e Epoch) {
	if e.Number < g.epoch.Number {
		return
	}
	g.epoch = e
	members := map[string]bool{}
	for _, vm := range e.VMs {
		members[vm.Name] = true
		delete(g.joining, vm.Name)
		if g.vms[vm.Name] == nil {
			g.vms[vm.Name] = &member{zone: vm.Zone}
		}
	}
	for name := range g.vms {
		if !members[name] {
			delete(g.vms, name)
			g.deny.Sequence++
		}
	}
	g.checkInvariants()
}

// SetGeneration takes the generation of a configuration that the leader applied.
func (g *Grantor) SetGeneration(generation uint64) {
	g.generation = max(g.generation, generation)
}

// SetCutoffLimit sets the largest cutoff limit of all client accounts.
func (g *Grantor) SetCutoffLimit(limit time.Duration) {
	g.cutoffLimit = limit
}

// Renew decides on a request. The host has confirmed leadership since it received it, and
// sends the answer to the VM.
func (g *Grantor) Renew(now time.Duration, r RenewRequest) RenewAnswer {
	granted := g.hear(now, r.Confirmed, false)
	if granted {
		for _, c := range r.Sponsored {
			g.hear(now, c, true)
		}
	} else if g.vms[r.VM] == nil {
		g.joining[r.VM] = VM{Name: r.VM, Zone: r.Zone}
	}
	g.checkInvariants()
	return RenewAnswer{
		VM: r.VM, Incarnation: r.Incarnation, Sequence: r.Sequence,
		Granted: granted, Control: true,
		Epoch: g.epoch.Number, Generation: g.generation,
		Deny:    g.denyList(r.Zone),
		Settled: g.settled(r.Zone),
	}
}

// hear takes what a VM confirmed, and reports whether it may have a lease.
func (g *Grantor) hear(now time.Duration, c Confirmed, sponsored bool) bool {
	v := g.vms[c.VM]
	switch {
	case v == nil, c.Incarnation < v.incarnation:
		return false
	case v.removing:
		// The removal may be committed already; a lease now would outlive it.
		return false
	case v.gone && c.Incarnation == v.incarnation:
		return false
	}
	if c.Incarnation > v.incarnation {
		v.incarnation = c.Incarnation
		v.gone = false
		v.generation = 0
	}
	if sponsored && v.everHeard && !v.sponsored && now-v.heard < RenewInterval {
		return true // its own words are fresher
	}
	v.heard, v.everHeard, v.sponsored = now, true, sponsored
	v.epoch = max(v.epoch, c.Epoch)
	v.generation = max(v.generation, c.Generation)
	g.lift(v)
	g.takePromise(now, c)
	return true
}

// lift takes a VM off the deny list.
func (g *Grantor) lift(v *member) {
	if v.denied == 0 {
		return
	}
	v.denied = 0
	v.promises = nil
	g.deny.Sequence++
}

// takePromise notes which denied VMs of its zone the confirming VM renews no more.
func (g *Grantor) takePromise(now time.Duration, c Confirmed) {
	if c.Deny.Term != g.deny.Term {
		return
	}
	for name, v := range g.vms {
		if v.denied == 0 || v.denied > c.Deny.Sequence || name == c.VM || v.zone != g.vms[c.VM].zone {
			continue
		}
		if _, known := v.promises[c.VM]; !known {
			v.promises[c.VM] = now
		}
	}
}

// Goodbye takes a VM's word that it has stopped.
func (g *Grantor) Goodbye(m Goodbye) {
	if v := g.vms[m.VM]; v != nil && m.Incarnation >= v.incarnation {
		v.incarnation = m.Incarnation
		v.gone = true
	}
}

// Tick denies renewals to the VMs that fell silent.
func (g *Grantor) Tick(now time.Duration) {
	changed := false
	for _, v := range g.vms {
		if v.denied == 0 && !v.gone && now-g.lastHeard(v) >= FenceDelay {
			v.denied = g.deny.Sequence + 1
			v.promises = map[string]time.Duration{}
			changed = true
		}
	}
	if changed {
		g.deny.Sequence++
	}
	g.checkInvariants()
}

// Removable returns the VMs that have surely stopped, sorted. The host proposes their
// removal; from now on they get no lease until the epoch says otherwise or RemovalFailed.
func (g *Grantor) Removable(now time.Duration) []string {
	var names []string
	for name, v := range g.vms {
		if v.gone || g.stopped(now, name, v) {
			v.removing = true
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// RemovalFailed says that the removal of a VM will surely not be committed.
func (g *Grantor) RemovalFailed(vm string) {
	if v := g.vms[vm]; v != nil {
		v.removing = false
	}
}

// stopped reports whether a VM's lease surely ran out with nobody left to renew it.
func (g *Grantor) stopped(now time.Duration, name string, v *member) bool {
	if v.denied == 0 {
		return false
	}
	last := max(g.lastHeard(v), g.elected)
	wait := SurelyOver(LeaseDuration)
	for other, o := range g.vms {
		if other == name || o.zone != v.zone || o.gone {
			continue
		}
		if at, promised := v.promises[other]; promised {
			last = max(last, at)
			continue
		}
		if o.denied == 0 {
			return false // it may still renew the VM's lease
		}
		// Silent as well: the two may renew each other until the cutoff limit, counted from
		// the last moment at which a VM in contact could have renewed either.
		wait = SurelyOver(g.cutoffLimit) + SurelyOver(LeaseDuration)
		last = max(last, g.lastHeard(o))
		for third, t := range g.vms {
			if t.zone != v.zone || t.denied != 0 || t.gone {
				continue
			}
			at, promised := o.promises[third]
			if !promised {
				return false
			}
			last = max(last, at)
		}
	}
	return now-last > wait
}

func (g *Grantor) lastHeard(v *member) time.Duration {
	if !v.everHeard {
		return g.elected
	}
	return v.heard
}

// Joining returns the VMs that asked for a lease and are not members, sorted by name. The
// host proposes to add them.
func (g *Grantor) Joining() []VM {
	all := make([]VM, 0, len(g.joining))
	for _, vm := range g.joining {
		all = append(all, vm)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

func (g *Grantor) denyList(zone string) DenyList {
	list := DenyList{Version: g.deny}
	for name, v := range g.vms {
		if v.denied != 0 && v.zone == zone {
			list.VMs = append(list.VMs, name)
		}
	}
	sort.Strings(list.VMs)
	return list
}

// settled returns what all VMs have confirmed. A VM not heard since the election counts as
// having confirmed nothing.
func (g *Grantor) settled(zone string) Settled {
	s := Settled{ZoneEpoch: g.epoch.Number, FleetEpoch: g.epoch.Number, FleetGeneration: g.generation}
	for _, v := range g.vms {
		s.FleetEpoch = min(s.FleetEpoch, v.epoch)
		s.FleetGeneration = min(s.FleetGeneration, v.generation)
		if v.zone == zone {
			s.ZoneEpoch = min(s.ZoneEpoch, v.epoch)
		}
	}
	return s
}

func (g *Grantor) checkInvariants() {
	for name, v := range g.vms {
		if v.denied > g.deny.Sequence {
			panic(fmt.Sprintf("membership: %s is denied by a list not yet made", name))
		}
		if v.denied == 0 && len(v.promises) > 0 {
			panic(fmt.Sprintf("membership: promises about %s, which is not denied", name))
		}
	}
}
