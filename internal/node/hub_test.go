package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/catalog"
	"egretramp/internal/quota"
	"egretramp/internal/registry"
	"egretramp/internal/suspect"
)

func newTestHub(clock func() time.Duration) *hub {
	return newHub(1, vmInfo{VM: "c", Role: Control}, clock, registry.NewRegistrar(time.Second, clock), suspect.NewTracker(clock), func() []string { return nil })
}

// TestHub_CountsMembersThatComeAndGo checks the fleet's state as VMs start, change, fall silent and return.
func TestHub_CountsMembersThatComeAndGo(t *testing.T) {
	now := time.Hour
	h := newTestHub(func() time.Duration { return now })
	watch := func(info vmInfo) {
		h.recordWatch(info, 1)
		h.recordWatch(info, -1)
	}
	entry := func(i int) vmInfo { return vmInfo{VM: fmt.Sprint("e", i), Role: Entry, Zone: "a"} }
	for i := range 5 {
		watch(entry(i))
	}
	store := vmInfo{VM: "s", Name: "store-1", Role: Store, Zone: "a"}
	watch(store)
	require.Equal(t, 5, h.entryCount())
	version := h.fleetVersion
	now += time.Second
	watch(entry(0))
	watch(store)
	require.Equal(t, version, h.fleetVersion, "nothing changed")
	store.Zone = "b"
	watch(store)
	require.Equal(t, "b", h.fleet.Stores[0].Zone)

	now += memberTimeout + time.Millisecond
	watch(entry(0))
	h.expireMembers()
	require.Equal(t, 1, h.entryCount())
	require.True(t, h.fleet.Stores[0].Silent)
	watch(entry(1))
	watch(store)
	require.Equal(t, 2, h.entryCount(), "returned")
	require.False(t, h.fleet.Stores[0].Silent)
	now += memberRetention + time.Second
	h.expireMembers()
	require.Empty(t, h.fleet.Stores)
	require.Empty(t, h.members)
}

// TestHub_EntryVMsDontChangeTheFleet guards against the fleet's state being sent to all VMs whenever an entry VM starts or
// ends, while changes of store VMs must be sent.
func TestHub_EntryVMsDontChangeTheFleet(t *testing.T) {
	now := time.Hour
	h := newTestHub(func() time.Duration { return now })
	watch := func(info vmInfo) {
		h.recordWatch(info, 1)
		h.recordWatch(info, -1)
	}
	watch(vmInfo{VM: "s", Role: Store, Zone: "a"})
	version := h.fleetVersion
	for i := range 77 {
		watch(vmInfo{VM: fmt.Sprint("e", i), Role: Entry, Zone: "a"})
		require.Equal(t, i+1, h.entryCount())
	}
	require.Equal(t, version, h.fleetVersion)
	now += memberTimeout / 2
	watch(vmInfo{VM: "s", Role: Store, Zone: "a"})
	now += memberTimeout/2 + time.Millisecond
	h.expireMembers()
	require.Zero(t, h.entryCount())
	require.Equal(t, version, h.fleetVersion)
	now += memberTimeout
	h.expireMembers()
	require.Equal(t, version+1, h.fleetVersion, "the store VM fell silent")
}

// BenchmarkHub_Watch measures the begin and the end of one watch request at a control VM at rest.
func BenchmarkHub_Watch(b *testing.B) {
	for _, vms := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(vms, " VMs"), func(b *testing.B) {
			now := time.Hour
			h := newTestHub(func() time.Duration { return now })
			infos := make([]vmInfo, vms)
			for i := range infos {
				infos[i] = vmInfo{VM: fmt.Sprint("10.0.0.", i), Role: Entry, Zone: "a"}
				if i%8 == 0 {
					infos[i].Role = Store
				}
				h.recordWatch(infos[i], 1)
				h.recordWatch(infos[i], -1)
			}
			b.ResetTimer()
			for i := range b.N {
				h.recordWatch(infos[i%vms], 1)
				h.recordWatch(infos[i%vms], -1)
			}
		})
	}
}

// TestHub_RestoredZoneReportsColdState guards against upstreams of a restored zone that stay limited for the whole cold time
// although their next registration says that they are not cold: it is no news, so entry VMs don't hear of it.
func TestHub_RestoredZoneReportsColdState(t *testing.T) {
	now := time.Hour
	h := newTestHub(func() time.Duration { return now })
	register := func(zone string, sequence int64) bool {
		return h.registrar.Register(registry.Upstream{
			ID: "u-" + zone, Service: "s", Address: "10.0.0.1:1", Zone: zone, Born: 1, Sequence: sequence, ColdStated: 1,
		})
	}
	register("a", 1)
	register("b", 1)
	require.False(t, register("a", 2), "the same again")
	h.setState(catalog.State{Evacuated: []string{"a", "b"}, EvacuationVersion: 1})
	require.False(t, register("a", 3), "out of service")
	h.setState(catalog.State{Evacuated: []string{"b"}, EvacuationVersion: 2})
	require.True(t, register("a", 4), "restored")
	require.False(t, register("a", 5))
	require.False(t, register("b", 2), "still out of service")
}

// TestHub_CountsEntryVMsOfACutZone: a coordinator that is elected after a zone was cut off must withhold the shares of the
// zone's VMs, which it has never heard from, as long as its predecessor would have.
func TestHub_CountsEntryVMsOfACutZone(t *testing.T) {
	now := time.Hour
	h := newTestHub(func() time.Duration { return now })
	for i := range 6 {
		info := vmInfo{VM: fmt.Sprint("e", i), Role: Entry, Zone: "a"}
		h.recordWatch(info, 1)
		h.recordWatch(info, -1)
	}
	now += memberTimeout + time.Second
	h.expireMembers()
	require.Zero(t, h.entryCount())
	require.Equal(t, 6, h.recentEntryCount())
	now += quota.HolderRetention
	h.expireMembers()
	require.Zero(t, h.recentEntryCount())
}
