// Package reach detects availability zones that this VM can't reach, from any traffic received
// from the VMs and upstreams of a zone. A partition drops packets silently, so connections into it
// stay open for seconds; requests that hang on them have to be failed sooner.
//
// Silence counts only where a sign of life was due: a heartbeat on an open link to a VM, or an answer to a probe, a
// connection that is opened to an upstream for this purpose. A request that waits for its response is no evidence, since
// an upstream may be silent for as long as it works. Neither is a link that the other side closed. This has to hold under
// these loads:
//   - a restart of a zone's control VMs, one after the other, while streams pause for seconds;
//   - a frozen VM, the only one of its zone to which there is a link;
//   - a zone that is cut off, with many requests under way: they must end before their deadlines.
//
// A Detector is a passive state machine: its owner passes in the observations of each round and acts
// on the returned changes. It is not safe for concurrent use.
package reach

import (
	"slices"
	"time"
)

const (
	// Interval is the time between two detection rounds.
	Interval = 100 * time.Millisecond
	// missedRounds is the number of silent rounds after which a zone has missed a heartbeat. A zone
	// counts as unreachable only if a VM of another zone has sent a heartbeat since then: otherwise
	// the VMs of all zones may have lost power together, or this VM itself may be isolated, frozen
	// or starved of CPU.
	missedRounds = 6
	// maxRoundGap is the longest time between rounds in which silence counts. After a longer one,
	// this VM itself did not run in between.
	maxRoundGap = 3 * Interval
)

// silentRounds returns the number of silent rounds after which a zone counts as unreachable; 0 means never. VMs send a
// heartbeat every 500 ms, which a busy process delays by a round or two. Fewer links need more rounds, since a
// single connection may hang and a single VM may be frozen. While requests wait, a probe decides: if it is answered, the
// zone isn't silent. failedProbes counts the probes that began and timed out in this silence.
func silentRounds(o Observation, failedProbes int) int {
	switch {
	case o.Links >= 1 && failedProbes >= 1:
		return 7
	case failedProbes >= 2:
		return 9
	case o.Links == 0:
		return 0
	case o.Waiting > 0:
		return 18 // no probe has had a result, so this VM runs slowly
	case o.Links == 1:
		return 12
	case o.Links == 2:
		return 9
	}
	return 7
}

// Observation describes the traffic received from one zone since the previous round.
type Observation struct {
	Zone     string
	Received bool // at least one byte arrived from a VM or an upstream of the zone, or an answer to a probe
	// Heartbeat reports that the data came from a VM. VMs send heartbeats; upstreams only send
	// responses.
	Heartbeat bool
	// Links is the number of open connections to VMs of the zone, on which heartbeats are due.
	Links int
	// Waiting is the number of requests that wait for a response from the zone. They make a probe worth its
	// connection.
	Waiting int
	// FailedProbes is the number of probes of the zone that have timed out so far.
	FailedProbes int
}

// Change reports that a zone became unreachable, or reachable again.
type Change struct {
	Zone      string
	Reachable bool
	Silent    time.Duration // time since data was last received; 0 if the zone is reachable
	// The evidence if the zone is unreachable: silent links, requests that wait, and probes that timed out in this silence.
	Links, Waiting, FailedProbes int
}

// Detector tracks for each zone when data was last received and whether it is unreachable.
type Detector struct {
	own         string
	round       int
	lastRoundAt time.Duration // of the last round
	zones       map[string]*zone
	probes      []string
}

type zone struct {
	lastReceived  int // the last round in which data arrived from it
	lastHeartbeat int // the last round in which a VM of it sent a heartbeat
	earlierProbes int // failed probes that began before the present silence
	unreachable   bool
}

// New returns the detector of a VM in the zone own.
func New(own string) *Detector { return &Detector{own: own, zones: map[string]*zone{}} }

// Heard reports whether a heartbeat of the given age arrived since the last round began. now is the time at which the
// age was taken. Rounds may be late, so that a fixed age would miss heartbeats between them.
func (d *Detector) Heard(now, age time.Duration) bool { return age <= now-d.lastRoundAt }

// Round processes the observations of all zones that are currently known, forgets other zones, and
// returns the zones whose reachability changed. now is a monotonic time, at which the round began.
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
	d.probes = nil
	var changes []Change
	for _, o := range observations {
		z := d.zones[o.Zone]
		silent := d.round - z.lastReceived
		if silent < missedRounds {
			z.earlierProbes = o.FailedProbes
		}
		failedProbes := o.FailedProbes - z.earlierProbes
		limit := silentRounds(o, failedProbes)
		suspected := silent >= missedRounds && d.otherZoneActive(o.Zone, z.lastReceived+missedRounds-1)
		switch {
		case z.unreachable && silent == 0:
			z.unreachable = false
			changes = append(changes, Change{Zone: o.Zone, Reachable: true})
		case !z.unreachable && limit > 0 && silent >= limit && d.otherZoneActive(o.Zone, z.lastReceived+missedRounds):
			z.unreachable = true
			changes = append(changes, Change{
				Zone: o.Zone, Silent: time.Duration(silent) * Interval, Links: o.Links, Waiting: o.Waiting, FailedProbes: failedProbes,
			})
		case !z.unreachable && o.Waiting > 0 && suspected:
			d.probes = append(d.probes, o.Zone)
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

// Probes returns the zones that should be probed after the last round: they may be unreachable, and requests wait for
// them.
func (d *Detector) Probes() []string { return d.probes }

// otherZoneActive reports whether a VM of a zone other than silent sent a heartbeat in the given
// round or later.
func (d *Detector) otherZoneActive(silent string, round int) bool {
	for name, z := range d.zones {
		if name != silent && z.lastHeartbeat >= round {
			return true
		}
	}
	return false
}

// Unreachable reports whether the named zone is currently unreachable.
func (d *Detector) Unreachable(name string) bool {
	z := d.zones[name]
	return z != nil && z.unreachable
}

// Isolated reports whether a partition separates this VM from the store, so that callers should use
// a VM of another zone. The number of zones on this side of the partition doesn't matter: the store's
// majority may be in one of them.
func (d *Detector) Isolated(storeAnswers bool) bool {
	if storeAnswers || d.Unreachable(d.own) {
		return false // if its own zone is unreachable, only this VM may be isolated
	}
	for _, z := range d.zones {
		if z.unreachable {
			return true
		}
	}
	return false
}
