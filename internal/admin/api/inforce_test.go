package api

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInForce_Zones(t *testing.T) {
	state := InForce{VMs: []VMInForce{
		{VM: "b2", Zone: "b", Generation: 5, Reached: true},
		{VM: "b1", Zone: "b", Generation: 6, Reached: true},
		{VM: "a1", Zone: "a", Generation: 4, Reached: true},
		{VM: "a2", Zone: "a", Generation: 5},
	}}
	require.Equal(t, []ZoneInForce{
		{Zone: "a", InForce: []string{}, Behind: []string{"a1"}, Unreached: []string{"a2"}},
		{Zone: "b", InForce: []string{"b1", "b2"}, Behind: []string{}, Unreached: []string{}},
	}, state.Zones(5))
	require.False(t, state.Done(5))
	require.True(t, InForce{VMs: state.VMs[:2]}.Done(5))
	require.False(t, InForce{}.Done(1), "an empty list must not count as done")
}
