package api

import "slices"

// InForce says which generation is in force on each VM.
type InForce struct {
	VMs []VMInForce `json:"vms"`
}

// VMInForce is the generation on one VM.
type VMInForce struct {
	VM         string `json:"vm"`
	Zone       string `json:"zone"`
	Generation uint64 `json:"generation"`
	// Reached says that the VM answered; if not, Generation is what it last reported.
	Reached bool `json:"reached"`
}

// ZoneInForce sums up a zone for one generation; the VM names are sorted.
type ZoneInForce struct {
	Zone string `json:"zone"`
	// InForce are the VMs on which the generation or a newer one is in force.
	InForce []string `json:"in_force"`
	// Behind are the VMs that answered with an older generation.
	Behind []string `json:"behind"`
	// Unreached are the VMs that did not answer.
	Unreached []string `json:"unreached"`
}

// Done reports whether all of the zone's VMs have the generation.
func (z ZoneInForce) Done() bool {
	return len(z.Behind) == 0 && len(z.Unreached) == 0
}

// Zones sums up all zones for one generation, sorted by zone.
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

// Done reports whether every VM answered and has the generation. No VMs are not every VM.
func (i InForce) Done(generation uint64) bool {
	for _, zone := range i.Zones(generation) {
		if !zone.Done() {
			return false
		}
	}
	return len(i.VMs) > 0
}
