package node

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/clock"
)

// fleetCaller answers watch requests with the fleet's state of a control VM.
type fleetCaller map[string]*fleetState

func (f fleetCaller) Call(_ context.Context, vm, _ string, _ []byte) ([]byte, error) {
	fleet, running := f[vm]
	if !running {
		return nil, errors.New("no control VM")
	}
	return encode(watchResponse{Epoch: 1, FleetVersion: 1, Fleet: fleet}), nil
}

// TestWatcher_StoresAreMergedOncePerChange guards against store VMs of a large fleet that spend their processor time on
// merging the same reports, for each of the many questions that their replicas ask.
func TestWatcher_StoresAreMergedOncePerChange(t *testing.T) {
	report := func(silent bool) *fleetState {
		return &fleetState{Stores: []vmInfo{{VM: "s1", Zone: "a"}, {VM: "s2", Zone: "b", Silent: silent}}, Shards: [][]string{{"s1"}}}
	}
	fleet := fleetCaller{"c1": report(false), "c2": report(false)}
	w := &watcher{
		self: vmInfo{VM: "s1", Role: Store, Zone: "a"}, calls: fleet, clock: clock.Now, ctx: t.Context(),
		contacts: map[string]*contact{"c1": {vm: "c1"}, "c2": {vm: "c2"}}, handleUpdate: func(string, watchResponse) {},
		documentVersion: func() uint64 { return 0 },
	}
	watch := func(vm string, answered bool) {
		t.Helper()
		require.Equal(t, answered, w.watchOnce(t.Context(), w.contacts[vm]))
		require.Zero(t, testing.AllocsPerRun(10, func() { w.stores() }))
	}
	running := func() (vms []string) {
		for _, s := range w.stores().running {
			vms = append(vms, s.VM)
		}
		return vms
	}
	require.Empty(t, running())
	watch("c1", true)
	require.Equal(t, []string{"s1", "s2"}, running(), "the first answer of a control VM")
	require.Equal(t, "b", w.stores().zones["s2"])
	watch("c2", true)
	fleet["c1"] = report(true)
	watch("c1", true)
	require.Equal(t, []string{"s1", "s2"}, running(), "the other control VM sees it")
	delete(fleet, "c2")
	watch("c2", false)
	require.Equal(t, []string{"s1"}, running(), "a control VM that doesn't respond")
	fleet["c2"] = report(false)
	watch("c2", true)
	require.Equal(t, []string{"s1", "s2"}, running(), "it responds again")
	require.Len(t, w.stores().shards, 1)
	delete(fleet, "c1")
	watch("c1", false)
	w.contacts["c1"].lastAnswered -= contactRetention + time.Second
	w.contacts["c1"].lastNamed = w.contacts["c1"].lastAnswered
	w.contacts["c1"].stop = func() {}
	w.removeStaleContacts()
	require.Equal(t, []string{"s1", "s2"}, running(), "a control VM that was removed")
}

// TestStoresView_Scarce guards against a replaced store VM of a small fleet that waits with the only copy that is missing, and
// against VMs behind a partition that copy the whole store.
func TestStoresView_Scarce(t *testing.T) {
	view := func(running, silent int) *storesView {
		return &storesView{running: make([]vmInfo, running), silent: make([]vmInfo, silent)}
	}
	require.True(t, view(3, 1).scarce(4), "one of three was replaced")
	require.True(t, view(4, 0).scarce(4), "the lost one isn't silent yet")
	require.False(t, view(10, 1).scarce(6), "others can hold it")
	require.False(t, view(4, 7).scarce(6), "a zone that is cut off")
}
