package membership

import (
	"hash/fnv"
	"slices"
	"sort"
)

// VM is a member of the fleet as recorded in the control log.
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Epoch is the membership committed to the control log. Each change increments Number by one, so
// a VM detects a missed epoch by a gap.
type Epoch struct {
	Number uint64 `json:"number"`
	VMs    []VM   `json:"vms"`
}

// EpochNumber returns e.Number.
func (e Epoch) EpochNumber() uint64 {
	return e.Number
}

// Zones returns the availability zones that have at least one VM, sorted.
func (e Epoch) Zones() []string {
	var zones []string
	for _, vm := range e.VMs {
		if !slices.Contains(zones, vm.Zone) {
			zones = append(zones, vm.Zone)
		}
	}
	sort.Strings(zones)
	return zones
}

// InZone returns the names of the VMs of a zone, sorted.
func (e Epoch) InZone(zone string) []string {
	var names []string
	for _, vm := range e.VMs {
		if vm.Zone == zone {
			names = append(names, vm.Name)
		}
	}
	sort.Strings(names)
	return names
}

// ZoneOf returns the zone of a VM and whether it is a member.
func (e Epoch) ZoneOf(name string) (string, bool) {
	for _, vm := range e.VMs {
		if vm.Name == name {
			return vm.Zone, true
		}
	}
	return "", false
}

// Holder returns the VM that is assigned the share of a client account in a zone, or "" if the
// zone has no VM.
func (e Epoch) Holder(account, zone string) string {
	var best string
	var bestScore uint64
	for _, vm := range e.VMs {
		if vm.Zone != zone {
			continue
		}
		s := score(account, vm.Name)
		if best == "" || s > bestScore || (s == bestScore && vm.Name < best) {
			best, bestScore = vm.Name, s
		}
	}
	return best
}

// Rank orders VMs for a key by rendezvous hashing, highest score first. When a VM joins or leaves,
// the relative order of the others stays the same.
func Rank(key string, vms []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(vms))
	for i, vm := range vms {
		all[i] = scored{name: vm, score: score(key, vm)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].name < all[j].name
	})
	ranked := make([]string, len(all))
	for i, s := range all {
		ranked[i] = s.name
	}
	return ranked
}

// score returns the rendezvous hash of key and name: FNV-1a, followed by a mixing step so that
// names that differ only in the last byte get scores that differ in all bits.
func score(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
