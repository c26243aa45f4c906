package daemon

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"egretramp/internal/groups"
	"egretramp/internal/program"
)

// programHome is one program group as this VM sees it.
type programHome struct {
	home  program.Home
	group uint64
	// voters are the VMs with its replicas, the nearest first.
	voters []string
}

// buildHomes finds the program groups: one over all control VMs, and one for each zone that
// has control VMs of its own.
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

// zoneVoters returns the VMs with replicas of the groups that not all control VMs have.
func (d *Daemon) zoneVoters() map[uint64][]string {
	voters := map[uint64][]string{}
	for _, h := range d.homes {
		if h.home != program.MajorityHome {
			voters[h.group] = h.voters
		}
	}
	return voters
}

// majorityConnected reports whether a majority of a group's voters is connected to this VM.
func (d *Daemon) majorityConnected(h programHome) bool {
	connected := 0
	for _, vm := range h.voters {
		if vm == d.settings.VM || d.node.Connected(vm) {
			connected++
		}
	}
	return connected > len(h.voters)/2
}

// zoneHome returns the group of this VM's zone, if the zone has one.
func (d *Daemon) zoneHome() (programHome, bool) {
	for _, h := range d.homes {
		if string(h.home) == d.settings.Zone {
			return h, true
		}
	}
	return programHome{}, false
}

// groupNames returns what each group is for.
func (d *Daemon) groupNames() map[uint64]string {
	names := map[uint64]string{groups.Control: "control"}
	for _, h := range d.homes {
		names[h.group] = fmt.Sprintf("programs (%s)", h.home)
	}
	return names
}
