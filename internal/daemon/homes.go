package daemon

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"egretramp/internal/groups"
	"egretramp/internal/program"
)

// programHome describes one program group: the programs' home, the group's number and its voters.
type programHome struct {
	home  program.Home
	group uint64
	// voters are the VMs that have a replica of the group, nearest first.
	voters []string
}

// buildHomes derives the program groups from the peer list: one over all control VMs, and one for each
// zone that has control VMs.
func (d *Daemon) buildHomes() error {
	all := d.controlVMs()
	zoneOf := map[string]string{}
	for _, p := range d.settings.Peers {
		zoneOf[p.VM] = p.Zone
	}
	byZone := map[string][]string{}
	for _, vm := range all {
		byZone[zoneOf[vm]] = append(byZone[zoneOf[vm]], vm)
	}
	d.homes = []programHome{{home: program.MajorityHome, group: groups.Program, voters: all}}
	zones := map[uint64]string{}
	for zone, voters := range byZone {
		group := groups.Zone(zone)
		if other, taken := zones[group]; taken {
			return errors.Newf("daemon: zones %s and %s have the same group number; rename one", zone, other)
		}
		zones[group] = zone
		d.homes = append(d.homes, programHome{home: program.Home(zone), group: group, voters: voters})
	}
	return nil
}

// zoneVoters returns the voters of each zone's program group. The other groups have a replica on every
// control VM.
func (d *Daemon) zoneVoters() map[uint64][]string {
	voters := map[uint64][]string{}
	for _, h := range d.homes {
		if h.home != program.MajorityHome {
			voters[h.group] = h.voters
		}
	}
	return voters
}

// majorityConnected reports whether this VM is connected to a majority of a group's voters. It counts
// itself if it is a voter.
func (d *Daemon) majorityConnected(h programHome) bool {
	connected := 0
	for _, vm := range h.voters {
		if vm == d.settings.VM || d.node.Connected(vm) {
			connected++
		}
	}
	return connected > len(h.voters)/2
}

// zoneHome returns the program group of this VM's zone, if the zone has one.
func (d *Daemon) zoneHome() (programHome, bool) {
	for _, h := range d.homes {
		if string(h.home) == d.settings.Zone {
			return h, true
		}
	}
	return programHome{}, false
}

// groupNames returns a readable name for each group number.
func (d *Daemon) groupNames() map[uint64]string {
	names := map[uint64]string{groups.Control: "control"}
	for _, h := range d.homes {
		names[h.group] = fmt.Sprintf("programs (%s)", h.home)
	}
	return names
}
