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
			require.Len(t, slices.Compact(slices.Clone(g)), len(g), "a VM is once in a group")
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

func TestKeepers_ThoseThatFormedFirst(t *testing.T) {
	vms := fleet(3, 3)
	forming := Place(vms, 5, 1)[0]
	require.ElementsMatch(t, forming, Keepers(0, forming, vms, 5))
	six := Keepers(0, forming, vms, 6)
	require.Len(t, six, 6)
	require.Subset(t, six, forming)

	// One that formed it is away: another takes its place, and leaves it once that one is back.
	lost := forming[2]
	without := slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return vm.Name == lost })
	keepers := Keepers(0, forming, without, 6)
	require.Len(t, keepers, 6)
	require.NotContains(t, keepers, lost)
	require.Equal(t, six, Keepers(0, forming, vms, 6))

	require.Len(t, Keepers(0, forming, vms[:2], 6), 2, "no more than there are")
}

// TestKeepers_SameOnAllVMs: the order in which VMs are known must not matter.
func TestKeepers_SameOnAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleet(4, 3)
		group := rapid.IntRange(0, 6).Draw(t, "group")
		forming := Place(vms, 5, 7)[group]
		other := rapid.Permutation(vms).Draw(t, "order")
		require.ElementsMatch(t, Keepers(group, forming, vms, 7), Keepers(group, forming, other, 7))
	})
}
