package membership

import (
	"hash/fnv"
	"slices"
	"sort"
)

// VM is a member of the fleet as the control log names it.
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Epoch is the membership that the control log has agreed on. Each change adds one to
// Number: a VM that sees a gap knows that it missed an epoch.
type Epoch struct {
	Number uint64 `json:"number"`
	VMs    []VM   `json:"vms"`
}

// EpochNumber returns the number of the epoch.
func (e Epoch) EpochNumber() uint64 {
	return e.Number
}

// Zones returns the availability zones that have a VM, sorted.
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

// Holder returns the VM that holds the share of a client account in a zone, or "" if the zone
// has no VM.
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

// Rank orders VMs for a key by rendezvous hashing, highest score first. The order of the
// others stays the same when a VM joins or leaves.
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

// score is FNV-1a over key and name, mixed so that names that differ in the last byte only
// get scores that differ in all bits.
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
