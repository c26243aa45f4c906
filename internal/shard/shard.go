// Package shard decides how the store is partitioned: the number of groups, which group stores the
// turns of a client account, and which VMs hold the replicas of a group. Its functions are pure; all
// VMs compute the same results from the same view of the fleet.
//
// Each account is stored entirely in one group, because a turn may continue any other turn of its
// account, including one of another program. The number of groups is fixed when the store is formed,
// since changing it would move every account.
package shard

import (
	"hash/fnv"
	"slices"
)

// VM is the name and the zone of a store VM.
type VM struct {
	Name string
	Zone string
}

// Count returns the number of groups for vms VMs, where each group has the given number of voters.
// Each VM beyond those of one group can host one more leader, which carries most of a group's load.
func Count(vms, voters int) int { return max(1, vms-voters) }

// Of returns the group, counted from 0, that stores an account, by rendezvous hashing over count
// groups.
func Of(account string, count int) int {
	best, bestWeight := 0, uint64(0)
	for i := range count {
		if w := weight(account, uint64(i)); i == 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// Place chooses the initial VMs of each of count groups: voters VMs from as many zones as possible,
// with the groups spread evenly over the VMs.
func Place(vms []VM, voters, count int) [][]string {
	groups := make([][]string, count)
	used := map[string]int{}
	for i := range groups {
		var chosen []string
		inZone := map[string]int{}
		candidates := slices.Clone(vms)
		slices.SortFunc(candidates, byName)
		for len(chosen) < voters && len(candidates) > 0 {
			best := 0
			for j, vm := range candidates {
				if lessUsed(inZone[vm.Zone], used[vm.Name], inZone[candidates[best].Zone], used[candidates[best].Name]) {
					best = j
				}
			}
			vm := candidates[best]
			chosen = append(chosen, vm.Name)
			inZone[vm.Zone]++
			used[vm.Name]++
			candidates = slices.Delete(candidates, best, best+1)
		}
		slices.Sort(chosen)
		groups[i] = chosen
	}
	return groups
}

func lessUsed(zone, uses, otherZone, otherUses int) bool {
	return zone < otherZone || zone == otherZone && uses < otherUses
}

// Assign returns the VMs that should currently hold each group: the available ones of its initial VMs, then others up to wanted,
// each from the zone with the fewest replicas of the group. Of a zone's VMs it prefers those that hold no more than their part of
// all replicas, so that none needs much more memory than others. The VMs need not be members of the groups yet; members
// that are not returned stay unchanged.
func Assign(initial [][]string, available []VM, wanted int) [][]string {
	candidates := slices.Clone(available)
	slices.SortFunc(candidates, byName)
	assigned := make([][]string, len(initial))
	held := map[string]int{}
	for group, vms := range initial {
		for _, vm := range candidates {
			if slices.Contains(vms, vm.Name) {
				assigned[group] = append(assigned[group], vm.Name)
				held[vm.Name]++
			}
		}
	}
	part := 0
	if len(candidates) > 0 {
		part = (len(initial)*min(wanted, len(candidates)) + len(candidates) - 1) / len(candidates)
	}
	for group := range assigned {
		assigned[group] = addSpares(group, assigned[group], candidates, wanted, held, part)
	}
	return assigned
}

// addSpares returns a group's VMs with those added that are lacking, and counts them in held.
func addSpares(group int, vms []string, candidates []VM, wanted int, held map[string]int, part int) []string {
	inZone := map[string]int{}
	var others []VM
	for _, vm := range candidates {
		if slices.Contains(vms, vm.Name) {
			inZone[vm.Zone]++
		} else {
			others = append(others, vm)
		}
	}
	rank := func(vm VM) [2]int { return [2]int{inZone[vm.Zone], max(0, held[vm.Name]+1-part)} }
	for len(vms) < wanted && len(others) > 0 {
		best := 0
		for j, vm := range others {
			own, other := rank(vm), rank(others[best])
			if c := slices.Compare(own[:], other[:]); c < 0 || c == 0 && weight(vm.Name, uint64(group)) > weight(others[best].Name, uint64(group)) {
				best = j
			}
		}
		vm := others[best]
		vms = append(vms, vm.Name)
		inZone[vm.Zone]++
		held[vm.Name]++
		others = slices.Delete(others, best, best+1)
	}
	return vms
}

func byName(a, b VM) int {
	if a.Name < b.Name {
		return -1
	}
	return 1
}

// weight returns the rendezvous hashing weight of the number n for a name.
func weight(name string, n uint64) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	// FNV alone spreads the last input bytes badly over the high bits.
	x := hash.Sum64() + (n+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
