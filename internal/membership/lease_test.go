package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testCutoff = 10 * time.Second

// testZone has the holders of one zone and a grantor. Messages arrive immediately unless a link is
// cut.
type testZone struct {
	t          *testing.T
	now        time.Duration
	epoch      Epoch
	grantor    *Grantor
	holders    map[string]*Holder
	controlCut map[string]bool // VMs cut off from control
	stopped    map[string]bool
}

func newZone(t *testing.T, names ...string) *testZone {
	z := &testZone{t: t, epoch: Epoch{Number: 1}, holders: map[string]*Holder{}, controlCut: map[string]bool{}, stopped: map[string]bool{}}
	for _, name := range names {
		z.epoch.VMs = append(z.epoch.VMs, VM{Name: name, Zone: "z"})
	}
	z.elect(1)
	for _, name := range names {
		z.start(name, 1)
	}
	return z
}

func (z *testZone) elect(term uint64) {
	z.grantor = NewGrantor(z.now, term, testCutoff)
	z.grantor.SetView(z.epoch, 1, 0, 0)
}

func (z *testZone) start(name string, incarnation uint64) {
	z.holders[name] = NewHolder(z.now, HolderOptions{VM: name, Zone: "z", Incarnation: incarnation, CutoffLimit: testCutoff})
	z.holders[name].SetView(z.epoch, 1, 0)
}

func (z *testZone) deliver(from string, sends []LeaseSend) {
	for _, s := range sends {
		switch {
		case s.To == ToControl && !z.controlCut[from] && s.Renew != nil:
			a := z.grantor.Renew(z.now, *s.Renew)
			z.holders[from].Handle(z.now, "control", LeaseMessage{Answer: &a})
		case s.To != ToControl && !z.stopped[s.To]:
			z.deliver(s.To, z.holders[s.To].Handle(z.now, from, s.LeaseMessage))
		}
	}
}

func (z *testZone) run(d time.Duration) {
	for end := z.now + d; z.now < end; z.now += 100 * time.Millisecond {
		for _, vm := range z.epoch.VMs {
			if !z.stopped[vm.Name] {
				z.deliver(vm.Name, z.holders[vm.Name].Tick(z.now))
			}
		}
		z.grantor.Tick(z.now)
	}
}

func (z *testZone) valid(name string) bool {
	return z.holders[name].Valid(z.now)
}

func TestHolder_LeaseCountsFromSending(t *testing.T) {
	z := newZone(t, "a")
	sends := z.holders["a"].Tick(0)
	answer := z.grantor.Renew(0, *sends[0].Renew)
	z.now = LeaseDuration + time.Second // the VM was frozen when the answer arrived
	z.holders["a"].Handle(z.now, "control", LeaseMessage{Answer: &answer})
	require.False(t, z.valid("a"))
}

func TestHolder_LosesLeaseWithoutContact(t *testing.T) {
	z := newZone(t, "a")
	z.run(2 * time.Second)
	require.True(t, z.valid("a"))
	z.controlCut["a"] = true
	z.run(LeaseDuration)
	require.False(t, z.valid("a"), "no contact with control, and no other VM in the zone")
}

func TestHolder_SponsorsUntilCutoffLimit(t *testing.T) {
	z := newZone(t, "a", "b", "c")
	z.run(2 * time.Second)
	z.controlCut["a"], z.controlCut["b"], z.controlCut["c"] = true, true, true
	z.run(testCutoff - 2*time.Second)
	require.True(t, z.valid("a") && z.valid("b") && z.valid("c"), "the VMs of the zone renew each other's leases")
	require.False(t, z.holders["a"].ValidWithin(z.now, time.Second), "an account may have a shorter cutoff limit")
	require.Empty(t, z.grantor.Removable(z.now), "leases in the zone may still be valid")
	z.run(4 * time.Second)
	require.False(t, z.valid("a") || z.valid("b") || z.valid("c"), "no VM had contact with control for the cutoff limit")
	z.run(WithClockMargin(testCutoff))
	require.Len(t, z.grantor.Removable(z.now), 3)
}

func TestHolder_InvalidUntilRequiredEpochApplied(t *testing.T) {
	z := newZone(t, "a", "b")
	z.run(time.Second)
	next := Epoch{Number: 2, VMs: z.epoch.VMs}
	z.grantor.SetView(next, 1, 0, 0)
	z.run(RenewInterval + 100*time.Millisecond)
	require.False(t, z.valid("a"), "a has not applied the epoch that control requires")
	z.holders["a"].SetView(next, 1, 0)
	require.True(t, z.valid("a"))
	z.run(RenewInterval + 100*time.Millisecond)
	require.EqualValues(t, 1, z.holders["a"].Settled().ZoneEpoch, "b has not confirmed the epoch")
	z.holders["b"].SetView(next, 1, 0)
	z.run(2 * (RenewInterval + 100*time.Millisecond))
	require.EqualValues(t, 2, z.holders["a"].Settled().ZoneEpoch)
}

func TestGrantor_RemovesDeadVMOnce(t *testing.T) {
	z := newZone(t, "a", "b", "c")
	z.run(2 * time.Second)
	z.stopped["c"] = true
	lastLease := z.now + LeaseDuration
	for len(z.grantor.Removable(z.now)) == 0 {
		require.Less(t, z.now, 15*time.Second)
		z.run(100 * time.Millisecond)
	}
	require.Equal(t, []string{"c"}, z.grantor.Removable(z.now))
	require.Greater(t, z.now, lastLease)
	require.Less(t, z.now, 2*time.Second+9*time.Second)
	z.start("c", 2)
	z.stopped["c"] = false
	z.run(2 * time.Second)
	require.False(t, z.valid("c"), "no lease while its removal may be in progress")
	z.grantor.RemovalFailed("c")
	z.run(2 * time.Second)
	require.True(t, z.valid("c"))
}

func TestGrantor_KeepsSponsoredVM(t *testing.T) {
	z := newZone(t, "a", "b")
	z.run(2 * time.Second)
	z.controlCut["b"] = true
	z.run(8 * time.Second)
	require.True(t, z.valid("b"), "a renews its lease")
	require.True(t, z.holders["b"].Status(z.now).Sponsored)
	require.False(t, z.holders["a"].Status(z.now).Sponsored)
	require.Empty(t, z.grantor.Removable(z.now))
}

func TestHolder_RenewsNoDeniedVM(t *testing.T) {
	z := newZone(t, "a", "b")
	z.run(2 * time.Second)
	z.stopped["b"] = true
	z.run(5 * time.Second) // enough for a to confirm the deny list
	z.stopped["b"], z.controlCut["b"] = false, true
	z.run(2 * time.Second)
	require.False(t, z.valid("b"))
	require.Equal(t, []string{"b"}, z.holders["a"].Status(z.now).Deny.VMs)
	z.controlCut["b"] = false
	z.run(2 * time.Second)
	require.True(t, z.valid("b"), "control grants a lease to a denied VM that is in contact again")
}

func TestGrantor_NewLeaderRemovesNoVMEarly(t *testing.T) {
	for _, names := range [][]string{{"b"}, {"a", "b"}} {
		z := newZone(t, names...)
		z.run(2 * time.Second)
		z.stopped["b"] = true
		z.run(4 * time.Second)
		z.elect(2)
		elected := z.now
		for len(z.grantor.Removable(z.now)) == 0 {
			z.run(100 * time.Millisecond)
		}
		require.Greater(t, z.now-elected, WithClockMargin(LeaseDuration), "zone of %v", names)
	}
}

func TestGrantor_OmitsUnchangedState(t *testing.T) {
	z := newZone(t, "a", "b", "c")
	z.run(5 * time.Second)
	request := z.holders["a"].request(z.now)
	answer := z.grantor.Renew(z.now, *request)
	require.True(t, answer.Granted)
	require.Zero(t, answer.Deny)
	require.Zero(t, answer.Settled)
	request.Settled = Settled{}
	require.Equal(t, z.holders["a"].Settled(), z.grantor.Renew(z.now, *request).Settled, "a request without the settled state gets it")
	z.stopped["b"] = true
	z.run(FenceDelay + 200*time.Millisecond)
	request.Settled = z.holders["a"].Settled()
	answer = z.grantor.Renew(z.now, *request)
	require.Equal(t, []string{"b"}, answer.Deny.VMs, "a request with an older deny list gets the new one")
	request.Deny = answer.Deny.Version
	require.Zero(t, z.grantor.Renew(z.now, *request).Deny)
}

func TestGrantor_RemovesVMAtOnceAfterGoodbye(t *testing.T) {
	z := newZone(t, "a", "b")
	z.run(time.Second)
	z.grantor.Goodbye(*z.holders["b"].Release()[0].Goodbye)
	require.False(t, z.valid("b"))
	require.Equal(t, []string{"b"}, z.grantor.Removable(z.now))
}

// TestGrantor_WaitsForLeaseRenewedByDepartedVM checks that a grantor takes into account that a VM
// may have renewed another VM's lease just before it left.
func TestGrantor_WaitsForLeaseRenewedByDepartedVM(t *testing.T) {
	z := newZone(t, "a", "b")
	z.run(2 * time.Second)
	z.controlCut["a"], z.controlCut["b"] = true, true
	z.run(4 * time.Second)
	require.True(t, z.valid("b"))
	z.grantor.Goodbye(*z.holders["a"].Release()[0].Goodbye)
	z.stopped["a"] = true
	for len(z.grantor.Removable(z.now)) < 2 {
		z.run(100 * time.Millisecond)
	}
	require.False(t, z.valid("b"))
}

func TestRank_StableAndEven(t *testing.T) {
	vms := []string{"a", "b", "c", "d"}
	first := map[string]int{}
	for i := range 4000 {
		key := string(rune('A'+i%26)) + time.Duration(i).String()
		ranked := Rank(key, vms)
		first[ranked[0]]++
		require.Equal(t, without(ranked, "b"), Rank(key, []string{"d", "c", "a"}), "removing a VM keeps the order of the others")
		e := Epoch{VMs: []VM{{"a", "z"}, {"b", "z"}, {"c", "z"}, {"d", "z"}, {"e", "y"}}}
		require.Equal(t, ranked[0], e.Holder(key, "z"))
	}
	for _, vm := range vms {
		require.InDelta(t, 1000, first[vm], 120)
	}
}

func without(names []string, name string) []string {
	var kept []string
	for _, n := range names {
		if n != name {
			kept = append(kept, n)
		}
	}
	return kept
}
