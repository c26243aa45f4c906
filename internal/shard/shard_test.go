package shard

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func fleet(zones, each int) []VM {
	var vms []VM
	for z := range zones {
		for i := range each {
			vms = append(vms, VM{Name: fmt.Sprintf("vm-%d-%d", z, i), Zone: fmt.Sprint("zone-", z)})
		}
	}
	return vms
}

func TestOf_SpreadsAccounts(t *testing.T) {
	const accounts, count = 9900, 5
	inGroup := map[int]int{}
	for i := range accounts {
		inGroup[Of(fmt.Sprint("account-", i), count)]++
	}
	for g := range count {
		require.InDelta(t, accounts/count, inGroup[g], accounts/count/10)
	}
	require.Zero(t, Of("any", 1))
}

func TestPlace_SpreadsGroupsOverZonesAndVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		vms := fleet(zones, rapid.IntRange(1, 6).Draw(t, "each"))
		voters := 2*rapid.IntRange(0, 2).Draw(t, "lost") + 1
		count := Count(len(vms), voters)
		groups := Place(vms, voters, count)
		require.Len(t, groups, count)
		uses := map[string]int{}
		for _, g := range groups {
			require.Len(t, g, min(voters, len(vms)))
			require.Len(t, slices.Compact(slices.Clone(g)), len(g), "a VM is in a group at most once")
			inZone := map[string]int{}
			for _, vm := range g {
				uses[vm]++
				inZone[vm[:len("vm-0")]]++
			}
			for _, n := range inZone {
				require.LessOrEqual(t, n, (voters+zones-1)/zones, "%v", g)
			}
		}
		least, most := 1<<30, 0
		for _, vm := range vms {
			least, most = min(least, uses[vm.Name]), max(most, uses[vm.Name])
		}
		require.LessOrEqual(t, most-least, 2, "%v", groups)
	})
}

func TestReplicas_PrefersInitialMembers(t *testing.T) {
	vms := fleet(3, 3)
	initial := Place(vms, 5, 1)[0]
	require.ElementsMatch(t, initial, Replicas(0, initial, vms, 5))
	six := Replicas(0, initial, vms, 6)
	require.Len(t, six, 6)
	require.Subset(t, six, initial)

	// If an initial member is unavailable, another VM replaces it until it is available again.
	lost := initial[2]
	without := slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return vm.Name == lost })
	replicas := Replicas(0, initial, without, 6)
	require.Len(t, replicas, 6)
	require.NotContains(t, replicas, lost)
	require.Equal(t, six, Replicas(0, initial, vms, 6))

	require.Len(t, Replicas(0, initial, vms[:2], 6), 2, "no more than are available")
}

// TestReplicas_SameOnAllVMs checks that the result is independent of the order of the available VMs.
func TestReplicas_SameOnAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleet(4, 3)
		group := rapid.IntRange(0, 6).Draw(t, "group")
		initial := Place(vms, 5, 7)[group]
		other := rapid.Permutation(vms).Draw(t, "order")
		require.ElementsMatch(t, Replicas(group, initial, vms, 7), Replicas(group, initial, other, 7))
	})
}
