// Package reach decides which availability zones this VM can't reach, from signs of life of any
// kind: whatever VMs and upstreams of a zone have sent. A partition drops packets silently, so
// connections into it stay open for seconds; callers whose requests hang there need to know sooner.
//
// A Judge is a plain value: its owner brings the observations of each round and acts on what
// changed. It is not safe for concurrent use.
package reach

import (
	"slices"
	"time"
)

const (
	// Interval is the time between two rounds.
	Interval = 100 * time.Millisecond
	// missedRounds is the silence in which a zone has missed a heartbeat. A VM elsewhere must have
	// spoken after it: the VMs of all zones may have lost their power together, and this VM itself may be
	// cut off, frozen or starved.
	missedRounds = 6
	// maxRoundGap is the time between rounds beyond which this VM itself did not run in between, so
	// that silence says nothing.
	maxRoundGap = 3 * Interval
)

// silentRounds returns the silence after which a zone counts as unreachable, by the number of
// connections on which something was due; 0 is never. VMs send a heartbeat each 500 ms, which a busy
// process delays by a round or two; a single connection may hang, and a single VM may be frozen.
func silentRounds(expected int) int {
	switch {
	case expected >= 3:
		return 7
	case expected == 2:
		return 9
	case expected == 1:
		return 12
	}
	return 0
}

// Observation is what was seen of one zone since the round before.
type Observation struct {
	Zone  string
	Received bool // a byte came from a VM or an upstream there
	// Heartbeat says that it came from a VM: VMs send heartbeats, upstreams only answer.
	Heartbeat bool
	// Expected is the number of connections on which something is due: those that carry
	// heartbeats, and those with a request that waits for its answer.
	Expected int
}

// Change is a zone that became unreachable, or reachable again.
type Change struct {
	Zone      string
	Reachable bool
	Silent    time.Duration // how long nothing was heard
}

// Detector holds what was heard of each zone.
type Detector struct {
	own   string
	round int
	lastRoundAt    time.Duration // of the last round
	zones map[string]*zone
}

type zone struct {
	lastReceived       int // the last round in which it spoke
	lastHeartbeat     int // the last round in which a VM of it did
	unreachable bool
}

// New returns the judge of a VM in a zone.
func New(own string) *Detector { return &Detector{own: own, zones: map[string]*zone{}} }

// Round takes the observations of all zones that are known now and returns what changed. now is
// a steady clock's time.
func (d *Detector) Round(now time.Duration, observations []Observation) []Change {
	late := d.round > 0 && now-d.lastRoundAt > maxRoundGap
	d.round++
	d.lastRoundAt = now
	known := map[string]bool{}
	for _, o := range observations {
		known[o.Zone] = true
		z := d.zones[o.Zone]
		if z == nil {
			z = &zone{lastReceived: d.round}
			d.zones[o.Zone] = z
		}
		if o.Received || late && !z.unreachable {
			z.lastReceived = d.round
		}
		if o.Heartbeat {
			z.lastHeartbeat = d.round
		}
	}
	for name := range d.zones {
		if !known[name] {
			delete(d.zones, name)
		}
	}
	var changes []Change
	for _, o := range observations {
		z := d.zones[o.Zone]
		silent, limit := d.round-z.lastReceived, silentRounds(o.Expected)
		switch {
		case z.unreachable && silent == 0:
			z.unreachable = false
			changes = append(changes, Change{Zone: o.Zone, Reachable: true})
		case !z.unreachable && limit > 0 && silent >= limit && d.otherZoneActive(o.Zone, z.lastReceived+missedRounds):
			z.unreachable = true
			changes = append(changes, Change{Zone: o.Zone, Silent: time.Duration(silent) * Interval})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
	return changes
}

// otherZoneActive reports whether a VM of another zone spoke in that round or later.
func (d *Detector) otherZoneActive(silent string, round int) bool {
	for name, z := range d.zones {
		if name != silent && z.lastHeartbeat >= round {
			return true
		}
	}
	return false
}

// Unreachable reports whether a zone can't be reached.
func (d *Detector) Unreachable(name string) bool {
	z := d.zones[name]
	return z != nil && z.unreachable
}

// Isolated reports whether a partition separates this VM from the store, so that callers are better
// off at a VM elsewhere. It doesn't matter how many zones are on this side: the store's majority
// may be in one.
func (d *Detector) Isolated(storeAnswers bool) bool {
	if storeAnswers || d.Unreachable(d.own) {
		return false // beside the latter this VM alone may be cut off
	}
	for _, z := range d.zones {
		if z.unreachable {
			return true
		}
	}
	return false
}
