package suspect

import (
	"slices"
	"time"
)

// Times of a view.
const (
	// SettleTime is how long a VM must have been the first in a fingerprint's order before it
	// lets a first run go without asking the others. Until then the next one has counted runs
	// that were lost with their VM, which takes RunLapse and a tick, and told of it.
	SettleTime = RunTimeout + 3*time.Second
	// StopTime is after how long a VM that is out of reach of its own zone surely lets no run
	// go: it sees within 2.5 s that it sees nobody.
	StopTime = 4 * time.Second
	// snapshotRequestTime is how long after a start or a freeze a VM asks the others for what it missed.
	snapshotRequestTime = 3 * time.Second
	// freezeLimit is the pause between two observations that shows that this VM stood still.
	freezeLimit = 2500 * time.Millisecond
)

// Member is a VM of the membership and its zone.
type Member struct {
	VM   string
	Zone string
}

// RankFunc orders VMs for a key by rendezvous hashing.
type RankFunc func(key string, vms []string) []string

// view is which VMs this VM sees, and since when.
type view struct {
	vm               string
	rank             RankFunc
	members          []Member
	zones            map[string]string // of the members
	others           []string
	visible          map[string]bool
	lostAt           map[string]time.Duration // of VMs that are no longer visible
	zoneVisibleSince map[string]time.Duration // since when a zone is visible
	resumedAt        time.Duration            // start, or end of the last freeze
	observedAt       time.Duration
}

func newView(now time.Duration, vm string, rank RankFunc) *view {
	return &view{
		vm: vm, rank: rank, visible: map[string]bool{}, lostAt: map[string]time.Duration{},
		zoneVisibleSince: map[string]time.Duration{},
		resumedAt:        now, observedAt: now,
	}
}

// observe takes the other VMs that are visible now.
func (v *view) observe(now time.Duration, others []string) {
	if now-v.observedAt > freezeLimit {
		v.resumedAt = now
	}
	v.observedAt = now
	if slices.Equal(others, v.others) {
		return
	}
	previous := v.visible
	v.others = slices.Clone(others)
	v.visible = make(map[string]bool, len(others))
	for _, vm := range others {
		v.visible[vm] = true
		delete(v.lostAt, vm)
	}
	for vm := range previous {
		if !v.visible[vm] {
			v.lostAt[vm] = now
		}
	}
	v.updateZones()
}

// updateZones notes since when zones are visible.
func (v *view) updateZones() {
	for _, m := range v.members {
		if !v.isZoneVisible(m.Zone) {
			delete(v.zoneVisibleSince, m.Zone)
		} else if _, ok := v.zoneVisibleSince[m.Zone]; !ok {
			v.zoneVisibleSince[m.Zone] = v.observedAt
		}
	}
}

// setMembers takes the membership; VMs outside it may not act.
func (v *view) setMembers(members []Member) {
	v.members = members
	v.zones = make(map[string]string, len(members))
	for _, m := range members {
		v.zones[m.VM] = m.Zone
	}
	for vm := range v.lostAt {
		if _, ok := v.zones[vm]; !ok && len(members) > 0 {
			delete(v.lostAt, vm)
		}
	}
	v.updateZones()
}

// owner returns the VM that decides about a fingerprint's runs, as seen from here.
func (v *view) owner(f Fingerprint) string {
	return v.rank(string(f), append([]string{v.vm}, v.others...))[0]
}

// witness returns the VM that hears of this VM's runs besides their owner, in case both are lost
// or a cut comes between them: one of this VM's zone if any is visible. "" if there is none.
func (v *view) witness(f Fingerprint, owner string) string {
	var near, far []string
	for _, vm := range v.others {
		switch {
		case vm == owner:
		case v.zones[vm] == v.zones[v.vm]:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return ""
	}
	return v.rank(string(f), near)[0]
}

// holders returns the VMs that hear of this VM's runs each second: their owner, the witness, and
// the next owner where this VM is the owner.
func (v *view) holders(f Fingerprint) []string {
	order := v.rank(string(f), append([]string{v.vm}, v.others...))
	holders := order[:1]
	if order[0] == v.vm {
		holders = order[:min(2, len(order))]
	}
	if witness := v.witness(f, order[0]); witness != "" && !slices.Contains(holders, witness) {
		holders = append(slices.Clone(holders), witness)
	}
	return holders
}

// settled reports whether this VM has been before all VMs but those that it sees for long enough
// to know of all runs that it should have heard of.
func (v *view) settled(now time.Duration, f Fingerprint) bool {
	if now-v.resumedAt < SettleTime {
		return false
	}
	for vm, at := range v.lostAt {
		if now-at < SettleTime && v.rank(string(f), []string{v.vm, vm})[0] == vm {
			return false
		}
	}
	return true
}

// isAlone reports whether this VM sees no other one of several: it is isolated.
func (v *view) isAlone() bool { return len(v.others) == 0 && len(v.members) > 1 }

// isCutOff reports whether a zone has no VM that is visible.
func (v *view) isCutOff() bool {
	return slices.ContainsFunc(v.members, func(m Member) bool { return !v.isZoneVisible(m.Zone) })
}

func (v *view) isZoneVisible(zone string) bool {
	return slices.ContainsFunc(v.members, func(m Member) bool {
		return m.Zone == zone && (m.VM == v.vm || v.visible[m.VM])
	})
}

// coversFleet reports whether no VM outside those that agreed can let a run go: all VMs of the
// membership agreed, but for those that are silent for StopTime while others of their zone
// agreed.
func (v *view) coversFleet(now time.Duration, agreed map[string]bool) bool {
	zones := map[string]bool{}
	for _, m := range v.members {
		if agreed[m.VM] || m.VM == v.vm {
			zones[m.Zone] = true
		}
	}
	for _, m := range v.members {
		if m.VM != v.vm && !agreed[m.VM] && !(zones[m.Zone] && v.hasStopped(now, m)) {
			return false
		}
	}
	return true
}

// hasStopped reports whether a VM has been out of sight for StopTime while its zone was in sight:
// out of sight with its zone, it may serve its own side of a cut.
func (v *view) hasStopped(now time.Duration, m Member) bool {
	since := max(v.lostAt[m.VM], v.zoneVisibleSince[m.Zone], v.resumedAt)
	return !v.visible[m.VM] && now-since >= StopTime
}
