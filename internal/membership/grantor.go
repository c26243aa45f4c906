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
	elected       time.Duration
	cutoffLimit   time.Duration
	epoch         Epoch
	generation    uint64
	splitNumber   uint64
	denyVersion   DenyVersion
	members       map[string]*member
	joining       map[string]VM
	agreedSplit   uint64
	settledEpochs map[string]uint64 // settled, by zone
	// lastDeparture is when a VM of a zone was last found to have stopped. Up to then it may have
	// renewed the lease of another VM of the zone.
	lastDeparture map[string]time.Duration
}

type member struct {
	zone          string
	incarnation   uint64
	lastContact   time.Duration // last grant or report by a sponsor
	contacted     bool
	firstTick     time.Duration // when Tick first saw the member; it has that long to be heard
	ticked        bool          // admitted is set
	viaSponsor    bool          // what was heard last came through a sponsor
	epoch         uint64
	split         uint64
	left          bool                     // said goodbye
	deniedSince   uint64                   // sequence of the deny list since which it is on it; 0: it is not
	denyConfirmed map[string]time.Duration // when other VMs were heard to keep to that list
	removing      bool                     // Removable returned it
}

// NewGrantor returns a grantor for a leader elected at now in a term. SetView follows before
// the first request.
func NewGrantor(now time.Duration, term uint64, cutoffLimit time.Duration) *Grantor {
	return &Grantor{
		elected:       now,
		cutoffLimit:   cutoffLimit,
		denyVersion:   DenyVersion{Term: term},
		members:       map[string]*member{},
		joining:       map[string]VM{},
		settledEpochs: map[string]uint64{},
		lastDeparture: map[string]time.Duration{},
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
	g.splitNumber = max(g.splitNumber, split)
	g.agreedSplit = max(g.agreedSplit, agreedSplit)
	members := map[string]bool{}
	for _, vm := range e.VMs {
		members[vm.Name] = true
		delete(g.joining, vm.Name)
		if g.members[vm.Name] == nil {
			g.members[vm.Name] = &member{zone: vm.Zone}
		}
	}
	for name := range g.members {
		if !members[name] {
			delete(g.members, name)
			g.denyVersion.Sequence++
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
	granted := g.recordContact(now, r.Confirmed, false)
	if granted {
		for _, c := range r.Sponsored {
			g.recordContact(now, c, true)
		}
	} else if g.members[r.VM] == nil {
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
	if settled := g.updateSettled(r.Zone, r.Settled); settled != r.Settled {
		a.Settled = settled
	}
	return a
}

// recordContact takes what a VM confirmed, and reports whether it may have a lease.
func (g *Grantor) recordContact(now time.Duration, c Confirmed, sponsored bool) bool {
	v := g.members[c.VM]
	switch {
	case v == nil, c.Incarnation < v.incarnation:
		return false
	case v.removing:
		// The removal may be committed already; a lease now would outlive it.
		return false
	case v.left && c.Incarnation == v.incarnation:
		return false
	}
	if c.Incarnation > v.incarnation {
		g.resetConfirmed(c, v)
	}
	if sponsored && v.contacted && !v.viaSponsor && now-v.lastContact < RenewInterval {
		return true // its own words are fresher
	}
	v.lastContact, v.contacted, v.viaSponsor = now, true, sponsored
	v.epoch = max(v.epoch, c.Epoch)
	v.split = max(v.split, c.Split)
	g.removeDenial(v)
	g.recordDenyConfirmation(now, c)
	return true
}

// resetConfirmed forgets what an earlier incarnation confirmed: the new one may act under less
// until it has learned it, if another VM of its zone renews its lease.
func (g *Grantor) resetConfirmed(c Confirmed, v *member) {
	v.incarnation = c.Incarnation
	v.left = false
	v.epoch = 0
	v.split = 0
	for _, other := range g.members {
		delete(other.denyConfirmed, c.VM)
	}
}

// removeDenial takes a VM off the deny list.
func (g *Grantor) removeDenial(v *member) {
	if v.deniedSince == 0 {
		return
	}
	v.deniedSince = 0
	v.denyConfirmed = nil
	g.denyVersion.Sequence++
}

// recordDenyConfirmation notes which denied VMs of its zone the confirming VM renews no more.
func (g *Grantor) recordDenyConfirmation(now time.Duration, c Confirmed) {
	if c.Deny.Term != g.denyVersion.Term {
		return
	}
	for name, v := range g.members {
		if v.deniedSince == 0 || v.deniedSince > c.Deny.Sequence || name == c.VM || v.zone != g.members[c.VM].zone {
			continue
		}
		if _, known := v.denyConfirmed[c.VM]; !known {
			v.denyConfirmed[c.VM] = now
		}
	}
}

// Goodbye takes a VM's word that it has stopped.
func (g *Grantor) Goodbye(m Goodbye) {
	if v := g.members[m.VM]; v != nil && m.Incarnation >= v.incarnation {
		v.incarnation = m.Incarnation
		v.left = true
	}
}

// Tick denies renewals to the VMs that fell silent.
func (g *Grantor) Tick(now time.Duration) {
	changed := false
	for _, v := range g.members {
		if !v.ticked {
			v.firstTick, v.ticked = now, true
		}
		if v.deniedSince == 0 && !v.left && now-g.lastContactOf(v) >= FenceDelay {
			v.deniedSince = g.denyVersion.Sequence + 1
			v.denyConfirmed = map[string]time.Duration{}
			changed = true
		}
	}
	if changed {
		g.denyVersion.Sequence++
	}
	g.checkInvariants()
}

// Removable returns the VMs that have surely stopped, sorted. The host proposes their
// removal; from now on they get no lease until the epoch says otherwise or RemovalFailed.
func (g *Grantor) Removable(now time.Duration) []string {
	for _, v := range g.members {
		if v.left {
			g.markRemoving(now, v)
		}
	}
	// All are judged before any departs, because a departure makes the others wait.
	var stopped []*member
	for name, v := range g.members {
		if g.leaseExpired(now, name, v) {
			stopped = append(stopped, v)
		}
	}
	for _, v := range stopped {
		g.markRemoving(now, v)
	}
	var names []string
	for name, v := range g.members {
		if v.removing {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (g *Grantor) markRemoving(now time.Duration, v *member) {
	if !v.removing {
		v.removing = true
		g.lastDeparture[v.zone] = now
	}
}

// RemovalFailed says that the removal of a VM will surely not be committed.
func (g *Grantor) RemovalFailed(vm string) {
	if v := g.members[vm]; v != nil {
		v.removing = false
	}
}

// leaseExpired reports whether a VM's lease surely ran out with nobody left to renew it.
func (g *Grantor) leaseExpired(now time.Duration, name string, v *member) bool {
	if v.deniedSince == 0 || v.removing || !v.ticked {
		return false
	}
	last := max(g.lastContactOf(v), g.elected, g.lastDeparture[v.zone])
	wait := WithClockMargin(LeaseDuration)
	for other, o := range g.members {
		if other == name || o.zone != v.zone || o.removing {
			continue
		}
		if at, promised := v.denyConfirmed[other]; promised {
			last = max(last, at)
			continue
		}
		if o.deniedSince == 0 {
			return false // it may still renew the VM's lease
		}
		// Silent as well: the two may renew each other until the cutoff limit, counted from
		// the last moment at which a VM in contact could have renewed either.
		wait = WithClockMargin(g.cutoffLimit) + WithClockMargin(LeaseDuration)
		last = max(last, g.lastContactOf(o))
		for third, t := range g.members {
			if t.zone != v.zone || t.deniedSince != 0 || t.removing {
				continue
			}
			at, promised := o.denyConfirmed[third]
			if !promised {
				return false
			}
			last = max(last, at)
		}
	}
	return now-last > wait
}

func (g *Grantor) lastContactOf(v *member) time.Duration {
	if !v.contacted {
		return max(g.elected, v.firstTick)
	}
	return v.lastContact
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
	list := DenyList{Version: g.denyVersion}
	for name, v := range g.members {
		if v.deniedSince != 0 && v.zone == zone {
			list.VMs = append(list.VMs, name)
		}
	}
	sort.Strings(list.VMs)
	return list
}

// updateSettled takes the facts that a VM knows of and computes the ones that hold now. A VM
// not heard since the election counts as having confirmed nothing.
func (g *Grantor) updateSettled(zone string, known Settled) Settled {
	epoch := g.epoch.Number
	agreed := true
	for _, v := range g.members {
		if v.zone == zone {
			epoch = min(epoch, v.epoch)
		}
		agreed = agreed && v.split == g.splitNumber
	}
	if agreed {
		g.agreedSplit = g.splitNumber
	}
	g.agreedSplit = max(g.agreedSplit, known.AgreedSplit)
	g.settledEpochs[zone] = max(g.settledEpochs[zone], epoch, known.ZoneEpoch)
	return Settled{ZoneEpoch: g.settledEpochs[zone], AgreedSplit: g.agreedSplit}
}

// AgreedSplit returns the last split under which all VMs acted at one moment. The host
// records it in the control log when it grows, so that no restart forgets it.
func (g *Grantor) AgreedSplit() uint64 {
	return g.agreedSplit
}

func (g *Grantor) checkInvariants() {
	for name, v := range g.members {
		if v.deniedSince > g.denyVersion.Sequence {
			panic(fmt.Sprintf("membership: %s is denied by a list not yet made", name))
		}
		if v.deniedSince == 0 && len(v.denyConfirmed) > 0 {
			panic(fmt.Sprintf("membership: promises about %s, which is not denied", name))
		}
	}
}

// MemberStatus is what a grantor holds of a VM, for the state dump.
type MemberStatus struct {
	Incarnation       uint64        `json:"incarnation"`
	Heard             time.Duration `json:"heard"` // time since boot of the leader's VM
	Epoch             uint64        `json:"epoch"` // confirmed
	Split             uint64        `json:"split"` // confirmed
	Denied            bool          `json:"denied"`
	DenyConfirmations int           `json:"promised"` // by how many VMs
	Removing          bool          `json:"removing"`
}

// Status returns the state of all VMs by name.
func (g *Grantor) Status() map[string]MemberStatus {
	all := make(map[string]MemberStatus, len(g.members))
	for name, v := range g.members {
		all[name] = MemberStatus{
			Incarnation: v.incarnation, Heard: v.lastContact, Epoch: v.epoch, Split: v.split,
			Denied: v.deniedSince != 0, DenyConfirmations: len(v.denyConfirmed), Removing: v.removing,
		}
	}
	return all
}
