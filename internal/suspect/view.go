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
	SettleTime = RunLapse + 3*time.Second
	// StopTime is after how long a VM that is out of reach of its own zone surely lets no run
	// go: it sees within 2.5 s that it sees nobody.
	StopTime = 4 * time.Second
	// helloTime is how long after a start or a freeze a VM asks the others for what it missed.
	helloTime = 3 * time.Second
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
	vm       string
	rank     RankFunc
	members  []Member
	others   []string
	visible  map[string]bool
	lostAt   map[string]time.Duration // of VMs that are no longer visible
	resumed  time.Duration            // start, or end of the last freeze
	observed time.Duration
}

func newView(now time.Duration, vm string, rank RankFunc) *view {
	return &view{
		vm: vm, rank: rank, visible: map[string]bool{}, lostAt: map[string]time.Duration{},
		resumed: now, observed: now,
	}
}

// observe takes the other VMs that are visible now.
func (v *view) observe(now time.Duration, others []string) {
	if now-v.observed > freezeLimit {
		v.resumed = now
	}
	v.observed = now
	if slices.Equal(others, v.others) {
		return
	}
	was := v.visible
	v.others = slices.Clone(others)
	v.visible = make(map[string]bool, len(others))
	for _, vm := range others {
		v.visible[vm] = true
		delete(v.lostAt, vm)
	}
	for vm := range was {
		if !v.visible[vm] {
			v.lostAt[vm] = now
		}
	}
}

// setMembers takes the membership; VMs outside it may not act.
func (v *view) setMembers(members []Member) {
	v.members = members
	for vm := range v.lostAt {
		if len(members) > 0 && v.zoneOf(vm) == "" {
			delete(v.lostAt, vm)
		}
	}
}

// holders returns the VMs that hear of a fingerprint's runs, as seen from here: its owner, which
// decides about them, and the next owner.
func (v *view) holders(f Fingerprint) []string {
	ranked := v.rank(string(f), append([]string{v.vm}, v.others...))
	return ranked[:min(2, len(ranked))]
}

func (v *view) owner(f Fingerprint) string { return v.holders(f)[0] }

// settled reports whether this VM has been before all VMs but those that it sees for long enough
// to know of all runs that it should have heard of.
func (v *view) settled(now time.Duration, f Fingerprint) bool {
	if now-v.resumed < SettleTime {
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
	return slices.ContainsFunc(v.members, func(m Member) bool { return !v.seesZone(m.Zone) })
}

func (v *view) seesZone(zone string) bool {
	return slices.ContainsFunc(v.members, func(m Member) bool {
		return m.Zone == zone && (m.VM == v.vm || v.visible[m.VM])
	})
}

func (v *view) zoneOf(vm string) string {
	for _, m := range v.members {
		if m.VM == vm {
			return m.Zone
		}
	}
	return ""
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
		if m.VM != v.vm && !agreed[m.VM] && !(zones[m.Zone] && v.hasStopped(now, m.VM)) {
			return false
		}
	}
	return true
}

func (v *view) hasStopped(now time.Duration, vm string) bool {
	if v.visible[vm] {
		return false
	}
	since, ok := v.lostAt[vm]
	if !ok {
		since = v.resumed
	}
	return now-max(since, v.resumed) >= StopTime
}
