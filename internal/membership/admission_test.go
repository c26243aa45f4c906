package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestGrantor_NewMemberIsNotRemovedBeforeFirstContact(t *testing.T) {
	g := NewGrantor(0, 1, 600*time.Second)
	a, b := VM{Name: "a1", Zone: "a"}, VM{Name: "b1", Zone: "b"}
	g.SetView(Epoch{Number: 1, VMs: []VM{a}}, 1, 1, 1)
	now := 100 * time.Second
	g.Renew(now, RenewRequest{Confirmed: Confirmed{VM: "a1", Incarnation: 1, Epoch: 1}, Sequence: 1})
	g.SetView(Epoch{Number: 2, VMs: []VM{a, b}}, 1, 1, 1)
	require.Empty(t, g.Removable(now))
	now += 50 * time.Millisecond
	g.Tick(now)
	require.Empty(t, g.Removable(now))
	now += FenceDelay
	g.Tick(now)
	now += WithClockMargin(LeaseDuration) + time.Millisecond
	g.Tick(now)
	require.Contains(t, g.Removable(now), "b1", "a VM that never makes contact is eventually removed")
}
