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
	split       uint64
	deny        DenyVersion
	vms         map[string]*member
	joining     map[string]VM
	agreedSplit uint64
	zoneEpochs  map[string]uint64 // settled, by zone
	// departed is when a VM of a zone was last found to have stopped. Up to then it may have
	// renewed the lease of another VM of the zone.
	departed map[string]time.Duration
}

type member struct {
	zone        string
	incarnation uint64
	heard       time.Duration // last grant or report by a sponsor
	everHeard   bool
	admitted    time.Duration // when Tick first saw the member; it has that long to be heard
	seen        bool          // admitted is set
	sponsored   bool          // what was heard last came through a sponsor
	epoch       uint64
	split       uint64
	gone        bool                     // said goodbye
	denied      uint64                   // sequence of the deny list since which it is on it; 0: it is not
	promises    map[string]time.Duration // when other VMs were heard to keep to that list
	removing    bool                     // Removable returned it
}

// NewGrantor returns a grantor for a leader elected at now in a term. SetView follows before
// the first request.
func NewGrantor(now time.Duration, term uint64, cutoffLimit time.Duration) *Grantor {
	return &Grantor{
		elected:     now,
		cutoffLimit: cutoffLimit,
		deny:        DenyVersion{Term: term},
		vms:         map[string]*member{},
		joining:     map[string]VM{},
		zoneEpochs:  map[string]uint64{},
		departed:    map[string]time.Duration{},
	}
}

// SetView takes a state of the control log that the leader applied: the membership epoch, the
// generation of the configuration, and the number of the split of the buckets. agreedSplit is
// the last split that the log records as agreed.
func (g *Grantor) SetView(e Epoch, generation, split, agreedSplit uint64) {
	if e.Number < g.epoch.Number {
		return
	}
	g.epoch = e
	g.generation = max(g.generation, generation)
	g.split = max(g.split, split)
	g.agreedSplit = max(g.agreedSplit, agreedSplit)
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
	a := RenewAnswer{
		VM: r.VM, Incarnation: r.Incarnation, Sequence: r.Sequence,
		Granted: granted, Control: true,
		Epoch: g.epoch.Number, Generation: g.generation,
	}
	if deny := g.denyList(r.Zone); r.Deny.Less(deny.Version) {
		a.Deny = deny
	}
	if settled := g.learnSettled(r.Zone, r.Settled); settled != r.Settled {
		a.Settled = settled
	}
	return a
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
		g.restarted(c, v)
	}
	if sponsored && v.everHeard && !v.sponsored && now-v.heard < RenewInterval {
		return true // its own words are fresher
	}
	v.heard, v.everHeard, v.sponsored = now, true, sponsored
	v.epoch = max(v.epoch, c.Epoch)
	v.split = max(v.split, c.Split)
	g.lift(v)
	g.takePromise(now, c)
	return true
}

// restarted forgets what an earlier incarnation confirmed: the new one may act under less
// until it has learned it, if another VM of its zone renews its lease.
func (g *Grantor) restarted(c Confirmed, v *member) {
	v.incarnation = c.Incarnation
	v.gone = false
	v.epoch = 0
	v.split = 0
	for _, other := range g.vms {
		delete(other.promises, c.VM)
	}
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
		if !v.seen {
			v.admitted, v.seen = now, true
		}
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
	for _, v := range g.vms {
		if v.gone {
			g.depart(now, v)
		}
	}
	// All are judged before any departs, because a departure makes the others wait.
	var stopped []*member
	for name, v := range g.vms {
		if g.stopped(now, name, v) {
			stopped = append(stopped, v)
		}
	}
	for _, v := range stopped {
		g.depart(now, v)
	}
	var names []string
	for name, v := range g.vms {
		if v.removing {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (g *Grantor) depart(now time.Duration, v *member) {
	if !v.removing {
		v.removing = true
		g.departed[v.zone] = now
	}
}

// RemovalFailed says that the removal of a VM will surely not be committed.
func (g *Grantor) RemovalFailed(vm string) {
	if v := g.vms[vm]; v != nil {
		v.removing = false
	}
}

// stopped reports whether a VM's lease surely ran out with nobody left to renew it.
func (g *Grantor) stopped(now time.Duration, name string, v *member) bool {
	if v.denied == 0 || v.removing || !v.seen {
		return false
	}
	last := max(g.lastHeard(v), g.elected, g.departed[v.zone])
	wait := SurelyOver(LeaseDuration)
	for other, o := range g.vms {
		if other == name || o.zone != v.zone || o.removing {
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
			if t.zone != v.zone || t.denied != 0 || t.removing {
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
		return max(g.elected, v.admitted)
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

// learnSettled takes the facts that a VM knows of and computes the ones that hold now. A VM
// not heard since the election counts as having confirmed nothing.
func (g *Grantor) learnSettled(zone string, known Settled) Settled {
	epoch := g.epoch.Number
	agreed := true
	for _, v := range g.vms {
		if v.zone == zone {
			epoch = min(epoch, v.epoch)
		}
		agreed = agreed && v.split == g.split
	}
	if agreed {
		g.agreedSplit = g.split
	}
	g.agreedSplit = max(g.agreedSplit, known.AgreedSplit)
	g.zoneEpochs[zone] = max(g.zoneEpochs[zone], epoch, known.ZoneEpoch)
	return Settled{ZoneEpoch: g.zoneEpochs[zone], AgreedSplit: g.agreedSplit}
}

// AgreedSplit returns the last split under which all VMs acted at one moment. The host
// records it in the control log when it grows, so that no restart forgets it.
func (g *Grantor) AgreedSplit() uint64 {
	return g.agreedSplit
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

// MemberStatus is what a grantor holds of a VM, for the state dump.
type MemberStatus struct {
	Incarnation uint64        `json:"incarnation"`
	Heard       time.Duration `json:"heard"` // time since boot of the leader's VM
	Epoch       uint64        `json:"epoch"` // confirmed
	Split       uint64        `json:"split"` // confirmed
	Denied      bool          `json:"denied"`
	Promised    int           `json:"promised"` // by how many VMs
	Removing    bool          `json:"removing"`
}

// Status returns the state of all VMs by name.
func (g *Grantor) Status() map[string]MemberStatus {
	all := make(map[string]MemberStatus, len(g.vms))
	for name, v := range g.vms {
		all[name] = MemberStatus{
			Incarnation: v.incarnation, Heard: v.heard, Epoch: v.epoch, Split: v.split,
			Denied: v.denied != 0, Promised: len(v.promises), Removing: v.removing,
		}
	}
	return all
}
