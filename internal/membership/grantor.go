package membership

import (
	"fmt"
	"sort"
	"time"
)

// Grantor runs on the leader of the control group. It grants leases, and determines which VMs may
// be removed from the membership epoch.
//
// A VM may be removed once it can't hold a valid lease: it sent a Goodbye, or its last lease
// expired and no VM can have renewed it since. The latter holds when every other VM of its zone
// confirmed a deny list with this VM, and the duration of a lease passed since the last
// confirmation. If other VMs of the zone are out of contact too, they may renew each other's
// leases until the cutoff limit, so that time has to pass as well. A leader has no record of
// grants before its election and assumes that they were made at that moment.
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
	settledEpochs map[string]uint64 // highest epoch that all VMs of a zone confirmed, by zone
	// lastDeparture is when a VM of a zone was last marked for removal, by zone. Until then it may
	// have renewed the lease of another VM of the zone.
	lastDeparture map[string]time.Duration
}

type member struct {
	zone          string
	incarnation   uint64
	lastContact   time.Duration // time of the last grant or report by a sponsor
	contacted     bool
	firstTick     time.Duration // first Tick as a member; FenceDelay counts from here before any contact
	ticked        bool          // firstTick is set
	viaSponsor    bool          // the last contact was reported by a sponsor
	epoch         uint64
	split         uint64
	left          bool                     // sent a Goodbye
	deniedSince   uint64                   // sequence of the first deny list that includes the VM; 0: not denied
	denyConfirmed map[string]time.Duration // when each other VM first confirmed that list or a later one
	removing      bool                     // returned by Removable; gets no lease
}

// NewGrantor returns a Grantor for a leader elected at now in the given term. The caller must call
// SetView before the first Renew.
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

// SetView sets the state of the control log that the leader has applied: the membership epoch, the
// generation of the configuration, and the number of the split of the buckets. agreedSplit is
// the last split recorded in the log as agreed. A view with an older epoch is ignored.
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

// Renew handles a request for a lease and returns the answer, which the host sends to the VM. The
// host must have confirmed its leadership after it received the request.
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

// recordContact records the state that a VM confirmed, and reports whether the VM may get a lease.
func (g *Grantor) recordContact(now time.Duration, c Confirmed, sponsored bool) bool {
	v := g.members[c.VM]
	switch {
	case v == nil, c.Incarnation < v.incarnation:
		return false
	case v.removing:
		// The removal may be committed already, and a lease granted now would outlast it.
		return false
	case v.left && c.Incarnation == v.incarnation:
		return false
	}
	if c.Incarnation > v.incarnation {
		g.resetConfirmed(c, v)
	}
	if sponsored && v.contacted && !v.viaSponsor && now-v.lastContact < RenewInterval {
		return true // the VM's own recent request is more accurate than a sponsor's report
	}
	v.lastContact, v.contacted, v.viaSponsor = now, true, sponsored
	v.epoch = max(v.epoch, c.Epoch)
	v.split = max(v.split, c.Split)
	g.removeDenial(v)
	g.recordDenyConfirmation(now, c)
	return true
}

// resetConfirmed discards what an earlier incarnation confirmed. If another VM of its zone renews
// its lease, the new incarnation may act under an older epoch, split or deny list until it
// receives the current ones.
func (g *Grantor) resetConfirmed(c Confirmed, v *member) {
	v.incarnation = c.Incarnation
	v.left = false
	v.epoch = 0
	v.split = 0
	for _, other := range g.members {
		delete(other.denyConfirmed, c.VM)
	}
}

// removeDenial removes a VM from the deny list.
func (g *Grantor) removeDenial(v *member) {
	if v.deniedSince == 0 {
		return
	}
	v.deniedSince = 0
	v.denyConfirmed = nil
	g.denyVersion.Sequence++
}

// recordDenyConfirmation records for which denied VMs of its zone the confirming VM no longer
// renews leases.
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

// Goodbye records that a VM has stopped, so that it can be removed without waiting.
func (g *Grantor) Goodbye(m Goodbye) {
	if v := g.members[m.VM]; v != nil && m.Incarnation >= v.incarnation {
		v.incarnation = m.Incarnation
		v.left = true
	}
}

// Tick puts VMs without contact for FenceDelay on the deny list.
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

// Removable returns the names of the VMs that can't hold a valid lease any more, sorted. The host
// proposes their removal. From now on they get no lease until a new epoch changes their membership
// or RemovalFailed is called.
func (g *Grantor) Removable(now time.Duration) []string {
	for _, v := range g.members {
		if v.left {
			g.markRemoving(now, v)
		}
	}
	// All VMs are checked before any is marked, because marking one postpones the others.
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

// RemovalFailed reports that the removal of a VM can't be committed any more, so that the VM may
// get leases again.
func (g *Grantor) RemovalFailed(vm string) {
	if v := g.members[vm]; v != nil {
		v.removing = false
	}
}

// leaseExpired reports whether a VM's lease has certainly expired and no other VM can have renewed
// it.
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
		if at, confirmed := v.denyConfirmed[other]; confirmed {
			last = max(last, at)
			continue
		}
		if o.deniedSince == 0 {
			return false // it may still renew the VM's lease
		}
		// The other VM is out of contact as well. The two may renew each other's leases until the
		// cutoff limit, counted from the last moment at which a VM in contact could have renewed
		// either.
		wait = WithClockMargin(g.cutoffLimit) + WithClockMargin(LeaseDuration)
		last = max(last, g.lastContactOf(o))
		for third, t := range g.members {
			if t.zone != v.zone || t.deniedSince != 0 || t.removing {
				continue
			}
			at, confirmed := o.denyConfirmed[third]
			if !confirmed {
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

// Joining returns the VMs that requested a lease and are not members, sorted by name. The host
// proposes to add them.
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

// updateSettled merges the settled state that a VM reported and returns the current one for its
// zone. A VM without contact since the election counts as having confirmed nothing.
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

// AgreedSplit returns the last split under which all VMs acted at the same time. The host records
// it in the control log when it grows, so that it survives restarts.
func (g *Grantor) AgreedSplit() uint64 {
	return g.agreedSplit
}

func (g *Grantor) checkInvariants() {
	for name, v := range g.members {
		if v.deniedSince > g.denyVersion.Sequence {
			panic(fmt.Sprintf("membership: deny sequence of %s is above that of the current list", name))
		}
		if v.deniedSince == 0 && len(v.denyConfirmed) > 0 {
			panic(fmt.Sprintf("membership: deny list confirmations for %s, which is not denied", name))
		}
	}
}

// MemberStatus is a Grantor's state of one VM, for the state dump.
type MemberStatus struct {
	Incarnation       uint64        `json:"incarnation"`
	Heard             time.Duration `json:"heard"` // last contact, in time since boot of the leader's VM
	Epoch             uint64        `json:"epoch"` // confirmed by the VM
	Split             uint64        `json:"split"` // confirmed by the VM
	Denied            bool          `json:"denied"`
	DenyConfirmations int           `json:"promised"` // number of VMs that confirmed the deny list with this VM
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
