package suspect

import (
	"slices"
	"time"
)

// Durations of a view.
const (
	// SettleTime is how long a VM must have ranked first for a fingerprint before it admits a first
	// run without polling the other VMs. Within that time the VM ranked next has counted the runs
	// that were lost with their VM, which takes RunTimeout and a tick, and has reported them.
	SettleTime = RunTimeout + 3*time.Second
	// StopTime is the time after which a VM that is unreachable from its own zone certainly admits
	// no more runs: it detects within 2.5 s that no other VM is visible.
	StopTime = 4 * time.Second
	// snapshotRequestTime is how long after a start or a freeze a VM requests the state that it
	// missed from the others.
	snapshotRequestTime = 3 * time.Second
	// freezeLimit is the pause between two observations above which this VM counts as having been
	// frozen.
	freezeLimit = 2500 * time.Millisecond
)

// Member is a VM of the fleet's membership and its zone.
type Member struct {
	VM   string
	Zone string
}

// RankFunc returns the VMs ordered by their rendezvous hash for a key.
type RankFunc func(key string, vms []string) []string

// view tracks which other VMs and zones are visible to this VM, and since when.
type view struct {
	vm               string
	rank             RankFunc
	members          []Member
	zones            map[string]string // of the members
	others           []string
	visible          map[string]bool
	lostAt           map[string]time.Duration // of VMs that are no longer visible
	zoneVisibleSince map[string]time.Duration // when a zone became visible
	resumedAt        time.Duration            // start of the process, or end of the last freeze
	observedAt       time.Duration
}

func newView(now time.Duration, vm string, rank RankFunc) *view {
	return &view{
		vm: vm, rank: rank, visible: map[string]bool{}, lostAt: map[string]time.Duration{},
		zoneVisibleSince: map[string]time.Duration{},
		resumedAt:        now, observedAt: now,
	}
}

// observe updates the set of other VMs that are currently visible.
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

// updateZones records when zones become visible.
func (v *view) updateZones() {
	for _, m := range v.members {
		if !v.isZoneVisible(m.Zone) {
			delete(v.zoneVisibleSince, m.Zone)
		} else if _, ok := v.zoneVisibleSince[m.Zone]; !ok {
			v.zoneVisibleSince[m.Zone] = v.observedAt
		}
	}
}

// setMembers updates the membership; VMs outside it may neither decide nor run requests.
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

// owner returns the VM that decides about a fingerprint's runs, according to this VM's view.
func (v *view) owner(f Fingerprint) string {
	return v.rank(string(f), append([]string{v.vm}, v.others...))[0]
}

// witness returns the VM that keeps a copy of this VM's runs in addition to their owner, in case both
// are lost or a partition separates them: one of this VM's zone if any is visible. It returns "" if
// there is none.
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

// holders returns the VMs to which this VM's runs are repeated every second: their owner, the witness,
// and, if this VM is the owner, the VM ranked next. If this VM is the owner, it is included.
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

// settled reports whether this VM has ranked above all VMs that are not visible for long enough to
// have received all runs in progress of a fingerprint: for SettleTime since its start or last freeze,
// and since each higher-ranked VM was lost.
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

// isAlone reports whether this VM is isolated: there are other members, but none is visible.
func (v *view) isAlone() bool { return len(v.others) == 0 && len(v.members) > 1 }

// isCutOff reports whether there is a zone without a visible VM.
func (v *view) isCutOff() bool {
	return slices.ContainsFunc(v.members, func(m Member) bool { return !v.isZoneVisible(m.Zone) })
}

func (v *view) isZoneVisible(zone string) bool {
	return slices.ContainsFunc(v.members, func(m Member) bool {
		return m.Zone == zone && (m.VM == v.vm || v.visible[m.VM])
	})
}

// coversFleet reports whether no VM other than those that agreed can admit a run: all members agreed,
// except those that have been unreachable for StopTime while others of their zone agreed.
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

// hasStopped reports whether a VM has been invisible for StopTime while its zone was visible. A VM
// that is invisible together with its zone may still serve its own side of a partition.
func (v *view) hasStopped(now time.Duration, m Member) bool {
	since := max(v.lostAt[m.VM], v.zoneVisibleSince[m.Zone], v.resumedAt)
	return !v.visible[m.VM] && now-since >= StopTime
}
