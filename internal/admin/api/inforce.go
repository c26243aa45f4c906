package api

import "slices"

// InForce lists the generation in force on each VM.
type InForce struct {
	VMs []VMInForce `json:"vms"`
}

// VMInForce is the generation in force on one VM.
type VMInForce struct {
	VM         string `json:"vm"`
	Zone       string `json:"zone"`
	Generation uint64 `json:"generation"`
	// Reached reports whether the VM responded. If not, Generation is the last value it reported.
	Reached bool `json:"reached"`
}

// ZoneInForce groups the VMs of a zone by their state for one generation. VM names are sorted.
type ZoneInForce struct {
	Zone string `json:"zone"`
	// InForce are the VMs on which the generation or a newer one is in force.
	InForce []string `json:"in_force"`
	// Behind are the VMs that responded with an older generation.
	Behind []string `json:"behind"`
	// Unreached are the VMs that did not respond.
	Unreached []string `json:"unreached"`
}

// Done reports whether the generation is in force on all VMs of the zone.
func (z ZoneInForce) Done() bool {
	return len(z.Behind) == 0 && len(z.Unreached) == 0
}

// Zones returns a summary of each zone for one generation, sorted by zone.
func (i InForce) Zones(generation uint64) []ZoneInForce {
	byZone := map[string]*ZoneInForce{}
	for _, vm := range i.VMs {
		zone := byZone[vm.Zone]
		if zone == nil {
			zone = &ZoneInForce{Zone: vm.Zone, InForce: []string{}, Behind: []string{}, Unreached: []string{}}
			byZone[vm.Zone] = zone
		}
		switch {
		case !vm.Reached:
			zone.Unreached = append(zone.Unreached, vm.VM)
		case vm.Generation >= generation:
			zone.InForce = append(zone.InForce, vm.VM)
		default:
			zone.Behind = append(zone.Behind, vm.VM)
		}
	}
	zones := make([]ZoneInForce, 0, len(byZone))
	for _, zone := range byZone {
		slices.Sort(zone.InForce)
		slices.Sort(zone.Behind)
		slices.Sort(zone.Unreached)
		zones = append(zones, *zone)
	}
	slices.SortFunc(zones, func(a, b ZoneInForce) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
	return zones
}

// Done reports whether every VM responded and has the generation. It is false if no VM is listed.
func (i InForce) Done(generation uint64) bool {
	for _, zone := range i.Zones(generation) {
		if !zone.Done() {
			return false
		}
	}
	return len(i.VMs) > 0
}
