package node

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"egretramp/internal/detour"
	"egretramp/internal/peer"
	"egretramp/internal/registry"
	"egretramp/internal/suspect"
)

// TestHub_EntryVMs checks which entry VMs a control VM names for detours.
func TestHub_EntryVMs(t *testing.T) {
	now := time.Minute
	clock := func() time.Duration { return now }
	h := newHub(1, vmInfo{VM: "c", Role: Control}, clock, registry.NewRegistrar(time.Minute, clock), suspect.NewTracker(clock), func() []string { return nil })
	add := func(vm, zone string, role Role, cutOff bool) {
		h.recordWatch(vmInfo{VM: vm, Zone: zone, Role: role, CutOff: cutOff}, 0)
	}
	add("old", "a", Entry, false)
	now += 2 * memberTimeout
	for i := range 10 {
		add(fmt.Sprint("a", i), "a", Entry, i >= 8)
		add(fmt.Sprint("b", i), "b", Entry, false)
	}
	add("store", "a", Store, false)
	self := vmInfo{VM: "a0", Zone: "a", Role: Entry}
	vms := h.entryVMs(self)
	require.Len(t, vms, maxDetourVMs)
	require.NotContains(t, vms, "a0")
	for i, vm := range vms {
		zone := "a"
		if i >= maxDetourVMs/2 {
			zone = "b"
		}
		require.Equal(t, zone, vm[:1], "%v", vms)
		require.False(t, slices.Contains([]string{"a8", "a9", "old", "store"}, vm), "%s is cut off, silent or no entry VM", vm)
	}
	for i := range 8 {
		add(fmt.Sprint("a", i), "a", Entry, true)
	}
	for _, vm := range h.entryVMs(self) {
		require.Equal(t, "b", vm[:1], "the whole zone is cut off")
	}
}

// TestDetours_ZonesOfEntryVMs guards against tunnels whose bytes are counted for an unknown zone, and against responses of
// control VMs of the previous release, which state no zones.
func TestDetours_ZonesOfEntryVMs(t *testing.T) {
	h := newTestHub(func() time.Duration { return time.Minute })
	h.recordWatch(vmInfo{VM: "e1", Zone: "b", Role: Entry}, 0)
	answer, err := h.handleEntryVMs(t.Context(), "e0", encode(entryVMsRequest{From: vmInfo{VM: "e0", Zone: "a", Role: Entry}}))
	require.NoError(t, err)
	response, err := decode[entryVMsResponse](answer)
	require.NoError(t, err)
	d := &detours{}
	require.Empty(t, d.zoneOf("e1"))
	d.recordZones(&entryVMsResponse{VMs: []string{"e1"}})
	require.Empty(t, d.zoneOf("e1"))
	d.recordZones(&response)
	require.Equal(t, "b", d.zoneOf("e1"))
}

// TestDetours_Serve checks what an entry VM opens for another one: connections to registered upstreams, up to a
// number, and none through a third VM.
func TestDetours_Serve(t *testing.T) {
	directory := registry.NewDirectory(nil)
	directory.Merge("c", []registry.Upstream{{ID: "u", Service: "s", Address: "10.0.0.1:1", Born: 1, Sequence: 1}})
	var dialErr error
	dials := 0
	direct := func(context.Context, string) (net.Conn, error) {
		dials++
		if dialErr != nil {
			return nil, dialErr
		}
		near, _ := net.Pipe()
		return near, nil
	}
	d := &detours{directory: directory, direct: direct}
	d.dialer = detour.New(detour.Options{
		Direct: direct, VMs: func(context.Context) []string { require.Fail(t, "no third VM is asked"); return nil },
	})
	code := func(address string) string {
		_, err := d.serve(context.Background(), "vm", address)
		var remote *peer.RemoteError
		require.ErrorAs(t, err, &remote)
		return remote.Code
	}
	require.Equal(t, detour.CodeUnknown, code("10.9.9.9:1"))
	require.Zero(t, dials)
	dialErr = os.ErrDeadlineExceeded
	require.Equal(t, detour.CodeUnreachable, code("10.0.0.1:1"))
	dialErr = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", unix.ECONNREFUSED)}
	require.Equal(t, detour.CodeRefused, code("10.0.0.1:1"))
	dialErr = nil
	var open []net.Conn
	for range maxServedTunnels {
		c, err := d.serve(context.Background(), "vm", "10.0.0.1:1")
		require.NoError(t, err)
		open = append(open, c)
	}
	require.Equal(t, detour.CodeOverloaded, code("10.0.0.1:1"))
	require.NoError(t, open[0].Close())
	_, err := d.serve(context.Background(), "vm", "10.0.0.1:1")
	require.NoError(t, err)
}
